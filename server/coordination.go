package server

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/accountant"
	"carobthread/timer"
)

const (
	// maxCoordinated bounds the queries that a host coordinates for others at the same time; with parts of 36 KB each, they hold
	// 9 MB.
	maxCoordinated = 256
	// maxCancelled bounds the remembered cancellations of queries that have not arrived yet.
	maxCancelled = 256
	// pauseCheckPeriod is the interval at which a coordinator checks that its process runs, and maxPause the time without a
	// check after which it counts as paused. A message is therefore at most maxPause older than its time left states.
	pauseCheckPeriod = 25 * time.Millisecond
	maxPause         = 150 * time.Millisecond
	// queueDrainTime is how long after a pause messages may be from before its end.
	queueDrainTime = 50 * time.Millisecond
	// drainPollInterval is the interval at which a stopping host checks whether all coordinated queries have ended.
	drainPollInterval = 10 * time.Millisecond
)

// CoordinationOptions are the dependencies of a Coordination.
type CoordinationOptions struct {
	Search   *Search
	Notifier carobthread.PeerNotifier
	Timer    carobthread.Timer
	Logger   zerolog.Logger
	// Accountant counts the bytes that are held for the queries; if nil, they are not counted.
	Accountant *accountant.Accountant
	// Accepts returns why this host takes no queries of other hosts now, or an empty reason if it does.
	Accepts func() carobthread.Reason
	// OnEnd is called after each query that this host has coordinated.
	OnEnd func(query *CoordinatedQuery)
}

// CoordinatedQuery describes a query of another host and its outcome, for logs.
type CoordinatedQuery struct {
	EntryHost  string
	ID         string
	Service    string
	Version    uint64
	Arrived    carobthread.Instant
	Took       time.Duration
	TimeLeft   time.Duration
	TargetLeft time.Duration
	Outcome    Outcome
	// CallerGone is set if the entry host cancelled the query or its link ended.
	CallerGone bool
}

// CoordinationStats are the counters of a host's work as a coordinator.
type CoordinationStats struct {
	Accepted  uint64                        `json:"accepted"`
	Granted   uint64                        `json:"granted"`
	Cancelled uint64                        `json:"cancelled"`
	Refused   map[carobthread.Reason]uint64 `json:"refused"`
	// Running is the number of queries in progress.
	Running int `json:"running"`
}

// Coordination runs the queries that other hosts delegate to this one.
type Coordination struct {
	options CoordinationOptions

	mutex   sync.Mutex
	running map[coordinatedKey]*coordinatedQuery
	// cancelled holds the cancellations that arrived before their queries, oldest first.
	cancelled []coordinatedKey
	// checkedAt is when the process was last seen to run; messages that arrive until drainedAt may be from before a pause.
	checkedAt carobthread.Instant
	drainedAt carobthread.Instant
	stats     CoordinationStats
	stopCheck func()
}

// coordinatedKey identifies a query by its entry host and the ID that this host gave it.
type coordinatedKey struct {
	host string
	id   uint64
}

// coordinatedQuery is a query of another host in progress.
type coordinatedQuery struct {
	cancel  context.CancelFunc
	granted chan struct{}
}

// NewCoordination returns a Coordination that watches for pauses of the process until Close is called.
func NewCoordination(options CoordinationOptions) *Coordination {
	coordination := &Coordination{
		options: options, running: map[coordinatedKey]*coordinatedQuery{}, checkedAt: options.Timer.Now(),
		stats: CoordinationStats{Refused: map[carobthread.Reason]uint64{}},
	}
	coordination.stopCheck = options.Timer.Subscribe(pauseCheckPeriod, coordination)
	return coordination
}

// Close ends the watch for pauses.
func (coordination *Coordination) Close() { coordination.stopCheck() }

// Tick notes that the process runs.
func (coordination *Coordination) Tick(carobthread.Instant, time.Duration) {
	coordination.mutex.Lock()
	defer coordination.mutex.Unlock()
	coordination.checkPauseLocked()
}

func (coordination *Coordination) checkPauseLocked() {
	now := coordination.options.Timer.Now()
	if now.Sub(coordination.checkedAt) >= maxPause {
		coordination.drainedAt = now.Add(queueDrainTime)
		coordination.options.Logger.Info().Str("event", "delegations-dropped").Int64("paused-us", now.Sub(coordination.checkedAt).Microseconds()).
			Msg("process was paused; queries that other hosts sent in the meantime are refused")
	}
	coordination.checkedAt = now
}

// Stats returns a copy of the counters.
func (coordination *Coordination) Stats() CoordinationStats {
	coordination.mutex.Lock()
	defer coordination.mutex.Unlock()
	stats := coordination.stats
	stats.Refused = make(map[carobthread.Reason]uint64, len(coordination.stats.Refused))
	for reason, count := range coordination.stats.Refused {
		stats.Refused[reason] = count
	}
	stats.Running = len(coordination.running)
	return stats
}

// Drain returns when no query of another host is in progress or the context ends.
func (coordination *Coordination) Drain(ctx context.Context) {
	for ctx.Err() == nil && coordination.Stats().Running > 0 {
		timer.Sleep(ctx, coordination.options.Timer, drainPollInterval)
	}
}

// Handle runs one query of another host.
func (coordination *Coordination) Handle(ctx context.Context, peer string, params json.RawMessage) (any, error) {
	var request delegateRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, coordination.refusal(carobthread.ReasonMalformed, err.Error())
	}
	if request.Definition == 0 || request.Service == "" || request.TimeLeftMicros <= 0 {
		return nil, coordination.refusal(carobthread.ReasonMalformed, "definition, service or time left is missing")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	key := coordinatedKey{peer, request.ID}
	row := &coordinatedQuery{cancel: cancel, granted: make(chan struct{})}
	if reason := coordination.register(key, row); reason != "" {
		return nil, coordination.refusal(reason, "")
	}
	defer coordination.unregister(key)
	return coordination.run(ctx, key, row, &request)
}

// register adds a query unless this host can't take it; it returns the reason in that case.
func (coordination *Coordination) register(key coordinatedKey, row *coordinatedQuery) carobthread.Reason {
	reason := coordination.options.Accepts()
	coordination.mutex.Lock()
	defer coordination.mutex.Unlock()
	coordination.checkPauseLocked()
	if index := slices.Index(coordination.cancelled, key); index >= 0 {
		coordination.cancelled = slices.Delete(coordination.cancelled, index, index+1)
		return carobthread.ReasonTimeout
	}
	switch {
	case reason != "":
		return reason
	case coordination.checkedAt < coordination.drainedAt:
		return carobthread.ReasonDeadlinePassed // the time left is unknown
	case len(coordination.running) >= maxCoordinated:
		return carobthread.ReasonOverload
	case !coordination.options.Accountant.Admit(true):
		return carobthread.ReasonMemory
	case coordination.running[key] != nil:
		return carobthread.ReasonMalformed
	}
	coordination.running[key] = row
	coordination.stats.Accepted++
	return ""
}

func (coordination *Coordination) unregister(key coordinatedKey) {
	coordination.mutex.Lock()
	defer coordination.mutex.Unlock()
	delete(coordination.running, key)
}

func (coordination *Coordination) refusal(reason carobthread.Reason, detail string) error {
	coordination.mutex.Lock()
	defer coordination.mutex.Unlock()
	coordination.stats.Refused[reason]++
	return &carobthread.RequestError{State: carobthread.NotRun, Reason: reason, Detail: detail}
}

func (coordination *Coordination) run(ctx context.Context, key coordinatedKey, row *coordinatedQuery, request *delegateRequest) (any, error) {
	arrived := coordination.options.Timer.Now()
	query := &CoordinatedQuery{
		EntryHost: key.host, ID: request.Request, Service: request.Service, Version: request.Version, Arrived: arrived,
		TimeLeft:   time.Duration(request.TimeLeftMicros) * time.Microsecond,
		TargetLeft: time.Duration(request.TargetLeftMicros) * time.Microsecond,
	}
	accepted := delegateMessage{ID: request.ID, HedgeMicros: coordination.options.Search.HedgeDelay(request.Service).Microseconds()}
	// Without the acceptance, the entry host handles the query itself and cancels this one.
	_ = coordination.options.Notifier.NotifyCaller(ctx, MethodDelegateAccepted, accepted)
	wantGrant := func() {
		_ = coordination.options.Notifier.NotifyCaller(ctx, MethodDelegateAccepted, delegateMessage{ID: request.ID, HedgeMicros: 1})
	}
	account := coordination.options.Accountant.Open()
	defer account.Close()
	outcome, err := coordination.options.Search.RunQuery(ctx, Query{
		Request: &carobthread.Request{
			ID: request.Request, Service: request.Service, Body: request.Body, Account: account,
			HTTP: &carobthread.HTTPRequest{Method: request.Method, Target: request.Target, Host: request.Host, Header: request.Header},
		},
		Deadline: arrived.Add(query.TimeLeft),
		Limits: carobthread.QueryLimits{
			SoftDeadline: arrived.Add(max(1, query.TargetLeft)), Definition: request.Definition, Withheld: true,
		},
		Granted: row.granted, WantGrant: wantGrant,
	})
	query.Outcome, query.Took, query.CallerGone = outcome, coordination.options.Timer.Now().Sub(arrived), err != nil
	if coordination.options.OnEnd != nil {
		coordination.options.OnEnd(query)
	}
	if err != nil {
		return nil, &carobthread.RequestError{State: carobthread.MayHaveRun, Reason: carobthread.ReasonTimeout, Detail: err.Error()}
	}
	return coordination.response(&outcome, request.TopK)
}

// response returns the message for an outcome. Refusals that concern this host and not the query are errors, after which the
// entry host may handle the query itself.
func (coordination *Coordination) response(outcome *Outcome, topK int) (any, error) {
	if refusal := outcome.Refusal; refusal != nil {
		switch refusal.Reason {
		case carobthread.ReasonOverload, carobthread.ReasonDeadlinePassed, carobthread.ReasonDeadlineTooShort:
			return &delegateResponse{Refusal: refusal}, nil
		default:
			return nil, coordination.refusal(refusal.Reason, "")
		}
	}
	answer := *outcome.Answer
	answer.Merge = nil
	response := &delegateResponse{Answer: &answer}
	if !answer.Failed {
		merged := MergeRecords(outcome.Replies, topK)
		response.Signatures, response.Body = merged.Signatures, merged.Body
	}
	return response, nil
}

// grant permits a query to use second searchers.
func (coordination *Coordination) grant(key coordinatedKey) {
	coordination.mutex.Lock()
	defer coordination.mutex.Unlock()
	row := coordination.running[key]
	if row == nil {
		return
	}
	select {
	case <-row.granted:
	default:
		close(row.granted)
		coordination.stats.Granted++
	}
}

// cancel ends a query; a cancellation that overtakes its query is remembered.
func (coordination *Coordination) cancel(key coordinatedKey) {
	coordination.mutex.Lock()
	defer coordination.mutex.Unlock()
	coordination.stats.Cancelled++
	if row := coordination.running[key]; row != nil {
		row.cancel()
		return
	}
	if len(coordination.cancelled) >= maxCancelled {
		coordination.cancelled = slices.Delete(coordination.cancelled, 0, 1)
	}
	coordination.cancelled = append(coordination.cancelled, key)
}
