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

// throttle limits the rate of calls: once the burst is used up, it spaces calls
// by the interval, and after a failure it delays them until the backoff ends.
type throttle struct {
	timer    carobthread.Timer
	interval time.Duration
	burst    time.Duration

	mutex sync.Mutex
	// nextCall is the time at which the next call could start if no burst were allowed.
	nextCall carobthread.Instant
	// blockedUntil is the time before which no call may start after a failure.
	blockedUntil carobthread.Instant
	backoff      *backoff.ExponentialBackOff
	stats        Stats
}

func newThrottle(timer carobthread.Timer, rate float64, burst int) *throttle {
	interval := time.Duration(float64(time.Second) / rate)
	return &throttle{
		timer:    timer,
		interval: interval,
		burst:    time.Duration(burst-1) * interval,
		backoff: &backoff.ExponentialBackOff{
			InitialInterval:     initialBackoff,
			RandomizationFactor: backoff.DefaultRandomizationFactor,
			Multiplier:          2,
			MaxInterval:         maxBackoff,
		},
	}
}

// wait blocks until the next call may start or the context ends, whose error it then returns.
func (throttle *throttle) wait(ctx context.Context) error {
	for {
		delay := throttle.tryAcquire()
		if delay <= 0 {
			return ctx.Err()
		}
		if err := throttle.sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// tryAcquire permits a call and returns 0, or returns the delay before the next try.
func (throttle *throttle) tryAcquire() time.Duration {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	now := throttle.timer.Now()
	due := max(throttle.nextCall.Add(-throttle.burst), throttle.blockedUntil)
	if due > now {
		return due.Sub(now)
	}
	throttle.nextCall = max(throttle.nextCall, now).Add(throttle.interval)
	throttle.stats.Calls++
	return 0
}

func (throttle *throttle) succeeded() {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	throttle.backoff.Reset()
	throttle.blockedUntil = 0
}

// failed blocks calls for the backoff or for the service's Retry-After, whichever is longer.
func (throttle *throttle) failed(retryAfter time.Duration) {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	throttle.stats.Failures++
	until := throttle.timer.Now().Add(max(throttle.backoff.NextBackOff(), retryAfter))
	throttle.blockedUntil = max(throttle.blockedUntil, until)
}

func (throttle *throttle) snapshot() Stats {
	throttle.mutex.Lock()
	defer throttle.mutex.Unlock()
	return throttle.stats
}

func (throttle *throttle) sleep(ctx context.Context, delay time.Duration) error {
	elapsed := make(chan struct{})
	var once sync.Once
	cancel := throttle.timer.Subscribe(delay, carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) {
		once.Do(func() { close(elapsed) })
	}))
	defer cancel()
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
