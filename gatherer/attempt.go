package gatherer

// An attempt is sent, queued for a slot, or not sent at all because its shard is closed.
// Only send puts an attempt in flight and only release ends it, which keeps the counts of the
// searchers and the attempt table consistent.

import (
	"time"

	"carobthread"
)

// pollInterval is the shortest time before a hedge or retry that the budget or the slots did not permit is tried again.
const pollInterval = time.Millisecond

// sendChunk is the number of SendAttempt actions that are allocated together.
const sendChunk = 32

// dispatch sends an attempt to a shard, queues it for a slot, or closes the shard if neither is possible.
func (gatherer *Gatherer) dispatch(query *queryRow, shard uint32, kind carobthread.AttemptKind) {
	index, class := gatherer.choose(query, shard)
	if index >= 0 {
		gatherer.send(query, shard, index, kind, class)
		return
	}
	if class.waits() && gatherer.enqueue(query, shard, kind) {
		return
	}
	if kind != carobthread.AttemptFirst && gatherer.usesCurrentPolicy() {
		gatherer.refund(query, shard, gatherer.now)
	}
	cause := carobthread.BlockedNoReplica
	if class.waits() {
		cause = carobthread.BlockedNoSlot
	}
	query.current.shards[shard].setBlocked(cause, class)
	gatherer.closeShard(query, shard, reasonForClass(class))
}

// closeShard gives up on a shard of the current candidate; the first reason recorded for the shard is kept.
func (gatherer *Gatherer) closeShard(query *queryRow, shard uint32, reason carobthread.Reason) {
	state := &query.current.shards[shard]
	state.closed = true
	state.checkAt = 0
	if state.reason == "" {
		state.reason = reason
	}
	query.pendingShards--
}

// send sends an attempt to the replica at the index. The caller must have checked the deadline, the free slot and the
// budget.
func (gatherer *Gatherer) send(query *queryRow, shard uint32, index int, kind carobthread.AttemptKind, class replicaClass) {
	service := query.service
	replica := query.current.layout.shards[shard].replicas[index].row
	inputs := gatherer.inputs(replica, class)
	state := &query.current.shards[shard]
	gatherer.nextAttempt++
	attempt := gatherer.freeAttempts.take()
	*attempt = attemptRow{
		id:       gatherer.nextAttempt,
		query:    query,
		shard:    shard,
		index:    index,
		replica:  replica,
		sentAt:   gatherer.now,
		kind:     kind,
		unpinned: !query.current.pinned,

		reachesNew: !state.reached.has(index),
	}
	gatherer.attempts[attempt.id] = attempt
	replica.inFlight++
	replica.searcher.workSent += service.expectedWork()
	replica.servedAt = replica.searcher.workSent
	replica.searcher.limit.Start()
	replica.searcher.rate.Take(gatherer.now)
	gatherer.countCold(replica.searcher)
	gatherer.recordSent(attempt)
	state.inFlightAttempts[state.inFlightCount] = attempt
	state.inFlightCount++
	state.sent++
	state.tried.add(index)
	state.reached.add(index)
	state.freeRetry = false
	state.checkAt = 0
	state.blocked = carobthread.BlockedNotChecked
	if delay := service.hedgeDelay(); delay > 0 && gatherer.usesCurrentPolicy() {
		if state.inFlightCount > 1 && service.latency.median > 0 {
			// The shard is already late, and with 120 shards one hedge in twenty is late as well.
			delay = min(delay, service.latency.median/3)
		}
		state.checkAt = gatherer.now.Add(delay)
		gatherer.wake(query, state.checkAt)
	}
	query.sent++
	query.mayHaveRun++
	gatherer.stats.countSend(kind)
	if kind == carobthread.AttemptFirst {
		service.budget.Deposit()
	}
	gatherer.emitSend(attempt, inputs)
}

// inputs returns the values that the choice of the replica was based on.
func (gatherer *Gatherer) inputs(replica *replicaRow, class replicaClass) carobthread.ChoiceInputs {
	inputs := carobthread.ChoiceInputs{
		Class:    class.String(),
		InFlight: replica.searcher.limit.Running(),
		Limit:    replica.searcher.limit.Limit(),
		Estimate: time.Duration(replica.latency),
	}
	if replica.sampledAt != 0 {
		inputs.EstimateAge = gatherer.now.Sub(replica.sampledAt)
	}
	return inputs
}

func (gatherer *Gatherer) emitSend(attempt *attemptRow, inputs carobthread.ChoiceInputs) {
	if len(gatherer.sends) == cap(gatherer.sends) {
		gatherer.sends = make([]carobthread.SendAttempt, 0, sendChunk)
	}
	query := attempt.query
	gatherer.sends = append(gatherer.sends, carobthread.SendAttempt{
		Query:    query.id,
		Attempt:  attempt.id,
		Kind:     attempt.kind,
		Service:  query.service.config.Name,
		Shard:    attempt.shard,
		Searcher: attempt.replica.searcher.config.Name,
		Snapshot: query.current.snapshot,
		Layout:   query.current.layout.generation,
		Deadline: query.deadline,
		Inputs:   inputs,
	})
	gatherer.actions = append(gatherer.actions, carobthread.Action{Send: &gatherer.sends[len(gatherer.sends)-1]})
}

// hedge sends a second or third attempt to a shard whose attempts in flight have exceeded the hedge delay.
func (gatherer *Gatherer) hedge(query *queryRow, shard uint32) {
	state := &query.current.shards[shard]
	state.checkAt = 0
	if query.group(shard) != nil {
		gatherer.markStalled(state)
	}
	if cause := gatherer.hedgeBlock(query, state); cause != carobthread.BlockedNotChecked {
		state.setBlocked(cause, classGone)
		return
	}
	kind := carobthread.AttemptHedge
	if state.suspect() {
		kind = carobthread.AttemptRetry
	} else if pausedUntil := gatherer.hedgingPausedUntil(query, shard); gatherer.now < pausedUntil {
		state.checkAt = pausedUntil
		state.setBlocked(carobthread.BlockedPaused, classGone)
		return
	}
	index, class := gatherer.choose(query, shard)
	if class > classThrottled && class != classCold && (class != classUnheld || gatherer.coordinators.live == 0) {
		state.setBlocked(carobthread.BlockedNoReplica, class)
		return
	}
	noSlot := index < 0 || class == classReserved
	if noSlot || !gatherer.takeBudget(query, shard, kind) {
		gatherer.stats.BudgetRefused++
		state.setBlocked(carobthread.BlockedBudget, class)
		if noSlot {
			state.setBlocked(carobthread.BlockedNoSlot, class)
		}
		state.checkAt = gatherer.now.Add(gatherer.budgetRetryDelay(query, shard))
		return
	}
	gatherer.send(query, shard, index, kind, class)
}

// suspect reports whether an attempt is in flight to a searcher or data centre with recent bad outcomes, such as a searcher
// re-admitted after an ejection. A late reply from it is treated as a failure, so the shard is retried even while hedging is
// paused.
func (state *shardState) suspect() bool {
	for _, attempt := range state.inFlightAttempts[:state.inFlightCount] {
		searcher := attempt.replica.searcher
		if searcher.ejection.Suspect() || searcher.centre.suspect() {
			return true
		}
	}
	return false
}

// recover retries a shard that has no attempt in flight, moves the query to another snapshot or layout, or closes the shard.
func (gatherer *Gatherer) recover(query *queryRow, shard uint32) {
	state := &query.current.shards[shard]
	if !gatherer.usesCurrentPolicy() {
		gatherer.recoverBaseline(query, shard)
		return
	}
	if gatherer.now >= query.deadline || state.sent >= maxAttempts || query.service.config.AtMostOnce && query.mayHaveRun > 0 {
		state.setBlocked(gatherer.recoverBlock(query, state), classGone)
		gatherer.closeShard(query, shard, carobthread.ReasonTimeout)
		return
	}
	index, class := gatherer.choose(query, shard)
	switch {
	case index >= 0 || class.waits():
		if !state.freeRetry && !gatherer.takeBudget(query, shard, carobthread.AttemptRetry) {
			gatherer.stats.BudgetRefused++
			state.setBlocked(carobthread.BlockedBudget, class)
			gatherer.checkLater(query, state, gatherer.budgetRetryDelay(query, shard))
			return
		}
		gatherer.dispatch(query, shard, carobthread.AttemptRetry)
	case class == classTried && query.withheld:
		state.setBlocked(carobthread.BlockedNotGranted, class)
		state.checkAt = 0 // until the grant
		gatherer.wantGrant(query)
	case class == classTried:
		state.setBlocked(carobthread.BlockedNoReplica, class)
		state.tried.clear()
		gatherer.checkLater(query, state, time.Duration(max(1, state.sent))*max(pollInterval, query.service.latency.median))
	default:
		state.setBlocked(carobthread.BlockedNoReplica, class)
		gatherer.recoverByMove(query, shard, reasonForClass(class))
	}
}

func (gatherer *Gatherer) recoverByMove(query *queryRow, shard uint32, reason carobthread.Reason) {
	state := &query.current.shards[shard]
	if state.reason == "" {
		state.reason = reason
	}
	switch gatherer.move(query) {
	case moveOverBudget:
		gatherer.checkLater(query, state, pollInterval)
	case moveNotWorthwhile:
		gatherer.closeShard(query, shard, reason)
	case moveDone:
	}
}

// checkLater schedules the next check of a shard without an attempt in flight, which stays open until then.
func (gatherer *Gatherer) checkLater(query *queryRow, state *shardState, wait time.Duration) {
	state.checkAt = gatherer.now.Add(wait)
	gatherer.wake(query, state.checkAt)
}

// cancelInFlight cancels the shard's attempts in flight.
func (gatherer *Gatherer) cancelInFlight(query *queryRow, state *shardState) {
	for i := range state.inFlightAttempts[:state.inFlightCount] {
		attempt := state.inFlightAttempts[i]
		state.inFlightAttempts[i] = nil
		gatherer.observeCancelled(attempt)
		gatherer.actions = append(gatherer.actions, carobthread.Action{
			Cancel: &carobthread.CancelAttempt{Query: query.id, Attempt: attempt.id, MayFinish: gatherer.idle(attempt.replica.searcher)},
		})
		gatherer.stats.Cancelled++
		if gatherer.now >= query.deadline {
			gatherer.stats.Expired++
		}
		gatherer.release(attempt)
	}
	state.inFlightCount = 0
}

// removeInFlight removes a finished attempt from its shard's attempts in flight.
func (state *shardState) removeInFlight(attempt *attemptRow) {
	last := state.inFlightCount - 1
	for i := range state.inFlightAttempts[:state.inFlightCount] {
		if state.inFlightAttempts[i] == attempt {
			state.inFlightAttempts[i] = state.inFlightAttempts[last]
		}
	}
	state.inFlightAttempts[last] = nil
	state.inFlightCount = last
}

// release frees the slot and the table row of a finished attempt.
func (gatherer *Gatherer) release(attempt *attemptRow) {
	replica := attempt.replica
	replica.inFlight--
	replica.searcher.limit.Finish()
	attempt.recordEnded()
	if !replica.searcher.freed && len(gatherer.waitingShards) > 0 {
		replica.searcher.freed = true
		gatherer.freed = append(gatherer.freed, replica.searcher)
	}
	delete(gatherer.attempts, attempt.id)
	*attempt = attemptRow{}
	gatherer.freeAttempts.give(attempt)
}
