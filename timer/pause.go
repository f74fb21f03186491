package timer

import (
	"context"
	"time"

	"carobthread"
)

// Pause waits for the span or the end of the context.
func Pause(ctx context.Context, service carobthread.Timer, span time.Duration) {
	if span <= 0 {
		return
	}
	passed := make(chan struct{})
	alarm := service.Alarm(carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) { close(passed) }))
	defer alarm.Stop()
	alarm.Set(service.Now().Add(span))
	select {
	case <-passed:
	case <-ctx.Done():
	}
}
