// Package stopper decides what happens to requests while their host stops gracefully.
//
// A host that stops can answer only until the platform ends its process. So
// every request is answered by a fixed time before that: one that arrives
// during the stop is accepted only if it is likely to be answered by then, and
// refused at once as not run otherwise, since another host can still serve it.
// The package performs no I/O and reads no clock; the cores of queries and of
// at-most-once executions share its decisions.
package stopper
