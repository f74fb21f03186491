package server

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"carobthread"
	"carobthread/executor"
	"carobthread/rpc/carobthreadv1"
)

// lateGrace keeps a written request open past its deadline, so that a late result still settles an unknown outcome.
const lateGrace = 2 * time.Second

// Runner sends one request that may not be repeated; permit is asked directly before the first byte.
type Runner interface {
	// Run returns a *RequestError whose state is NotRun only if no byte was written.
	Run(ctx context.Context, searcher carobthread.Searcher, request *carobthreadv1.RunRequest, permit func() error) (*carobthreadv1.RunResponse, error)
}

// ExecutionOptions are the parts that an Execution works with.
type ExecutionOptions struct {
	Core   *executor.Executor
	Timer  carobthread.Timer
	Peers  carobthread.Peers
	Runner Runner
	Tracer trace.Tracer
}

// Execution serves requests that may not be repeated; it owns their core.
type Execution struct {
	options ExecutionOptions

	mutex     sync.Mutex
	searchers map[string]carobthread.Searcher
	nextCall  executor.CallID
	pending   map[executor.CallID]chan executor.Action
	spans     map[string]trace.SpanContext // of the calls in progress, by key; runs and forwards become their children
	working   int                          // attempts and forwards in progress
	idle      chan struct{}                // closed when nothing is pending or working; nil while nobody waits
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

// Configure puts a configuration in force for the requests that arrive from now on.
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
	execution.step(executor.Event{Tick: &carobthread.Ticked{LateMicros: late.Microseconds()}})
}

// Drain refuses reservations, so that after the balancer's grace period no caller holds an unused key of this host.
func (execution *Execution) Drain() {
	execution.step(executor.Event{Stop: &executor.StopCalled{AcceptKeys: true}})
}

// Stop refuses new work as not run; requests in progress go on.
func (execution *Execution) Stop() { execution.step(executor.Event{Stop: &executor.StopCalled{}}) }

// Wait returns when no call, attempt or forward is in progress, or reports how many the end of the context cuts.
func (execution *Execution) Wait(ctx context.Context) error {
	execution.mutex.Lock()
	if execution.idle == nil {
		execution.idle = make(chan struct{})
	}
	idle := execution.idle
	execution.releaseIdleLocked()
	execution.mutex.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		execution.mutex.Lock()
		defer execution.mutex.Unlock()
		return fmt.Errorf("%d calls and %d attempts or forwards were still in progress: %w", len(execution.pending), execution.working, ctx.Err())
	}
}

func (execution *Execution) releaseIdleLocked() {
	if execution.idle != nil && execution.working == 0 && len(execution.pending) == 0 {
		close(execution.idle)
		execution.idle = nil
	}
}

// Stats returns the core's counters for metrics.
func (execution *Execution) Stats() executor.Stats {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	return execution.options.Core.Stats()
}

// Reserve mints a key; a refusal is a connect error that states not-run.
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

// Execute runs the request of a key at most once and returns its outcome; only a malformed key is a connect error.
func (execution *Execution) Execute(ctx context.Context, request *connect.Request[carobthreadv1.ExecuteRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	message := request.Msg
	ctx, span := execution.options.Tracer.Start(ctx, "execute", trace.WithAttributes(attribute.String("service", message.GetService())))
	defer span.End()
	outcome := execution.execute(ctx, &executor.ExecuteCalled{
		Key: message.GetKey(), Service: message.GetService(), Payload: message.GetPayload(), Deadline: deadlineOf(message.GetDeadlineUs()),
	})
	span.SetAttributes(attribute.String("status", string(outcome.Status)), attribute.String("reason", string(outcome.Reason)))
	return respond(message.GetService(), outcome)
}

// Outcome returns what is known about a key and revokes a key that was never used.
func (execution *Execution) Outcome(ctx context.Context, request *connect.Request[carobthreadv1.OutcomeRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	ctx, span := execution.options.Tracer.Start(ctx, "outcome")
	defer span.End()
	return respond("", execution.outcome(ctx, &executor.OutcomeCalled{Key: request.Msg.GetKey()}))
}

func deadlineOf(micros int64) carobthread.Instant {
	if micros == 0 {
		return 0
	}
	return carobthread.FromMicros(micros)
}

func respond(service string, outcome executor.Outcome) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
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

func (execution *Execution) execute(ctx context.Context, called *executor.ExecuteCalled) executor.Outcome {
	return execution.ask(ctx, called.Key, func(call executor.CallID) executor.Event {
		called.Call = call
		return executor.Event{Execute: called}
	})
}

func (execution *Execution) outcome(ctx context.Context, called *executor.OutcomeCalled) executor.Outcome {
	return execution.ask(ctx, called.Key, func(call executor.CallID) executor.Event {
		called.Call = call
		return executor.Event{Outcome: called}
	})
}

func (execution *Execution) ask(ctx context.Context, key string, event func(call executor.CallID) executor.Event) executor.Outcome {
	execution.traceKey(key, trace.SpanContextFromContext(ctx))
	defer execution.traceKey(key, trace.SpanContext{})
	action, err := execution.call(ctx, event)
	if err != nil {
		return executor.Outcome{Key: key, Status: executor.StatusUnknown, Reason: carobthread.ReasonTimeout}
	}
	return action.Answer.Outcome
}

// traceKey names the span under which a key is worked on; an invalid one forgets the key.
func (execution *Execution) traceKey(key string, span trace.SpanContext) {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	if span.IsValid() {
		execution.spans[key] = span
	} else {
		delete(execution.spans, key)
	}
}

// call steps the core with a new call and waits for its answer; a caller that leaves does not end the run.
func (execution *Execution) call(ctx context.Context, event func(call executor.CallID) executor.Event) (executor.Action, error) {
	answer := make(chan executor.Action, 1)
	execution.mutex.Lock()
	execution.nextCall++
	id := execution.nextCall
	execution.pending[id] = answer
	execution.stepLocked(event(id))
	execution.mutex.Unlock()
	select {
	case action := <-answer:
		return action, nil
	case <-ctx.Done():
		execution.mutex.Lock()
		defer execution.mutex.Unlock()
		execution.stepLocked(executor.Event{Gone: &executor.CallerGone{Call: id}})
		delete(execution.pending, id)
		execution.releaseIdleLocked()
		return executor.Action{}, ctx.Err()
	}
}

func (execution *Execution) step(event executor.Event) {
	execution.mutex.Lock()
	defer execution.mutex.Unlock()
	execution.stepLocked(event)
}

// stepLocked stamps the event with the time, so that event times follow the order of steps, and performs the actions.
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
	execution.releaseIdleLocked()
}

// workLocked runs the work in a goroutine and then steps the core with the event that it returns.
func (execution *Execution) workLocked(key string, span time.Duration, work func(ctx context.Context) executor.Event) {
	execution.working++
	parent := trace.ContextWithSpanContext(context.Background(), execution.spans[key])
	go func() {
		ctx, cancel := context.WithTimeout(parent, span+lateGrace)
		defer cancel()
		event := work(ctx)
		execution.mutex.Lock()
		defer execution.mutex.Unlock()
		execution.working--
		execution.stepLocked(event)
		execution.releaseIdleLocked()
	}()
}

// sendLocked starts one attempt; it has its own context, since the run goes on when its caller leaves.
func (execution *Execution) sendLocked(now carobthread.Instant, send *executor.SendRun) {
	searcher, known := execution.searchers[send.Searcher]
	execution.workLocked(send.Key, send.Deadline.Sub(now), func(ctx context.Context) executor.Event {
		ended := &executor.AttemptEnded{Attempt: send.Attempt, Key: send.Key, Status: executor.StatusNotRun, Reason: carobthread.ReasonNoReplica}
		if known {
			execution.run(ctx, searcher, send, ended)
		}
		return executor.Event{Ended: ended}
	})
}

// run fills in how the attempt ended.
func (execution *Execution) run(ctx context.Context, searcher carobthread.Searcher, send *executor.SendRun, ended *executor.AttemptEnded) {
	ctx, span := execution.options.Tracer.Start(ctx, "run", trace.WithAttributes(attribute.String("searcher", searcher.Name)))
	defer span.End()
	request := &carobthreadv1.RunRequest{Key: send.Key, Service: send.Service, Payload: send.Payload, DeadlineUs: send.Deadline.Micros()}
	response, err := execution.options.Runner.Run(ctx, searcher, request, func() error { return execution.permit(send) })
	switch {
	case err != nil:
		span.SetStatus(codes.Error, err.Error())
		ended.Status, ended.Reason = endOf(err)
	case response.GetNotRun():
		ended.Status, ended.Reason, ended.Draining = executor.StatusNotRun, carobthread.Reason(response.GetReason()), response.GetDraining()
	default:
		ended.Status, ended.Reason, ended.Draining = executor.StatusDone, "", response.GetDraining()
		ended.Key, ended.Result = response.GetKey(), response.GetResult()
	}
}

// endOf reads a failed Run; anything but a stated NotRun may have run.
func endOf(err error) (executor.Status, carobthread.Reason) {
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
