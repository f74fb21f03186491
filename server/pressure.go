package server

import (
	"time"

	"carobthread"
	"carobthread/gatherer"
)

// waitingHold is how long no attempt may wait for a slot before the end of the waiting is logged.
const waitingHold = time.Second

// waitingTracker follows whether attempts wait for slots, which is a state that operators may ask about.
type waitingTracker struct {
	// since is when the first attempt began to wait, or 0 while none waits; lastAt is when one last waited.
	since  carobthread.Instant
	lastAt carobthread.Instant
	most   int
}

// trackWaitingLocked logs that attempts have begun to wait for slots, or that none has waited for a while.
func (search *Search) trackWaitingLocked() {
	now, waiting, tracker := search.options.Timer.Now(), search.options.QueryCore.Waiting(), &search.waiting
	switch {
	case waiting > 0:
		tracker.lastAt, tracker.most = now, max(tracker.most, waiting)
		if tracker.since == 0 {
			tracker.since = now
			search.logWaiting(now, "waiting-began", 0, "attempts wait for slots")
		}
	case tracker.since != 0 && now.Sub(tracker.lastAt) >= waitingHold:
		search.logWaiting(now, "waiting-ended", tracker.lastAt.Sub(tracker.since), "no attempt waits for a slot")
		*tracker = waitingTracker{}
	}
}

func (search *Search) logWaiting(now carobthread.Instant, event string, lasted time.Duration, text string) {
	if !search.limiter.Allow(now, event) {
		return
	}
	stats := search.options.QueryCore.Stats()
	search.options.Logger.Info().Str("event", event).Interface("queues", search.options.QueryCore.Queues()).
		Int("most", search.waiting.most).Int64("lasted-us", lasted.Microseconds()).
		Uint64("turns", stats.QueueTurns).Uint64("shed", stats.QueueShed).Uint64("refused", stats.Refusals[carobthread.ReasonOverload]).Msg(text)
}

// Queues describes the attempts that wait for slots, by service.
func (search *Search) Queues() []gatherer.ServiceQueue {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return search.options.QueryCore.Queues()
}
