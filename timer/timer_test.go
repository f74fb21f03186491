package timer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/timer"
)

// Guards against ticks that are lost, doubled or out of order when time is advanced by several periods.
func TestManualDeliversEachTickInOrder(t *testing.T) {
	manual := timer.NewManual(0)
	var seen []carobthread.Instant
	cancel := manual.Subscribe(10*time.Millisecond, carobthread.SubscriberFunc(func(now carobthread.Instant, _ time.Duration) {
		seen = append(seen, now)
	}))
	manual.Advance(25 * time.Millisecond)
	cancel()
	manual.Advance(25 * time.Millisecond)
	assert.DeepEqual(t, seen, []carobthread.Instant{
		carobthread.Instant(10 * time.Millisecond),
		carobthread.Instant(20 * time.Millisecond),
	})
}

// Guards against a pause that looks like normal time: the late tick must state how late it is.
func TestManualPauseReportsLateness(t *testing.T) {
	manual := timer.NewManual(0)
	var late time.Duration
	manual.Subscribe(10*time.Millisecond, carobthread.SubscriberFunc(func(_ carobthread.Instant, by time.Duration) {
		late = by
	}))
	manual.Pause(time.Second)
	assert.Equal(t, late, 990*time.Millisecond)
}
