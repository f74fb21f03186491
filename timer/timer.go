package timer

import (
	"sync"
	"time"

	"carobthread"
)

// Real is the timer service of a running process; it follows the steady clock, so that jumps of the time of day change nothing.
type Real struct{ started time.Time }

var _ carobthread.Timer = (*Real)(nil)

// New returns a timer service that counts from the time of day at its start.
func New() *Real { return &Real{started: time.Now()} }

// Now returns the time of day at the start and the steady time since.
func (timer *Real) Now() carobthread.Instant {
	return carobthread.At(timer.started).Add(time.Since(timer.started))
}

// Subscribe ticks the subscriber from one goroutine once each period until cancel returns.
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
				subscriber.Tick(now, max(0, now.Sub(due)))
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

// Alarm returns an alarm that is not set; each tick runs on a goroutine of its own.
func (timer *Real) Alarm(subscriber carobthread.Subscriber) carobthread.Alarm {
	return &realAlarm{timer: timer, subscriber: subscriber}
}

// realAlarm arms one runtime timer for the earliest instant asked for.
type realAlarm struct {
	timer      *Real
	subscriber carobthread.Subscriber

	mutex   sync.Mutex
	due     carobthread.Instant
	armed   *time.Timer
	stopped bool
}

var _ carobthread.Alarm = (*realAlarm)(nil)

// Set arms the alarm; an instant that has passed ticks at once.
func (alarm *realAlarm) Set(at carobthread.Instant) {
	alarm.mutex.Lock()
	defer alarm.mutex.Unlock()
	if alarm.stopped || at == alarm.due {
		return
	}
	alarm.due = at
	wait := max(0, at.Sub(alarm.timer.Now()))
	if alarm.armed == nil {
		alarm.armed = time.AfterFunc(wait, alarm.ring)
		return
	}
	alarm.armed.Reset(wait)
}

func (alarm *realAlarm) ring() {
	alarm.mutex.Lock()
	due := alarm.due
	now := alarm.timer.Now()
	if alarm.stopped || due == 0 {
		alarm.mutex.Unlock()
		return
	}
	if now < due { // set again while this ring was under way
		alarm.armed.Reset(due.Sub(now))
		alarm.mutex.Unlock()
		return
	}
	alarm.due = 0
	alarm.mutex.Unlock()
	alarm.subscriber.Tick(now, now.Sub(due))
}

// Stop ends the subscription; a tick that is under way may still end after it.
func (alarm *realAlarm) Stop() {
	alarm.mutex.Lock()
	defer alarm.mutex.Unlock()
	alarm.stopped = true
	if alarm.armed != nil {
		alarm.armed.Stop()
	}
}

// Manual is a timer service for tests; time passes only in Advance.
type Manual struct {
	mutex         sync.Mutex
	now           carobthread.Instant
	subscriptions []*subscription
}

type subscription struct {
	period     time.Duration
	due        carobthread.Instant
	subscriber carobthread.Subscriber
	cancelled  bool
	once       bool
}

var _ carobthread.Timer = (*Manual)(nil)

// NewManual returns a timer service that starts at the given instant.
func NewManual(start carobthread.Instant) *Manual { return &Manual{now: start} }

// Now returns the instant that the last Advance reached.
func (timer *Manual) Now() carobthread.Instant {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	return timer.now
}

// Subscribe ticks the subscriber inside Advance, in order of due time and then of subscription.
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
	armed      *subscription
}

var _ carobthread.Alarm = (*manualAlarm)(nil)

// Set arms the alarm for one tick.
func (alarm *manualAlarm) Set(at carobthread.Instant) {
	alarm.timer.mutex.Lock()
	defer alarm.timer.mutex.Unlock()
	if alarm.armed != nil {
		alarm.armed.cancelled = true
	}
	entry := &subscription{due: max(at, alarm.timer.now), once: true}
	entry.subscriber = alarm.subscriber
	alarm.armed = entry
	alarm.timer.subscriptions = append(alarm.timer.subscriptions, entry)
}

// Stop ends the subscription.
func (alarm *manualAlarm) Stop() {
	alarm.timer.mutex.Lock()
	defer alarm.timer.mutex.Unlock()
	if alarm.armed != nil {
		alarm.armed.cancelled = true
	}
}

// Advance moves time by the span and delivers every tick that falls due.
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

// Pause moves time without ticks and then delivers one late tick to each subscriber that was due.
func (timer *Manual) Pause(span time.Duration) {
	timer.mutex.Lock()
	timer.now = timer.now.Add(span)
	now := timer.now
	late := []*subscription{}
	for _, entry := range timer.subscriptions {
		if !entry.cancelled && entry.due <= now {
			late = append(late, entry)
			entry.cancelled = entry.once
		}
	}
	timer.mutex.Unlock()
	for _, entry := range late {
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
