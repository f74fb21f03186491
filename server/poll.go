package server

import (
	"context"
	"sync"

	"carobthread"
)

// Poll asks every searcher of the configuration for its report and passes the reports to the core.
func (search *Search) Poll(ctx context.Context) {
	search.mutex.Lock()
	searchers := make([]carobthread.Searcher, 0, len(search.searchers))
	for _, searcher := range search.searchers {
		searchers = append(searchers, searcher)
	}
	search.mutex.Unlock()
	reporter, able := search.options.Upstream.(carobthread.Reporter)
	if !able {
		return
	}
	var polls sync.WaitGroup
	for _, searcher := range searchers {
		polls.Go(func() { search.poll(ctx, reporter, searcher) })
	}
	polls.Wait()
}

func (search *Search) poll(ctx context.Context, reporter carobthread.Reporter, searcher carobthread.Searcher) {
	event, err := reporter.Report(ctx, searcher)
	if err != nil {
		event = &carobthread.ReportArrived{Searcher: searcher.Name} // a searcher that cannot be asked counts as ill
	}
	search.step(carobthread.Event{Report: event})
	if search.options.Reported != nil {
		search.options.Reported(*event)
	}
	if err == nil {
		search.observe(searcher.Name, event.Draining)
	}
}

// observe passes a sign of draining on if it changes what is known of the searcher.
func (search *Search) observe(searcher string, draining bool) {
	if search.options.Drained == nil {
		return
	}
	search.mutex.Lock()
	changed, leaving := search.drains.observe(search.options.Timer.Now(), searcher, draining)
	search.mutex.Unlock()
	if changed {
		search.options.Drained(searcher, leaving)
	}
}
