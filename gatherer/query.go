package gatherer

// A query is refused before any attempt is sent, or it ends with exactly one answer unless its
// caller has gone.

import (
	"container/heap"
	"slices"
	"time"

	"carobthread"
)

// waitMargin is the factor by which the estimated wait for a slot must fit into the time left.
// At twice the capacity and a deadline of four medians, a factor of 2 makes up to 32 of 17,000 admitted queries miss a shard, and 4 at most 2.
const waitMargin = 4

// noReplicaRetry is when a query may come again whose shards have no searcher: about one interval of the list of searchers.
const noReplicaRetry = 500 * time.Millisecond

// servingAge is how long a shard counts as serving after the last reply of one of its replicas; it spans many replies of a busy shard.
const servingAge = 100 * time.Millisecond

// arrive plans a query and sends the first attempts, or refuses it before any attempt is sent.
func (gatherer *Gatherer) arrive(arrived *carobthread.QueryArrived) {
	if gatherer.queries[arrived.Query] != nil {
		gatherer.stats.DuplicateQueries++
		return
	}
	service := gatherer.services[arrived.Service]
	if reason := checkArrived(service, arrived); reason != "" {
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
	plan := gatherer.planFor(service)
	if plan.layout == nil {
		gatherer.refuse(arrived, carobthread.ReasonNotReady, 0)
		return
	}
	gatherer.countRequest(plan.layout)
	if gatherer.inForce() && !gatherer.admit(service, plan, arrived, deadline) {
		return
	}
	gatherer.start(service, plan, arrived.Query, deadline)
}

func checkArrived(service *serviceRow, arrived *carobthread.QueryArrived) carobthread.Reason {
	switch {
	case service == nil || !service.known:
		return carobthread.ReasonUnknownService
	case service.config.Kind != carobthread.KindSearch:
		return carobthread.ReasonWrongKind
	case service.config.MaxRequestSize > 0 && arrived.Size > service.config.MaxRequestSize:
		return carobthread.ReasonTooLarge
	}
	return ""
}

// admit refuses a query that cannot reach its coverage floor by its deadline, or that exceeds the service's limit.
func (gatherer *Gatherer) admit(service *serviceRow, plan *target, arrived *carobthread.QueryArrived, deadline carobthread.Instant) bool {
	left := deadline.Sub(gatherer.now)
	if service.config.FloorRequired && !gatherer.admitReachable(service, plan, arrived) {
		return false
	}
	if left < service.latency.fast {
		gatherer.refuse(arrived, carobthread.ReasonDeadlineTooShort, 0)
		return false
	}
	if service.config.FloorRequired {
		if wait := gatherer.timeToFloor(service, plan); wait > 0 {
			inputs := carobthread.RefusalInputs{Waiting: service.waiting, WaitEstimate: wait}
			gatherer.refuseFor(arrived, carobthread.ReasonOverload, gatherer.spread(wait), inputs)
			return false
		}
	}
	overloaded := !service.config.FloorRequired && service.waiting > 0 && gatherer.unanswerable(service, plan, left)
	if overloaded || !service.admission.Admit() {
		gatherer.refuse(arrived, carobthread.ReasonOverload, service.admission.RetryAfter())
		return false
	}
	return true
}

// timeToFloor estimates how long the queues of a service's shards take to become so short that a new query reaches its
// floor by its soft deadline; 0 if they are short enough now.
//
// Under a load that some shards cannot carry, the queries that are admitted would otherwise all be answered late.
func (gatherer *Gatherer) timeToFloor(service *serviceRow, plan *target) time.Duration {
	if service.waiting == 0 {
		return 0
	}
	permitted := service.config.SoftDeadline - service.latency.median
	excess := make([]time.Duration, len(plan.layout.shards))
	for i := range plan.layout.shards {
		excess[i] = gatherer.queueTime(&plan.layout.shards[i]) - permitted
	}
	slices.Sort(excess)
	return max(0, excess[service.required(len(excess))-1])
}

// spread lengthens the time after which a refused caller may return by up to a half, so that callers who were refused
// together do not return together.
func (gatherer *Gatherer) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(gatherer.random.Float64()*float64(wait)/2)
}

// unanswerable reports whether a shard that serves has a queue too long for the time left, or so many shards have one that the floor cannot be met.
func (gatherer *Gatherer) unanswerable(service *serviceRow, plan *target, left time.Duration) bool {
	inTime := 0
	for i := range plan.layout.shards {
		row := &plan.layout.shards[i]
		if waitMargin*gatherer.queueTime(row)+service.latency.median+service.latency.hedge <= left {
			inTime++
			continue
		}
		if gatherer.serving(row) {
			return true
		}
	}
	return inTime < service.required(len(plan.layout.shards))
}

// queueTime estimates how long the attempts that wait for a slot of the shard take to get one.
func (gatherer *Gatherer) queueTime(row *shardRow) time.Duration {
	if len(row.waiting) == 0 {
		return 0
	}
	rate := 0.0
	for i := range row.replicas {
		replica := row.replicas[i].row
		if replica.searcher.usable() {
			rate += float64(replica.searcher.limit.Limit()) / gatherer.expectedLatency(replica)
		}
	}
	if rate == 0 {
		return maxLatency
	}
	return time.Duration(float64(len(row.waiting)) / rate)
}

// expectedLatency is the replica's own estimate, at least the service's median.
func (gatherer *Gatherer) expectedLatency(replica *replicaRow) float64 {
	return max(replica.latency, float64(max(time.Millisecond, replica.service.latency.median)))
}

// serving reports whether a replica of the shard has replied recently.
// A shard without one is likely to be missing whatever its queue, which the coverage floor allows for.
func (gatherer *Gatherer) serving(row *shardRow) bool {
	for i := range row.replicas {
		replica := row.replicas[i].row
		if replica.searcher.usable() && replica.seenAt != 0 && gatherer.now.Sub(replica.seenAt) < servingAge {
			return true
		}
	}
	return false
}

// slots returns how many attempts the shard's usable replicas may have in flight together.
func (row *shardRow) slots() int {
	slots := 0
	for i := range row.replicas {
		if searcher := row.replicas[i].row.searcher; searcher.usable() {
			slots += searcher.limit.Limit()
		}
	}
	return slots
}

func (gatherer *Gatherer) start(service *serviceRow, plan *target, id carobthread.QueryID, deadline carobthread.Instant) {
	query := gatherer.newQuery()
	shards := query.current.shards[:0]
	gatherer.nextQuery++
	*query = queryRow{
		id:       id,
		sequence: gatherer.nextQuery,
		service:  service,
		current:  newCandidate(plan, shards),
		arrived:  gatherer.now,
		soft:     deadline,
		deadline: deadline,
		position: -1,
	}
	if service.latencyFirst() && !gatherer.options.RandomReplica {
		query.soft = min(deadline, gatherer.now.Add(service.config.SoftDeadline))
	}
	query.due = min(query.soft, max(gatherer.now, query.lastStart()))
	query.open = len(query.current.shards)
	gatherer.queries[id] = query
	gatherer.actions = slices.Grow(gatherer.actions, query.open+1)
	if cap(gatherer.sends)-len(gatherer.sends) < query.open {
		gatherer.sends = make([]carobthread.SendAttempt, 0, max(sendChunk, query.open))
	}
	for shard := range query.current.shards {
		gatherer.dispatch(query, uint32(shard), carobthread.AttemptFirst)
	}
	if !gatherer.finishIfDone(query) {
		heap.Push(&gatherer.timers, query)
	}
}

// best returns the better covered of the query's candidates, the current one on a tie.
func (query *queryRow) best() *candidate {
	if query.earlier != nil && query.earlier.better(&query.current) {
		return query.earlier
	}
	return &query.current
}

// finishIfDone answers the query if nothing is left to wait for.
func (gatherer *Gatherer) finishIfDone(query *queryRow) bool {
	if query.open == 0 || query.service.floorLost(query) || query.earlier != nil && query.earlier.complete() {
		gatherer.answer(query)
		return true
	}
	return gatherer.answerIfDue(query)
}

// answer answers the query from its better covered candidate and ends its attempts.
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
			Reason: state.missingReason(),
		})
	}
	if query.service.config.FloorRequired && !query.service.floorMet(chosen) {
		answer.Failed = true
		answer.NotRun = query.unproven == 0
		answer.RetryAfterMicros = query.service.admission.RetryAfter().Microseconds()
	}
	gatherer.stats.Answers++
	if chosen.complete() {
		gatherer.stats.CompleteAnswers++
	}
	gatherer.finish(query)
	gatherer.actions = append(gatherer.actions, carobthread.Action{Answer: answer})
}

// missingReason states why the shard is not part of an answer given now.
func (state *shardState) missingReason() carobthread.Reason {
	switch {
	case state.flying > 0:
		return carobthread.ReasonTimeout
	case state.waiting:
		return carobthread.ReasonNoSlot
	case state.reason != "":
		return state.reason
	}
	return carobthread.ReasonTimeout
}

// abandon ends a query that nobody waits for.
func (gatherer *Gatherer) abandon(id carobthread.QueryID) {
	query := gatherer.queries[id]
	if query == nil {
		return
	}
	gatherer.stats.CallersGone++
	gatherer.finish(query)
}

// finish ends the query's attempts and removes it from the tables.
func (gatherer *Gatherer) finish(query *queryRow) {
	for shard := range query.current.shards {
		state := &query.current.shards[shard]
		if state.flying > 0 {
			gatherer.cancelFlights(query, state)
		}
		if state.waiting {
			gatherer.stopWaiting(query, uint32(shard))
		}
	}
	if query.position >= 0 {
		heap.Remove(&gatherer.timers, query.position)
	}
	delete(gatherer.queries, query.id)
	query.current.layout.users--
	if query.earlier != nil {
		query.earlier.layout.users--
	}
	if gatherer.inForce() {
		query.service.admission.Leave(gatherer.now.Sub(query.arrived))
	}
	shards := query.current.shards
	clear(shards)
	*query = queryRow{position: -1}
	query.current.shards = shards[:0]
	gatherer.freeQueries = append(gatherer.freeQueries, query)
}

func (gatherer *Gatherer) newQuery() *queryRow {
	last := len(gatherer.freeQueries) - 1
	if last < 0 {
		return &queryRow{}
	}
	query := gatherer.freeQueries[last]
	gatherer.freeQueries = gatherer.freeQueries[:last]
	return query
}

func (gatherer *Gatherer) refuse(arrived *carobthread.QueryArrived, reason carobthread.Reason, retryAfter time.Duration) {
	gatherer.refuseFor(arrived, reason, retryAfter, carobthread.RefusalInputs{})
}

func (gatherer *Gatherer) refuseFor(arrived *carobthread.QueryArrived, reason carobthread.Reason, retryAfter time.Duration, inputs carobthread.RefusalInputs) {
	gatherer.stats.Refusals[reason]++
	gatherer.actions = append(gatherer.actions, carobthread.Action{Refuse: &carobthread.RefuseQuery{
		Query:            arrived.Query,
		Service:          arrived.Service,
		Reason:           reason,
		RetryAfterMicros: retryAfter.Microseconds(),
		Inputs:           inputs,
	}})
}
