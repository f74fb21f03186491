package timer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/timer"
)

// Guards against ticks that are lost, duplicated or out of order when the time advances by several periods.
func TestManualDeliversEachTickInOrder(t *testing.T) {
	manual := timer.NewManual(0)
	var ticks []carobthread.Instant
	cancel := manual.Subscribe(10*time.Millisecond, carobthread.SubscriberFunc(func(now carobthread.Instant, _ time.Duration) {
		ticks = append(ticks, now)
	}))
	manual.Advance(25 * time.Millisecond)
	cancel()
	manual.Advance(25 * time.Millisecond)
	assert.DeepEqual(t, ticks, []carobthread.Instant{
		carobthread.Instant(10 * time.Millisecond),
		carobthread.Instant(20 * time.Millisecond),
	})
}

// Guards against a pause of the process that goes unnoticed: the late tick must report its delay.
func TestManualPauseReportsLateness(t *testing.T) {
	manual := timer.NewManual(0)
	var late time.Duration
	manual.Subscribe(10*time.Millisecond, carobthread.SubscriberFunc(func(_ carobthread.Instant, by time.Duration) {
		late = by
	}))
	manual.Pause(time.Second)
	assert.Equal(t, late, 990*time.Millisecond)
}

// Guards against an unexpected error in one tick that ends the process or the ticks that follow.
func TestPanicEndsOneTickAlone(t *testing.T) {
	clock := timer.New()
	ticks := make(chan struct{})
	count := 0
	defer clock.Subscribe(time.Millisecond, carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) {
		count++
		if count == 1 {
			panic("unexpected")
		}
		if count == 2 {
			close(ticks)
		}
	}))()
	<-ticks
	rung := make(chan struct{})
	alarm := clock.Alarm(carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) {
		defer close(rung)
		panic("unexpected")
	}))
	alarm.Set(clock.Now())
	<-rung
	alarm.Stop()
}
