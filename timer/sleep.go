package timer

import (
	"context"
	"time"

	"carobthread"
)

// Sleep blocks until the duration has elapsed or the context ends.
func Sleep(ctx context.Context, clock carobthread.Timer, duration time.Duration) {
	if duration <= 0 {
		return
	}
	elapsed := make(chan struct{})
	alarm := clock.Alarm(carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) { close(elapsed) }))
	defer alarm.Stop()
	alarm.Set(clock.Now().Add(duration))
	select {
	case <-elapsed:
	case <-ctx.Done():
	}
}
