package limiter

import "carobthread"

const (
	// increase is added for each success at the limit; a larger step makes hosts that share few slots shed more than one attempt in twenty.
	increase = 1.0 / 16
	// slowStartIncrease is added for each success of a cold upstream until it reaches its slots.
	slowStartIncrease = 1.0 / 8
)

// InFlight limits the requests in flight at one upstream by additive increase and multiplicative decrease.
//
// The limit is at least one and never above the slots. A shed attempt halves
// it, but only if the attempt was sent after the last decrease, since attempts
// sent together see the same overload.
type InFlight struct {
	slots     int
	running   int
	limit     float64
	cold      bool
	decreased carobthread.Instant
}

// NewInFlight returns a limit that starts at the number of slots.
func NewInFlight(slots int) InFlight {
	slots = max(1, slots)
	return InFlight{slots: slots, limit: float64(slots)}
}

// Resize changes the slots; running requests above them only finish.
func (limit *InFlight) Resize(slots int) {
	limit.slots = max(1, slots)
	limit.limit = min(limit.limit, float64(limit.slots))
}

// Restart begins slow start: one request at a time, raised with successes.
func (limit *InFlight) Restart() {
	limit.limit = 1
	limit.cold = true
}

// Limit returns how many requests may be in flight.
func (limit *InFlight) Limit() int { return int(limit.limit) }

// Slots returns the upper bound of the limit.
func (limit *InFlight) Slots() int { return limit.slots }

// Running returns how many requests are in flight.
func (limit *InFlight) Running() int { return limit.running }

// Free reports whether one more request may start.
func (limit *InFlight) Free() bool { return limit.running < int(limit.limit) }

// Start counts a request that is sent.
func (limit *InFlight) Start() { limit.running++ }

// Finish counts a request that has ended or was cancelled.
func (limit *InFlight) Finish() { limit.running-- }

// Succeed raises the limit if it was in use when the request succeeded; Finish follows it.
func (limit *InFlight) Succeed() {
	switch {
	case limit.cold:
		limit.limit += slowStartIncrease
	case limit.running >= int(limit.limit):
		limit.limit += increase
	}
	if limit.limit >= float64(limit.slots) {
		limit.limit = float64(limit.slots)
		limit.cold = false
	}
}

// Shed halves the limit for a request that was sent at the given time and shed by the upstream.
func (limit *InFlight) Shed(now, sent carobthread.Instant) {
	if sent < limit.decreased {
		return
	}
	limit.limit = max(1, limit.limit/2)
	limit.decreased = now
}
