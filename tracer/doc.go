// Package tracer exports spans and carries their context between processes.
//
// Context travels in the W3C traceparent header towards callers and upstreams,
// and as a string in the messages between the system's own hosts.
package tracer
