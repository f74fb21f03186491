package limiter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"carobthread"
	"carobthread/limiter"
)

// Guards against a replica group that gets more extra attempts in some sliding span than the ratio of its requests and the slack allow.
func TestWindowHoldsInEverySpan(t *testing.T) {
	const (
		ratio = 0.2
		slack = 13.0 // of each host
		hosts = 4
		span  = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		start := carobthread.Instant(time.Hour)
		window := limiter.NewWindow(start)
		window.Configure(ratio, hosts*slack, hosts, span)
		now := start
		var requests, extras []carobthread.Instant
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				window.Request(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "tries") {
				if window.Take(now) {
					extras = append(extras, now)
				}
			}
		}
		for _, end := range extras {
			inSpan := within(extras, end.Add(-span), end)
			// The users count the requests of the span or of the one before it, whichever are more.
			counted := max(within(requests, end.Add(-span), end), within(requests, end.Add(-2*span), end.Add(-span)))
			if allowed := ratio*float64(counted) + slack; float64(inSpan) > allowed {
				t.Fatalf("%d extra attempts up to %d, allowed are %.1f", inSpan, end, allowed)
			}
			if end.Sub(start) < span && float64(inSpan) > ratio*float64(counted)+hosts*slack/3/16 {
				t.Fatalf("more than a third of a sixteenth of the fleet's slack was used %s after the start", end.Sub(start))
			}
		}
	})
}

func within(times []carobthread.Instant, from, to carobthread.Instant) int {
	count := 0
	for _, at := range times {
		if at > from && at <= to {
			count++
		}
	}
	return count
}
