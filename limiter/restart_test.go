package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/limiter"
)

// Guards against hosts that spend what their requests earn once before they are killed and once more after their restart, so
// that a replica group gets more extra attempts in some window than the ratio of its requests plus the slack permits.
func TestSlidingBudgetLimitsExtrasOverRestarts(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 54.0
		hosts  = 4
		rate   = 45 // requests a second at each host
		window = 10 * time.Second
		step   = 100 * time.Millisecond
	)
	for restarting := 1; restarting <= hosts; restarting++ {
		for _, idle := range []time.Duration{window / 2, window, 2 * window} { // nothing is spent until then
			t.Run(fmt.Sprintf("%d hosts restart after %s", restarting, idle), func(t *testing.T) {
				start := carobthread.Instant(time.Hour)
				killed := start.Add(window + idle + time.Second)
				budgets := make([]limiter.SlidingBudget, hosts)
				for host := range budgets {
					budgets[host] = limiter.NewSlidingBudget(start)
					budgets[host].Configure(ratio, slack, hosts, window)
				}
				var requests, extras []carobthread.Instant
				for now := start; now < killed.Add(2*window); now = now.Add(step) {
					for host := range budgets {
						if host < restarting && now == killed {
							budgets[host] = limiter.NewSlidingBudget(now)
							budgets[host].Configure(ratio, slack, hosts, window)
							budgets[host].LimitAfterRestart(float64(restarting)/hosts, now.Add(window))
						}
						budget := &budgets[host]
						for range rate * int(step) / int(time.Second) {
							budget.CountRequest(now)
							requests = append(requests, now)
						}
						for now >= start.Add(window+idle) && budget.Take(now) {
							extras = append(extras, now)
						}
					}
				}
				for _, end := range extras {
					allowed := ratio*float64(countBetween(requests, end.Add(-window), end)) + slack
					extraCount := countBetween(extras, end.Add(-window), end)
					assert.Assert(t, float64(extraCount) <= allowed, "%d extra attempts in the window that ends %s after the kill, at most %.0f permitted", extraCount, end.Sub(killed), allowed)
				}
			})
		}
	}
}
