package server

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"carobthread"
	"carobthread/gatherer"
	"carobthread/rpc/carobthreadv1"
)

// SearchOptions are the parts that a Search works with.
type SearchOptions struct {
	Host    string
	Decider carobthread.Decider
	// Counted is the core behind the decider, which may be a recorder.
	Counted  interface{ Stats() gatherer.Stats }
	Timer    carobthread.Timer
	Upstream carobthread.Upstream
	Tracer   trace.Tracer
	Meter    *Meter
	// Drained is called, outside of locks, when a searcher is seen to drain or to be back; nil ignores it.
	Drained func(searcher string, leaving bool)
	// Reported is called with each report of a searcher; nil ignores it.
	Reported func(report carobthread.ReportArrived)
}

// Search serves callers' queries; it owns the query path's core.
type Search struct {
	options   SearchOptions
	nextQuery atomic.Uint64
	ready     atomic.Bool

	mutex     sync.Mutex
	searchers map[string]carobthread.Searcher
	pending   map[carobthread.QueryID]*pendingQuery
	drains    *drainWatch
	running   sync.WaitGroup
}

// pendingQuery is a query whose caller waits; the server's mutex guards its maps.
type pendingQuery struct {
	ctx     context.Context
	request *carobthreadv1.SearchRequest
	cancels map[carobthread.AttemptID]context.CancelFunc
	replies map[carobthread.AttemptID]*carobthreadv1.SearchShardResponse
	done    chan outcome
}

// outcome ends a query: exactly one of answer and refusal is set.
type outcome struct {
	answer  *carobthread.AnswerQuery
	merge   []*carobthreadv1.SearchShardResponse
	refusal *carobthread.RefuseQuery
}

// NewSearch returns a Search that refuses queries as not ready until Configure is called.
func NewSearch(options SearchOptions) *Search {
	return &Search{
		options:   options,
		searchers: map[string]carobthread.Searcher{},
		pending:   map[carobthread.QueryID]*pendingQuery{},
		drains:    newDrainWatch(),
	}
}

// Configure puts a configuration in force for the queries that arrive from now on.
func (search *Search) Configure(config carobthread.Config) {
	search.mutex.Lock()
	search.searchers = make(map[string]carobthread.Searcher, len(config.Searchers))
	for _, searcher := range config.Searchers {
		search.searchers[searcher.Name] = searcher
	}
	search.stepLocked(carobthread.Event{Config: &carobthread.ConfigChanged{Config: config}})
	search.mutex.Unlock()
	search.ready.Store(true)
}

// SetView passes a new view of the entry hosts to the core.
func (search *Search) SetView(view carobthread.View) {
	search.step(carobthread.Event{View: &carobthread.ViewChanged{View: view}})
}

// Tick passes time to the core.
func (search *Search) Tick(_ carobthread.Instant, late time.Duration) {
	search.step(carobthread.Event{Tick: &carobthread.Ticked{LateMicros: late.Microseconds()}})
}

// Search answers one query; a refusal is a connect error that states not-run.
func (search *Search) Search(ctx context.Context, request *connect.Request[carobthreadv1.SearchRequest]) (*connect.Response[carobthreadv1.SearchResponse], error) {
	started := search.options.Timer.Now()
	message := request.Msg
	ctx, span := search.options.Tracer.Start(ctx, "search", trace.WithAttributes(attribute.String("service", message.GetService())))
	defer span.End()
	if !search.ready.Load() {
		return nil, connectError(&carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonNotReady, Service: message.GetService()})
	}
	id := carobthread.QueryID(search.nextQuery.Add(1))
	end, err := search.wait(ctx, id, message)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		return nil, err
	}
	latency := search.options.Timer.Now().Sub(started)
	if end.refusal != nil {
		search.options.Meter.Refusal(message.GetService(), end.refusal.Reason)
		failure := &carobthread.RequestError{
			State:      carobthread.NotRun,
			Reason:     end.refusal.Reason,
			Service:    message.GetService(),
			RetryAfter: time.Duration(end.refusal.RetryAfterMicros) * time.Microsecond,
		}
		span.SetStatus(codes.Error, failure.Error())
		return nil, connectError(failure)
	}
	response := search.merge(message, end)
	response.LatencyUs = latency.Microseconds()
	search.options.Meter.Answer(message.GetService(), end.answer, latency)
	span.SetAttributes(
		attribute.Int("shards-answered", int(end.answer.Coverage.Answered)),
		attribute.Int("shards-total", int(end.answer.Coverage.Total)),
		attribute.Int64("snapshot", int64(end.answer.Snapshot)),
	)
	return connect.NewResponse(response), nil
}

// wait steps the core with the query and waits for its end or for the caller to leave.
func (search *Search) wait(ctx context.Context, id carobthread.QueryID, message *carobthreadv1.SearchRequest) (outcome, error) {
	query := &pendingQuery{
		ctx:     ctx,
		request: message,
		cancels: map[carobthread.AttemptID]context.CancelFunc{},
		replies: map[carobthread.AttemptID]*carobthreadv1.SearchShardResponse{},
		done:    make(chan outcome, 1),
	}
	arrived := &carobthread.QueryArrived{Query: id, Service: message.GetService(), Size: len(message.GetQuery())}
	if message.GetDeadlineUs() != 0 {
		arrived.Deadline = carobthread.FromMicros(message.GetDeadlineUs())
	}
	search.mutex.Lock()
	search.pending[id] = query
	search.stepLocked(carobthread.Event{Query: arrived})
	search.mutex.Unlock()
	select {
	case end := <-query.done:
		return end, nil
	case <-ctx.Done():
		search.abandon(id)
		return outcome{}, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

func (search *Search) abandon(id carobthread.QueryID) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	query := search.pending[id]
	if query == nil {
		return
	}
	search.stepLocked(carobthread.Event{Gone: &carobthread.CallerGone{Query: id}})
	search.release(id, query)
}

func (search *Search) step(event carobthread.Event) {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	search.stepLocked(event)
}

// stepLocked stamps the event with the time, so that event times never go back, and performs the actions.
func (search *Search) stepLocked(event carobthread.Event) {
	event.At = search.options.Timer.Now()
	for _, action := range search.options.Decider.Step(event) {
		search.perform(action)
	}
}

func (search *Search) perform(action carobthread.Action) {
	switch {
	case action.Send != nil:
		search.send(action.Send)
	case action.Cancel != nil:
		search.cancel(action.Cancel)
	case action.Answer != nil:
		search.finish(action.Answer.Query, func(query *pendingQuery) outcome {
			return outcome{answer: action.Answer, merge: query.merged(action.Answer.Merge)}
		})
	case action.Refuse != nil:
		search.finish(action.Refuse.Query, func(*pendingQuery) outcome {
			return outcome{refusal: action.Refuse}
		})
	case action.Connect != nil:
		search.connect(action.Connect)
	}
}

func (query *pendingQuery) merged(attempts []carobthread.AttemptID) []*carobthreadv1.SearchShardResponse {
	responses := make([]*carobthreadv1.SearchShardResponse, 0, len(attempts))
	for _, attempt := range attempts {
		responses = append(responses, query.replies[attempt])
	}
	return responses
}

func (search *Search) finish(id carobthread.QueryID, end func(query *pendingQuery) outcome) {
	query := search.pending[id]
	if query == nil {
		return
	}
	query.done <- end(query)
	search.release(id, query)
}

// release forgets a query and cancels the attempts that nobody waits for.
func (search *Search) release(id carobthread.QueryID, query *pendingQuery) {
	delete(search.pending, id)
	for _, cancel := range query.cancels {
		cancel()
	}
}

func (search *Search) cancel(action *carobthread.CancelAttempt) {
	query := search.pending[action.Query]
	if query == nil {
		return
	}
	if cancel := query.cancels[action.Attempt]; cancel != nil {
		cancel()
		delete(query.cancels, action.Attempt)
	}
}

func (search *Search) connect(action *carobthread.SetConnections) {
	opener, able := search.options.Upstream.(ConnectionOpener)
	if !able {
		return
	}
	if searcher, known := search.searchers[action.Searcher]; known {
		opener.SetConnections(searcher, action.Count)
	}
}

// ConnectionOpener is an Upstream that can open connections ahead of requests.
type ConnectionOpener interface {
	// SetConnections keeps this many connections open to the searcher.
	SetConnections(searcher carobthread.Searcher, count int)
}

// send starts one attempt; its context ends at the attempt's deadline or when it is cancelled.
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
	ctx, cancel := context.WithDeadline(query.ctx, action.Deadline.Time())
	query.cancels[action.Attempt] = cancel
	search.running.Add(1)
	go func() {
		defer search.running.Done()
		defer cancel()
		search.attempt(ctx, query.request, searcher, action)
	}()
}

func (search *Search) attempt(ctx context.Context, query *carobthreadv1.SearchRequest, searcher carobthread.Searcher, action *carobthread.SendAttempt) {
	ctx, span := search.options.Tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("searcher", searcher.Name),
		attribute.Int("shard", int(action.Shard)),
		attribute.String("kind", string(action.Kind)),
	))
	defer span.End()
	response, err := search.options.Upstream.SearchShard(ctx, searcher, &carobthreadv1.SearchShardRequest{
		Attempt:    uint64(action.Attempt),
		Service:    action.Service,
		Shard:      action.Shard,
		Snapshot:   action.Snapshot,
		Layout:     action.Layout,
		Query:      query.GetQuery(),
		Limit:      query.GetLimit(),
		DeadlineUs: action.Deadline.Micros(),
	})
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	search.reply(action, response, err)
}

// reply passes the end of an attempt to the core; a reply that names another attempt counts as failed.
func (search *Search) reply(action *carobthread.SendAttempt, response *carobthreadv1.SearchShardResponse, err error) {
	event := &carobthread.ReplyArrived{
		Query:   action.Query,
		Attempt: action.Attempt,
		Shard:   action.Shard,
		Status:  carobthread.ReplyFailed,
	}
	if err == nil && response.GetAttempt() == uint64(action.Attempt) && response.GetShard() == action.Shard {
		event.Snapshot = response.GetSnapshot()
		event.Layout = response.GetLayout()
		event.Status = replyStatus(response.GetStatus())
		event.Draining = response.GetDraining()
		event.HeldSnapshots = response.GetHeldSnapshots()
		event.SnapshotAgeMicros = response.GetSnapshotAgeUs()
	}
	search.mutex.Lock()
	if query := search.pending[action.Query]; query != nil {
		delete(query.cancels, action.Attempt)
		if event.Status == carobthread.ReplyOK {
			query.replies[action.Attempt] = response
		}
	}
	search.stepLocked(carobthread.Event{Reply: event})
	search.mutex.Unlock()
	if event.Draining || event.Status == carobthread.ReplyDraining {
		search.observe(action.Searcher, true)
	}
}

func replyStatus(status carobthreadv1.ShardStatus) carobthread.ReplyStatus {
	switch status {
	case carobthreadv1.ShardStatus_SHARD_STATUS_OK:
		return carobthread.ReplyOK
	case carobthreadv1.ShardStatus_SHARD_STATUS_SNAPSHOT_MISSING:
		return carobthread.ReplySnapshotMissing
	case carobthreadv1.ShardStatus_SHARD_STATUS_LAYOUT_MISSING:
		return carobthread.ReplyLayoutMissing
	case carobthreadv1.ShardStatus_SHARD_STATUS_SHED:
		return carobthread.ReplyShed
	case carobthreadv1.ShardStatus_SHARD_STATUS_DRAINING:
		return carobthread.ReplyDraining
	default:
		return carobthread.ReplyFailed
	}
}

// Wait returns when no attempt runs any more or the context ends.
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

// Pending returns the number of queries whose callers wait.
func (search *Search) Pending() int {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return len(search.pending)
}

// Stats returns the counts of the core.
func (search *Search) Stats() gatherer.Stats {
	search.mutex.Lock()
	defer search.mutex.Unlock()
	return search.options.Counted.Stats()
}
