package forwarder

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/logger"
	"carobthread/server"
)

const (
	// maxRequestsPerSecond is the maximum number of requests with the same end that are logged per second.
	maxRequestsPerSecond = 5
	// sampleInterval is the sampling rate of successful requests: one in this many is logged.
	sampleInterval = 256
)

// Log logs the requests that failed, were refused, late or incomplete, or whose caller was gone, and a sample of the rest,
// each up to a rate limit.
type Log struct {
	output  zerolog.Logger
	limiter *logger.Limiter
	// answered counts the requests with the end "answered".
	answered atomic.Uint64
}

// NewLog returns a request log that writes to the output.
func NewLog(output zerolog.Logger) *Log {
	return &Log{output: output, limiter: logger.NewLimiter(output, maxRequestsPerSecond)}
}

// EndOf returns the name under which logs and metrics count the end of a request.
func EndOf(record *RequestRecord) string {
	switch {
	case record.CallerGone:
		return "caller-gone"
	case record.RetryAfter > 0:
		return "refused"
	case record.Status >= 400:
		return "failed"
	case record.TargetLatency > 0 && record.Took > record.TargetLatency:
		return "late"
	case record.Answer != nil && record.Answer.Coverage.Answered < record.Answer.Coverage.Total:
		return "incomplete"
	}
	return "answered"
}

// Write logs the attempt decisions and the end of a request, unless the request is left out by sampling or the rate limit.
func (log *Log) Write(now carobthread.Instant, record *RequestRecord) {
	end := EndOf(record)
	if end == "answered" && !log.sampled(record) || !log.limiter.Allow(now, end) {
		return
	}
	for i := range record.Delegations {
		log.writeDelegation(record, &record.Delegations[i])
	}
	for i := range record.AttemptEvents {
		log.writeAttemptEvent(record, &record.AttemptEvents[i])
	}
	line := log.output.Info().Str("event", "request-ended").Str("request", record.ID).Str("end", end).
		Str("route", record.Route).Str("service", record.Service).Uint64("version", record.Version).
		Int("status", record.Status).Str("reason", string(record.Reason)).
		Int64("took-us", record.Took.Microseconds()).Int64("time-left-us", record.TimeLeft.Microseconds()).
		Int64("target-us", record.TargetLatency.Microseconds()).Bool("once", record.AtMostOnce)
	if record.EntryHost != "" {
		line = line.Str("entry-host", record.EntryHost)
	}
	if record.RetryAfter > 0 {
		line = line.Int64("retry-after-us", record.RetryAfter.Microseconds())
	}
	if refusal := record.Refusal; refusal != nil {
		line = line.Int("waiting", refusal.Inputs.Waiting).Int("ahead", refusal.Inputs.Ahead).Int64("wait-estimate-us", refusal.Inputs.WaitEstimate.Microseconds()).
			Int("shards-reachable", refusal.Inputs.Reachable).Int("shards-required", refusal.Inputs.Required).
			Strs("cut-off", refusal.Inputs.CutOff)
	}
	if answer := record.Answer; answer != nil {
		line = line.Uint32("shards-answered", answer.Coverage.Answered).Uint32("shards-total", answer.Coverage.Total).
			Uint32("attempts", answer.Attempts).Bool("not-run", answer.NotRun).Interface("missing", answer.Coverage.Missing)
		if len(answer.Blocked) > 0 {
			line = line.Interface("blocked", answer.Blocked)
		}
	}
	line.Msg("request ended")
}

// sampled reports whether a successful request is logged. The choice for a request with an ID depends on that alone once it
// was delegated, so that both hosts log the same requests.
func (log *Log) sampled(record *RequestRecord) bool {
	if record.ID != "" && (record.EntryHost != "" || len(record.Delegations) > 0) {
		return xxhash.Sum64String(record.ID)%sampleInterval == 0
	}
	return log.answered.Add(1)%sampleInterval == 0
}

func (log *Log) writeDelegation(record *RequestRecord, event *server.DelegationEvent) {
	line := log.output.Info().Str("event", "delegated").Str("request", record.ID).
		Int64("after-us", event.At.Sub(record.Arrived).Microseconds()).
		Str("coordinator", event.Coordinator).Str("choice", string(event.Choice))
	for _, moment := range []struct {
		name string
		at   carobthread.Instant
	}{{"accepted-after-us", event.AcceptedAt}, {"granted-after-us", event.GrantedAt}, {"ended-after-us", event.EndedAt}} {
		if moment.at != 0 {
			line = line.Int64(moment.name, moment.at.Sub(record.Arrived).Microseconds())
		}
	}
	line.Str("end", event.End).Str("reason", string(event.Reason)).Msg("delegated")
}

func (log *Log) writeAttemptEvent(record *RequestRecord, event *server.AttemptEvent) {
	line := log.output.Info().Str("event", string(event.Decision)).Str("request", record.ID).
		Int64("after-us", event.At.Sub(record.Arrived).Microseconds()).
		Uint64("attempt", uint64(event.Attempt)).Uint32("shard", event.Shard).Str("searcher", event.Searcher)
	switch event.Decision {
	case server.AttemptSent:
		line = line.Str("kind", string(event.Kind)).Str("class", event.Inputs.Class).
			Int("in-flight", event.Inputs.InFlight).Int("limit", event.Inputs.Limit).
			Int64("estimate-us", event.Inputs.Estimate.Microseconds()).Int64("estimate-age-us", event.Inputs.EstimateAge.Microseconds())
		if event.Inputs.Waited > 0 {
			line = line.Int64("waited-us", event.Inputs.Waited.Microseconds())
		}
	case server.AttemptEnded:
		line = line.Str("status", string(event.Status)).Int("http-status", event.HTTPStatus).AnErr("error", event.Cause).
			Int64("connected-us", event.Timing.Connected.Microseconds()).Bool("new-connection", event.Timing.NewConnection).
			Int64("first-byte-us", event.Timing.FirstByte.Microseconds()).Int64("complete-us", event.Timing.Complete.Microseconds())
		if load := event.Load; load != nil {
			line = line.Int("running", load.Running).Int("queued", load.Queued).Int("slots", load.Slots).Int("slowness", load.Slowness)
		}
	case server.AttemptGivenUp:
	}
	line.Msg(event.Decision.Text())
}
