// Package publisher publishes change tickets to the platform on the operators' side.
//
// The objects of a ticket are written first, then the buckets of the index,
// and its top value last, so that readers, which follow the top value, never
// look for objects that are not there.
// Each write states the revision that it replaces, so that two operators who
// publish at once cannot undo each other's work; the loser has to submit
// again. A ticket that failed half-way is completed by submitting it again.
package publisher
