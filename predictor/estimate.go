package predictor

import (
	"math"
	"slices"
	"time"

	"carobthread"
)

const (
	// estimateSamples is the number of samples that a median covers.
	estimateSamples = 9
	// sampleSpacing is the least time between two samples. The replies that a pause has delayed arrive together and count once.
	sampleSpacing = 100 * time.Millisecond
	// SampleAge is how long a sample is valid.
	SampleAge = 10 * time.Second
	// minSamples is the number of samples below which an estimate is unknown: one of two may be from a pause.
	minSamples = 3
	// shiftSpreads and shiftRatio are the number of spreads and the part of the median by which two samples in a row must differ
	// from it to show that the value has changed.
	shiftSpreads = 4
	shiftRatio   = 0.5
)

// Estimate is a moving median with its spread and age; the zero value is unknown.
//
// A median ignores single samples however large they are. Two outliers in a row on the same side count as a change, since a
// host that sees a searcher once in two seconds would otherwise take ten seconds to notice one.
type Estimate struct {
	values [estimateSamples]float64
	times  [estimateSamples]carobthread.Instant
	count  int // of all samples recorded
	valid  int // of the samples that the median covers
	value  float64
	spread float64
}

// Record adds a sample, unless the last one is too recent.
func (estimate *Estimate) Record(now carobthread.Instant, value float64) {
	if estimate.count > 0 && now.Sub(estimate.lastAt()) < sampleSpacing {
		return
	}
	estimate.values[estimate.count%estimateSamples] = value
	estimate.times[estimate.count%estimateSamples] = now
	estimate.count++
	estimate.update(now)
}

// lastAt returns the time of the newest sample.
func (estimate *Estimate) lastAt() carobthread.Instant {
	return estimate.times[(estimate.count-1)%estimateSamples]
}

func (estimate *Estimate) update(now carobthread.Instant) {
	var buffer [estimateSamples]float64
	recent := buffer[:0]
	for i := range min(estimate.count, estimateSamples) {
		if now.Sub(estimate.times[i]) <= SampleAge {
			recent = append(recent, estimate.values[i])
		}
	}
	estimate.valid = len(recent)
	if estimate.valid < minSamples {
		return
	}
	estimate.value = median(recent)
	for i := range recent {
		recent[i] = math.Abs(recent[i] - estimate.value)
	}
	estimate.spread = median(recent)
	last := estimate.values[(estimate.count-1)%estimateSamples]
	previous := estimate.values[(estimate.count-2)%estimateSamples]
	tolerance := max(shiftSpreads*estimate.spread, shiftRatio*estimate.value)
	switch {
	case min(last, previous) > estimate.value+tolerance:
		estimate.value = min(last, previous)
	case max(last, previous) < estimate.value-tolerance:
		estimate.value = max(last, previous)
	}
}

// median sorts the values and returns the middle one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// At returns the estimate; known is false if it has too few samples or none since the given time.
func (estimate *Estimate) At(now, since carobthread.Instant) (value float64, known bool) {
	if estimate.valid < minSamples || estimate.lastAt() < since || now.Sub(estimate.lastAt()) > SampleAge {
		return 0, false
	}
	return estimate.value, true
}

// Age returns the time since the newest sample, or 0 without one.
func (estimate *Estimate) Age(now carobthread.Instant) time.Duration {
	if estimate.count == 0 {
		return 0
	}
	return now.Sub(estimate.lastAt())
}

// floorPeriod is the time after which the least value of a Floor begins anew.
const floorPeriod = 5 * time.Second

// Floor is the least value of the last one to two periods; the zero value is unknown.
type Floor struct {
	current   float64
	previous  float64
	rotatedAt carobthread.Instant
}

// Record adds a positive sample.
func (floor *Floor) Record(now carobthread.Instant, value float64) {
	if now.Sub(floor.rotatedAt) >= floorPeriod {
		floor.previous, floor.current, floor.rotatedAt = floor.current, 0, now
	}
	if floor.current == 0 || value < floor.current {
		floor.current = value
	}
}

// Value returns the least value, or 0 without one.
func (floor *Floor) Value() float64 {
	if floor.previous == 0 || floor.current == 0 {
		return max(floor.previous, floor.current)
	}
	return min(floor.previous, floor.current)
}
