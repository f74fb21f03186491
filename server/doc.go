// Package server is the process around the cores: it turns calls into events and actions into calls.
//
// Search holds the query path's core under one mutex. A caller's goroutine
// steps the core with its query and waits; each attempt runs in a goroutine of
// its own and steps the core with its reply. Replies are kept with their query
// until the core names the ones to merge, so a reply can only reach the query
// whose attempt it answers.
package server
