package limiter

import "carobthread"

const (
	// additiveIncrease is added to the limit for each success while the limit is fully used. With a larger step, hosts that
	// share few slots have more than one attempt in twenty shed.
	additiveIncrease = 1.0 / 16
	// slowStartIncrease is added for each success during slow start, until the limit reaches the slots.
	slowStartIncrease = 1.0 / 8
)

// InFlight limits the requests in flight at one upstream by additive increase and multiplicative decrease (AIMD).
//
// The limit is at least one and at most the upstream's slots. An attempt that
// the upstream sheds halves it, but only if the attempt was sent after the last
// decrease, since attempts sent together see the same overload.
type InFlight struct {
	slots       int
	running     int
	limit       float64
	slowStart   bool
	decreasedAt carobthread.Instant
}

// NewInFlight returns a limit that starts at the number of slots.
func NewInFlight(slots int) InFlight {
	slots = max(1, slots)
	return InFlight{slots: slots, limit: float64(slots)}
}

// Resize changes the slots; requests in flight above the new limit are left to finish.
func (limit *InFlight) Resize(slots int) {
	limit.slots = max(1, slots)
	limit.limit = min(limit.limit, float64(limit.slots))
}

// Restart begins slow start: the limit falls to one and rises with each success.
func (limit *InFlight) Restart() {
	limit.limit = 1
	limit.slowStart = true
}

// Limit returns how many requests may be in flight.
func (limit *InFlight) Limit() int { return int(limit.limit) }

// Slots returns the upper bound of the limit.
func (limit *InFlight) Slots() int { return limit.slots }

// Starting reports whether slow start is in progress.
func (limit *InFlight) Starting() bool { return limit.slowStart }

// Running returns how many requests are in flight.
func (limit *InFlight) Running() int { return limit.running }

// Free reports whether one more request may start.
func (limit *InFlight) Free() bool { return limit.running < int(limit.limit) }

// Start counts a request that was sent.
func (limit *InFlight) Start() { limit.running++ }

// Finish counts a request that ended or was cancelled.
func (limit *InFlight) Finish() { limit.running-- }

// Succeed raises the limit in slow start, or if it was fully used when the request succeeded; call it before Finish.
func (limit *InFlight) Succeed() {
	switch {
	case limit.slowStart:
		limit.limit += slowStartIncrease
	case limit.running >= int(limit.limit):
		limit.limit += additiveIncrease
	}
	if limit.limit >= float64(limit.slots) {
		limit.limit = float64(limit.slots)
		limit.slowStart = false
	}
}

// Shed halves the limit after the upstream shed a request that was sent at the given time.
func (limit *InFlight) Shed(now, sent carobthread.Instant) {
	if sent < limit.decreasedAt {
		return
	}
	limit.limit = max(1, limit.limit/2)
	limit.decreasedAt = now
}
