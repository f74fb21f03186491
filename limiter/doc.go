// Package limiter holds the limits that the decision cores share.
//
// Each limit is a plain struct without a clock or lock: the core passes the
// time in and the struct answers whether work may start. Equal calls give
// equal answers, so recorded traces replay to the same decisions.
package limiter
