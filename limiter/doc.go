// Package limiter implements the admission, concurrency, retry and ejection limits that the decision cores share.
//
// Each limiter is a plain struct without a clock or lock: the core passes in
// the time and the struct reports whether work may start. Equal calls give
// equal results, so replaying a recorded trace gives the same decisions.
package limiter
