package limiter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carobthread"
	"carobthread/limiter"
)

// Guards against a replica group that gets more extra attempts in some sliding window than the ratio of its requests plus
// the slack permits.
func TestSlidingBudgetLimitsExtrasInEveryWindow(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 13.0 // per host
		hosts  = 4
		window = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		start := carobthread.Instant(time.Hour)
		budget := limiter.NewSlidingBudget(start)
		budget.Configure(ratio, hosts*slack, hosts, window)
		now := start
		var requests, extras []carobthread.Instant
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				budget.CountRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "tries") {
				if budget.Take(now) {
					extras = append(extras, now)
				}
			}
		}
		for _, end := range extras {
			extraCount := countBetween(extras, end.Add(-window), end)
			// The limit is defined on the requests of this window or of the preceding one, whichever are more.
			requestCount := max(countBetween(requests, end.Add(-window), end), countBetween(requests, end.Add(-2*window), end.Add(-window)))
			if allowed := ratio*float64(requestCount) + slack; float64(extraCount) > allowed {
				t.Fatalf("%d extra attempts in the window that ends at %d, want at most %.1f", extraCount, end, allowed)
			}
			if end.Sub(start) < window && float64(extraCount) > ratio*float64(requestCount)+hosts*slack/3/16 {
				t.Fatalf("extra attempts %s after the start exceed the ratio plus a third of a sixteenth of the fleet's slack", end.Sub(start))
			}
		}
	})
}

// Guards against hosts that together use more than the slack in any window while coordinators share half of it, and against a
// host of a large fleet that can't send a single extra attempt.
func TestSlidingBudgetSplitsSlackAmongCoordinators(t *testing.T) {
	const (
		slack        = 210.0
		hosts        = 85
		coordinators = 8
		window       = 10 * time.Second
	)
	start := carobthread.Instant(time.Hour)
	sum := 0
	for host := range hosts {
		budget := limiter.NewSlidingBudget(start)
		budget.Configure(0, slack, hosts, window)
		budget.Split(coordinators, host < coordinators)
		assert.Assert(t, !budget.Permits(start.Add(window/2)))
		taken := 0
		for now := start.Add(window); budget.Take(now); now = now.Add(window / 100) {
			taken++
		}
		want := 1
		if host < coordinators {
			want += 13
		}
		assert.Equal(t, taken, want)
		sum += taken
	}
	assert.Assert(t, float64(sum) <= slack, "%d extra attempts", sum)
}

// Guards against a refund of an old attempt that takes a newer one out of the window, so that too many follow.
func TestSlidingBudgetRefundsAttemptsOwnSlot(t *testing.T) {
	const (
		slack  = 30.0
		window = 10 * time.Second
	)
	start := carobthread.Instant(time.Hour)
	budget := limiter.NewSlidingBudget(start)
	budget.Configure(0, slack, 1, window)
	takeAll := func(now carobthread.Instant) (taken int) {
		for budget.Take(now) {
			taken++
		}
		return taken
	}
	early := start.Add(2 * window)
	late := early.Add(window / 2)
	assert.Assert(t, budget.Take(early))
	limit := 1 + takeAll(late)
	budget.Refund(early)
	assert.Equal(t, takeAll(late), 1, "the refunded attempt may be sent by another")
	assert.Equal(t, takeAll(early.Add(window+window/4)), 0, "all attempts of the window were sent within it")
	assert.Equal(t, takeAll(late.Add(window+window/4)), limit)
}

func countBetween(times []carobthread.Instant, from, to carobthread.Instant) int {
	count := 0
	for _, at := range times {
		if at > from && at <= to {
			count++
		}
	}
	return count
}
