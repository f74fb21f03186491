package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/delegator"
	"carobthread/recoverer"
)

// The peer methods of delegation; all but the first are notifications.
const (
	// MethodDelegate hands a query to a coordinator, which answers with the merged outcome or refuses it as not run.
	MethodDelegate = "delegate"
	// MethodDelegateAccepted tells the entry host that its query has started.
	MethodDelegateAccepted = "delegate-accepted"
	// MethodDelegateGrant permits the coordinator to use second searchers.
	MethodDelegateGrant = "delegate-grant"
	// MethodDelegateCancel tells the coordinator that its outcome is no longer needed.
	MethodDelegateCancel = "delegate-cancel"
)

// delegateRequest is a query that an entry host hands to a coordinator.
type delegateRequest struct {
	ID      uint64 `json:"id"`
	Request string `json:"request"`
	Service string `json:"service"`
	// Version is that of the entry host's routing table, for logs; Definition is that of the service's layout there.
	Version    uint64      `json:"version"`
	Definition uint64      `json:"definition"`
	Method     string      `json:"method"`
	Target     string      `json:"target"`
	Host       string      `json:"host"`
	Header     http.Header `json:"header,omitempty"`
	Body       []byte      `json:"body,omitempty"`
	TopK       int         `json:"top-k"`
	// TimeLeftMicros is the time within which the coordinator must answer, TargetLeftMicros that within which the answer has
	// the most value.
	TimeLeftMicros   int64 `json:"left-us"`
	TargetLeftMicros int64 `json:"target-left-us"`
}

// delegateResponse is the outcome of a delegated query: an answer or a refusal as not run.
type delegateResponse struct {
	Answer     *carobthread.AnswerQuery `json:"answer,omitempty"`
	Refusal    *carobthread.RefuseQuery `json:"refusal,omitempty"`
	Signatures string                   `json:"signatures,omitempty"`
	Body       []byte                   `json:"body,omitempty"`
}

// delegateMessage is a notification about a delegated query.
type delegateMessage struct {
	ID uint64 `json:"id"`
	// HedgeMicros is set in an acceptance: the time after which the coordinator wants to use second searchers, or 0.
	HedgeMicros int64 `json:"hedge-us,omitempty"`
}

// The ends of a delegation as named in logs.
const (
	delegationAnswered   = "answered"
	delegationRefused    = "refused"
	delegationTakenBack  = "taken-back"
	delegationFailed     = "failed"
	delegationCallerGone = "caller-gone"
)

// DelegationEvent describes one try to have a query answered by a coordinator.
type DelegationEvent struct {
	At          carobthread.Instant
	Coordinator string
	Choice      delegator.ChoiceReason
	// AcceptedAt and GrantedAt are the times of the acceptance and the grant, or 0.
	AcceptedAt carobthread.Instant
	GrantedAt  carobthread.Instant
	EndedAt    carobthread.Instant
	// End states how the try ended, and Reason why if the coordinator's outcome was not used.
	End    string
	Reason carobthread.Reason
}

// DelegationOptions are the dependencies of a Delegation.
type DelegationOptions struct {
	Self     carobthread.Host
	Search   *Search
	Core     *delegator.Delegator
	Peers    carobthread.Peers
	Notifier carobthread.PeerNotifier
	Timer    carobthread.Timer
	Logger   zerolog.Logger
}

// Delegation runs queries in front of a Search: it hands them to coordinators and passes on their outcomes, or lets the
// Search handle them.
type Delegation struct {
	options DelegationOptions
	active  atomic.Bool
	nextID  atomic.Uint64

	mutex   sync.Mutex
	pending map[uint64]*delegatedQuery
	alarm   carobthread.Alarm
	running sync.WaitGroup
}

// delegatedQuery is a query whose caller waits; the mutex of Delegation guards its fields.
type delegatedQuery struct {
	ctx      context.Context
	query    *Query
	events   []DelegationEvent
	cancel   context.CancelFunc
	response *delegateResponse
	done     chan delegator.Action
}

// NewDelegation returns a Delegation that delegates nothing until it has a configuration and a view with coordinators.
func NewDelegation(options DelegationOptions) *Delegation {
	delegation := &Delegation{options: options, pending: map[uint64]*delegatedQuery{}}
	delegation.nextID.Store(rand.Uint64()) // a restarted host must not use the IDs of its queries before the restart
	delegation.alarm = options.Timer.Alarm(delegation)
	return delegation
}

// Configure applies a configuration to the queries that arrive from now on.
func (delegation *Delegation) Configure(config *carobthread.Config) {
	if delegation.options.Self.Capacity > 0 {
		delegation.step(delegator.Event{Config: config})
	}
}

// SetView passes a new view of the entry hosts to the core.
func (delegation *Delegation) SetView(view carobthread.View) {
	delegation.step(delegator.Event{View: &view})
}

// Stop ends delegation, and the queries in progress by the given time.
func (delegation *Delegation) Stop(answerBy carobthread.Instant) {
	delegation.step(delegator.Event{Stop: &carobthread.StopBegun{AnswerBy: answerBy}})
}

// Tick passes time to the core.
func (delegation *Delegation) Tick(carobthread.Instant, time.Duration) {
	delegation.step(delegator.Event{})
}

// Stats returns the core's counters.
func (delegation *Delegation) Stats() delegator.Stats {
	delegation.mutex.Lock()
	defer delegation.mutex.Unlock()
	return delegation.options.Core.Stats()
}

// CutOffDataCentres returns all other data centres if a coordinator of this host's own one has found that they can't be
// reached, and no host there has answered since.
func (delegation *Delegation) CutOffDataCentres() []string {
	delegation.mutex.Lock()
	defer delegation.mutex.Unlock()
	if !delegation.options.Core.CutOff(delegation.options.Timer.Now()) {
		return nil
	}
	return delegation.options.Core.OtherCentres()
}

// MarkReachable tells the core that a host of the data centre has answered.
func (delegation *Delegation) MarkReachable(dataCentre string) {
	delegation.step(delegator.Event{Reached: &carobthread.DataCentreReached{DataCentre: dataCentre}})
}

// Pending returns the number of queries in progress at coordinators.
func (delegation *Delegation) Pending() int {
	delegation.mutex.Lock()
	defer delegation.mutex.Unlock()
	return len(delegation.pending)
}

// Close ends the timer; the calls in progress end with the links.
func (delegation *Delegation) Close() {
	delegation.alarm.Stop()
	delegation.running.Wait()
}

// RunQuery runs the query at a coordinator or on this host; the only possible error is that of the context.
func (delegation *Delegation) RunQuery(ctx context.Context, query Query) (Outcome, error) {
	if !delegation.active.Load() {
		return delegation.options.Search.RunQuery(ctx, query)
	}
	id := delegation.nextID.Add(1)
	pending := &delegatedQuery{ctx: ctx, query: &query, done: make(chan delegator.Action, 1)}
	delegation.start(id, pending)
	select {
	case action := <-pending.done:
		return delegation.finish(ctx, pending, action)
	case <-ctx.Done():
		delegation.abandon(id, pending)
		return Outcome{Delegations: pending.events}, ctx.Err()
	}
}

func (delegation *Delegation) start(id uint64, pending *delegatedQuery) {
	delegation.mutex.Lock()
	defer delegation.mutex.Unlock()
	delegation.pending[id] = pending
	query := pending.query
	delegation.stepLocked(delegator.Event{Query: &delegator.QueryArrived{
		ID: id, Service: query.Request.Service, Request: query.Request.ID, Deadline: query.Deadline,
		Size: len(query.Request.Body), AtMostOnce: query.AtMostOnce,
	}})
}

func (delegation *Delegation) abandon(id uint64, pending *delegatedQuery) {
	delegation.mutex.Lock()
	defer delegation.mutex.Unlock()
	delegation.stepLocked(delegator.Event{Gone: &delegator.Gone{ID: id}})
	delegation.end(id, pending, delegationCallerGone, "")
}

// finish returns the outcome of a query by the last action of the core.
func (delegation *Delegation) finish(ctx context.Context, pending *delegatedQuery, action delegator.Action) (Outcome, error) {
	var outcome Outcome
	var err error
	switch {
	case action.Handle != nil:
		query := *pending.query
		query.Limits = carobthread.QueryLimits{
			SoftDeadline: action.Handle.SoftDeadline, MaxSearchers: action.Handle.MaxSearchers, Repeated: action.Handle.Repeated,
		}
		outcome, err = delegation.options.Search.RunQuery(ctx, query)
		if action.Handle.Repeated {
			outcome = mayHaveRun(outcome)
		}
	case action.Refuse != nil:
		outcome = Outcome{Refusal: &carobthread.RefuseQuery{
			Service: pending.query.Request.Service, Reason: action.Refuse.Reason, RetryAfterMicros: action.Refuse.RetryAfter.Microseconds(),
		}}
	case action.Fail != nil:
		outcome = Outcome{Answer: &carobthread.AnswerQuery{
			Service: pending.query.Request.Service, Failed: true,
			Coverage: carobthread.Coverage{Missing: []carobthread.MissingShard{{Reason: action.Fail.Reason}}},
		}}
	default:
		response := pending.response
		outcome = Outcome{Answer: response.Answer, Refusal: response.Refusal, Merged: &MergedRecords{Signatures: response.Signatures, Body: response.Body}}
	}
	outcome.Delegations = pending.events
	return outcome, err
}

// mayHaveRun removes the statement that a query has not run from the outcome of a query that a coordinator may have run.
func mayHaveRun(outcome Outcome) Outcome {
	if refusal := outcome.Refusal; refusal != nil {
		outcome.Refusal = nil
		outcome.Answer = &carobthread.AnswerQuery{
			Service: refusal.Service, Failed: true,
			Coverage: carobthread.Coverage{Missing: []carobthread.MissingShard{{Reason: refusal.Reason}}},
		}
	}
	if outcome.Answer != nil {
		outcome.Answer.NotRun = false
	}
	return outcome
}

func (delegation *Delegation) step(event delegator.Event) {
	delegation.mutex.Lock()
	defer delegation.mutex.Unlock()
	delegation.stepLocked(event)
}

func (delegation *Delegation) stepLocked(event delegator.Event) {
	event.At = delegation.options.Timer.Now()
	for _, action := range delegation.options.Core.Step(event) {
		delegation.perform(event.At, action)
	}
	delegation.active.Store(delegation.options.Core.Active())
	if due := delegation.options.Core.NextDue(); due != 0 {
		delegation.alarm.Set(due)
	}
}

func (delegation *Delegation) perform(now carobthread.Instant, action delegator.Action) {
	switch {
	case action.Delegate != nil:
		delegation.delegate(now, action.Delegate)
	case action.Grant != nil:
		if pending := delegation.pending[action.Grant.ID]; pending != nil {
			pending.events[len(pending.events)-1].GrantedAt = now
		}
		delegation.notify(action.Grant, MethodDelegateGrant)
	case action.Cancel != nil:
		delegation.notify(action.Cancel, MethodDelegateCancel)
	case action.Abort != nil:
		if pending := delegation.pending[action.Abort.ID]; pending != nil {
			pending.cancel()
		}
	case action.Handle != nil:
		delegation.resolve(action.Handle.ID, action, delegationTakenBack, action.Handle.Reason)
	case action.Refuse != nil:
		delegation.resolve(action.Refuse.ID, action, delegationRefused, action.Refuse.Reason)
	case action.Answer != nil:
		delegation.resolve(action.Answer.ID, action, delegationAnswered, "")
	case action.Fail != nil:
		delegation.resolve(action.Fail.ID, action, delegationFailed, action.Fail.Reason)
	}
}

func (delegation *Delegation) resolve(id uint64, action delegator.Action, end string, reason carobthread.Reason) {
	if pending := delegation.pending[id]; pending != nil {
		delegation.end(id, pending, end, reason)
		pending.done <- action
	}
}

// end removes a query and ends its call.
func (delegation *Delegation) end(id uint64, pending *delegatedQuery, end string, reason carobthread.Reason) {
	delete(delegation.pending, id)
	if pending.cancel != nil {
		pending.cancel()
	}
	pending.endEvent(delegation.options.Timer.Now(), end, reason)
}

func (pending *delegatedQuery) endEvent(now carobthread.Instant, end string, reason carobthread.Reason) {
	if last := len(pending.events) - 1; last >= 0 && pending.events[last].End == "" {
		pending.events[last].EndedAt, pending.events[last].End, pending.events[last].Reason = now, end, reason
	}
}

// delegate sends the query to the coordinator and passes the end of the call to the core.
func (delegation *Delegation) delegate(now carobthread.Instant, action *delegator.Delegate) {
	pending := delegation.pending[action.ID]
	if pending == nil {
		return
	}
	pending.events = append(pending.events, DelegationEvent{At: now, Coordinator: action.Coordinator, Choice: action.Reason})
	request := pending.query.Request
	message := &delegateRequest{
		ID: action.ID, Request: request.ID, Service: request.Service, Version: pending.query.Version, Definition: action.Definition,
		Method: request.HTTP.Method, Target: request.HTTP.Target, Host: request.HTTP.Host, Header: request.HTTP.Header,
		Body: request.Body, TopK: pending.query.TopK,
		TimeLeftMicros: action.TimeLeft.Microseconds(), TargetLeftMicros: action.TargetLeft.Microseconds(),
	}
	ctx, cancel := context.WithTimeout(pending.ctx, pending.query.Deadline.Sub(now))
	pending.cancel = cancel
	delegation.running.Go(func() {
		defer cancel()
		_ = recoverer.Run(&delegation.options.Logger, "delegation", func() { delegation.call(ctx, action, message) })
	})
}

func (delegation *Delegation) call(ctx context.Context, action *delegator.Delegate, message *delegateRequest) {
	response := &delegateResponse{}
	err := delegation.options.Peers.Call(ctx, action.Coordinator, MethodDelegate, message, response)
	ended := &delegator.Ended{ID: action.ID, State: carobthread.Ran}
	if err == nil && response.Answer == nil && response.Refusal == nil {
		err = errors.New("response without an outcome")
	}
	if err != nil {
		ended.State, ended.Reason = carobthread.MayHaveRun, carobthread.ReasonConnectionLost
		var failure *carobthread.RequestError
		if errors.As(err, &failure) {
			ended.State, ended.Reason, ended.RetryAfter = failure.State, failure.Reason, failure.RetryAfter
		}
	}
	delegation.mutex.Lock()
	defer delegation.mutex.Unlock()
	pending := delegation.pending[action.ID]
	if pending == nil || pending.events[len(pending.events)-1].Coordinator != action.Coordinator {
		return
	}
	pending.response = response
	if ended.State == carobthread.NotRun {
		pending.endEvent(delegation.options.Timer.Now(), delegationRefused, ended.Reason)
	}
	delegation.stepLocked(delegator.Event{Ended: ended})
}

// notify sends a message about a query to its coordinator; if the link has ended, the query has ended there, too.
func (delegation *Delegation) notify(action *delegator.Message, method string) {
	delegation.running.Go(func() {
		_ = delegation.options.Notifier.Notify(action.Coordinator, method, delegateMessage{ID: action.ID})
	})
}

// accepted processes the acceptance of a query. The acceptance of a query that has ended here shows that the coordinator has
// received the message late, so it is told again.
func (delegation *Delegation) accepted(peer string, message delegateMessage) {
	delegation.mutex.Lock()
	defer delegation.mutex.Unlock()
	pending := delegation.pending[message.ID]
	if pending == nil || pending.events[len(pending.events)-1].Coordinator != peer {
		delegation.notify(&delegator.Message{ID: message.ID, Coordinator: peer}, MethodDelegateCancel)
		return
	}
	pending.events[len(pending.events)-1].AcceptedAt = delegation.options.Timer.Now()
	delegation.stepLocked(delegator.Event{Accepted: &delegator.Accepted{
		ID: message.ID, HedgeDelay: time.Duration(message.HedgeMicros) * time.Microsecond,
	}})
}
