// Package explorer runs seeded schedules over the cores of package executor and checks the rules of single keys.
//
// A schedule places 2 to 4 hosts, 2 to 3 upstreams and some callers that retry
// through other hosts into one world without goroutines. Each step delivers,
// drops, duplicates or misroutes a message, or crashes, restarts, pauses,
// stops or moves the clock of a host, or passes time. Messages are delivered
// in any order. A schedule ends with a phase that repairs the world and asks
// for every key, so that a false statement cannot stay hidden.
//
// The rules, checked after each step:
//
//   - no key and no caller's request runs twice;
//   - no key that was stated as not run has run or runs later;
//   - no outcome belongs to another key;
//   - a settled outcome changes only from unknown to done.
//
// A broken schedule is written as a trace of JSON lines: the header, then its
// steps. Replaying the steps needs no random numbers.
package explorer
