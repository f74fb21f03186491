package logger

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/forwarder"
	"carobthread/server"
)

const (
	// requestsPerSecond bounds the requests of one kind of end that are logged whole in a second.
	requestsPerSecond = 5
	// sampleEvery is the share of unremarkable requests that are logged whole.
	sampleEvery = 256
	// lateShare is the part of a route's target after which an answer counts as late, since the way to the caller takes time too.
	lateShare = 0.9
)

// Requests logs how requests went: each one that failed, was refused, late or incomplete up to a rate, and a sample of the rest.
type Requests struct {
	logger  zerolog.Logger
	limiter *Limiter
	// answered counts the unremarkable requests.
	answered atomic.Uint64
}

// NewRequests returns a log of requests.
func NewRequests(logger zerolog.Logger) *Requests {
	return &Requests{logger: logger, limiter: NewLimiter(logger, requestsPerSecond)}
}

// End names the end of a request as logs and metrics count it.
func End(record *forwarder.Record) string {
	switch {
	case record.CallerGone:
		return "caller-gone"
	case record.RetryAfter > 0:
		return "refused"
	case record.Status >= 400:
		return "failed"
	case record.Target > 0 && float64(record.Took) > lateShare*float64(record.Target):
		return "late"
	case record.Answer != nil && record.Answer.Coverage.Answered < record.Answer.Coverage.Total:
		return "incomplete"
	}
	return "answered"
}

// Log writes the decisions of a request and its end, if the request is remarkable or in the sample.
func (requests *Requests) Log(now carobthread.Instant, record *forwarder.Record) {
	end := End(record)
	if end == "answered" && requests.answered.Add(1)%sampleEvery != 0 || !requests.limiter.Allow(now, end) {
		return
	}
	for i := range record.Steps {
		requests.step(record, &record.Steps[i])
	}
	line := requests.logger.Info().Str("event", "request-ended").Str("request", record.ID).Str("end", end).
		Str("route", record.Route).Str("service", record.Service).Uint64("version", record.Version).
		Int("status", record.Status).Str("reason", string(record.Reason)).
		Int64("took-us", record.Took.Microseconds()).Int64("time-left-us", record.TimeLeft.Microseconds()).
		Int64("target-us", record.Target.Microseconds())
	if record.RetryAfter > 0 {
		line = line.Int64("retry-after-us", record.RetryAfter.Microseconds())
	}
	if answer := record.Answer; answer != nil {
		line = line.Uint32("shards-answered", answer.Coverage.Answered).Uint32("shards-total", answer.Coverage.Total).
			Uint32("attempts", answer.Attempts).Bool("not-run", answer.NotRun).Interface("missing", answer.Coverage.Missing)
	}
	line.Msg("request ended")
}

func (requests *Requests) step(record *forwarder.Record, step *server.Step) {
	line := requests.logger.Info().Str("event", string(step.Decision)).Str("request", record.ID).
		Int64("after-us", step.At.Sub(record.Arrived).Microseconds()).
		Uint64("attempt", uint64(step.Attempt)).Uint32("shard", step.Shard).Str("searcher", step.Searcher)
	switch step.Decision {
	case server.AttemptSent:
		line = line.Str("kind", string(step.Kind)).Str("class", step.Inputs.Class).
			Int("in-flight", step.Inputs.InFlight).Int("limit", step.Inputs.Limit).
			Int64("estimate-us", step.Inputs.Estimate.Microseconds()).Int64("estimate-age-us", step.Inputs.EstimateAge.Microseconds())
	case server.AttemptEnded:
		line = line.Str("status", string(step.Status)).AnErr("error", step.Cause)
	case server.AttemptGivenUp:
	}
	line.Msg(step.Decision.Text())
}
