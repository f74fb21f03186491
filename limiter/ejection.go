package limiter

import (
	"time"

	"carobthread"
)

const (
	// ejectionThreshold is the number of consecutive bad outcomes that ejects an upstream. With 3, a good upstream with one
	// slow reply in a hundred is ejected once in a million replies.
	ejectionThreshold = 3
	// backoffResetThreshold is the number of consecutive good outcomes that resets the backoff.
	backoffResetThreshold = 16
	initialBackoff        = time.Second
	maxBackoff            = 30 * time.Second
)

// Ejection removes an upstream from selection after consecutive bad outcomes and re-admits it after an exponential backoff.
type Ejection struct {
	consecutiveBad  int
	consecutiveGood int
	until           carobthread.Instant
	backoff         time.Duration
	capped          bool
}

// RecordGood counts a good outcome.
func (ejection *Ejection) RecordGood() {
	ejection.consecutiveBad = 0
	ejection.consecutiveGood++
	if ejection.consecutiveGood >= backoffResetThreshold {
		ejection.backoff = 0
	}
}

// RecordBad counts a bad outcome and reports whether the upstream should be ejected.
func (ejection *Ejection) RecordBad() bool {
	ejection.consecutiveGood = 0
	ejection.consecutiveBad++
	return ejection.consecutiveBad >= ejectionThreshold
}

// Eject starts the next backoff; jitter in [0, 1) lengthens it by up to a quarter so that hosts do not probe at the same
// time. If capped is set, the upstream is not ejected but only avoided while others have free slots.
//
// After the backoff, a single bad outcome is enough to eject the upstream again.
func (ejection *Ejection) Eject(now carobthread.Instant, jitter float64, capped bool) {
	ejection.backoff = min(max(initialBackoff, 2*ejection.backoff), maxBackoff)
	ejection.until = now.Add(ejection.backoff + time.Duration(jitter*float64(ejection.backoff)/4))
	ejection.capped = capped
	ejection.consecutiveBad = ejectionThreshold - 1
}

// Cap downgrades an ejection to avoidance, since too many replicas of a shard are ejected.
func (ejection *Ejection) Cap() { ejection.capped = true }

// ResetCounts resets the outcome counts but keeps an ejection in progress.
func (ejection *Ejection) ResetCounts() {
	ejection.consecutiveBad = 0
	ejection.consecutiveGood = 0
}

// Ejected reports whether the upstream must not be selected.
func (ejection *Ejection) Ejected(now carobthread.Instant) bool {
	return now < ejection.until && !ejection.capped
}

// Avoided reports whether the upstream would be ejected if the cap on ejections permitted it.
func (ejection *Ejection) Avoided(now carobthread.Instant) bool {
	return now < ejection.until && ejection.capped
}

// Suspect reports whether the last outcome was bad.
func (ejection *Ejection) Suspect() bool { return ejection.consecutiveBad > 0 }

// Until returns when the ejection ends.
func (ejection *Ejection) Until() carobthread.Instant { return ejection.until }

// MaxEjected returns the cap on ejections: how many of a shard's replicas may be ejected at once.
func MaxEjected(replicas int) int { return replicas / 2 }
