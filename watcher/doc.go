// Package watcher is the client of the platform's configuration service.
//
// The service answers GET /v1/values/KEY with the content and its revision in
// the header Carobthread-Revision, and GET /v1/watch/KEY?revision=N once the
// revision differs, or with 304 when it has not changed for 30 s. It answers
// 404 for a key that does not exist, 429 with Retry-After above its rate limit
// and 503 while it is out of service.
//
// Each call is at most one request. All calls of a Watcher share a rate bound
// and, after failures, a backoff with jitter, so that no loop of a caller can
// exceed the service's limit or hold it down. A failed call is not repeated
// here: the caller learns at once that the platform does not answer.
package watcher
