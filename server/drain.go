package server

import (
	"carobthread"
)

// drainTracker combines the drain state of searchers from replies and reports; it is not safe for concurrent use.
type drainTracker struct {
	lastDraining map[string]carobthread.Instant // time of the last reply or report that said draining, by searcher
}

func newDrainTracker() *drainTracker {
	return &drainTracker{lastDraining: map[string]carobthread.Instant{}}
}

// recordDraining records the drain state in one reply or report. It returns whether the searcher's state has changed, and
// the state: after a draining one, the searcher counts as leaving for at least DrainHoldTime.
func (tracker *drainTracker) recordDraining(now carobthread.Instant, searcher string, draining bool) (changed, leaving bool) {
	last, known := tracker.lastDraining[searcher]
	if draining {
		tracker.lastDraining[searcher] = now
		return !known, true
	}
	if known && now.Sub(last) >= carobthread.DrainHoldTime {
		delete(tracker.lastDraining, searcher)
		return true, false
	}
	return false, known
}
