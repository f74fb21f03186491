// Package bencher runs the core of the query path in a discrete-event simulation and compares the results with bounds.
//
// A run consists of a scenario, faults, a policy and a seed. An event loop passes
// queries to the gatherers of all entry hosts, performs their actions on fake
// searchers, and passes the replies back. Time is virtual: nothing sleeps or
// reads a clock, so the same seed always gives the same results.
//
// An independent checker follows every action and counts violated invariants. It
// reads only events, actions and the state of the fakes, not the core's tables.
package bencher
