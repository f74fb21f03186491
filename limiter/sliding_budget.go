package limiter

import (
	"time"

	"carobthread"
)

// windowSlots is the number of slots of a window; old counts expire one slot, a twentieth of the window, at a time.
const windowSlots = 20

// ratioMargin scales the ratio down, since the requests in a sliding window can differ from those counted in its slots.
const ratioMargin = 0.9

// startupSlackShare is the fraction of the slack that a process may use in its first window; later windows use the rest.
const startupSlackShare = 1.0 / 3

// minStartupHosts is the least number of hosts that a host assumes in its first window.
const minStartupHosts = 16

// SlidingBudget limits the extra attempts in any sliding window to a ratio of the requests in that window plus a slack.
//
// In the first window only a third of the slack is available, since an earlier run
// of this process may have used it just before it ended, and the slack is divided
// by at least minStartupHosts, since a host that has just started does not know
// the other hosts.
//
// After a restart of the process, the ratio's part is limited as well (see LimitAfterRestart).
type SlidingBudget struct {
	ratio float64
	slack float64
	// hosts is the number of hosts that share the slack.
	hosts int
	// coordinators is the number of hosts that share half of the slack among them, or 0 if all of it is shared by all hosts;
	// coordinates is set if this host is one of them.
	coordinators int
	coordinates  bool
	window       time.Duration
	startedAt    carobthread.Instant
	// restartedShare is the share of the hosts that have restarted in the last window; it counts until restartEnd.
	restartedShare float64
	restartEnd     carobthread.Instant
	// currentSlot is the number of the latest slot, counted from the epoch.
	currentSlot int64
	requests    [windowSlots + 1]int
	extras      [windowSlots + 1]int
}

// NewSlidingBudget returns an empty budget whose first window begins at the given time.
func NewSlidingBudget(now carobthread.Instant) SlidingBudget { return SlidingBudget{startedAt: now} }

// Configure sets the limits and the number of hosts that share the slack, and keeps the counts.
func (budget *SlidingBudget) Configure(ratio, slack float64, hosts int, window time.Duration) {
	budget.ratio = ratio
	budget.slack = slack
	budget.hosts = max(1, hosts)
	budget.window = window
}

// Split reserves half of the slack for the coordinators, the hosts that handle the requests of others, if there are any;
// coordinates is set if this host was one of them during the whole last window.
func (budget *SlidingBudget) Split(coordinators int, coordinates bool) {
	budget.coordinators, budget.coordinates = coordinators, coordinates
}

// LimitAfterRestart states the share of all hosts whose processes have started within a window, this host among them, and when
// this host's first window ends. Until then, the earlier runs of these processes may have used all that their requests earned
// in the same window. The hosts that have restarted therefore share what the margin of the ratio leaves.
func (budget *SlidingBudget) LimitAfterRestart(share float64, end carobthread.Instant) {
	budget.restartedShare, budget.restartEnd = share, end
}

// earned returns the extra attempts that a request earns.
func (budget *SlidingBudget) earned(now carobthread.Instant) float64 {
	if now >= budget.restartEnd || budget.restartedShare == 0 {
		return budget.ratio * ratioMargin
	}
	return budget.ratio * min(ratioMargin, (1-ratioMargin)/budget.restartedShare)
}

// Permits reports whether Take would succeed.
func (budget *SlidingBudget) Permits(now carobthread.Instant) bool {
	budget.advance(now)
	return budget.remaining(now) >= 1
}

// CountRequest counts one request of the group.
func (budget *SlidingBudget) CountRequest(now carobthread.Instant) {
	budget.advance(now)
	budget.requests[0]++
}

// Take counts one extra attempt and returns true, or returns false if the limit is reached.
func (budget *SlidingBudget) Take(now carobthread.Instant) bool {
	if !budget.Permits(now) {
		return false
	}
	budget.extras[0]++
	return true
}

// Refund uncounts an extra attempt that was taken at the given time and not sent. Only that attempt's own slot may be
// reduced: with another one, a count that leaves the window sooner would stand for an attempt that was sent later.
func (budget *SlidingBudget) Refund(takenAt carobthread.Instant) {
	slot := budget.currentSlot - budget.slot(takenAt)
	if slot >= 0 && slot <= windowSlots && budget.extras[slot] > 0 {
		budget.extras[slot]--
	}
}

// remaining returns how many more extra attempts the limit permits. It counts extra attempts over one slot more than
// requests, so that the slots at the ends of the window, which are only partly inside it, never raise the limit.
func (budget *SlidingBudget) remaining(now carobthread.Instant) float64 {
	requests, extras := 0, 0
	for slot := range budget.extras {
		extras += budget.extras[slot]
		if slot < windowSlots {
			requests += budget.requests[slot]
		}
	}
	return budget.earned(now)*float64(requests) + budget.slackShare(now) - float64(extras)
}

// slackShare returns the part of the slack that this host may use in a window that ends now.
//
// While coordinators have half of it, no part is kept for the first window: with tens of hosts, the third that would be
// available then is less than one attempt, and without the rest a host would not have one attempt in later windows either.
func (budget *SlidingBudget) slackShare(now carobthread.Instant) float64 {
	first := now.Sub(budget.startedAt) < budget.window
	switch {
	case budget.coordinators > 0 && first:
		return 0
	case budget.coordinators > 0:
		share := budget.slack / 2 / float64(budget.hosts)
		if budget.coordinates {
			share += budget.slack / 2 / float64(budget.coordinators)
		}
		return share
	case first:
		return budget.slack / float64(max(budget.hosts, minStartupHosts)) * startupSlackShare
	}
	return budget.slack / float64(budget.hosts) * (1 - startupSlackShare)
}

// slot returns the number of the slot that contains the time, counted from the epoch.
func (budget *SlidingBudget) slot(at carobthread.Instant) int64 {
	return int64(at) / int64(max(budget.window, windowSlots)/windowSlots)
}

// advance shifts the slots so that slot 0 contains the given time.
func (budget *SlidingBudget) advance(now carobthread.Instant) {
	slot := budget.slot(now)
	steps := slot - budget.currentSlot
	if steps <= 0 {
		return
	}
	budget.currentSlot = slot
	if steps > windowSlots {
		budget.requests = [windowSlots + 1]int{}
		budget.extras = [windowSlots + 1]int{}
		return
	}
	copy(budget.requests[steps:], budget.requests[:])
	copy(budget.extras[steps:], budget.extras[:])
	clear(budget.requests[:steps])
	clear(budget.extras[:steps])
}
