// Package carobthread holds the data, interfaces and error structs that the parts of the query tier share.
//
// A part is a state machine: it takes one Event with its time and returns the
// Actions that the process has to perform. No part reads a clock, starts a
// goroutine or performs I/O, so the same events always give the same actions.
package carobthread
