package carobthread

import "time"

// Instant is a point in time in nanoseconds, close to the Unix epoch's count at the start of the process and steady from then on.
type Instant int64

// At converts a time to an Instant.
func At(moment time.Time) Instant { return Instant(moment.UnixNano()) }

// FromMicros converts microseconds since the Unix epoch to an Instant.
func FromMicros(micros int64) Instant { return Instant(micros * int64(time.Microsecond)) }

// Add returns the instant moved by the duration.
func (at Instant) Add(span time.Duration) Instant { return at + Instant(span) }

// Sub returns the duration from the earlier instant to this one.
func (at Instant) Sub(earlier Instant) time.Duration { return time.Duration(at - earlier) }

// Micros returns the instant in microseconds since the Unix epoch.
func (at Instant) Micros() int64 { return int64(at) / int64(time.Microsecond) }

// Time converts the instant to a time in UTC.
func (at Instant) Time() time.Time { return time.Unix(0, int64(at)).UTC() }

// Subscriber receives ticks of the timer service.
type Subscriber interface {
	// Tick is called with the current time; late is how far the tick came after it was due.
	Tick(now Instant, late time.Duration)
}

// Timer is the only source of time: parts read the time and subscribe to ticks.
type Timer interface {
	// Now returns the current time.
	Now() Instant
	// Subscribe calls the subscriber once each period until the returned function is called.
	Subscribe(period time.Duration, subscriber Subscriber) (cancel func())
	// Alarm returns an alarm that ticks the subscriber once for each time it is set.
	Alarm(subscriber Subscriber) Alarm
}

// Alarm is a subscription to single ticks, for parts that need none while nothing is due.
type Alarm interface {
	// Set asks for a tick at the given instant in place of the one asked for before.
	Set(at Instant)
	// Stop ends the subscription.
	Stop()
}

// SubscriberFunc adapts a function to Subscriber.
type SubscriberFunc func(now Instant, late time.Duration)

var _ Subscriber = SubscriberFunc(nil)

// Tick calls the function.
func (call SubscriberFunc) Tick(now Instant, late time.Duration) { call(now, late) }
