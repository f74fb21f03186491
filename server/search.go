package server

import (
	"context"
	"errors"
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
	// Explain returns where a query of the service would go now, or false if it can't be served; it changes no decision.
	Explain(now carobthread.Instant, service string) (carobthread.Placement, bool)
	// HedgeDelay returns the time after which an attempt of the service counts as late, or 0 if it is unknown.
	HedgeDelay(service string) time.Duration
	// MayRepeat reports whether the retry budget permits a query of the service that another host may have sent to the shards.
	MayRepeat(service string) bool
	// Waiting returns the number of attempts that wait for slots, and Queues describes them by service.
	Waiting() int
	Queues() []gatherer.ServiceQueue
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
	waiting    waitingTracker
	// evacuationDueAt is when the upstream must next be told of an evacuation that is complete, or 0 without one.
	evacuationDueAt carobthread.Instant

	scheduled carobthread.Scheduled
	alarm     carobthread.Alarm
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

// HedgeDelay returns the time after which an attempt of the service counts as late, or 0 if it is unknown.
func (search *Search) HedgeDelay(service string) time.Duration {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return search.options.QueryCore.HedgeDelay(service)
}

// MayRepeat reports whether the retry budget permits a query of the service that another host may have sent to the shards.
func (search *Search) MayRepeat(service string) bool {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return search.options.QueryCore.MayRepeat(service)
}

// Explain returns where a query of the service would go now, or false if it can't be served; it changes no decision.
func (search *Search) Explain(service string) (carobthread.Placement, bool) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return search.options.QueryCore.Explain(search.options.Timer.Now(), service)
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

func (search *Search) step(event carobthread.Event) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	search.stepLocked(event)
}

// stepLocked sets the event's time, so that times never decrease, steps the core and performs the actions.
func (search *Search) stepLocked(event carobthread.Event) {
	event.At = search.options.Timer.Now()
	if search.evacuationDueAt != 0 && event.At >= search.evacuationDueAt {
		search.updateLeaving(nil)
	}
	for _, action := range search.options.Decider.Step(event) {
		search.perform(action)
	}
	search.trackWaitingLocked()
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
	case action.Want != nil:
		if query := search.pending[action.Want.Query]; query != nil && query.wantGrant != nil {
			search.running.Go(query.wantGrant)
		}
	case action.Connect != nil:
		search.setConnections(action.Connect)
	case action.Cold != nil:
		search.logCold(action.Cold)
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
