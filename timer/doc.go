// Package timer is the timer service: the only place that reads a clock.
//
// Parts read the time from a carobthread.Timer and subscribe to its ticks.
// Real follows the system clock; Manual moves only when a test advances it.
package timer
