package timer

import (
	"sync"
	"time"

	"carobthread"
)

// Real is the timer service of a running process.
type Real struct{}

var _ carobthread.Timer = (*Real)(nil)

// New returns a timer service that follows the system clock.
func New() *Real { return &Real{} }

// Now returns the system time.
func (*Real) Now() carobthread.Instant { return carobthread.At(time.Now()) }

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
