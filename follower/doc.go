// Package follower keeps the routing table and the searchers' entries as the platform's store and the other hosts tell them.
//
// Follower is a state machine without clock or I/O. These always hold:
//
//   - the version of the routing table never falls;
//   - an item or tombstone replaces only one with a lower revision;
//   - while the store is away, entries stand; a removal that it reports after an
//     outage takes effect only after returnHold, since the searchers first have
//     to be able to write again;
//   - an item that cannot be decoded names no searcher and removes none but its own.
package follower
