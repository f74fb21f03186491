package limiter

import (
	"slices"
	"time"

	"carobthread"
)

// Window limits the number of requests in any span of time by the times of the last ones; the zero value permits none. Unlike
// a token bucket, it permits no burst in addition to the limit.
type Window struct {
	limit int
	span  time.Duration
	// blockedUntil is the time before which no request is permitted.
	blockedUntil carobthread.Instant
	// sent holds the times of the requests in the last span, oldest first.
	sent []carobthread.Instant
}

// Configure sets the number of requests in any span; requests of the last span still count.
func (window *Window) Configure(limit int, span time.Duration) {
	window.limit, window.span = limit, span
}

// Block permits no request before the given time.
func (window *Window) Block(until carobthread.Instant) {
	window.blockedUntil = max(window.blockedUntil, until)
}

// Limit returns the number of requests that are permitted in any span.
func (window *Window) Limit() int { return window.limit }

// Allows reports whether one more request may be sent now.
func (window *Window) Allows(now carobthread.Instant) bool {
	window.expire(now)
	return now >= window.blockedUntil && len(window.sent) < window.limit
}

// Wait returns the time until one more request may be sent; a limit of 0 never permits one.
func (window *Window) Wait(now carobthread.Instant) time.Duration {
	switch {
	case window.limit <= 0:
		return maxRateWait
	case window.Allows(now):
		return 0
	}
	free := window.blockedUntil
	if excess := len(window.sent) - window.limit; excess >= 0 {
		free = max(free, window.sent[excess].Add(window.span))
	}
	return free.Sub(now)
}

// Take counts a request that is sent now.
func (window *Window) Take(now carobthread.Instant) { window.sent = append(window.sent, now) }

// expire forgets the requests that were sent at least a span ago.
func (window *Window) expire(now carobthread.Instant) {
	kept := slices.IndexFunc(window.sent, func(at carobthread.Instant) bool { return now.Sub(at) < window.span })
	if kept < 0 {
		kept = len(window.sent)
	}
	window.sent = slices.Delete(window.sent, 0, kept)
}
