// Package publisher publishes change tickets to the platform for operators.
//
// It writes the objects of a ticket first, then the buckets of the index and
// last the index's top value. Readers start from the top value and so never
// look for objects that do not exist yet.
// Each write is conditional on the revision that it replaces, so that two
// operators who publish concurrently cannot overwrite each other's changes; on
// a conflict, the ticket has to be submitted again. Submitting a partly
// published ticket again completes it.
package publisher
