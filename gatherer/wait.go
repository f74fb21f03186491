package gatherer

// Attempts without a free slot, or without a token of a rate limit, wait in a bounded queue of their shard and service until
// there is one or the query ends. Package scheduler decides which of the attempts that compete for a slot gets it. Attempts of
// all services and layouts compete that use a searcher. An extra attempt is charged to the budget before it is queued and
// refunded when it leaves the queue.

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/scheduler"
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

// competitor is a waiting attempt with its queue while the next attempt for a slot is chosen.
type competitor struct {
	waitingAttempt
	row *shardRow
	// sequence is that of the query, whose row is used again for another one after its end.
	sequence uint64
}

// enqueue queues an attempt for a slot; it returns false if the shard's queue is full of attempts that go before it.
func (gatherer *Gatherer) enqueue(query *queryRow, shard uint32, kind carobthread.AttemptKind) bool {
	row := &query.current.layout.shards[shard]
	if len(row.waiting) >= maxWaiting && !gatherer.makeRoom(query, row) {
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
	gatherer.waiting++
	gatherer.stats.Waited++
	return true
}

// makeRoom gives up the last query in the order of a full queue of which nothing has run, if it comes after the given one. It
// applies to services with a required floor, whose callers get a refusal instead of a partial answer.
func (gatherer *Gatherer) makeRoom(query *queryRow, row *shardRow) bool {
	if !query.service.config.FloorRequired {
		return false
	}
	last := gatherer.entry(query, row, nil)
	var victim *queryRow
	for _, waiting := range row.waiting {
		if waiting.query == query || waiting.query.mayHaveRun > 0 {
			continue
		}
		if entry := gatherer.entry(waiting.query, row, nil); scheduler.Compare(last, entry) < 0 {
			last, victim = entry, waiting.query
		}
	}
	if victim == nil {
		return false
	}
	gatherer.stats.QueueShed++
	for shard := range victim.current.shards {
		state := &victim.current.shards[shard]
		if state.reply == 0 && !state.closed {
			gatherer.stopWaiting(victim, uint32(shard))
			gatherer.closeShard(victim, uint32(shard), carobthread.ReasonNoSlot)
		}
	}
	gatherer.finishIfDone(victim)
	return true
}

// stopWaiting removes the query's attempt from the shard's queue, if it is queued, and refunds it.
func (gatherer *Gatherer) stopWaiting(query *queryRow, shard uint32) {
	if query.current.shards[shard].waiting {
		gatherer.dequeue(&query.current.layout.shards[shard], query)
	}
}

// dequeue removes the query's waiting attempt and refunds it; the caller must take it from the budget again to send it.
func (gatherer *Gatherer) dequeue(row *shardRow, query *queryRow) {
	index := slices.IndexFunc(row.waiting, func(waiting waitingAttempt) bool { return waiting.query == query })
	if index < 0 {
		return
	}
	entry := row.waiting[index]
	row.waiting = slices.Delete(row.waiting, index, index+1)
	query.current.shards[entry.shard].waiting = false
	query.waiting--
	query.service.waiting--
	gatherer.waiting--
	if entry.kind != carobthread.AttemptFirst {
		gatherer.refund(query, entry.shard, entry.since)
	}
}

// sendWaitingOnFreed sends attempts that wait for the slots freed in this step.
func (gatherer *Gatherer) sendWaitingOnFreed() {
	for i := 0; i < len(gatherer.freed); i++ {
		searcher := gatherer.freed[i]
		searcher.freed = false
		if !searcher.limit.Free() {
			continue
		}
		gatherer.nextPass()
		gatherer.clearCompetitors()
		gatherer.addCompetitors(searcher)
		gatherer.sendCompetitors(searcher, scheduler.Order(gatherer.entries, searcher.workSent-searcher.turnAt), searcher.limit.Free)
	}
	gatherer.freed = gatherer.freed[:0]
}

// sendAllWaiting tries to send the waiting attempts of every shard, since limits also rise, rate limits gain tokens and
// ejections expire without a reply. Shards that share searchers compete together.
func (gatherer *Gatherer) sendAllWaiting() {
	if len(gatherer.waitingShards) == 0 {
		return
	}
	pass := gatherer.nextPass()
	for i := 0; i < len(gatherer.waitingShards); i++ {
		row := gatherer.waitingShards[i]
		if row.pass == pass || len(row.waiting) == 0 || len(row.replicas) == 0 {
			continue
		}
		gatherer.clearCompetitors()
		anyFree := false
		for j := range row.replicas {
			searcher := row.replicas[j].row.searcher
			anyFree = anyFree || searcher.limit.Free()
			gatherer.addCompetitors(searcher)
		}
		// Without a free slot the order does not matter: only attempts without a replica to wait for leave their queues.
		searcher := row.replicas[0].row.searcher
		isTurn := anyFree && scheduler.Order(gatherer.entries, searcher.workSent-searcher.turnAt)
		gatherer.sendCompetitors(searcher, isTurn, always)
	}
	gatherer.waitingShards = slices.DeleteFunc(gatherer.waitingShards, func(row *shardRow) bool {
		row.inWaitingShards = len(row.waiting) > 0
		return !row.inWaitingShards
	})
}

// nextPass begins a pass over queues that visits each one once.
func (gatherer *Gatherer) nextPass() uint64 {
	gatherer.pass++
	return gatherer.pass
}

// clearCompetitors begins the choice of the next attempts for the slots of a set of searchers.
func (gatherer *Gatherer) clearCompetitors() {
	clear(gatherer.competitors)
	gatherer.competitors, gatherer.entries = gatherer.competitors[:0], gatherer.entries[:0]
}

// addCompetitors adds the waiting attempts of the shards that the searcher serves and that this pass has not visited.
func (gatherer *Gatherer) addCompetitors(searcher *searcherRow) {
	for _, row := range searcher.servedShards {
		if row.pass != gatherer.pass && len(row.waiting) > 0 {
			gatherer.addQueue(row, searcher)
		}
	}
}

func (gatherer *Gatherer) addQueue(row *shardRow, searcher *searcherRow) {
	row.pass = gatherer.pass
	for _, waiting := range row.waiting {
		entry := gatherer.entry(waiting.query, row, searcher)
		entry.Ref = len(gatherer.competitors)
		gatherer.entries = append(gatherer.entries, entry)
		gatherer.competitors = append(gatherer.competitors, competitor{waitingAttempt: waiting, row: row, sequence: waiting.query.sequence})
	}
}

func always() bool { return true }

// sendCompetitors sends the competing attempts in order while it may; those that find no slot stay in their queues. The flag
// isTurn is set if the first one has the searcher's turn.
func (gatherer *Gatherer) sendCompetitors(searcher *searcherRow, isTurn bool, may func() bool) {
	for i := 0; i < len(gatherer.entries) && may(); i++ {
		entry := gatherer.entries[i]
		competing := &gatherer.competitors[entry.Ref]
		if !competing.waits() {
			continue
		}
		index, class := gatherer.choose(competing.query, competing.shard)
		if class.waits() {
			continue
		}
		gatherer.dequeue(competing.row, competing.query)
		gatherer.sendDequeued(competing.waitingAttempt, index, class)
		if isTurn && i == 0 {
			searcher.turnAt = searcher.workSent
			gatherer.stats.QueueTurns++
		}
		if entry.Late {
			gatherer.stats.QueueLate++
		}
	}
}

// waits reports whether the attempt is still in its queue.
func (competing *competitor) waits() bool {
	query, shard := competing.query, int(competing.shard)
	if query.sequence != competing.sequence || shard >= len(query.current.shards) || &query.current.layout.shards[shard] != competing.row {
		return false
	}
	return query.current.shards[shard].waiting
}

// entry returns the place in the order of an attempt of the query at the shard; the searcher whose slots are at stake may be
// nil.
func (gatherer *Gatherer) entry(query *queryRow, row *shardRow, searcher *searcherRow) scheduler.Entry {
	service := query.service
	entry := scheduler.Entry{
		Service: service.number, Priority: service.config.Priority, Sequence: query.sequence,
		Late: !gatherer.inTime(query), Work: service.expectedWork(), Left: query.deadline.Sub(gatherer.now),
	}
	entry.Slack = query.softDeadline.Sub(gatherer.now) - entry.Work
	if entry.Late {
		entry.Slack = entry.Left - entry.Work
	}
	if searcher != nil {
		entry.Unserved = row.unserved(searcher)
	}
	return entry
}

// unserved returns the work that the searcher was sent since the last attempt of the shard's service.
func (row *shardRow) unserved(searcher *searcherRow) time.Duration {
	for i := range row.replicas {
		if replica := row.replicas[i].row; replica.searcher == searcher {
			return searcher.workSent - replica.servedAt
		}
	}
	return 0
}

// expectedWork returns the time that an attempt of the service is expected to take a slot.
func (service *serviceRow) expectedWork() time.Duration {
	return max(time.Millisecond, service.latency.median)
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
		gatherer.sends[len(gatherer.sends)-1].Inputs.Waited = gatherer.now.Sub(entry.since)
	}
	gatherer.finishIfDone(query)
}
