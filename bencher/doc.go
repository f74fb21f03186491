// Package bencher drives the core of the query path on virtual time and measures it against stated bounds.
//
// One run takes a scenario, faults, a policy and a seed. An event loop passes
// queries to the gatherers of all entry hosts, performs their actions against
// fakes of searchers, and passes the replies back. Nothing waits and nothing
// reads a clock, so the same seed always gives the same figures.
//
// A checker that knows nothing of the core's tables follows every action and
// counts broken invariants. It reads only events, actions and the fakes' state.
package bencher
