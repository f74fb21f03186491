package predictor_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/predictor"
)

const start = carobthread.Instant(time.Hour)

// Guards against a median that a single pause changes, also one whose delayed replies arrive together, against one that misses
// a lasting change, and against an old estimate that is used.
func TestEstimate(t *testing.T) {
	for name, current := range map[string]struct {
		values  []float64
		spacing time.Duration
		age     time.Duration
		want    float64
		known   bool
	}{
		"too few":        {[]float64{10, 10}, 2 * time.Second, 0, 0, false},
		"one pause":      {[]float64{10, 11, 130, 9}, 2 * time.Second, 0, 11, true},
		"burst":          {[]float64{10, 10, 10, 130, 130, 130, 130, 130}, 30 * time.Millisecond, 0, 0, false},
		"slower":         {[]float64{10, 11, 10, 110, 120}, 2 * time.Second, 0, 110, true},
		"fast again":     {[]float64{110, 120, 100, 110, 10, 11}, time.Second, 0, 11, true},
		"old":            {[]float64{10, 10, 10}, time.Second, predictor.SampleAge + time.Second, 0, false},
		"old samples":    {[]float64{50, 50, 10, 10, 10}, 4 * time.Second, 0, 10, true},
		"not yet so old": {[]float64{10, 10, 10}, time.Second, predictor.SampleAge - time.Second, 10, true},
	} {
		estimate, now := predictor.Estimate{}, start
		for i, value := range current.values {
			now = start.Add(time.Duration(i) * current.spacing)
			estimate.Record(now, value)
		}
		value, known := estimate.At(now.Add(current.age), start)
		assert.Check(t, known == current.known && value == current.want, "%s: %v, known %v", name, value, known)
		_, known = estimate.At(now, now.Add(1))
		assert.Check(t, !known, "%s is known although the process has been paused since", name)
	}
}

// Guards against attempts in flight that no longer count once they take longer than expected, against a report that counts for
// long, and against one whose figures are out of any range.
func TestLoad(t *testing.T) {
	load := predictor.Load{}
	load.Sent(start, 100)
	load.Sent(start, 100)
	own, others := load.Wait(start.Add(50), 2, 100)
	assert.Check(t, own == 50 && others == 0, "%v %v", own, others)
	own, _ = load.Wait(start.Add(time.Second), 2, 100)
	assert.Check(t, own == 100, "%v", own)
	load.Ended(start, 100)
	load.Reported(start, 3, 2, 250)
	_, others = load.Wait(start, 2, 100)
	assert.Check(t, others == 200, "%v", others)
	assert.Check(t, load.Slowness(start) == 2.5)
	later := start.Add(3 * time.Second)
	_, others = load.Wait(later, 2, 100)
	assert.Check(t, others < 1 && load.Slowness(later) < 1.01, "%v %v", others, load.Slowness(later))
	load.Reported(start, -5, -5, 1<<40)
	_, others = load.Wait(start, 2, 100)
	assert.Check(t, others == 0 && load.Slowness(start) <= 100, "%v %v", others, load.Slowness(start))
}

// Guards against reports that are believed although latencies do not follow them, and against ones that are not although they do.
func TestBelief(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, right := range []bool{true, false} {
		belief := predictor.NewBelief()
		for range 2000 {
			forecast := predictor.Forecast{Cost: 10, Unreported: 10, Slowness: 15 * float64(random.IntN(2))}
			latency := 10 + 4*random.NormFloat64()
			if right {
				latency += forecast.Slowness
			}
			belief.Record(&forecast, latency)
		}
		weight := belief.Slowness.Weight()
		assert.Check(t, right == (weight > 0.9) && right == (weight > 0.4), "reports are right: %v, weight %v", right, weight)
	}
}
