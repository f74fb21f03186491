package server

import (
	"maps"
	"slices"
	"time"

	"carobthread"
)

// departureMemory is how long a searcher that has said that it leaves is remembered without being configured, since its entry
// may be missing during an outage of the store and come back.
const departureMemory = 10 * time.Minute

// applyBackpressureLocked stops all requests to a searcher that says that it leaves, and logs changes of what a searcher asks
// of its callers.
func (search *Search) applyBackpressureLocked(searcher string, stated *carobthread.Backpressure) {
	if stated == nil || *stated == search.backpressure[searcher] {
		return
	}
	if search.backpressure[searcher] = *stated; *stated == (carobthread.Backpressure{}) {
		delete(search.backpressure, searcher)
	}
	if stated.Leaving {
		search.departures[searcher] = search.options.Timer.Now()
		if handler, ok := search.options.Upstream.(DepartureHandler); ok {
			handler.SetLeaving(searcher, true)
		}
	}
	if !search.limiter.Allow(search.options.Timer.Now(), "searcher-backpressure") {
		return
	}
	search.options.Logger.Info().Str("event", "searcher-backpressure").Str("searcher", searcher).Float64("rate-limit", stated.RateLimit).
		Bool("leaving", stated.Leaving).Int64("retry-after-us", stated.RetryAfterMicros).Msg("what a searcher asks of its callers changed")
}

// logCold logs that a searcher has become cold or warm.
func (search *Search) logCold(changed *carobthread.ColdChanged) {
	event := "searcher-cold"
	if changed.LeftMicros == 0 {
		event = "searcher-warm"
	}
	if search.limiter.Allow(search.options.Timer.Now(), event) {
		search.options.Logger.Info().Str("event", event).Str("searcher", changed.Searcher).Int64("left-us", changed.LeftMicros).
			Int("share", changed.Share).Int64("window-us", changed.WindowMicros).Msg("searcher changed between cold and warm")
	}
}

// markDepartures returns the searchers with those marked as leaving that have said so themselves, and forgets the departures of
// searchers that have been gone for long.
func (search *Search) markDepartures(searchers []carobthread.Searcher) []carobthread.Searcher {
	now := search.options.Timer.Now()
	marked := slices.Clone(searchers)
	configured := map[string]bool{}
	for i := range marked {
		configured[marked[i].Name] = true
		if _, departing := search.departures[marked[i].Name]; departing {
			search.departures[marked[i].Name] = now
			marked[i].Leaving = true
		}
	}
	maps.DeleteFunc(search.departures, func(_ string, last carobthread.Instant) bool { return now.Sub(last) > departureMemory })
	maps.DeleteFunc(search.backpressure, func(name string, _ carobthread.Backpressure) bool { return !configured[name] })
	return marked
}
