package gatherer

// An attempt is sent, queued for a slot, or not sent at all because its shard is closed.
// Only send puts an attempt in flight, and only release takes it out again, so the counts
// of searchers and of the tables agree.

import (
	"time"

	"carobthread"
)

// pollInterval is the least time between two tries to hedge or retry what the budget or the slots did not permit.
const pollInterval = time.Millisecond

// sendChunk is the number of attempts that share one allocation.
const sendChunk = 32

// dispatch sends an attempt at a shard, queues it for a slot or closes the shard.
func (gatherer *Gatherer) dispatch(query *queryRow, shard uint32, kind carobthread.AttemptKind) {
	index, found := gatherer.choose(query, shard)
	if index >= 0 {
		gatherer.send(query, shard, index, kind, found)
		return
	}
	if found == classSaturated && gatherer.enqueue(query, shard, kind) {
		return
	}
	if kind != carobthread.AttemptFirst && gatherer.inForce() {
		gatherer.refund(query, shard)
	}
	gatherer.closeShard(query, shard, reasonOf(found))
}

// closeShard gives up on a shard of the current candidate; an earlier reason stays.
func (gatherer *Gatherer) closeShard(query *queryRow, shard uint32, reason carobthread.Reason) {
	state := &query.current.shards[shard]
	state.closed = true
	state.checkAt = 0
	if state.reason == "" {
		state.reason = reason
	}
	query.open--
}

// send sends an attempt to the replica with that index; the caller has checked deadline, slot and budget.
func (gatherer *Gatherer) send(query *queryRow, shard uint32, index int, kind carobthread.AttemptKind, found class) {
	service := query.service
	replica := query.current.layout.shards[shard].replicas[index].row
	inputs := gatherer.inputs(replica, found)
	gatherer.nextAttempt++
	attempt := gatherer.newAttempt()
	*attempt = attemptRow{
		id:      gatherer.nextAttempt,
		query:   query,
		shard:   shard,
		index:   index,
		replica: replica,
		sentAt:  gatherer.now,
		kind:    kind,
		unbound: !query.current.bound,
	}
	gatherer.attempts[attempt.id] = attempt
	replica.inFlight++
	replica.searcher.limit.Start()
	state := &query.current.shards[shard]
	state.flights[state.flying] = attempt
	state.flying++
	state.sent++
	state.tried |= replicaBit(index)
	state.reached |= replicaBit(index)
	state.unpaid = false
	state.checkAt = 0
	if delay := service.hedgeDelay(); delay > 0 && gatherer.inForce() {
		if state.flying > 1 && service.latency.median > 0 {
			// The shard is late already, and with 120 shards one hedge in twenty is late itself.
			delay = min(delay, service.latency.median/3)
		}
		state.checkAt = gatherer.now.Add(delay)
		gatherer.wake(query, state.checkAt)
	}
	query.sent++
	query.unproven++
	gatherer.stats.countSend(kind)
	if kind == carobthread.AttemptFirst {
		service.budget.Deposit()
	}
	gatherer.emitSend(attempt, inputs)
}

// inputs tells what decided for the replica.
func (gatherer *Gatherer) inputs(replica *replicaRow, found class) carobthread.ChoiceInputs {
	inputs := carobthread.ChoiceInputs{
		Class:    found.String(),
		InFlight: replica.searcher.limit.Running(),
		Limit:    replica.searcher.limit.Limit(),
		Estimate: time.Duration(replica.latency),
	}
	if replica.seenAt != 0 {
		inputs.EstimateAge = gatherer.now.Sub(replica.seenAt)
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

// hedge sends a second or third attempt at a shard whose attempts are later than the service's quantile.
func (gatherer *Gatherer) hedge(query *queryRow, shard uint32) {
	state := &query.current.shards[shard]
	service := query.service
	state.checkAt = 0
	if query.group(shard) != nil {
		gatherer.noteStalls(state)
	}
	if state.flying >= maxFlights || state.sent >= maxAttempts || state.full(service) || service.config.Once {
		return
	}
	if gatherer.now.Add(service.latency.fast) >= query.deadline {
		return
	}
	kind := carobthread.AttemptHedge
	if state.suspect() {
		kind = carobthread.AttemptRetry
	} else if from := gatherer.hedgeFrom(query, shard); gatherer.now < from {
		state.checkAt = from
		return
	}
	index, found := gatherer.choose(query, shard)
	if found > classSaturated {
		return
	}
	if index < 0 || !gatherer.pay(query, shard, kind) {
		gatherer.stats.BudgetRefused++
		state.checkAt = gatherer.now.Add(gatherer.payAgain(query, shard))
		return
	}
	gatherer.send(query, shard, index, kind, found)
}

// suspect reports whether an attempt in flight is at a searcher or data centre whose last outcomes were bad, such as a searcher re-admitted after an ejection.
// A late reply from it is treated as a failure even while hedging is off.
func (state *shardState) suspect() bool {
	for _, attempt := range state.flights[:state.flying] {
		searcher := attempt.replica.searcher
		if searcher.ejection.Suspect() || searcher.centre.suspect() {
			return true
		}
	}
	return false
}

// recover finds the next attempt for a shard that has none in flight, or moves the query, or closes the shard.
func (gatherer *Gatherer) recover(query *queryRow, shard uint32) {
	state := &query.current.shards[shard]
	if !gatherer.inForce() {
		gatherer.recoverBaseline(query, shard)
		return
	}
	if gatherer.now >= query.deadline || state.sent >= maxAttempts || query.service.config.Once && query.unproven > 0 {
		gatherer.closeShard(query, shard, carobthread.ReasonTimeout)
		return
	}
	index, found := gatherer.choose(query, shard)
	switch {
	case index >= 0 || found == classSaturated:
		if !state.unpaid && !gatherer.pay(query, shard, carobthread.AttemptRetry) {
			gatherer.stats.BudgetRefused++
			gatherer.checkLater(query, state, gatherer.payAgain(query, shard))
			return
		}
		gatherer.dispatch(query, shard, carobthread.AttemptRetry)
	case found == classTried:
		state.tried = 0
		gatherer.checkLater(query, state, time.Duration(state.sent)*max(pollInterval, query.service.latency.median))
	default:
		gatherer.recoverByMove(query, shard, reasonOf(found))
	}
}

func (gatherer *Gatherer) recoverByMove(query *queryRow, shard uint32, reason carobthread.Reason) {
	state := &query.current.shards[shard]
	if state.reason == "" {
		state.reason = reason
	}
	switch gatherer.move(query) {
	case moveUnpaid:
		gatherer.checkLater(query, state, pollInterval)
	case moveUseless:
		gatherer.closeShard(query, shard, reason)
	case moveDone:
	}
}

// checkLater keeps a shard without an attempt in flight open until the next check.
func (gatherer *Gatherer) checkLater(query *queryRow, state *shardState, wait time.Duration) {
	state.checkAt = gatherer.now.Add(wait)
	gatherer.wake(query, state.checkAt)
}

// recoverBaseline retries without a budget, up to three attempts in all, or not at all.
func (gatherer *Gatherer) recoverBaseline(query *queryRow, shard uint32) {
	const attempts = 3
	state := &query.current.shards[shard]
	if gatherer.options.RandomReplica || gatherer.now >= query.deadline || state.sent >= attempts {
		gatherer.closeShard(query, shard, carobthread.ReasonUpstreamFailed)
		return
	}
	gatherer.dispatch(query, shard, carobthread.AttemptRetry)
}

// cancelFlights cancels the attempts in flight at a shard.
func (gatherer *Gatherer) cancelFlights(query *queryRow, state *shardState) {
	for i := range state.flights[:state.flying] {
		attempt := state.flights[i]
		state.flights[i] = nil
		gatherer.observeCancelled(attempt)
		gatherer.actions = append(gatherer.actions, carobthread.Action{
			Cancel: &carobthread.CancelAttempt{Query: query.id, Attempt: attempt.id, Idle: gatherer.idle(attempt.replica.searcher)},
		})
		gatherer.stats.Cancelled++
		if gatherer.now >= query.deadline {
			gatherer.stats.Expired++
		}
		gatherer.release(attempt)
	}
	state.flying = 0
}

// removeFlight takes an attempt that has ended out of its shard.
func (state *shardState) removeFlight(attempt *attemptRow) {
	last := state.flying - 1
	for i := range state.flights[:state.flying] {
		if state.flights[i] == attempt {
			state.flights[i] = state.flights[last]
		}
	}
	state.flights[last] = nil
	state.flying = last
}

// release frees the slot and the row of an attempt that has ended.
func (gatherer *Gatherer) release(attempt *attemptRow) {
	replica := attempt.replica
	replica.inFlight--
	replica.searcher.limit.Finish()
	if !replica.searcher.freed && len(gatherer.waitingRows) > 0 {
		replica.searcher.freed = true
		gatherer.freed = append(gatherer.freed, replica.searcher)
	}
	delete(gatherer.attempts, attempt.id)
	*attempt = attemptRow{}
	gatherer.freeAttempts = append(gatherer.freeAttempts, attempt)
}

func (gatherer *Gatherer) newAttempt() *attemptRow {
	last := len(gatherer.freeAttempts) - 1
	if last < 0 {
		return &attemptRow{}
	}
	attempt := gatherer.freeAttempts[last]
	gatherer.freeAttempts = gatherer.freeAttempts[:last]
	return attempt
}
