// Package watcher is a client of the platform's configuration service.
//
// The service responds to GET /v1/values/KEY with the content and its revision
// in the header Carobthread-Revision, and to GET /v1/watch/KEY?revision=N once
// the revision differs, or with 304 if it has not changed for 30 s. It responds
// with 404 for a key that does not exist, 429 and Retry-After above its rate
// limit and 503 while it is out of service.
//
// Each call makes at most one request. All calls of a Watcher share a rate
// limit and, after failures, a backoff with jitter, so that a caller's loop
// cannot exceed the service's limit or keep it overloaded. Failed calls are not
// retried here: the caller learns at once that the platform does not respond.
package watcher
