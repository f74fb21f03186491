package limiter

import (
	"time"

	"carobthread"
)

// windowSlots is the number of slots of a window; old counts expire one slot, a twentieth of the span, at a time.
const windowSlots = 20

// ratioMargin scales the ratio down, since the requests in a sliding window can differ from those counted in slots.
const ratioMargin = 0.9

// startupSlackShare is the fraction of the slack that a process may use in its first span; later spans use the rest.
const startupSlackShare = 1.0 / 3

// minStartupHosts is the least number of hosts that a host assumes in its first span.
const minStartupHosts = 16

// Window limits the extra attempts in any sliding span to a ratio of the requests in that span plus a slack.
//
// In the first span only a third of the slack is available, since an earlier run
// of this process may have used it just before it ended, and the slack is divided
// by at least minStartupHosts, since a host that has just started does not know
// the other hosts.
type Window struct {
	ratio float64
	slack float64
	// hosts is the number of hosts that share the slack.
	hosts     int
	span      time.Duration
	startedAt carobthread.Instant
	// currentSlot is the number of the latest slot, counted from the epoch.
	currentSlot int64
	requests    [windowSlots + 1]int
	extras      [windowSlots + 1]int
}

// NewWindow returns an empty window whose first span begins at the given time.
func NewWindow(now carobthread.Instant) Window { return Window{startedAt: now} }

// Configure sets the limits and the number of hosts that share the slack, and keeps the counts.
func (window *Window) Configure(ratio, slack float64, hosts int, span time.Duration) {
	window.ratio = ratio * ratioMargin
	window.slack = slack
	window.hosts = max(1, hosts)
	window.span = span
}

// Request counts one request of the group.
func (window *Window) Request(now carobthread.Instant) {
	window.advance(now)
	window.requests[0]++
}

// Take counts one extra attempt and returns true, or returns false if the limit is reached.
func (window *Window) Take(now carobthread.Instant) bool {
	window.advance(now)
	if window.remaining(now) < 1 {
		return false
	}
	window.extras[0]++
	return true
}

// Refund uncounts an extra attempt that was not sent.
func (window *Window) Refund() {
	for slot := range window.extras {
		if window.extras[slot] > 0 {
			window.extras[slot]--
			return
		}
	}
}

// remaining returns how many more extra attempts the limit permits.
func (window *Window) remaining(now carobthread.Instant) float64 {
	requests, extras := 0, 0
	for slot := range window.extras {
		extras += window.extras[slot]
		if slot < windowSlots {
			requests += window.requests[slot]
		}
	}
	permitted := window.ratio * float64(requests)
	if now.Sub(window.startedAt) >= window.span {
		permitted += window.slack / float64(window.hosts) * (1 - startupSlackShare)
	} else {
		permitted += window.slack / float64(max(window.hosts, minStartupHosts)) * startupSlackShare
	}
	return permitted - float64(extras)
}

// advance shifts the slots so that slot 0 contains the given time.
func (window *Window) advance(now carobthread.Instant) {
	length := int64(max(window.span, windowSlots) / windowSlots)
	slot := int64(now) / length
	steps := slot - window.currentSlot
	if steps <= 0 {
		return
	}
	window.currentSlot = slot
	if steps > windowSlots {
		window.requests = [windowSlots + 1]int{}
		window.extras = [windowSlots + 1]int{}
		return
	}
	copy(window.requests[steps:], window.requests[:])
	copy(window.extras[steps:], window.extras[:])
	clear(window.requests[:steps])
	clear(window.extras[:steps])
}
