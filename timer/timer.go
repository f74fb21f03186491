package timer

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/recoverer"
)

// Real is the timer service of a running process; it follows the monotonic clock, so that jumps of the wall clock have no
// effect.
type Real struct {
	started time.Time
	// suspendedBefore is for how long the machine had been suspended at the creation.
	suspendedBefore time.Duration
	logger          zerolog.Logger
}

var (
	_ carobthread.Timer           = (*Real)(nil)
	_ carobthread.SuspensionMeter = (*Real)(nil)
)

// New returns a timer service that counts from the wall clock time at its creation.
func New() *Real { return &Real{started: time.Now(), suspendedBefore: suspendedSinceBoot()} }

// SetLogger sets where panics of subscribers are logged; it must be called before the first subscription.
func (timer *Real) SetLogger(logger zerolog.Logger) { timer.logger = logger }

// tick passes a tick to the subscriber; a panic ends this tick alone.
func (timer *Real) tick(subscriber carobthread.Subscriber, now carobthread.Instant, late time.Duration) {
	_ = recoverer.Run(&timer.logger, "tick", func() { subscriber.Tick(now, late) }) // Run logs the panic
}

// Suspended returns for how long the machine has been suspended since the creation, which Now leaves out.
func (timer *Real) Suspended() time.Duration {
	return max(0, suspendedSinceBoot()-timer.suspendedBefore)
}

// Now returns the wall clock time at the creation plus the monotonic time since.
func (timer *Real) Now() carobthread.Instant {
	return carobthread.At(timer.started).Add(time.Since(timer.started))
}

// Subscribe ticks the subscriber from one goroutine once a period until cancel returns.
func (timer *Real) Subscribe(period time.Duration, subscriber carobthread.Subscriber) (cancel func()) {
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		due := timer.Now().Add(period)
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				now := timer.Now()
				timer.tick(subscriber, now, max(0, now.Sub(due)))
				due = now.Add(period)
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() { close(stop) })
		<-done
	}
}

// Alarm returns an alarm that is not set; each tick runs in its own goroutine.
func (timer *Real) Alarm(subscriber carobthread.Subscriber) carobthread.Alarm {
	return &realAlarm{timer: timer, subscriber: subscriber}
}

// realAlarm sets one runtime timer for the instant of the last call of Set.
type realAlarm struct {
	timer      *Real
	subscriber carobthread.Subscriber

	mutex   sync.Mutex
	due     carobthread.Instant
	pending *time.Timer
	stopped bool
}

var _ carobthread.Alarm = (*realAlarm)(nil)

// Set sets the alarm; an instant in the past ticks at once.
func (alarm *realAlarm) Set(at carobthread.Instant) {
	alarm.mutex.Lock()
	defer alarm.mutex.Unlock()
	if alarm.stopped || at == alarm.due {
		return
	}
	alarm.due = at
	wait := max(0, at.Sub(alarm.timer.Now()))
	if alarm.pending == nil {
		alarm.pending = time.AfterFunc(wait, alarm.fire)
		return
	}
	alarm.pending.Reset(wait)
}

func (alarm *realAlarm) fire() {
	alarm.mutex.Lock()
	due := alarm.due
	now := alarm.timer.Now()
	if alarm.stopped || due == 0 {
		alarm.mutex.Unlock()
		return
	}
	if now < due { // Set was called while the runtime timer fired
		alarm.pending.Reset(due.Sub(now))
		alarm.mutex.Unlock()
		return
	}
	alarm.due = 0
	alarm.mutex.Unlock()
	alarm.timer.tick(alarm.subscriber, now, now.Sub(due))
}

// Stop cancels the alarm; a tick in progress may still finish after it returns.
func (alarm *realAlarm) Stop() {
	alarm.mutex.Lock()
	defer alarm.mutex.Unlock()
	alarm.stopped = true
	if alarm.pending != nil {
		alarm.pending.Stop()
	}
}

// Manual is a timer service for tests; its time changes only in Advance and Pause.
type Manual struct {
	mutex         sync.Mutex
	now           carobthread.Instant
	suspended     time.Duration
	subscriptions []*subscription
}

type subscription struct {
	period     time.Duration
	due        carobthread.Instant
	subscriber carobthread.Subscriber
	cancelled  bool
	once       bool
}

var (
	_ carobthread.Timer           = (*Manual)(nil)
	_ carobthread.SuspensionMeter = (*Manual)(nil)
)

// NewManual returns a timer service that starts at the given instant.
func NewManual(start carobthread.Instant) *Manual { return &Manual{now: start} }

// Now returns the current instant, which the last Advance or Pause set.
func (timer *Manual) Now() carobthread.Instant {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	return timer.now
}

// Suspend suspends the machine for the span, which Now leaves out.
func (timer *Manual) Suspend(span time.Duration) {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	timer.suspended += span
}

// Suspended returns the sum of the spans of Suspend.
func (timer *Manual) Suspended() time.Duration {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	return timer.suspended
}

// Subscribe ticks the subscriber inside Advance, ordered by due time and then by subscription.
func (timer *Manual) Subscribe(period time.Duration, subscriber carobthread.Subscriber) (cancel func()) {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	entry := &subscription{period: period, due: timer.now.Add(period), subscriber: subscriber}
	timer.subscriptions = append(timer.subscriptions, entry)
	return func() {
		timer.mutex.Lock()
		defer timer.mutex.Unlock()
		entry.cancelled = true
	}
}

// Alarm returns an alarm that ticks inside Advance.
func (timer *Manual) Alarm(subscriber carobthread.Subscriber) carobthread.Alarm {
	return &manualAlarm{timer: timer, subscriber: subscriber}
}

type manualAlarm struct {
	timer      *Manual
	subscriber carobthread.Subscriber
	pending    *subscription
}

var _ carobthread.Alarm = (*manualAlarm)(nil)

// Set sets the alarm for one tick, which replaces an earlier setting.
func (alarm *manualAlarm) Set(at carobthread.Instant) {
	alarm.timer.mutex.Lock()
	defer alarm.timer.mutex.Unlock()
	if alarm.pending != nil {
		alarm.pending.cancelled = true
	}
	entry := &subscription{due: max(at, alarm.timer.now), once: true}
	entry.subscriber = alarm.subscriber
	alarm.pending = entry
	alarm.timer.subscriptions = append(alarm.timer.subscriptions, entry)
}

// Stop cancels the alarm.
func (alarm *manualAlarm) Stop() {
	alarm.timer.mutex.Lock()
	defer alarm.timer.mutex.Unlock()
	if alarm.pending != nil {
		alarm.pending.cancelled = true
	}
}

// Advance moves the time forward by the span and delivers every tick that falls due.
func (timer *Manual) Advance(span time.Duration) {
	timer.mutex.Lock()
	end := timer.now.Add(span)
	for {
		next := timer.nextDue(end)
		if next == nil {
			break
		}
		timer.now = next.due
		next.due = next.due.Add(next.period)
		next.cancelled = next.cancelled || next.once
		now := timer.now
		timer.mutex.Unlock()
		next.subscriber.Tick(now, 0)
		timer.mutex.Lock()
	}
	timer.now = end
	timer.mutex.Unlock()
}

// Pause moves the time forward without ticks and then delivers one late tick to each subscriber that was due, as after a
// pause of the process.
func (timer *Manual) Pause(span time.Duration) {
	timer.mutex.Lock()
	timer.now = timer.now.Add(span)
	now := timer.now
	overdue := []*subscription{}
	for _, entry := range timer.subscriptions {
		if !entry.cancelled && entry.due <= now {
			overdue = append(overdue, entry)
			entry.cancelled = entry.once
		}
	}
	timer.mutex.Unlock()
	for _, entry := range overdue {
		entry.subscriber.Tick(now, now.Sub(entry.due))
		entry.due = now.Add(entry.period)
	}
}

func (timer *Manual) nextDue(end carobthread.Instant) *subscription {
	var next *subscription
	for _, entry := range timer.subscriptions {
		if entry.cancelled || entry.due > end {
			continue
		}
		if next == nil || entry.due < next.due {
			next = entry
		}
	}
	return next
}
