package server

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"carobthread"
	"carobthread/gatherer"
	"carobthread/logger"
	"carobthread/recoverer"
	"carobthread/rpc/carobthreadv1"
)

// SearchOptions are the dependencies of a Search.
type SearchOptions struct {
	Host    string
	Decider carobthread.Decider
	// QueryCore is the core itself, since Decider may be a recorder that wraps it.
	QueryCore QueryCore
	Timer     carobthread.Timer
	Upstream  carobthread.Upstream
	Tracer    trace.Tracer
	Meter     *Meter
	// OnDrain is called without locks held when a searcher starts to drain or is back in service; it may be nil.
	OnDrain func(searcher string, leaving bool)
	// Linger is how long an attempt whose reply is no longer needed may continue, so that its connection can be reused; 0
	// cancels it at once.
	Linger time.Duration
	// Logger receives the changes of what searchers ask of their callers; the zero value writes nothing.
	Logger zerolog.Logger
	// OnReport is called with each report of a searcher; it may be nil.
	OnReport func(report carobthread.ReportArrived)
}

// QueryCore is a core that exposes its counters and observations.
type QueryCore interface {
	// Stats returns the counters since the start.
	Stats() gatherer.Stats
	// Observations returns what other hosts need to know about this host's attempts since the last call.
	Observations() []carobthread.Observation
	// CutOffDataCentres returns the data centres that do not answer, if hosts elsewhere can serve callers better than this one.
	CutOffDataCentres() []string
}

// Search serves callers' queries; it owns the query path's core.
type Search struct {
	options   SearchOptions
	nextQuery atomic.Uint64
	ready     atomic.Bool

	mutex     sync.Mutex
	searchers map[string]carobthread.Searcher
	pending   map[carobthread.QueryID]*pendingQuery
	drains    *drainTracker
	// backpressure is the last backpressure of each searcher that has any.
	backpressure map[string]carobthread.Backpressure
	limiter      *logger.Limiter
	// departures holds the searchers that have said that they leave, with the time of that or of their last configuration.
	departures map[string]carobthread.Instant
	running    sync.WaitGroup

	scheduled carobthread.Scheduled
	alarm     carobthread.Alarm
}

// pendingQuery is a query whose caller waits; the mutex of Search guards its maps.
type pendingQuery struct {
	ctx           context.Context
	request       *carobthread.Request
	atMostOnce    bool
	cancels       map[carobthread.AttemptID]context.CancelFunc
	replies       map[carobthread.AttemptID]*carobthread.ShardReply
	attemptEvents []AttemptEvent
	// rejected is the last complete HTTP response of a searcher that counts as a failed attempt.
	rejected *carobthread.ShardReply
	done     chan Outcome
}

// Outcome is the result of a query: exactly one of Answer and Refusal is set.
type Outcome struct {
	Answer *carobthread.AnswerQuery
	// Replies are the replies that the answer merges, in the order of its attempts.
	Replies []*carobthread.ShardReply
	// Rejected is the last complete HTTP response of a searcher that counts as a failure, or nil.
	Rejected *carobthread.ShardReply
	Refusal  *carobthread.RefuseQuery
	// AttemptEvents are the decisions on attempts and their ends, in order.
	AttemptEvents []AttemptEvent
}

// Decision is a decision on an attempt, or its end, as named in logs.
type Decision string

// The decisions on attempts.
const (
	AttemptSent    Decision = "attempt-sent"
	AttemptEnded   Decision = "attempt-ended"
	AttemptGivenUp Decision = "attempt-given-up"
)

// Text returns the decision as words.
func (decision Decision) Text() string { return strings.ReplaceAll(string(decision), "-", " ") }

// AttemptEvent is one decision on an attempt with its inputs, or the end of an attempt with its status and error.
type AttemptEvent struct {
	At       carobthread.Instant
	Decision Decision
	Attempt  carobthread.AttemptID
	Shard    uint32
	Searcher string
	Kind     carobthread.AttemptKind
	Inputs   carobthread.ChoiceInputs
	Status   carobthread.ReplyStatus
	Cause    error
}

// Query is one request with its deadline and whether it must run at most once; a zero Deadline means the service's hard
// deadline.
type Query struct {
	Request    *carobthread.Request
	Deadline   carobthread.Instant
	AtMostOnce bool
}

// NewSearch returns a Search that refuses queries as not ready until Configure is called.
func NewSearch(options SearchOptions) *Search {
	return &Search{
		options:   options,
		searchers: map[string]carobthread.Searcher{},
		pending:   map[carobthread.QueryID]*pendingQuery{},
		drains:    newDrainTracker(),

		backpressure: map[string]carobthread.Backpressure{},
		departures:   map[string]carobthread.Instant{},
		limiter:      logger.NewLimiter(options.Logger, maxLogLinesPerSecond),
	}
}

// Configure applies a configuration to the queries that arrive from now on.
func (search *Search) Configure(config carobthread.Config) {
	search.configure(config)
	search.ready.Store(true)
}

func (search *Search) configure(config carobthread.Config) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	previous := search.searchers
	search.searchers = make(map[string]carobthread.Searcher, len(config.Searchers))
	config.Searchers = search.markDepartures(config.Searchers)
	for _, searcher := range config.Searchers {
		search.searchers[searcher.Name] = searcher
	}
	search.updateLeaving(previous)
	search.stepLocked(carobthread.Event{Config: &carobthread.ConfigChanged{Config: config}})
}

// updateLeaving tells the upstream which searchers are leaving or gone, so that no unwritten request is sent to them.
func (search *Search) updateLeaving(previous map[string]carobthread.Searcher) {
	handler, ok := search.options.Upstream.(DepartureHandler)
	if !ok {
		return
	}
	for name, searcher := range search.searchers {
		handler.SetLeaving(name, searcher.Leaving)
	}
	for name := range previous {
		if _, known := search.searchers[name]; !known {
			handler.SetLeaving(name, true)
		}
	}
}

// Schedule ticks the core whenever its next tick is due; without it, the process must tick the core periodically.
func (search *Search) Schedule(core carobthread.Scheduled) (cancel func()) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	search.scheduled = core
	search.alarm = search.options.Timer.Alarm(search)
	search.stepLocked(carobthread.Event{Tick: &carobthread.TickArrived{}})
	return search.alarm.Stop
}

// SetView passes a new view of the entry hosts to the core.
func (search *Search) SetView(view carobthread.View) {
	search.step(carobthread.Event{View: &carobthread.ViewChanged{View: view}})
}

// Tick passes time to the core.
func (search *Search) Tick(_ carobthread.Instant, late time.Duration) {
	search.step(carobthread.Event{Tick: &carobthread.TickArrived{LateMicros: late.Microseconds()}})
}

// Observations returns what other hosts need to know about this host's attempts since the last call.
func (search *Search) Observations() []carobthread.Observation {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return search.options.QueryCore.Observations()
}

// Observe passes other hosts' observations of searchers to the core.
func (search *Search) Observe(observations []carobthread.Observation) {
	search.step(carobthread.Event{Peers: &carobthread.ObservationsArrived{Observations: observations}})
}

// CutOffDataCentres returns the data centres that do not answer, if hosts elsewhere can serve callers better than this one.
func (search *Search) CutOffDataCentres() []string {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return search.options.QueryCore.CutOffDataCentres()
}

// MarkReachable tells the core that a host of the data centre has answered.
func (search *Search) MarkReachable(dataCentre string) {
	search.step(carobthread.Event{Reach: &carobthread.DataCentreReached{DataCentre: dataCentre}})
}

// Stop makes the core answer every query by the given time, and refuse those that are unlikely to be answered by then.
func (search *Search) Stop(answerBy carobthread.Instant) {
	search.step(carobthread.Event{Stop: &carobthread.StopBegun{AnswerBy: answerBy}})
}

// Search answers one query; a refusal is a connect error with state not-run.
func (search *Search) Search(ctx context.Context, request *connect.Request[carobthreadv1.SearchRequest]) (*connect.Response[carobthreadv1.SearchResponse], error) {
	started := search.options.Timer.Now()
	message := request.Msg
	ctx, span := search.options.Tracer.Start(ctx, "search", trace.WithAttributes(attribute.String("service", message.GetService())))
	defer span.End()
	if !search.ready.Load() {
		return nil, connectError(&carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonNotReady, Service: message.GetService()})
	}
	query := Query{Request: &carobthread.Request{Service: message.GetService(), Body: message.GetQuery(), Limit: message.GetLimit()}}
	if message.GetDeadlineUs() != 0 {
		// The deadline is a wall-clock time, from which this process's monotonic clock may have drifted since its start.
		query.Deadline = started.Add(time.Until(time.UnixMicro(message.GetDeadlineUs())))
	}
	outcome, err := search.RunQuery(ctx, query)
	if err != nil {
		err = connect.NewError(connect.CodeCanceled, err)
		span.SetStatus(codes.Error, err.Error())
		return nil, err
	}
	latency := search.options.Timer.Now().Sub(started)
	if outcome.Refusal != nil {
		search.options.Meter.Refusal(message.GetService(), outcome.Refusal.Reason)
		failure := &carobthread.RequestError{
			State:      carobthread.NotRun,
			Reason:     outcome.Refusal.Reason,
			Service:    message.GetService(),
			RetryAfter: time.Duration(outcome.Refusal.RetryAfterMicros) * time.Microsecond,
		}
		span.SetStatus(codes.Error, failure.Error())
		return nil, connectError(failure)
	}
	response := search.merge(message, outcome)
	response.LatencyUs = latency.Microseconds()
	search.options.Meter.Answer(message.GetService(), outcome.Answer, latency)
	span.SetAttributes(
		attribute.Int("shards-answered", int(outcome.Answer.Coverage.Answered)),
		attribute.Int("shards-total", int(outcome.Answer.Coverage.Total)),
		attribute.Int64("snapshot", int64(outcome.Answer.Snapshot)),
	)
	return connect.NewResponse(response), nil
}

// RunQuery steps the core with one request and waits for its outcome; the only possible error is that of the context.
func (search *Search) RunQuery(ctx context.Context, params Query) (Outcome, error) {
	id := carobthread.QueryID(search.nextQuery.Add(1))
	query := &pendingQuery{
		ctx:        ctx,
		request:    params.Request,
		atMostOnce: params.AtMostOnce,
		cancels:    map[carobthread.AttemptID]context.CancelFunc{},
		replies:    map[carobthread.AttemptID]*carobthread.ShardReply{},
		done:       make(chan Outcome, 1),
	}
	search.start(id, query, params.Deadline)
	select {
	case outcome := <-query.done:
		return outcome, nil
	case <-ctx.Done():
		search.abandon(id)
		return Outcome{AttemptEvents: query.attemptEvents}, ctx.Err()
	}
}

// start passes a new query to the core; a query in which the core panics isn't kept.
func (search *Search) start(id carobthread.QueryID, query *pendingQuery, deadline carobthread.Instant) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	search.pending[id] = query
	started := false
	defer func() {
		if !started {
			delete(search.pending, id)
		}
	}()
	search.stepLocked(carobthread.Event{Query: &carobthread.QueryArrived{
		Query: id, Service: query.request.Service, Deadline: deadline, Size: len(query.request.Body),
	}})
	started = true
}

func (search *Search) abandon(id carobthread.QueryID) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	query := search.pending[id]
	if query == nil {
		return
	}
	search.stepLocked(carobthread.Event{Gone: &carobthread.CallerGone{Query: id}})
	delete(search.pending, id)
	for _, cancel := range query.cancels {
		cancel()
	}
}

func (search *Search) step(event carobthread.Event) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	search.stepLocked(event)
}

// stepLocked sets the event's time, so that times never decrease, steps the core and performs the actions.
func (search *Search) stepLocked(event carobthread.Event) {
	event.At = search.options.Timer.Now()
	for _, action := range search.options.Decider.Step(event) {
		search.perform(action)
	}
	if search.alarm != nil {
		search.alarm.Set(search.scheduled.NextDue())
	}
}

func (search *Search) perform(action carobthread.Action) {
	switch {
	case action.Send != nil:
		search.send(action.Send)
	case action.Cancel != nil:
		search.cancel(action.Cancel)
	case action.Answer != nil:
		search.finish(action.Answer.Query, func(query *pendingQuery) Outcome {
			return Outcome{Answer: action.Answer, Replies: query.merged(action.Answer.Merge), Rejected: query.rejected, AttemptEvents: query.attemptEvents}
		})
	case action.Refuse != nil:
		search.finish(action.Refuse.Query, func(query *pendingQuery) Outcome {
			return Outcome{Refusal: action.Refuse, AttemptEvents: query.attemptEvents}
		})
	case action.Connect != nil:
		search.setConnections(action.Connect)
	}
}

func (query *pendingQuery) merged(attempts []carobthread.AttemptID) []*carobthread.ShardReply {
	replies := make([]*carobthread.ShardReply, 0, len(attempts))
	for _, attempt := range attempts {
		replies = append(replies, query.replies[attempt])
	}
	return replies
}

func (search *Search) finish(id carobthread.QueryID, outcome func(query *pendingQuery) Outcome) {
	query := search.pending[id]
	if query == nil {
		return
	}
	query.done <- outcome(query)
	search.release(id, query)
}

// release removes a query and gives up its remaining attempts.
func (search *Search) release(id carobthread.QueryID, query *pendingQuery) {
	delete(search.pending, id)
	for _, cancel := range query.cancels {
		search.giveUp(cancel, false)
	}
}

// giveUp cancels an attempt whose reply is no longer needed: after Linger if the attempt may finish, at once otherwise.
func (search *Search) giveUp(cancel context.CancelFunc, mayFinish bool) {
	if search.options.Linger == 0 || !mayFinish {
		cancel()
		return
	}
	alarm := search.options.Timer.Alarm(carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) { cancel() }))
	alarm.Set(search.options.Timer.Now().Add(search.options.Linger))
}

func (search *Search) cancel(action *carobthread.CancelAttempt) {
	query := search.pending[action.Query]
	if query == nil {
		return
	}
	query.attemptEvents = append(query.attemptEvents, AttemptEvent{At: search.options.Timer.Now(), Decision: AttemptGivenUp, Attempt: action.Attempt})
	if cancel := query.cancels[action.Attempt]; cancel != nil {
		search.giveUp(cancel, action.MayFinish)
		delete(query.cancels, action.Attempt)
	}
}

func (search *Search) setConnections(action *carobthread.SetConnections) {
	searcher, known := search.searchers[action.Searcher]
	if opener, ok := search.options.Upstream.(ConnectionOpener); ok && known {
		opener.SetConnections(searcher, action.Count)
	}
	if handler, ok := search.options.Upstream.(DepartureHandler); ok && !known && action.Count == 0 {
		handler.Forget(action.Searcher)
	}
}

// ConnectionOpener is an Upstream that can open connections in advance of requests.
type ConnectionOpener interface {
	// SetConnections sets the number of connections to keep open to the searcher.
	SetConnections(searcher carobthread.Searcher, count int)
}

// DepartureHandler is an Upstream that sends no requests to searchers that are leaving.
type DepartureHandler interface {
	// SetLeaving sets whether the searcher is leaving; if so, requests that have not been written fail as not run.
	SetLeaving(searcher string, leaving bool)
	// Forget releases the state of a searcher that is gone.
	Forget(searcher string)
}

// send starts one attempt, whose context ends at the attempt's deadline or when the attempt is cancelled.
func (search *Search) send(action *carobthread.SendAttempt) {
	query := search.pending[action.Query]
	searcher, known := search.searchers[action.Searcher]
	if query == nil || !known {
		search.running.Add(1)
		go func() {
			defer search.running.Done()
			search.reply(action, nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonNoReplica})
		}()
		return
	}
	ctx, cancel := context.WithTimeout(query.ctx, action.Deadline.Sub(search.options.Timer.Now()))
	query.cancels[action.Attempt] = cancel
	query.attemptEvents = append(query.attemptEvents, AttemptEvent{
		At: search.options.Timer.Now(), Decision: AttemptSent, Attempt: action.Attempt, Shard: action.Shard,
		Searcher: action.Searcher, Kind: action.Kind, Inputs: action.Inputs,
	})
	search.running.Add(1)
	go func() {
		defer search.running.Done()
		defer cancel()
		logger := &search.options.Logger
		if err := recoverer.Run(logger, "attempt", func() { search.attempt(ctx, query, searcher, action) }); err != nil {
			// The attempt may have run; its query ends or goes on without it.
			_ = recoverer.Run(logger, "attempt-end", func() { search.reply(action, nil, err) })
		}
	}()
}

func (search *Search) attempt(ctx context.Context, query *pendingQuery, searcher carobthread.Searcher, action *carobthread.SendAttempt) {
	ctx, span := search.options.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("searcher", searcher.Name),
		attribute.Int("shard", int(action.Shard)),
		attribute.String("kind", string(action.Kind)),
	))
	defer span.End()
	reply, err := search.options.Upstream.SearchShard(ctx, searcher, &carobthread.ShardRequest{
		Request:    query.request,
		Attempt:    action.Attempt,
		Service:    action.Service,
		Shard:      action.Shard,
		Snapshot:   action.Snapshot,
		Layout:     action.Layout,
		AtMostOnce: query.atMostOnce,
	})
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	search.reply(action, reply, err)
}

// reply passes the result of an attempt to the core; a reply that names another attempt or shard counts as failed.
func (search *Search) reply(action *carobthread.SendAttempt, reply *carobthread.ShardReply, err error) {
	event := &carobthread.ReplyArrived{
		Query:    action.Query,
		Attempt:  action.Attempt,
		Shard:    action.Shard,
		Searcher: action.Searcher,
		Status:   failedStatus(err),
	}
	matches := err == nil && reply.Attempt == action.Attempt && reply.Shard == action.Shard
	if matches {
		event.Snapshot = reply.Snapshot
		event.Layout = reply.Layout
		event.Status = reply.Status
		event.Draining = reply.Draining
		event.HeldSnapshots = reply.HeldSnapshots
		event.SnapshotAgeMicros = reply.SnapshotAgeMicros
		event.Backpressure = reply.Backpressure
	}
	search.applyReply(action, event, reply, matches, err)
	if event.Draining || event.Status == carobthread.ReplyDraining {
		search.recordDraining(action.Searcher, true)
	}
}

// applyReply stores a reply that matches its attempt and passes the end of the attempt to the core.
func (search *Search) applyReply(action *carobthread.SendAttempt, event *carobthread.ReplyArrived, reply *carobthread.ShardReply, matches bool, err error) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	if query := search.pending[action.Query]; query != nil {
		query.attemptEvents = append(query.attemptEvents, AttemptEvent{
			At: search.options.Timer.Now(), Decision: AttemptEnded, Attempt: action.Attempt, Shard: action.Shard,
			Searcher: action.Searcher, Status: event.Status, Cause: err,
		})
		if matches {
			query.storeReply(action.Attempt, reply)
		}
	}
	if matches && reply.Load != nil {
		search.stepLocked(carobthread.Event{Report: &carobthread.ReportArrived{
			Searcher: action.Searcher, Healthy: true, Draining: reply.Draining, Running: reply.Load.Running, Queued: reply.Load.Queued,
		}})
	}
	search.applyBackpressureLocked(action.Searcher, event.Backpressure)
	search.stepLocked(carobthread.Event{Reply: event})
	if query := search.pending[action.Query]; query != nil {
		delete(query.cancels, action.Attempt)
	}
}

// failedStatus returns the status of an attempt that ended without a reply.
func failedStatus(err error) carobthread.ReplyStatus {
	var failure *carobthread.RequestError
	if errors.As(err, &failure) && failure.State == carobthread.NotRun {
		return carobthread.ReplyNotSent
	}
	return carobthread.ReplyFailed
}

// storeReply stores a reply that the answer may need: one to merge, or a failed one with an HTTP response.
func (query *pendingQuery) storeReply(attempt carobthread.AttemptID, reply *carobthread.ShardReply) {
	switch {
	case reply.Status == carobthread.ReplyOK:
		query.replies[attempt] = reply
	case reply.Status == carobthread.ReplyFailed && reply.HTTP != nil:
		query.rejected = reply
	}
}

// Wait returns when no attempt is running or the context ends.
func (search *Search) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		search.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Join(errors.New("attempts were still running"), ctx.Err())
	}
}

// Pending returns the number of queries whose callers are waiting.
func (search *Search) Pending() int {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return len(search.pending)
}

// Stats returns the core's counters.
func (search *Search) Stats() gatherer.Stats {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return search.options.QueryCore.Stats()
}
