package server

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"carobthread"
	"carobthread/executor"
	"carobthread/recoverer"
	"carobthread/rpc/carobthreadv1"
)

// lateGrace keeps a sent request open past its deadline, so that a late result still resolves an unknown outcome.
const lateGrace = 2 * time.Second

// Runner sends at-most-once requests; for each, it calls permit directly before it writes the first byte.
type Runner interface {
	// Run returns a *RequestError whose state is NotRun only if no byte was written.
	Run(ctx context.Context, searcher carobthread.Searcher, request *carobthreadv1.RunRequest, permit func() error) (*carobthreadv1.RunResponse, error)
}

// ExecutionOptions are the dependencies of an Execution.
type ExecutionOptions struct {
	Core   *executor.Executor
	Timer  carobthread.Timer
	Peers  carobthread.Peers
	Runner Runner
	Tracer trace.Tracer
	// Logger receives unexpected errors; the zero value writes nothing.
	Logger zerolog.Logger
}

// Execution serves at-most-once requests that carry an idempotency key; it owns their core.
type Execution struct {
	options ExecutionOptions

	mutex     sync.Mutex
	searchers map[string]carobthread.Searcher
	nextCall  executor.CallID
	pending   map[executor.CallID]chan executor.Action
	spans     map[string]trace.SpanContext // of the calls in progress, by key; parents of the spans of runs and forwards
	inFlight  int                          // attempts and forwards in progress
	idle      chan struct{}                // closed when nothing is pending or in flight; nil while nobody waits
}

var (
	_ carobthread.PeerHandler = (*Execution)(nil)
	_ carobthread.Subscriber  = (*Execution)(nil)
)

// NewExecution returns an Execution that refuses requests as not ready until Configure is called.
func NewExecution(options ExecutionOptions) *Execution {
	return &Execution{
		options:   options,
		searchers: map[string]carobthread.Searcher{},
		pending:   map[executor.CallID]chan executor.Action{},
		spans:     map[string]trace.SpanContext{},
	}
}

// Configure applies a configuration to the requests that arrive from now on.
func (execution *Execution) Configure(config carobthread.Config) {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	execution.searchers = make(map[string]carobthread.Searcher, len(config.Searchers))
	for _, searcher := range config.Searchers {
		execution.searchers[searcher.Name] = searcher
	}
	execution.stepLocked(executor.Event{Config: &carobthread.ConfigChanged{Config: config}})
}

// SetView passes a new view of the entry hosts to the core.
func (execution *Execution) SetView(view carobthread.View) {
	execution.step(executor.Event{View: &carobthread.ViewChanged{View: view}})
}

// Report passes a searcher's report to the core.
func (execution *Execution) Report(report carobthread.ReportArrived) {
	execution.step(executor.Event{Report: &report})
}

// Tick passes time to the core.
func (execution *Execution) Tick(_ carobthread.Instant, late time.Duration) {
	execution.step(executor.Event{Tick: &carobthread.TickArrived{LateMicros: late.Microseconds()}})
}

// Drain refuses new reservations, so that after the load balancer's grace period no caller holds an unused key of this host,
// and answers every call by the given time.
func (execution *Execution) Drain(answerBy carobthread.Instant) {
	execution.step(executor.Event{Stop: &executor.StopCalled{AcceptKeys: true, AnswerBy: answerBy}})
}

// Stop refuses new work as not run; requests in progress continue.
func (execution *Execution) Stop() { execution.step(executor.Event{Stop: &executor.StopCalled{}}) }

// Wait returns when no call, attempt or forward is in progress. If the context ends first, the error states how many
// remain.
func (execution *Execution) Wait(ctx context.Context) error {
	execution.mutex.Lock()
	if execution.idle == nil {
		execution.idle = make(chan struct{})
	}
	idle := execution.idle
	execution.signalIdleLocked()
	execution.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		execution.mutex.Lock()
		defer execution.mutex.Unlock()
		return fmt.Errorf("%d calls and %d attempts or forwards were still in progress: %w", len(execution.pending), execution.inFlight, ctx.Err())
	}
}

func (execution *Execution) signalIdleLocked() {
	if execution.idle != nil && execution.inFlight == 0 && len(execution.pending) == 0 {
		close(execution.idle)
		execution.idle = nil
	}
}

// Stats returns the core's counters.
func (execution *Execution) Stats() executor.Stats {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	return execution.options.Core.Stats()
}

// Reserve mints a key; a refusal is a connect error with state not-run.
func (execution *Execution) Reserve(ctx context.Context, request *connect.Request[carobthreadv1.ReserveRequest]) (*connect.Response[carobthreadv1.ReserveResponse], error) {
	service := request.Msg.GetService()
	action, err := execution.call(ctx, func(call executor.CallID) executor.Event {
		return executor.Event{Reserve: &executor.ReserveCalled{Call: call, Service: service}}
	})
	if err != nil {
		return nil, connectError(&carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonTimeout, Service: service})
	}
	reserved := action.Reserved
	if reserved.Reason != "" {
		return nil, connectError(&carobthread.RequestError{
			State: carobthread.NotRun, Reason: reserved.Reason, Service: service,
			RetryAfter: time.Duration(reserved.RetryAfterMicros) * time.Microsecond,
		})
	}
	return connect.NewResponse(&carobthreadv1.ReserveResponse{Key: reserved.Key, ExpiryUs: reserved.Expiry.Micros()}), nil
}

// Execute runs the request of a key at most once and returns its outcome; only a malformed key gives a connect error.
func (execution *Execution) Execute(ctx context.Context, request *connect.Request[carobthreadv1.ExecuteRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	message := request.Msg
	ctx, span := execution.options.Tracer.Start(ctx, "execute", trace.WithAttributes(attribute.String("service", message.GetService())))
	defer span.End()
	outcome := execution.execute(ctx, &executor.ExecuteCalled{
		Key: message.GetKey(), Service: message.GetService(), Payload: message.GetPayload(), Deadline: deadlineOf(message.GetDeadlineUs()),
	})
	span.SetAttributes(attribute.String("status", string(outcome.Status)), attribute.String("reason", string(outcome.Reason)))
	return executeResponse(message.GetService(), outcome)
}

// Outcome returns what is known about a key and revokes a key that was never used.
func (execution *Execution) Outcome(ctx context.Context, request *connect.Request[carobthreadv1.OutcomeRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	ctx, span := execution.options.Tracer.Start(ctx, "outcome")
	defer span.End()
	return executeResponse("", execution.outcome(ctx, &executor.OutcomeCalled{Key: request.Msg.GetKey()}))
}

func deadlineOf(micros int64) carobthread.Instant {
	if micros == 0 {
		return 0
	}
	return carobthread.FromMicros(micros)
}

func executeResponse(service string, outcome executor.Outcome) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	if outcome.Reason == carobthread.ReasonMalformedKey {
		return nil, connectError(&carobthread.RequestError{State: carobthread.NotRun, Reason: outcome.Reason, Service: service})
	}
	return connect.NewResponse(&carobthreadv1.ExecuteResponse{
		Key:          outcome.Key,
		Status:       statusOf(outcome.Status),
		Result:       outcome.Result,
		Reason:       string(outcome.Reason),
		RetryAfterUs: outcome.RetryAfterMicros,
	}), nil
}

func statusOf(status executor.Status) carobthreadv1.ExecutionStatus {
	switch status {
	case executor.StatusDone:
		return carobthreadv1.ExecutionStatus_EXECUTION_STATUS_DONE
	case executor.StatusNotRun:
		return carobthreadv1.ExecutionStatus_EXECUTION_STATUS_NOT_RUN
	case executor.StatusInProgress:
		return carobthreadv1.ExecutionStatus_EXECUTION_STATUS_IN_PROGRESS
	default:
		return carobthreadv1.ExecutionStatus_EXECUTION_STATUS_UNKNOWN
	}
}

func (execution *Execution) execute(ctx context.Context, request *executor.ExecuteCalled) executor.Outcome {
	return execution.callOutcome(ctx, request.Key, func(call executor.CallID) executor.Event {
		request.Call = call
		return executor.Event{Execute: request}
	})
}

func (execution *Execution) outcome(ctx context.Context, request *executor.OutcomeCalled) executor.Outcome {
	return execution.callOutcome(ctx, request.Key, func(call executor.CallID) executor.Event {
		request.Call = call
		return executor.Event{Outcome: request}
	})
}

func (execution *Execution) callOutcome(ctx context.Context, key string, newEvent func(call executor.CallID) executor.Event) executor.Outcome {
	execution.setSpan(key, trace.SpanContextFromContext(ctx))
	defer execution.setSpan(key, trace.SpanContext{})
	action, err := execution.call(ctx, newEvent)
	if err != nil {
		return executor.Outcome{Key: key, Status: executor.StatusUnknown, Reason: carobthread.ReasonTimeout}
	}
	return action.Answer.Outcome
}

// setSpan sets the parent span for the work on a key; an invalid span removes it.
func (execution *Execution) setSpan(key string, span trace.SpanContext) {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	if span.IsValid() {
		execution.spans[key] = span
	} else {
		delete(execution.spans, key)
	}
}

// call steps the core with a new call and waits for its answer. If the caller leaves first, a run in progress continues.
func (execution *Execution) call(ctx context.Context, newEvent func(call executor.CallID) executor.Event) (executor.Action, error) {
	answer := make(chan executor.Action, 1)
	id := execution.startCall(answer, newEvent)
	select {
	case action := <-answer:
		return action, nil
	case <-ctx.Done():
		execution.mutex.Lock()
		defer execution.mutex.Unlock()
		execution.stepLocked(executor.Event{Gone: &executor.CallerGone{Call: id}})
		delete(execution.pending, id)
		execution.signalIdleLocked()
		return executor.Action{}, ctx.Err()
	}
}

func (execution *Execution) startCall(answer chan executor.Action, newEvent func(call executor.CallID) executor.Event) executor.CallID {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	execution.nextCall++
	id := execution.nextCall
	execution.pending[id] = answer
	started := false
	defer func() {
		if !started { // the core has panicked
			delete(execution.pending, id)
		}
	}()
	execution.stepLocked(newEvent(id))
	started = true
	return id
}

func (execution *Execution) step(event executor.Event) {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	execution.stepLocked(event)
}

// stepLocked sets the event's time, so that times follow the order of steps, steps the core and performs the actions.
func (execution *Execution) stepLocked(event executor.Event) (permit *executor.WritePermit) {
	event.At = execution.options.Timer.Now()
	for _, action := range execution.options.Core.Step(event) {
		switch {
		case action.Reserved != nil:
			execution.answerLocked(action.Reserved.Call, action)
		case action.Answer != nil:
			execution.answerLocked(action.Answer.Call, action)
		case action.Send != nil:
			execution.sendLocked(event.At, action.Send)
		case action.Forward != nil:
			execution.forwardLocked(event.At, action.Forward)
		case action.Permit != nil:
			permit = action.Permit
		}
	}
	return permit
}

func (execution *Execution) answerLocked(call executor.CallID, action executor.Action) {
	answer := execution.pending[call]
	if answer == nil {
		return
	}
	delete(execution.pending, call)
	answer <- action
	execution.signalIdleLocked()
}

// startWorkLocked runs the work in a goroutine and then steps the core with the event that it returns, or with the failed one
// after a panic.
func (execution *Execution) startWorkLocked(key string, timeout time.Duration, failed executor.Event, work func(ctx context.Context) executor.Event) {
	execution.inFlight++
	parent := trace.ContextWithSpanContext(context.Background(), execution.spans[key])
	go func() {
		ctx, cancel := context.WithTimeout(parent, timeout+lateGrace)
		defer cancel()
		event := failed
		_ = recoverer.Run(&execution.options.Logger, "execution", func() { event = work(ctx) })
		_ = recoverer.Run(&execution.options.Logger, "execution-end", func() { execution.endWork(event) })
	}()
}

// endWork steps the core with the end of an attempt or forward.
func (execution *Execution) endWork(event executor.Event) {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	execution.inFlight--
	execution.stepLocked(event)
	execution.signalIdleLocked()
}

// sendLocked starts one attempt with a context of its own, since the run continues when its caller leaves.
func (execution *Execution) sendLocked(now carobthread.Instant, send *executor.SendRun) {
	searcher, known := execution.searchers[send.Searcher]
	failed := executor.Event{Ended: &executor.AttemptEnded{
		Attempt: send.Attempt, Key: send.Key, Status: executor.StatusUnknown, Reason: carobthread.ReasonInternal,
	}}
	execution.startWorkLocked(send.Key, send.Deadline.Sub(now), failed, func(ctx context.Context) executor.Event {
		ended := &executor.AttemptEnded{Attempt: send.Attempt, Key: send.Key, Status: executor.StatusNotRun, Reason: carobthread.ReasonNoReplica}
		if known {
			execution.run(ctx, searcher, send, ended)
		}
		return executor.Event{Ended: ended}
	})
}

// run sends the request and sets the result of the attempt in ended.
func (execution *Execution) run(ctx context.Context, searcher carobthread.Searcher, send *executor.SendRun, ended *executor.AttemptEnded) {
	ctx, span := execution.options.Tracer.Start(ctx, "run", trace.WithAttributes(attribute.String("searcher", searcher.Name)))
	defer span.End()
	request := &carobthreadv1.RunRequest{Key: send.Key, Service: send.Service, Payload: send.Payload, DeadlineUs: send.Deadline.Micros()}
	response, err := execution.options.Runner.Run(ctx, searcher, request, func() error { return execution.permit(send) })
	switch {
	case err != nil:
		span.SetStatus(codes.Error, err.Error())
		ended.Status, ended.Reason = failureStatus(err)
	case response.GetNotRun():
		ended.Status, ended.Reason, ended.Draining = executor.StatusNotRun, carobthread.Reason(response.GetReason()), response.GetDraining()
	default:
		ended.Status, ended.Reason, ended.Draining = executor.StatusDone, "", response.GetDraining()
		ended.Key, ended.Result = response.GetKey(), response.GetResult()
	}
}

// failureStatus maps the error of a Run; the request may have run unless the error states NotRun.
func failureStatus(err error) (executor.Status, carobthread.Reason) {
	var failure *carobthread.RequestError
	switch {
	case !errors.As(err, &failure):
		return executor.StatusUnknown, carobthread.ReasonConnectionLost
	case failure.State == carobthread.NotRun:
		return executor.StatusNotRun, failure.Reason
	default:
		return executor.StatusUnknown, failure.Reason
	}
}

// permit asks the core whether the first byte may be written now.
func (execution *Execution) permit(send *executor.SendRun) error {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	permit := execution.stepLocked(executor.Event{Write: &executor.WriteReady{Attempt: send.Attempt}})
	if permit != nil && permit.Allowed {
		return nil
	}
	refusal := &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonTimeout, Service: send.Service}
	if permit != nil {
		refusal.Reason = permit.Reason
	}
	return refusal
}
