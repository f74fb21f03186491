package server

// A query waits for the core to answer or refuse it, or for its caller to leave.

import (
	"context"

	"carobthread"
)

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
	// wantGrant is called when the query can't go on without a second searcher; it may be nil.
	wantGrant func()
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
	// Merged is set instead of Replies if another host has merged them.
	Merged *MergedRecords
	// Delegations are the hosts that the query was sent to, in order.
	Delegations []DelegationEvent
}

// Query is one request with its deadline and whether it must run at most once; a zero Deadline means the service's hard
// deadline.
type Query struct {
	Request    *carobthread.Request
	Deadline   carobthread.Instant
	AtMostOnce bool
	// Version is the version of the routing table that the query was routed by, or 0.
	Version uint64
	// TopK is the number of records of an answer merged from shards.
	TopK int
	// Limits are set for a query that two hosts may have received.
	Limits carobthread.QueryLimits
	// WantGrant is called when the query can't go on without a second searcher; it may be nil.
	WantGrant func()
	// Granted is closed when a query whose second searchers are withheld may use them; it may be nil.
	Granted <-chan struct{}
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
		wantGrant:  params.WantGrant,
	}
	search.start(id, query, &params)
	granted := params.Granted
	for {
		select {
		case outcome := <-query.done:
			return outcome, nil
		case <-granted:
			search.step(carobthread.Event{Grant: &carobthread.GrantArrived{Query: id}})
			granted = nil
		case <-ctx.Done():
			search.abandon(id)
			return Outcome{AttemptEvents: query.attemptEvents}, ctx.Err()
		}
	}
}

// start passes a new query to the core; a query in which the core panics isn't kept.
func (search *Search) start(id carobthread.QueryID, query *pendingQuery, params *Query) {
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
		Query: id, Service: query.request.Service, Deadline: params.Deadline, Size: len(query.request.Body), QueryLimits: params.Limits,
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

// storeReply stores a reply that the answer may need: one to merge, or a failed one with an HTTP response.
func (query *pendingQuery) storeReply(attempt carobthread.AttemptID, reply *carobthread.ShardReply) {
	switch {
	case reply.Status == carobthread.ReplyOK:
		query.replies[attempt] = reply
	case reply.Status == carobthread.ReplyFailed && reply.HTTP != nil:
		query.rejected = reply
	}
}
