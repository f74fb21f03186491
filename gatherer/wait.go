package gatherer

// Attempts without a free slot wait in a bounded queue of their shard, oldest first, until a
// slot is free or the query ends. A waiting attempt is paid for; leaving the queue refunds it.

import (
	"slices"
	"time"

	"carobthread"
)

// waitingPollInterval is how soon a queue is looked at again without a reply, since limits rise and ejections end by time.
const waitingPollInterval = 5 * time.Millisecond

// waiter is an attempt that waits for a free slot of one of its shard's replicas.
type waiter struct {
	query *queryRow
	shard uint32
	kind  carobthread.AttemptKind
}

// enqueue makes an attempt wait for a slot; false if the shard's queue is full.
func (gatherer *Gatherer) enqueue(query *queryRow, shard uint32, kind carobthread.AttemptKind) bool {
	row := &query.current.layout.shards[shard]
	if len(row.waiting) >= maxWaiting {
		gatherer.stats.QueueFull++
		return false
	}
	row.waiting = append(row.waiting, waiter{query: query, shard: shard, kind: kind})
	if !row.listed {
		row.listed = true
		gatherer.waitingRows = append(gatherer.waitingRows, row)
	}
	state := &query.current.shards[shard]
	state.waiting = true
	state.checkAt = 0
	query.waiting++
	query.service.waiting++
	gatherer.stats.Waited++
	return true
}

// stopWaiting takes a shard's attempt out of its queue and refunds it.
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

// dequeue removes a waiter and refunds it; the caller pays again if it sends the attempt.
func (gatherer *Gatherer) dequeue(row *shardRow, index int) {
	entry := row.waiting[index]
	row.waiting = slices.Delete(row.waiting, index, index+1)
	entry.query.current.shards[entry.shard].waiting = false
	entry.query.waiting--
	entry.query.service.waiting--
	if entry.kind != carobthread.AttemptFirst {
		gatherer.refund(entry.query, entry.shard)
	}
}

// pumpFreed sends the attempts that wait for slots that became free in this step.
func (gatherer *Gatherer) pumpFreed() {
	for i := 0; i < len(gatherer.freed); i++ {
		searcher := gatherer.freed[i]
		searcher.freed = false
		for _, row := range searcher.serves {
			gatherer.pump(row, true)
		}
		for _, row := range searcher.serves {
			gatherer.pump(row, false)
		}
	}
	gatherer.freed = gatherer.freed[:0]
}

// pumpWaiting tries every shard with waiting attempts, since limits also rise and ejections end without a reply.
func (gatherer *Gatherer) pumpWaiting() {
	if len(gatherer.waitingRows) == 0 {
		return
	}
	for i := 0; i < len(gatherer.waitingRows); i++ {
		gatherer.pump(gatherer.waitingRows[i], true)
		gatherer.pump(gatherer.waitingRows[i], false)
	}
	gatherer.waitingRows = slices.DeleteFunc(gatherer.waitingRows, func(row *shardRow) bool {
		row.listed = len(row.waiting) > 0
		return !row.listed
	})
}

// pump sends the waiting attempts of a shard, oldest first, as far as slots are free: either those whose queries can
// still be answered in time or the others. Under a load that the shard cannot carry, the oldest ones would otherwise
// take every slot and come too late one after the other.
func (gatherer *Gatherer) pump(row *shardRow, inTime bool) {
	for i := 0; i < len(row.waiting); {
		entry := row.waiting[i]
		if gatherer.inTime(entry.query) != inTime {
			i++
			continue
		}
		index, found := gatherer.choose(entry.query, entry.shard)
		if found == classSaturated {
			i++
			continue
		}
		gatherer.dequeue(row, i)
		gatherer.serve(entry, index, found)
	}
}

// inTime reports whether an attempt sent now is likely to be replied to before the query's soft deadline.
func (gatherer *Gatherer) inTime(query *queryRow) bool {
	return gatherer.now.Add(query.service.latency.median) <= query.soft
}

// serve sends an attempt that has left its queue, or recovers its shard if no replica is left.
func (gatherer *Gatherer) serve(entry waiter, index int, found class) {
	query := entry.query
	switch {
	case gatherer.answerIfDue(query):
		return
	case index < 0, entry.kind != carobthread.AttemptFirst && !gatherer.pay(query, entry.shard, entry.kind):
		gatherer.recover(query, entry.shard)
	default:
		gatherer.send(query, entry.shard, index, entry.kind, found)
	}
	gatherer.finishIfDone(query)
}
