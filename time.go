package carobthread

import "time"

// Instant is a point in time in nanoseconds since the Unix epoch, taken from the wall clock at the start of the process and
// monotonic from then on.
type Instant int64

// At converts a time to an Instant.
func At(moment time.Time) Instant { return Instant(moment.UnixNano()) }

// FromMicros converts microseconds since the Unix epoch to an Instant.
func FromMicros(micros int64) Instant { return Instant(micros * int64(time.Microsecond)) }

// Add returns the instant shifted by the duration.
func (instant Instant) Add(duration time.Duration) Instant { return instant + Instant(duration) }

// Sub returns the duration from the earlier instant to this one.
func (instant Instant) Sub(earlier Instant) time.Duration { return time.Duration(instant - earlier) }

// Micros returns the instant in microseconds since the Unix epoch.
func (instant Instant) Micros() int64 { return int64(instant) / int64(time.Microsecond) }

// Time converts the instant to a time in UTC.
func (instant Instant) Time() time.Time { return time.Unix(0, int64(instant)).UTC() }

// Subscriber receives ticks of the timer service.
type Subscriber interface {
	// Tick is called with the current time; late is the delay of the tick after its due time.
	Tick(now Instant, late time.Duration)
}

// Timer is the only source of time: components read the current time from it and subscribe to its ticks.
type Timer interface {
	// Now returns the current time.
	Now() Instant
	// Subscribe ticks the subscriber once per period until the returned function is called.
	Subscribe(period time.Duration, subscriber Subscriber) (cancel func())
	// Alarm returns a one-shot alarm that ticks the subscriber once each time it is set.
	Alarm(subscriber Subscriber) Alarm
}

// SuspensionMeter is an optional ability of a Timer whose time stands still while the machine is suspended.
type SuspensionMeter interface {
	// Suspended returns for how long the machine has been suspended since the start of the process.
	Suspended() time.Duration
}

// Alarm is a subscription to single ticks, for components that need no ticks while nothing is due.
type Alarm interface {
	// Set requests a tick at the given instant and replaces any pending request.
	Set(at Instant)
	// Stop ends the subscription.
	Stop()
}

// SubscriberFunc adapts a function to Subscriber.
type SubscriberFunc func(now Instant, late time.Duration)

var _ Subscriber = SubscriberFunc(nil)

// Tick calls the function.
func (function SubscriberFunc) Tick(now Instant, late time.Duration) { function(now, late) }
