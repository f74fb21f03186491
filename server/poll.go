package server

import (
	"context"
	"sync"

	"carobthread"
	"carobthread/recoverer"
)

// Poll requests a report from every configured searcher and passes the reports to the core.
func (search *Search) Poll(ctx context.Context) {
	search.mutex.Lock()
	searchers := make([]carobthread.Searcher, 0, len(search.searchers))
	for _, searcher := range search.searchers {
		searchers = append(searchers, searcher)
	}
	search.mutex.Unlock()
	reporter, ok := search.options.Upstream.(carobthread.Reporter)
	if !ok {
		return
	}
	var polls sync.WaitGroup
	for _, searcher := range searchers {
		polls.Go(func() {
			_ = recoverer.Run(&search.options.Logger, "poll", func() { search.poll(ctx, reporter, searcher) })
		})
	}
	polls.Wait()
}

func (search *Search) poll(ctx context.Context, reporter carobthread.Reporter, searcher carobthread.Searcher) {
	event, err := reporter.Report(ctx, searcher)
	if err != nil {
		event = &carobthread.ReportArrived{Searcher: searcher.Name} // a searcher that sends no report counts as unhealthy
	}
	search.step(carobthread.Event{Report: event})
	if search.options.OnReport != nil {
		search.options.OnReport(*event)
	}
	if err == nil {
		search.recordDraining(searcher.Name, event.Draining)
	}
}

// recordDraining records a searcher's drain state and calls OnDrain if it has changed.
func (search *Search) recordDraining(searcher string, draining bool) {
	if search.options.OnDrain == nil {
		return
	}
	search.mutex.Lock()
	changed, leaving := search.drains.recordDraining(search.options.Timer.Now(), searcher, draining)
	search.mutex.Unlock()
	if changed {
		search.options.OnDrain(searcher, leaving)
	}
}
