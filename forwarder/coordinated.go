package forwarder

import (
	"net/http"
	"time"

	"carobthread/server"
)

// CoordinatedRecord returns the record of a query that this host has coordinated for another one, with the status that an
// answer of this host to a caller would have.
func CoordinatedRecord(query *server.CoordinatedQuery) *RequestRecord {
	record := &RequestRecord{
		ID: query.ID, Service: query.Service, Version: query.Version, Status: http.StatusOK, Arrived: query.Arrived, Took: query.Took,
		TimeLeft: query.TimeLeft, TargetLatency: query.TargetLeft, Answer: query.Outcome.Answer, Refusal: query.Outcome.Refusal,
		AttemptEvents: query.Outcome.AttemptEvents, EntryHost: query.EntryHost, CallerGone: query.CallerGone,
	}
	switch {
	case record.Refusal != nil:
		record.Status, record.Reason = http.StatusServiceUnavailable, record.Refusal.Reason
		record.RetryAfter = max(minRetryAfter, time.Duration(record.Refusal.RetryAfterMicros)*time.Microsecond)
	case record.Answer != nil && record.Answer.Failed:
		record.Status, record.Reason = http.StatusBadGateway, firstMissingReason(record.Answer)
	}
	return record
}
