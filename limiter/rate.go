package limiter

import (
	"time"

	"carobthread"
)

// maxRateWait bounds the stated wait at a limit of almost nothing.
const maxRateWait = time.Hour

// rateBurst is the time whose tokens a Rate may save up while they are not used.
const rateBurst = time.Second

// Rate limits the requests per second by a token bucket that is refilled by time; the zero value sets no limit.
type Rate struct {
	perSecond float64
	tokens    float64
	updatedAt carobthread.Instant
}

// Set limits the requests to a number per second from now on. A limit that replaces another one keeps its tokens; a new one
// starts without any, since its upstream has had too many requests.
func (rate *Rate) Set(now carobthread.Instant, perSecond float64) {
	rate.refill(now)
	rate.perSecond = perSecond
	rate.tokens = min(rate.tokens, rate.capacity())
}

// Clear removes the limit.
func (rate *Rate) Clear() { *rate = Rate{} }

// Limited reports whether there is a limit.
func (rate *Rate) Limited() bool { return rate.perSecond > 0 }

// PerSecond returns the limit, or 0 without one.
func (rate *Rate) PerSecond() float64 { return rate.perSecond }

// Allows reports whether one more request may be sent now.
func (rate *Rate) Allows(now carobthread.Instant) bool {
	rate.refill(now)
	return !rate.Limited() || rate.tokens >= 1
}

// Wait returns the time until one more request may be sent.
func (rate *Rate) Wait(now carobthread.Instant) time.Duration {
	if rate.Allows(now) {
		return 0
	}
	seconds := min((1-rate.tokens)/rate.perSecond, maxRateWait.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// Take counts a request that is sent now.
func (rate *Rate) Take(now carobthread.Instant) {
	if rate.Limited() {
		rate.refill(now)
		rate.tokens--
	}
}

// capacity is at least one token, without which no request could ever be sent.
func (rate *Rate) capacity() float64 { return max(1, rate.perSecond*rateBurst.Seconds()) }

func (rate *Rate) refill(now carobthread.Instant) {
	if elapsed := now.Sub(rate.updatedAt); rate.updatedAt != 0 && elapsed > 0 {
		rate.tokens = min(rate.capacity(), rate.tokens+elapsed.Seconds()*rate.perSecond)
	}
	rate.updatedAt = max(rate.updatedAt, now)
}
