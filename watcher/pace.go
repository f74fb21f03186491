package watcher

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"carobthread"
)

// Stats are the counts of a watcher's calls.
type Stats struct {
	Calls    uint64 `json:"calls"`
	Failures uint64 `json:"failures"`
}

// pace gives each call its time: calls are spaced by the rate once the burst
// is used up, and after a failure none starts before the backoff has passed.
type pace struct {
	timer    carobthread.Timer
	interval time.Duration
	burst    time.Duration

	mutex sync.Mutex
	// next is the time at which the next call may start if no burst were allowed.
	next carobthread.Instant
	// closed is the time before which no call may start after a failure.
	closed  carobthread.Instant
	backoff *backoff.ExponentialBackOff
	stats   Stats
}

func newPace(timer carobthread.Timer, rate float64, burst int) *pace {
	interval := time.Duration(float64(time.Second) / rate)
	return &pace{
		timer:    timer,
		interval: interval,
		burst:    time.Duration(burst-1) * interval,
		backoff: &backoff.ExponentialBackOff{
			InitialInterval:     firstBackoff,
			RandomizationFactor: backoff.DefaultRandomizationFactor,
			Multiplier:          2,
			MaxInterval:         greatestBackoff,
		},
	}
}

// wait blocks until the next call may start; the error is the context's.
func (pace *pace) wait(ctx context.Context) error {
	for {
		delay := pace.reserve()
		if delay <= 0 {
			return ctx.Err()
		}
		if err := pace.sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// reserve takes a turn and returns 0, or returns how long to wait before asking again.
func (pace *pace) reserve() time.Duration {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	now := pace.timer.Now()
	due := max(pace.next.Add(-pace.burst), pace.closed)
	if due > now {
		return due.Sub(now)
	}
	pace.next = max(pace.next, now).Add(pace.interval)
	pace.stats.Calls++
	return 0
}

func (pace *pace) succeeded() {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	pace.backoff.Reset()
	pace.closed = 0
}

// failed closes the pace for the backoff or, if it is longer, for the time that the service has asked for.
func (pace *pace) failed(retryAfter time.Duration) {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	pace.stats.Failures++
	until := pace.timer.Now().Add(max(pace.backoff.NextBackOff(), retryAfter))
	pace.closed = max(pace.closed, until)
}

func (pace *pace) counts() Stats {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	return pace.stats
}

func (pace *pace) sleep(ctx context.Context, delay time.Duration) error {
	passed := make(chan struct{})
	var once sync.Once
	cancel := pace.timer.Subscribe(delay, carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) {
		once.Do(func() { close(passed) })
	}))
	defer cancel()
	select {
	case <-passed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
