package server

// An attempt is one send of a query to a searcher. It ends with a reply, a failure or its cancellation; each end is passed to
// the core once.

import (
	"context"
	"errors"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"carobthread"
	"carobthread/recoverer"
)

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
	// HTTPStatus is the status of a searcher's own HTTP response, or 0.
	HTTPStatus int
	// Timing and Load are those of the reply; they are zero without one, and Load may be nil.
	Timing carobthread.AttemptTiming
	Load   *carobthread.Load
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
		ended := AttemptEvent{
			At: search.options.Timer.Now(), Decision: AttemptEnded, Attempt: action.Attempt, Shard: action.Shard,
			Searcher: action.Searcher, Status: event.Status, Cause: err,
		}
		if matches {
			ended.Timing, ended.Load = reply.Timing, reply.Load
			if reply.HTTP != nil {
				ended.HTTPStatus = reply.HTTP.Status
			}
		}
		query.attemptEvents = append(query.attemptEvents, ended)
		if matches {
			query.storeReply(action.Attempt, reply)
		}
	}
	if matches && reply.Load != nil {
		search.stepLocked(carobthread.Event{Report: &carobthread.ReportArrived{
			Searcher: action.Searcher, Healthy: true, Draining: reply.Draining, Running: reply.Load.Running, Queued: reply.Load.Queued, Slowness: reply.Load.Slowness,
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
