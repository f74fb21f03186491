package server

import (
	"carobthread"
)

// drainWatch joins what replies and reports say of searchers that drain; it is not safe for concurrent use.
type drainWatch struct {
	since map[string]carobthread.Instant // the last sign of draining
}

func newDrainWatch() *drainWatch { return &drainWatch{since: map[string]carobthread.Instant{}} }

// observe takes one sign and reports whether the searcher's state changed and to which.
func (watch *drainWatch) observe(now carobthread.Instant, searcher string, draining bool) (changed, leaving bool) {
	last, known := watch.since[searcher]
	if draining {
		watch.since[searcher] = now
		return !known, true
	}
	if known && now.Sub(last) >= carobthread.DrainHold {
		delete(watch.since, searcher)
		return true, false
	}
	return false, known
}
