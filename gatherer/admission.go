package gatherer

// A query that can't be answered in time, or that would exceed a limit, is refused before any attempt is sent.

import (
	"cmp"
	"time"

	"carobthread"
	"carobthread/scheduler"
)

// waitMargin is the safety factor on the estimated wait for a slot: this multiple of it must fit into the time left.
// At twice the capacity and a deadline of four median latencies, up to 32 of 17,000 admitted queries miss a shard with a
// factor of 2, and at most 2 with a factor of 4.
const waitMargin = 4

// noReplicaRetryAfter is the retry delay given to a caller whose query needs shards without a searcher: about one update
// interval of the list of searchers.
const noReplicaRetryAfter = 500 * time.Millisecond

// servingAge is how long a shard counts as serving after the last reply from any of its replicas; a busy shard replies many
// times within it.
const servingAge = 100 * time.Millisecond

func validateQuery(service *serviceRow, arrived *carobthread.QueryArrived) carobthread.Reason {
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

// admit refuses a query that cannot reach its coverage floor by its deadline or that exceeds the service's concurrency
// limit.
func (gatherer *Gatherer) admit(service *serviceRow, plan *queryPlan, arrived *carobthread.QueryArrived, deadline carobthread.Instant) bool {
	left := deadline.Sub(gatherer.now)
	if service.config.FloorRequired && !gatherer.admitReachable(service, plan, arrived) {
		return false
	}
	if left < service.latency.p10 {
		gatherer.refuse(arrived, carobthread.ReasonDeadlineTooShort, 0)
		return false
	}
	if service.config.FloorRequired {
		newcomer := queryRow{service: service, sequence: gatherer.nextQuery + 1}
		newcomer.setDeadlines(gatherer.now, deadline, arrived.SoftDeadline)
		if wait := gatherer.floorWait(&newcomer, plan.layout); wait.excess > 0 {
			gatherer.refuseOverloaded(arrived, &newcomer, wait)
			return false
		}
	}
	overloaded := !service.config.FloorRequired && service.waiting > 0 && gatherer.cannotAnswerInTime(service, plan, left)
	if overloaded || !service.admission.Admit() {
		gatherer.refuse(arrived, carobthread.ReasonOverload, service.admission.RetryAfter())
		return false
	}
	return true
}

// cannotAnswerInTime reports whether a serving shard's queue is too long for the time left, or whether so many shards have
// such a queue that the floor cannot be met.
func (gatherer *Gatherer) cannotAnswerInTime(service *serviceRow, plan *queryPlan, left time.Duration) bool {
	inTime := 0
	for i := range plan.layout.shards {
		row := &plan.layout.shards[i]
		if waitMargin*gatherer.queueWait(row)+service.latency.median+service.latency.hedge <= left {
			inTime++
			continue
		}
		if gatherer.serving(row) {
			return true
		}
	}
	return inTime < service.required(len(plan.layout.shards))
}

// queueWait estimates how long it takes until all attempts that wait for a slot of the shard have got one, or until one of its
// searchers takes requests again if none does.
func (gatherer *Gatherer) queueWait(row *shardRow) time.Duration {
	throttled := gatherer.throttledFor(row)
	if len(row.waiting) == 0 {
		return throttled
	}
	rate := gatherer.drainRate(row)
	if rate == 0 {
		return cmp.Or(throttled, maxLatency)
	}
	return scheduler.Duration(len(row.waiting), rate)
}

// drainRate estimates how many attempts per second of the shard's service its searchers take.
func (gatherer *Gatherer) drainRate(row *shardRow) float64 {
	rate := 0.0
	for i := range row.replicas {
		replica := row.replicas[i].row
		if replica.searcher.usable() {
			rate += gatherer.throughput(replica)
		}
	}
	return rate
}

// expectedLatency returns the replica's latency estimate in nanoseconds, but at least the service's median and at least 1
// ms.
func (gatherer *Gatherer) expectedLatency(replica *replicaRow) float64 {
	return max(replica.latency, float64(max(time.Millisecond, replica.service.latency.median)))
}

// serving reports whether a replica of the shard has replied recently.
// A shard without such a replica is likely to be missing from the answer however short its queue is; the coverage floor
// allows for that.
func (gatherer *Gatherer) serving(row *shardRow) bool {
	for i := range row.replicas {
		replica := row.replicas[i].row
		if replica.searcher.usable() && replica.sampledAt != 0 && gatherer.now.Sub(replica.sampledAt) < servingAge {
			return true
		}
	}
	return false
}

// slots returns the total in-flight limit of the shard's usable replicas.
func (row *shardRow) slots() int {
	slots := 0
	for i := range row.replicas {
		if searcher := row.replicas[i].row.searcher; searcher.usable() {
			slots += searcher.limit.Limit()
		}
	}
	return slots
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
