// Package explorer runs seeded schedules of faults against the state machines of package executor and checks the
// invariants that hold for each key.
//
// A schedule simulates 2 to 4 hosts, 2 to 3 upstreams and some callers that
// retry through other hosts, in a single goroutine. Each step delivers, drops,
// duplicates or misroutes a message, or crashes, restarts, pauses or stops a
// host, or changes its clock, or advances the time. Messages are delivered in
// any order. At its end a schedule ends all faults and queries the outcome of
// every key, so that a false answer cannot go unnoticed.
//
// These rules are checked after each step:
//
//   - no key and no caller's request runs twice;
//   - a key that was reported as not run has not run and never runs later;
//   - no outcome belongs to another key;
//   - a settled outcome changes only from unknown to done.
//
// A schedule that violates a rule is written as a trace of JSON lines: the
// header, then its steps. Replaying the steps needs no random numbers.
package explorer
