package gatherer

// Attempts without a free slot, or without a token of a rate limit, wait in a bounded FIFO queue
// of their shard until there is one or the query ends. An extra attempt is charged to the budget before it is queued and refunded
// when it leaves the queue.

import (
	"slices"
	"time"

	"carobthread"
)

// waitingPollInterval is how often the queues are checked without a reply, since limits rise and ejections expire with time.
const waitingPollInterval = 5 * time.Millisecond

// waitingAttempt is an attempt that waits for a free slot on one of its shard's replicas.
type waitingAttempt struct {
	query *queryRow
	shard uint32
	kind  carobthread.AttemptKind
	// since is when the attempt was queued and, if it is an extra one, taken from the budget.
	since carobthread.Instant
}

// enqueue queues an attempt for a slot; it returns false if the shard's queue is full.
func (gatherer *Gatherer) enqueue(query *queryRow, shard uint32, kind carobthread.AttemptKind) bool {
	row := &query.current.layout.shards[shard]
	if len(row.waiting) >= maxWaiting {
		gatherer.stats.QueueFull++
		return false
	}
	row.waiting = append(row.waiting, waitingAttempt{query: query, shard: shard, kind: kind, since: gatherer.now})
	if !row.inWaitingShards {
		row.inWaitingShards = true
		gatherer.waitingShards = append(gatherer.waitingShards, row)
	}
	state := &query.current.shards[shard]
	state.waiting = true
	state.checkAt = 0
	query.waiting++
	query.service.waiting++
	gatherer.stats.Waited++
	return true
}

// stopWaiting removes the query's attempt from the shard's queue, if it is queued, and refunds it.
func (gatherer *Gatherer) stopWaiting(query *queryRow, shard uint32) {
	state := &query.current.shards[shard]
	if !state.waiting {
		return
	}
	row := &query.current.layout.shards[shard]
	for i := range row.waiting {
		if row.waiting[i].query == query {
			gatherer.dequeue(row, i)
			return
		}
	}
}

// dequeue removes a waiting attempt and refunds it; the caller must take it from the budget again to send it.
func (gatherer *Gatherer) dequeue(row *shardRow, index int) {
	entry := row.waiting[index]
	row.waiting = slices.Delete(row.waiting, index, index+1)
	entry.query.current.shards[entry.shard].waiting = false
	entry.query.waiting--
	entry.query.service.waiting--
	if entry.kind != carobthread.AttemptFirst {
		gatherer.refund(entry.query, entry.shard, entry.since)
	}
}

// sendWaitingOnFreed sends attempts that wait for the slots freed in this step.
func (gatherer *Gatherer) sendWaitingOnFreed() {
	for i := 0; i < len(gatherer.freed); i++ {
		searcher := gatherer.freed[i]
		searcher.freed = false
		for _, row := range searcher.servedShards {
			gatherer.sendWaiting(row, true)
		}
		for _, row := range searcher.servedShards {
			gatherer.sendWaiting(row, false)
		}
	}
	gatherer.freed = gatherer.freed[:0]
}

// sendAllWaiting tries to send the waiting attempts of every shard, since limits also rise and ejections expire without a
// reply.
func (gatherer *Gatherer) sendAllWaiting() {
	if len(gatherer.waitingShards) == 0 {
		return
	}
	for i := 0; i < len(gatherer.waitingShards); i++ {
		gatherer.sendWaiting(gatherer.waitingShards[i], true)
		gatherer.sendWaiting(gatherer.waitingShards[i], false)
	}
	gatherer.waitingShards = slices.DeleteFunc(gatherer.waitingShards, func(row *shardRow) bool {
		row.inWaitingShards = len(row.waiting) > 0
		return !row.inWaitingShards
	})
}

// sendWaiting sends the shard's waiting attempts, oldest first, while slots are free: either those whose queries can still
// be answered in time or, with inTime false, the others. Without this order, the oldest attempts of an overloaded shard
// would take every slot and each would be replied to too late.
func (gatherer *Gatherer) sendWaiting(row *shardRow, inTime bool) {
	for i := 0; i < len(row.waiting); {
		entry := row.waiting[i]
		if gatherer.inTime(entry.query) != inTime {
			i++
			continue
		}
		index, class := gatherer.choose(entry.query, entry.shard)
		if class.waits() {
			i++
			continue
		}
		gatherer.dequeue(row, i)
		gatherer.sendDequeued(entry, index, class)
	}
}

// inTime reports whether an attempt sent now is likely to get its reply by the query's soft deadline.
func (gatherer *Gatherer) inTime(query *queryRow) bool {
	return gatherer.now.Add(query.service.latency.median) <= query.softDeadline
}

// sendDequeued sends an attempt that has left its queue, or recovers its shard if no replica is left or the budget refuses
// it.
func (gatherer *Gatherer) sendDequeued(entry waitingAttempt, index int, class replicaClass) {
	query := entry.query
	switch {
	case gatherer.answerIfDue(query):
		return
	case index < 0, entry.kind != carobthread.AttemptFirst && !gatherer.takeBudget(query, entry.shard, entry.kind):
		gatherer.recover(query, entry.shard)
	default:
		gatherer.send(query, entry.shard, index, entry.kind, class)
	}
	gatherer.finishIfDone(query)
}
