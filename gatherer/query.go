package gatherer

// A query is either refused before any attempt is sent or gets exactly one answer, unless its
// caller disconnects.

import (
	"container/heap"
	"slices"

	"carobthread"
	"carobthread/stopper"
)

// handleQuery plans a new query and sends its first attempts, or refuses it before any attempt is sent.
func (gatherer *Gatherer) handleQuery(arrived *carobthread.QueryArrived) {
	if gatherer.queries[arrived.Query] != nil {
		gatherer.stats.DuplicateQueries++
		return
	}
	service := gatherer.services[arrived.Service]
	if reason := validateQuery(service, arrived); reason != "" {
		gatherer.refuse(arrived, reason, 0)
		return
	}
	deadline := gatherer.now.Add(service.config.HardDeadline)
	if arrived.Deadline != 0 {
		deadline = min(deadline, arrived.Deadline)
	}
	if deadline <= gatherer.now {
		gatherer.refuse(arrived, carobthread.ReasonDeadlinePassed, 0)
		return
	}
	request := stopper.Request{Arrived: gatherer.now, Deadline: deadline, AtMostOnce: service.config.AtMostOnce}
	if !gatherer.stop.Admits(request, &service.history) {
		gatherer.refuse(arrived, carobthread.ReasonStopping, 0)
		return
	}
	deadline = gatherer.stop.Deadline(deadline)
	plan := gatherer.planFor(service)
	if plan.layout == nil {
		gatherer.refuse(arrived, carobthread.ReasonNotReady, 0)
		return
	}
	if arrived.Definition != 0 && arrived.Definition != plan.layout.definition {
		gatherer.refuse(arrived, carobthread.ReasonLayoutMissing, 0)
		return
	}
	if !arrived.Repeated {
		gatherer.countRequest(plan.layout)
	} else if !gatherer.permitsRepeat(service, plan) {
		gatherer.refuse(arrived, carobthread.ReasonRetryBudget, 0)
		return
	}
	if gatherer.usesCurrentPolicy() && !gatherer.admit(service, plan, arrived, deadline) {
		return
	}
	gatherer.startQuery(service, plan, arrived, deadline)
}

func (gatherer *Gatherer) startQuery(service *serviceRow, plan *queryPlan, arrived *carobthread.QueryArrived, deadline carobthread.Instant) {
	query := gatherer.freeQueries.take()
	shards := query.current.shards[:0]
	gatherer.nextQuery++
	*query = queryRow{
		id:        arrived.Query,
		sequence:  gatherer.nextQuery,
		service:   service,
		current:   newCandidate(plan, shards),
		arrived:   gatherer.now,
		heapIndex: -1,
	}
	query.limit(&arrived.QueryLimits)
	query.setDeadlines(gatherer.now, deadline, arrived.SoftDeadline)
	if gatherer.options.RandomReplica {
		query.softDeadline = deadline
	}
	query.due = min(query.softDeadline, max(gatherer.now, query.lastStart()))
	query.pendingShards = len(query.current.shards)
	gatherer.queries[query.id] = query
	gatherer.actions = slices.Grow(gatherer.actions, query.pendingShards+1)
	if cap(gatherer.sends)-len(gatherer.sends) < query.pendingShards {
		gatherer.sends = make([]carobthread.SendAttempt, 0, max(sendChunk, query.pendingShards))
	}
	for shard := range query.current.shards {
		if arrived.Repeated {
			gatherer.sendRepeated(query, uint32(shard))
			continue
		}
		gatherer.dispatch(query, uint32(shard), carobthread.AttemptFirst)
	}
	if !gatherer.finishIfDone(query) {
		heap.Push(&gatherer.timers, query)
	}
}

// setDeadlines sets the deadlines of a query that has arrived now; a soft deadline other than 0 is an upper bound.
func (query *queryRow) setDeadlines(now, deadline, softDeadline carobthread.Instant) {
	query.deadline, query.softDeadline = deadline, deadline
	if query.service.latencyFirst() {
		query.softDeadline = min(deadline, now.Add(query.service.config.SoftDeadline))
	}
	if softDeadline != 0 {
		query.softDeadline = min(query.softDeadline, softDeadline)
	}
}

// best returns the candidate with the higher coverage, the current one on a tie.
func (query *queryRow) best() *candidate {
	if query.fallback != nil && query.fallback.better(&query.current) {
		return query.fallback
	}
	return &query.current
}

// finishIfDone answers the query if there is nothing left to wait for.
func (gatherer *Gatherer) finishIfDone(query *queryRow) bool {
	if query.pendingShards == 0 || query.service.floorOutOfReach(query) || query.fallback != nil && query.fallback.complete() {
		gatherer.answer(query)
		return true
	}
	return gatherer.answerIfDue(query)
}

// answer answers the query from its candidate with the higher coverage and cancels its remaining attempts.
func (gatherer *Gatherer) answer(query *queryRow) {
	chosen := query.best()
	answer := &carobthread.AnswerQuery{
		Query:             query.id,
		Service:           query.service.config.Name,
		Coverage:          carobthread.Coverage{Answered: uint32(chosen.answered), Total: uint32(len(chosen.shards))},
		Snapshot:          chosen.snapshot,
		Layout:            chosen.layout.generation,
		SnapshotAgeMicros: chosen.age,
		Merge:             make([]carobthread.AttemptID, 0, chosen.answered),
		Attempts:          query.sent,
	}
	for shard := range chosen.shards {
		state := &chosen.shards[shard]
		if state.reply != 0 {
			answer.Merge = append(answer.Merge, state.reply)
			continue
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, carobthread.MissingShard{
			Shard:  uint32(shard),
			Reason: gatherer.missingReason(state),
		})
		gatherer.reportBlocked(answer, query, uint32(shard), state)
	}
	if query.service.config.FloorRequired && !query.service.floorMet(chosen) {
		answer.Failed = true
		answer.NotRun = query.mayHaveRun == 0
		answer.RetryAfterMicros = gatherer.retryAfterAnswer(query).Microseconds()
	}
	if !answer.Failed || gatherer.now >= query.deadline {
		query.service.history.Record(gatherer.now.Sub(query.arrived))
	}
	gatherer.stats.Answers++
	if chosen.complete() {
		gatherer.stats.CompleteAnswers++
	}
	gatherer.finish(query)
	gatherer.actions = append(gatherer.actions, carobthread.Action{Answer: answer})
}

// missingReason returns why the shard is missing from an answer that is given now.
func (gatherer *Gatherer) missingReason(state *shardState) carobthread.Reason {
	switch {
	case state.inFlightCount > 0 && gatherer.stop.Ended(gatherer.now):
		return carobthread.ReasonStopping
	case state.inFlightCount > 0:
		return carobthread.ReasonTimeout
	case state.waiting:
		return carobthread.ReasonNoSlot
	case state.reason != "":
		return state.reason
	}
	return carobthread.ReasonTimeout
}

// abandon ends a query whose caller has disconnected.
func (gatherer *Gatherer) abandon(id carobthread.QueryID) {
	query := gatherer.queries[id]
	if query == nil {
		return
	}
	gatherer.stats.CallersGone++
	gatherer.finish(query)
}

// finish cancels the query's remaining attempts and removes it from the tables.
func (gatherer *Gatherer) finish(query *queryRow) {
	for shard := range query.current.shards {
		state := &query.current.shards[shard]
		if state.inFlightCount > 0 {
			gatherer.cancelInFlight(query, state)
		}
		if state.waiting {
			gatherer.stopWaiting(query, uint32(shard))
		}
	}
	if query.heapIndex >= 0 {
		heap.Remove(&gatherer.timers, query.heapIndex)
	}
	delete(gatherer.queries, query.id)
	query.current.layout.refCount--
	if query.fallback != nil {
		query.fallback.layout.refCount--
	}
	if gatherer.usesCurrentPolicy() {
		query.service.admission.Finish(gatherer.now.Sub(query.arrived))
	}
	shards := query.current.shards
	clear(shards)
	*query = queryRow{heapIndex: -1}
	query.current.shards = shards[:0]
	gatherer.freeQueries.give(query)
}
