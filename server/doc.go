// Package server runs the state machines ("cores") of a host: it turns calls into events and performs the resulting actions.
//
// Search guards the query path's core with one mutex. A caller's goroutine
// steps the core with its query and waits; each attempt runs in a goroutine of
// its own and steps the core with its reply. Replies are stored with their query
// until the core selects the ones to merge, so a reply can only reach the query
// whose attempt it answers.
package server
