package stopper

import (
	"slices"
	"time"

	"carobthread"
)

const (
	// answerFraction is the fraction of the stop limit in which requests in progress may still be answered with their results;
	// the rest is for writing the answers and for ending the process.
	answerFraction = 0.9
	// recentCount is the number of durations that a History keeps.
	recentCount = 64
	// minSamples is the number of durations below which a request may take as long as its deadline permits.
	minSamples = 8
	// idempotentQuantile is the quantile of the recent durations that must fit into the time left. An idempotent request that
	// is not answered in time can be repeated at another host.
	idempotentQuantile = 0.95
	// atMostOnceFactor is the multiple of the longest recent duration that must fit into the time left. An at-most-once request
	// that is not answered in time leaves its caller without a way to repeat it safely.
	atMostOnceFactor = 1.5
)

// AnswerBy returns the time by which a host that begins to stop must have answered every request.
func AnswerBy(began carobthread.Instant, limit time.Duration) carobthread.Instant {
	return began.Add(time.Duration(answerFraction * float64(limit)))
}

// Request is a request that arrives at a host.
type Request struct {
	Arrived  carobthread.Instant
	Deadline carobthread.Instant
	// AtMostOnce is set if the request must not be repeated after an answer was lost.
	AtMostOnce bool
}

// Stop is the state of a graceful stop; the zero value means that the host is not stopping.
type Stop struct {
	answerBy carobthread.Instant
}

// Begin starts the stop. A second call can only bring the end forward.
func (stop *Stop) Begin(answerBy carobthread.Instant) {
	if stop.answerBy == 0 || answerBy < stop.answerBy {
		stop.answerBy = answerBy
	}
}

// Deadline returns the deadline of a request in progress, which is never after the time by which all are answered.
func (stop *Stop) Deadline(deadline carobthread.Instant) carobthread.Instant {
	if stop.answerBy == 0 {
		return deadline
	}
	return min(deadline, stop.answerBy)
}

// Ended reports whether the requests in progress must be answered now.
func (stop *Stop) Ended(now carobthread.Instant) bool {
	return stop.answerBy != 0 && now >= stop.answerBy
}

// Admits reports whether a request is accepted. During a stop, it is accepted if its own deadline permits no later answer
// or if it is likely to be answered in time, given the service's history.
func (stop *Stop) Admits(request Request, history *History) bool {
	switch {
	case stop.answerBy == 0:
		return true
	case request.Arrived >= stop.answerBy:
		return false
	case request.Deadline <= stop.answerBy:
		return true
	}
	required, known := history.required(request.AtMostOnce)
	return known && request.Arrived.Add(required) <= stop.answerBy
}

// History holds how long the most recent requests of a service took until their answers.
type History struct {
	recent [recentCount]time.Duration
	count  int
}

// Record adds the duration of an answered request.
func (history *History) Record(took time.Duration) {
	history.recent[history.count%recentCount] = took
	history.count++
}

// required returns the time that a new request must have left; known is false while there are too few samples.
func (history *History) required(atMostOnce bool) (required time.Duration, known bool) {
	if history.count < minSamples {
		return 0, false
	}
	recent := slices.Sorted(slices.Values(history.recent[:min(history.count, recentCount)]))
	if atMostOnce {
		return time.Duration(atMostOnceFactor * float64(recent[len(recent)-1])), true
	}
	return recent[int(idempotentQuantile*float64(len(recent)-1))], true
}
