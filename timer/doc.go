// Package timer provides the timer service, the only package that reads a clock.
//
// Components read the time from a carobthread.Timer and subscribe to its ticks.
// Real follows the system clock; the time of Manual changes only when a test advances it.
package timer
