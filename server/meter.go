package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"carobthread"
)

// Meter records metrics of callers' requests; latencies are histograms in seconds.
type Meter struct {
	scope   tally.Scope
	buckets tally.Buckets
}

// NewMeter returns a meter that reports to the scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{scope: scope, buckets: tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)}
}

// Answer records one answer with its coverage, attempts and latency.
func (meter *Meter) Answer(service string, answer *carobthread.AnswerQuery, latency time.Duration) {
	scope := meter.scope.Tagged(map[string]string{"service": service})
	scope.Counter("answers").Inc(1)
	scope.Counter("shards_answered").Inc(int64(answer.Coverage.Answered))
	scope.Counter("shards_total").Inc(int64(answer.Coverage.Total))
	scope.Counter("attempts").Inc(int64(answer.Attempts))
	if answer.Coverage.Answered < answer.Coverage.Total {
		scope.Counter("partial_answers").Inc(1)
	}
	scope.Histogram("latency_seconds", meter.buckets).RecordDuration(latency)
}

// Request records one request by its outcome and, if this host itself ended it, the reason.
func (meter *Meter) Request(outcome string, reason carobthread.Reason, latency time.Duration) {
	scope := meter.scope.Tagged(map[string]string{"end": outcome, "reason": string(reason)})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", meter.buckets).RecordDuration(latency)
}

// Refusal counts one refusal by reason.
func (meter *Meter) Refusal(service string, reason carobthread.Reason) {
	meter.scope.Tagged(map[string]string{"service": service, "reason": string(reason)}).Counter("refusals").Inc(1)
}

// Gauges reports each number in a struct as a gauge named by the prefix and its JSON name, with underscores for hyphens;
// names of nested values are joined.
func (meter *Meter) Gauges(prefix string, stats any) error {
	content, err := json.Marshal(stats)
	if err != nil {
		return fmt.Errorf("encode stats of %s: %w", prefix, err)
	}
	var fields map[string]any
	if err := json.Unmarshal(content, &fields); err != nil {
		return fmt.Errorf("decode stats of %s: %w", prefix, err)
	}
	meter.gauges(prefix, fields)
	return nil
}

func (meter *Meter) gauges(prefix string, fields map[string]any) {
	for key, value := range fields {
		name := prefix + "_" + strings.ReplaceAll(key, "-", "_")
		switch value := value.(type) {
		case float64:
			meter.scope.Gauge(name).Update(value)
		case map[string]any:
			meter.gauges(name, value)
		}
	}
}

// PeerTraffic reports the total messages and bytes of one kind of peer request in one direction since the start.
func (meter *Meter) PeerTraffic(kind, direction string, messages, bytes int64) {
	scope := meter.scope.Tagged(map[string]string{"kind": kind, "direction": direction})
	scope.Gauge("peer_messages").Update(float64(messages))
	scope.Gauge("peer_bytes").Update(float64(bytes))
}
