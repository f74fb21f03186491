package predictor

import (
	"math"
	"time"

	"carobthread"
)

const (
	// slownessFade is the time constant with which a reported slowness returns to the usual one; noise on a machine changes many
	// times a second.
	slownessFade = 300 * time.Millisecond
	// minDrain bounds the time constant with which reported requests return to their usual number.
	minDrain = 20 * time.Millisecond
	// usualFade is the time constant with which the usual number of others' requests is forgotten after a report. On a host that
	// sees a searcher once in two seconds, a few reports tell nothing of the number at other times.
	usualFade = time.Second
	// usualSlowness is the figure that searchers report while work takes as long as usual, and maxSlowness the greatest that
	// counts.
	usualSlowness = 100
	maxSlowness   = 100 * usualSlowness
)

// Load is what a searcher still has to do, as far as this host knows: its own attempts in flight, and the requests of other
// hosts by the searcher's last report. Times are in nanoseconds.
type Load struct {
	own int
	// ownCost is the sum of the expected costs of the own attempts, ownSent that of the times since origin at which they were
	// sent.
	ownCost float64
	ownSent float64
	origin  carobthread.Instant

	reportedAt carobthread.Instant
	// others is the number of other hosts' requests at the last report, usual its moving median.
	others float64
	usual  Estimate
	queued int
	// slowness is the factor by which work took longer at the last report.
	slowness float64
}

// Sent counts an own attempt with its expected cost.
func (load *Load) Sent(now carobthread.Instant, cost float64) {
	if load.own == 0 {
		load.origin, load.ownCost, load.ownSent = now, 0, 0 // also ends the rounding errors of earlier sums
	}
	load.own++
	load.ownCost += cost
	load.ownSent += float64(now.Sub(load.origin))
}

// Ended counts the end of an own attempt that was sent at the given time with the given expected cost.
func (load *Load) Ended(sentAt carobthread.Instant, cost float64) {
	load.own--
	load.ownCost -= cost
	load.ownSent -= float64(sentAt.Sub(load.origin))
}

// Reported records a report; a slowness of 0 is not stated.
func (load *Load) Reported(now carobthread.Instant, running, queued, slowness int) {
	load.reportedAt = now
	load.queued = max(0, queued)
	load.others = float64(max(0, running+load.queued-load.own))
	load.usual.Record(now, load.others)
	load.slowness = 1
	if slowness > 0 {
		load.slowness = float64(min(slowness, maxSlowness)) / usualSlowness
	}
}

// Slowness returns by which factor work is expected to take longer than usual.
func (load *Load) Slowness(now carobthread.Instant) float64 {
	if load.reportedAt == 0 {
		return 1
	}
	return 1 + (load.slowness-1)*fade(now.Sub(load.reportedAt), slownessFade)
}

// Queued returns the number of requests that waited at a report of this instant, else 0.
func (load *Load) Queued(now carobthread.Instant) int {
	if load.reportedAt != now {
		return 0
	}
	return load.queued
}

// Wait returns the expected time in queue of a request sent now to a searcher with the given number of slots, at which a
// request usually costs the given time: the part behind this host's own attempts, and that behind the requests of others.
//
// Work counts also while slots are free. The number of others' requests is known only from the past, so that a searcher with
// one free slot is likely to have none when the request arrives.
func (load *Load) Wait(now carobthread.Instant, slots int, cost float64) (own, others float64) {
	return load.ownLeft(now) / float64(slots), load.othersAt(now, slots, cost) * cost / float64(slots)
}

// othersAt returns the expected number of other hosts' requests. The reported ones end with time and others arrive, so that the
// number returns to the usual one as fast as the searcher works, and then is forgotten.
func (load *Load) othersAt(now carobthread.Instant, slots int, cost float64) float64 {
	if load.reportedAt == 0 {
		return 0
	}
	usual, _ := load.usual.At(now, 0)
	drain := max(minDrain, time.Duration(load.others/float64(slots)*cost))
	age := now.Sub(load.reportedAt)
	return (usual + (load.others-usual)*fade(age, drain)) * fade(age, usualFade)
}

// ownLeft returns the remaining cost of the own attempts. If these have taken longer than expected in total, the searcher is
// paused or slow and they count in full.
func (load *Load) ownLeft(now carobthread.Instant) float64 {
	if load.own == 0 {
		return 0
	}
	elapsed := float64(load.own)*float64(now.Sub(load.origin)) - load.ownSent
	if elapsed > load.ownCost {
		return load.ownCost
	}
	return load.ownCost - elapsed
}

// fade returns the weight of knowledge of an age, from 1 to 0.
func fade(age, constant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(constant))
}
