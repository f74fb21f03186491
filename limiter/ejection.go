package limiter

import (
	"time"

	"carobthread"
)

const (
	// ejectAfter is the number of bad outcomes in a row that ejects; one slow reply in a hundred then ejects a good upstream once in a million replies.
	ejectAfter = 3
	// forgiveAfter is the number of good outcomes in a row that resets the backoff.
	forgiveAfter = 16
	firstBackoff = time.Second
	maxBackoff   = 30 * time.Second
)

// Ejection takes an upstream out of the choice after bad outcomes in a row and re-admits it after a backoff that doubles.
type Ejection struct {
	bad     int
	good    int
	until   carobthread.Instant
	backoff time.Duration
	capped  bool
}

// Good counts a good outcome.
func (ejection *Ejection) Good() {
	ejection.bad = 0
	ejection.good++
	if ejection.good >= forgiveAfter {
		ejection.backoff = 0
	}
}

// Bad counts a bad outcome and reports whether the upstream is to be ejected.
func (ejection *Ejection) Bad() bool {
	ejection.good = 0
	ejection.bad++
	return ejection.bad >= ejectAfter
}

// Eject starts the next backoff; jitter in [0, 1) lengthens it by up to a quarter so that hosts do not probe together.
// With capped set, the upstream is only avoided while others have free slots.
func (ejection *Ejection) Eject(now carobthread.Instant, jitter float64, capped bool) {
	ejection.backoff = min(max(firstBackoff, 2*ejection.backoff), maxBackoff)
	ejection.until = now.Add(ejection.backoff + time.Duration(jitter*float64(ejection.backoff)/4))
	ejection.capped = capped
	ejection.bad = ejectAfter - 1
}

// Cap turns an ejection into mere avoidance.
func (ejection *Ejection) Cap() { ejection.capped = true }

// Forget drops the outcomes seen so far but keeps a running ejection.
func (ejection *Ejection) Forget() {
	ejection.bad = 0
	ejection.good = 0
}

// Ejected reports whether the upstream is out of the choice.
func (ejection *Ejection) Ejected(now carobthread.Instant) bool {
	return now < ejection.until && !ejection.capped
}

// Avoided reports whether the upstream would be ejected but for the cap.
func (ejection *Ejection) Avoided(now carobthread.Instant) bool {
	return now < ejection.until && ejection.capped
}

// Suspect reports whether the last outcome was bad.
func (ejection *Ejection) Suspect() bool { return ejection.bad > 0 }

// Until returns when the ejection ends.
func (ejection *Ejection) Until() carobthread.Instant { return ejection.until }

// MaxEjected returns how many of a shard's replicas may be ejected at once.
func MaxEjected(replicas int) int { return replicas / 2 }
