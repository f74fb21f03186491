// Package tracer exports spans and propagates trace context between processes.
//
// The trace context is sent in the W3C traceparent header between callers, hosts and upstreams,
// and as a string in the messages between hosts.
package tracer
