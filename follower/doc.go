// Package follower maintains the routing table and the searchers' registrations as learned from the platform's store and
// from other hosts.
//
// Follower is a state machine without clock or I/O, with these invariants:
//
//   - the version of the routing table never decreases;
//   - an item or tombstone replaces only an item with a lower revision of the same
//     era, or one of an earlier era;
//   - registrations are kept while the store is unavailable; a removal that the
//     store reports after an outage takes effect only removalHold after the
//     store's recovery, since the searchers must first be able to write again;
//   - a request to evacuate a data centre is in force until its withdrawal is
//     known, also while the store is unavailable;
//   - an item that cannot be decoded adds no searcher and removes none but its own.
package follower
