package server

import (
	"carobthread"
)

// logBackpressureLocked logs what a searcher asks of its callers if that differs from its last reply.
func (search *Search) logBackpressureLocked(searcher string, stated *carobthread.Backpressure) {
	if stated == nil || *stated == search.backpressure[searcher] {
		return
	}
	if search.backpressure[searcher] = *stated; *stated == (carobthread.Backpressure{}) {
		delete(search.backpressure, searcher)
	}
	if !search.limiter.Allow(search.options.Timer.Now(), "searcher-backpressure") {
		return
	}
	search.options.Logger.Info().Str("event", "searcher-backpressure").Str("searcher", searcher).Float64("rate-limit", stated.RateLimit).
		Msg("what a searcher asks of its callers changed")
}
