// Package delegator decides which host gathers the answer to a caller's query.
//
// A host with little capacity hands queries over shards to a coordinator, a host with at least twice its capacity. The
// Delegator is a state machine without a network or a clock: it processes events, such as a new query or the acceptance by
// a coordinator, and returns actions, such as the message to send or the answer to give.
package delegator
