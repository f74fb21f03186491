// Package carobthread defines the data types, interfaces and error types shared by the components of the query tier.
//
// A component is a deterministic state machine: it takes one Event with its time
// and returns the Actions that the process must perform. No component reads a
// clock, starts a goroutine or performs I/O, so that the same events always
// produce the same actions.
package carobthread
