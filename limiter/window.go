package limiter

import (
	"time"

	"carobthread"
)

// windowSlots divides a window, so that what leaves it is forgotten in steps of a twentieth.
const windowSlots = 20

// ratioMargin is the part of the ratio that is used, since the requests of a sliding window differ from those counted here.
const ratioMargin = 0.9

// firstShare is the part of the slack that a run may use in its first span; the rest is left to later ones.
const firstShare = 1.0 / 3

// leastHosts is the size that a fleet is taken for in a host's first span.
const leastHosts = 16

// Window bounds the extra attempts within any sliding span by a ratio of the requests in that span and a slack.
//
// In the first span only a third of the slack counts, since earlier runs of this
// process may have used it just before they ended, and it is divided by at least
// leastHosts, since a host that has just started does not know the others.
type Window struct {
	ratio float64
	slack float64
	// hosts is the number of hosts that the slack is divided by.
	hosts   int
	span    time.Duration
	started carobthread.Instant
	// current is the number of the latest slot since the epoch.
	current  int64
	requests [windowSlots + 1]int
	extras   [windowSlots + 1]int
}

// NewWindow returns an empty window that begins at the given time.
func NewWindow(now carobthread.Instant) Window { return Window{started: now} }

// Configure sets the bounds for a fleet of so many hosts; what has been counted stays.
func (window *Window) Configure(ratio, slack float64, hosts int, span time.Duration) {
	window.ratio = ratio * ratioMargin
	window.slack = slack
	window.hosts = max(1, hosts)
	window.span = span
}

// Request counts one request for the group.
func (window *Window) Request(now carobthread.Instant) {
	window.roll(now)
	window.requests[0]++
}

// Take counts one extra attempt if the bound permits it.
func (window *Window) Take(now carobthread.Instant) bool {
	window.roll(now)
	if window.left(now) < 1 {
		return false
	}
	window.extras[0]++
	return true
}

// Refund takes back an extra attempt that was not sent.
func (window *Window) Refund() {
	for slot := range window.extras {
		if window.extras[slot] > 0 {
			window.extras[slot]--
			return
		}
	}
}

func (window *Window) left(now carobthread.Instant) float64 {
	requests, extras := 0, 0
	for slot := range window.extras {
		extras += window.extras[slot]
		if slot < windowSlots {
			requests += window.requests[slot]
		}
	}
	permitted := window.ratio * float64(requests)
	if now.Sub(window.started) >= window.span {
		permitted += window.slack / float64(window.hosts) * (1 - firstShare)
	} else {
		permitted += window.slack / float64(max(window.hosts, leastHosts)) * firstShare
	}
	return permitted - float64(extras)
}

// roll moves the slots so that slot 0 holds the given time.
func (window *Window) roll(now carobthread.Instant) {
	length := int64(max(window.span, windowSlots) / windowSlots)
	slot := int64(now) / length
	steps := slot - window.current
	if steps <= 0 {
		return
	}
	window.current = slot
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
