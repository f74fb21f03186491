package gatherer

// A reply is checked against its attempt, taught to the tables and then settled in the candidate
// of its snapshot and layout. What it cannot settle is recovered by another attempt or a move.

import (
	"slices"
	"time"

	"carobthread"
)

const (
	// hedgeRest is how long hedging stays off after an upstream has shed load.
	hedgeRest = time.Second
	// stallHold is how long a searcher that answers nothing is avoided before the next attempt tries it.
	stallHold = 100 * time.Millisecond
	// lacksAge is how long a refused snapshot rules a replica out; it may be loaded at any time.
	lacksAge = 100 * time.Millisecond
	// layoutLacksAge is how long a refused layout does; a dropped layout does not come back, and each try costs an extra attempt.
	layoutLacksAge = time.Second
)

// reply takes the end of an attempt; it counts only for the attempt, query and shard that it names.
func (gatherer *Gatherer) reply(reply *carobthread.ReplyArrived) {
	attempt := gatherer.attempts[reply.Attempt]
	if attempt == nil {
		if searcher := gatherer.searchers[reply.Searcher]; searcher != nil && reply.Status == carobthread.ReplyOK {
			gatherer.heard(searcher)
		}
		gatherer.countUnknown(reply.Attempt)
		return
	}
	query := attempt.query
	if query.id != reply.Query || attempt.shard != reply.Shard {
		gatherer.stats.MisroutedReplies++
		return
	}
	if gatherer.now >= query.deadline {
		gatherer.stats.LateReplies++
		gatherer.answer(query)
		return
	}
	state := &query.current.shards[attempt.shard]
	state.removeFlight(attempt)
	gatherer.answered.add(attempt.id)
	gatherer.learn(attempt, reply)
	if reply.Status.NotRun() {
		query.unproven--
	}
	if reply.Status == carobthread.ReplyNotSent {
		gatherer.unreached(attempt, state)
	}
	shard, index, unbound := attempt.shard, attempt.index, attempt.unbound
	gatherer.release(attempt)
	gatherer.settle(query, shard, reply)
	if state.reply == 0 && unbound && reply.Status == carobthread.ReplyOK {
		// The searcher was not asked for this snapshot, so it may be asked once more.
		state.tried &^= replicaBit(index)
	}
	if state.reply == 0 && state.flying == 0 && !state.closed {
		gatherer.recover(query, shard)
	}
	gatherer.finishIfDone(query)
}

func (gatherer *Gatherer) countUnknown(id carobthread.AttemptID) {
	switch {
	case id == 0 || id > gatherer.nextAttempt:
		gatherer.stats.MisroutedReplies++
	case gatherer.answered.has(id):
		gatherer.stats.DuplicateReplies++
	default:
		gatherer.stats.LateReplies++
	}
}

// settle adds the reply to the candidate that it belongs to.
func (gatherer *Gatherer) settle(query *queryRow, shard uint32, reply *carobthread.ReplyArrived) {
	current := &query.current
	state := &current.shards[shard]
	if reply.Status != carobthread.ReplyOK {
		state.reason = replyReason(reply.Status)
		return
	}
	if !current.bound && reply.Layout == current.layout.generation {
		current.bound = true
		current.snapshot = reply.Snapshot
	}
	if current.matches(reply.Snapshot, reply.Layout) {
		current.accept(state, reply)
		query.open--
		gatherer.cancelFlights(query, state)
		return
	}
	gatherer.stats.MismatchedReplies++
	state.reason = carobthread.ReasonSnapshotMissing
	if reply.Layout != current.layout.generation {
		state.reason = carobthread.ReasonLayoutMissing
	}
	if gatherer.inForce() {
		gatherer.keepEarlier(query, shard, reply)
	}
}

// keepEarlier keeps a reply of one other snapshot of the same layout, in case the query is answered from that.
func (gatherer *Gatherer) keepEarlier(query *queryRow, shard uint32, reply *carobthread.ReplyArrived) {
	if reply.Layout != query.current.layout.generation {
		return
	}
	if query.earlier == nil {
		found := target{layout: query.current.layout, snapshot: reply.Snapshot, bound: true}
		earlier := newCandidate(&found, nil)
		for i := range earlier.shards {
			earlier.shards[i].reason = carobthread.ReasonSnapshotMissing
		}
		query.earlier = &earlier
	}
	if !query.earlier.matches(reply.Snapshot, reply.Layout) || query.earlier.shards[shard].reply != 0 {
		return
	}
	query.earlier.accept(&query.earlier.shards[shard], reply)
}

func replyReason(status carobthread.ReplyStatus) carobthread.Reason {
	switch status {
	case carobthread.ReplySnapshotMissing:
		return carobthread.ReasonSnapshotMissing
	case carobthread.ReplyLayoutMissing:
		return carobthread.ReasonLayoutMissing
	case carobthread.ReplyShed, carobthread.ReplyDraining:
		return carobthread.ReasonUpstreamShed
	default:
		return carobthread.ReasonUpstreamFailed
	}
}

// learn updates what is known of the searcher from the end of an attempt.
func (gatherer *Gatherer) learn(attempt *attemptRow, reply *carobthread.ReplyArrived) {
	searcher := attempt.replica.searcher
	gatherer.learnDraining(searcher, reply.Draining || reply.Status == carobthread.ReplyDraining || reply.Status == carobthread.ReplyMisdirected)
	if len(reply.HeldSnapshots) > 0 {
		searcher.statedAt = gatherer.now
		if searcher.hold(gatherer.now, reply.HeldSnapshots) {
			gatherer.planEpoch++
		}
	}
	if !gatherer.inForce() {
		return
	}
	if reply.Status != carobthread.ReplyFailed && reply.Status != carobthread.ReplyNotSent {
		gatherer.heard(searcher)
	}
	searcher.noteEnd(gatherer.now, reply.Status != carobthread.ReplyOK)
	switch reply.Status {
	case carobthread.ReplyOK:
		searcher.limit.Succeed()
		gatherer.observeLatency(attempt)
	case carobthread.ReplyShed:
		gatherer.stats.Sheds++
		searcher.limit.Shed(gatherer.now, attempt.sentAt)
		gatherer.restHedges(attempt)
	case carobthread.ReplyFailed, carobthread.ReplyNotSent:
		gatherer.observeBad(attempt)
	case carobthread.ReplySnapshotMissing:
		gatherer.learnLacks(searcher, attempt.query.current.snapshot)
	case carobthread.ReplyLayoutMissing:
		replica := &attempt.query.current.layout.shards[attempt.shard].replicas[attempt.index]
		replica.lacksUntil = gatherer.now.Add(layoutLacksAge)
		gatherer.planEpoch++
	}
}

// unreached takes back what an attempt that has reached nobody was counted as.
func (gatherer *Gatherer) unreached(attempt *attemptRow, state *shardState) {
	state.sent--
	state.reached &^= replicaBit(attempt.index)
	first, grouped := attempt.kind == carobthread.AttemptFirst, attempt.query.group(attempt.shard) != nil
	if grouped && !first {
		gatherer.refund(attempt.query, attempt.shard)
	}
	state.unpaid = grouped && first
}

// replied notes an answer of the searcher, which ends a stall.
func (searcher *searcherRow) replied(now carobthread.Instant) {
	searcher.repliedAt = now
	searcher.stalledUntil = 0
	searcher.lateFrom, searcher.lateAt, searcher.seen.Late = 0, 0, 0
}

// noteStalls marks the searchers of late attempts that have answered nothing since those were sent, such as
// one that collects garbage: other queries avoid it meanwhile instead of each finding out by itself. It is kept to
// replica groups: where one reply in a hundred is slow by itself, it would take slots away from a loaded shard.
func (gatherer *Gatherer) noteStalls(state *shardState) {
	for _, attempt := range state.flights[:state.flying] {
		searcher := attempt.replica.searcher
		if searcher.repliedAt < attempt.sentAt {
			searcher.stalledUntil = gatherer.now.Add(stallHold)
			searcher.noteLate(gatherer.now, attempt.sentAt)
			gatherer.noteRemoteLate(attempt)
		}
	}
}

// learnLacks notes a snapshot that the searcher refused, whatever it stated before.
func (gatherer *Gatherer) learnLacks(searcher *searcherRow, snapshot uint64) {
	searcher.lacks = snapshot
	searcher.lacksUntil = gatherer.now.Add(lacksAge)
	if held := slices.Index(searcher.held, snapshot); held >= 0 {
		searcher.held = slices.Delete(searcher.held, held, held+1)
		gatherer.planEpoch++
	}
}

// observeLatency records the latency of a successful attempt; one that spans a pause says nothing.
func (gatherer *Gatherer) observeLatency(attempt *attemptRow) {
	if attempt.sentAt < gatherer.resumedAt {
		return
	}
	latency := gatherer.now.Sub(attempt.sentAt)
	slow := attempt.replica.service.latency.slow(latency)
	attempt.replica.observe(gatherer.now, latency)
	attempt.replica.service.latency.record(gatherer.now, latency)
	if slow {
		gatherer.observeBad(attempt)
		return
	}
	attempt.replica.searcher.ejection.Good()
}

// observeCancelled records how long a cancelled attempt has taken at least, so that a straggler that always loses is still known as slow.
func (gatherer *Gatherer) observeCancelled(attempt *attemptRow) {
	if !gatherer.inForce() || attempt.sentAt < gatherer.resumedAt {
		return
	}
	service := attempt.replica.service
	elapsed := gatherer.now.Sub(attempt.sentAt)
	if attempt.kind == carobthread.AttemptFirst && service.latency.hedge > 0 && elapsed >= service.latency.hedge {
		service.latency.record(gatherer.now, elapsed)
	}
	if service.latency.median > 0 && float64(elapsed) > attempt.replica.latency {
		attempt.replica.observe(gatherer.now, elapsed)
	}
	if service.latency.slow(elapsed) || service.latency.median == 0 && gatherer.now >= attempt.query.deadline {
		gatherer.observeBad(attempt)
	}
}

// observeBad counts a failed or very slow attempt and ejects its searcher after several in a row.
func (gatherer *Gatherer) observeBad(attempt *attemptRow) {
	searcher := attempt.replica.searcher
	if attempt.sentAt >= gatherer.resumedAt {
		searcher.centre.miss(gatherer.now)
	}
	if attempt.sentAt < gatherer.resumedAt || gatherer.now < searcher.ejection.Until() {
		return
	}
	if attempt.sentAt < searcher.badAt {
		return // sent before the last bad outcome, such as all attempts that one pause of the searcher holds up
	}
	searcher.badAt = gatherer.now
	if !searcher.ejection.Bad() {
		return
	}
	capped := !gatherer.mayEject(searcher)
	searcher.ejection.Eject(gatherer.now, gatherer.random.Float64(), capped)
	searcher.limit.Restart()
	if capped {
		gatherer.stats.EjectionsCapped++
		return
	}
	gatherer.stats.Ejections++
	gatherer.planEpoch++
}

// learnDraining notes a sign that the searcher drains; only a report long after the last sign revokes it.
func (gatherer *Gatherer) learnDraining(searcher *searcherRow, draining bool) {
	if !gatherer.inForce() {
		searcher.draining = draining
		return
	}
	if !draining {
		return
	}
	searcher.drainedAt = gatherer.now
	if !searcher.draining {
		searcher.draining = true
		gatherer.planEpoch++
	}
}
