package gatherer

// A reply is validated against its attempt, recorded in the searcher's statistics and added to the
// candidate with its snapshot and layout. A shard left without a reply is recovered by another
// attempt or by moving the query.

import (
	"slices"
	"time"

	"carobthread"
)

const (
	// hedgePause is how long hedging is paused after an upstream has shed load.
	hedgePause = time.Second
	// stallAvoidance is how long a searcher that does not reply is avoided before another attempt is sent to it.
	stallAvoidance = 100 * time.Millisecond
	// snapshotRefusalAge is how long a replica that refused a snapshot is excluded for it; the replica may load it at any time.
	snapshotRefusalAge = 100 * time.Millisecond
	// layoutRefusalAge is how long a replica that refused a layout is excluded for it; a dropped layout does not come back, and
	// each retry costs an extra attempt.
	layoutRefusalAge = time.Second
)

// reply handles the reply to an attempt; a reply counts only for the attempt, query and shard that it names.
func (gatherer *Gatherer) reply(reply *carobthread.ReplyArrived) {
	attempt := gatherer.attempts[reply.Attempt]
	if attempt == nil {
		if searcher := gatherer.searchers[reply.Searcher]; searcher != nil {
			gatherer.recordBackpressure(searcher, reply.Backpressure)
			if reply.Status == carobthread.ReplyOK {
				gatherer.recordReply(searcher)
			}
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
	state.removeInFlight(attempt)
	gatherer.replied.add(attempt.id)
	gatherer.recordOutcome(attempt, reply)
	if reply.Status.NotRun() {
		query.mayHaveRun--
	}
	if reply.Status == carobthread.ReplyNotSent {
		gatherer.revertUnsentAttempt(attempt, state)
	}
	shard, index, unpinned := attempt.shard, attempt.index, attempt.unpinned
	heldBack := attempt.heldBack(reply.Status)
	gatherer.release(attempt)
	gatherer.addToCandidate(query, shard, reply)
	if heldBack {
		state.reason = carobthread.ReasonEvacuated
	}
	if state.reply == 0 && unpinned && reply.Status == carobthread.ReplyOK {
		// The searcher was asked for its newest snapshot and not for this one, so it may be tried again.
		state.tried.remove(index)
	}
	if state.reply == 0 && state.inFlightCount == 0 && !state.closed {
		gatherer.recover(query, shard)
	}
	gatherer.finishIfDone(query)
}

func (gatherer *Gatherer) countUnknown(id carobthread.AttemptID) {
	switch {
	case id == 0 || id > gatherer.nextAttempt:
		gatherer.stats.MisroutedReplies++
	case gatherer.replied.has(id):
		gatherer.stats.DuplicateReplies++
	default:
		gatherer.stats.LateReplies++
	}
}

// addToCandidate adds the reply to the candidate with its snapshot and layout.
func (gatherer *Gatherer) addToCandidate(query *queryRow, shard uint32, reply *carobthread.ReplyArrived) {
	current := &query.current
	state := &current.shards[shard]
	if reply.Status != carobthread.ReplyOK {
		state.reason = reasonForStatus(reply.Status)
		return
	}
	if !current.pinned && reply.Layout == current.layout.generation {
		current.pinned = true
		current.snapshot = reply.Snapshot
	}
	if current.matches(reply.Snapshot, reply.Layout) {
		current.accept(state, reply)
		query.pendingShards--
		gatherer.cancelInFlight(query, state)
		return
	}
	gatherer.stats.MismatchedReplies++
	state.reason = carobthread.ReasonSnapshotMissing
	if reply.Layout != current.layout.generation {
		state.reason = carobthread.ReasonLayoutMissing
	}
	if gatherer.usesCurrentPolicy() {
		gatherer.keepFallback(query, shard, reply)
	}
}

// keepFallback adds a reply from another snapshot of the same layout to the fallback candidate, which the query may be
// answered from.
func (gatherer *Gatherer) keepFallback(query *queryRow, shard uint32, reply *carobthread.ReplyArrived) {
	if reply.Layout != query.current.layout.generation {
		return
	}
	if query.fallback == nil {
		plan := queryPlan{layout: query.current.layout, snapshot: reply.Snapshot, pinned: true}
		fallback := newCandidate(&plan, nil)
		for i := range fallback.shards {
			fallback.shards[i].reason = carobthread.ReasonSnapshotMissing
		}
		query.fallback = &fallback
	}
	if !query.fallback.matches(reply.Snapshot, reply.Layout) || query.fallback.shards[shard].reply != 0 {
		return
	}
	query.fallback.accept(&query.fallback.shards[shard], reply)
}

func reasonForStatus(status carobthread.ReplyStatus) carobthread.Reason {
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

// recordOutcome updates the searcher's state from the outcome of an attempt.
func (gatherer *Gatherer) recordOutcome(attempt *attemptRow, reply *carobthread.ReplyArrived) {
	searcher := attempt.replica.searcher
	gatherer.recordBackpressure(searcher, reply.Backpressure)
	gatherer.recordDraining(searcher, reply.Draining || reply.Status == carobthread.ReplyDraining || reply.Status == carobthread.ReplyMisdirected)
	if len(reply.HeldSnapshots) > 0 {
		searcher.listedByReplyAt = gatherer.now
		if searcher.setHeld(gatherer.now, reply.HeldSnapshots) {
			gatherer.planEpoch++
		}
	}
	if !gatherer.usesCurrentPolicy() || attempt.heldBack(reply.Status) {
		return
	}
	if reply.Status != carobthread.ReplyFailed && reply.Status != carobthread.ReplyNotSent {
		gatherer.recordReply(searcher)
	}
	searcher.recordAttempt(gatherer.now, reply.Status != carobthread.ReplyOK)
	switch reply.Status {
	case carobthread.ReplyOK:
		searcher.limit.Succeed()
		gatherer.observeLatency(attempt)
	case carobthread.ReplyShed:
		gatherer.stats.Sheds++
		searcher.limit.Shed(gatherer.now, attempt.sentAt)
		gatherer.pauseHedging(attempt)
	case carobthread.ReplyFailed, carobthread.ReplyNotSent:
		gatherer.recordBadOutcome(attempt)
	case carobthread.ReplySnapshotMissing:
		gatherer.recordSnapshotRefusal(searcher, attempt.query.current.snapshot)
	case carobthread.ReplyLayoutMissing:
		replica := &attempt.query.current.layout.shards[attempt.shard].replicas[attempt.index]
		replica.layoutRefusedUntil = gatherer.now.Add(layoutRefusalAge)
		gatherer.planEpoch++
	}
}

// revertUnsentAttempt reverts the accounting of an attempt that reached no searcher.
func (gatherer *Gatherer) revertUnsentAttempt(attempt *attemptRow, state *shardState) {
	state.sent--
	if attempt.reachesNew {
		state.reached.remove(attempt.index)
	}
	first, grouped := attempt.kind == carobthread.AttemptFirst, attempt.query.group(attempt.shard) != nil
	if grouped && !first {
		gatherer.refund(attempt.query, attempt.shard, attempt.sentAt)
	}
	state.freeRetry = grouped && first
}

// markReplied records a reply of the searcher, which ends a stall.
func (searcher *searcherRow) markReplied(now carobthread.Instant) {
	searcher.repliedAt = now
	searcher.stalledUntil = 0
	searcher.firstLateAt, searcher.lastLateAt, searcher.unpublished.Late = 0, 0, 0
}

// markStalled marks the searchers of late attempts as stalled if they have not replied to anything since, for example
// during a garbage collection pause, so that other queries avoid them without a late attempt of their own. It applies
// to replica groups only: where one reply in a hundred is slow anyway, it would take slots away from a loaded shard.
func (gatherer *Gatherer) markStalled(state *shardState) {
	for _, attempt := range state.inFlightAttempts[:state.inFlightCount] {
		searcher := attempt.replica.searcher
		if searcher.repliedAt < attempt.sentAt {
			searcher.stalledUntil = gatherer.now.Add(stallAvoidance)
			searcher.recordLate(gatherer.now, attempt.sentAt)
			gatherer.recordRemoteLate(attempt)
		}
	}
}

// recordSnapshotRefusal records a snapshot that the searcher refused, even if the searcher listed it before.
func (gatherer *Gatherer) recordSnapshotRefusal(searcher *searcherRow, snapshot uint64) {
	searcher.refusedSnapshot = snapshot
	searcher.refusedUntil = gatherer.now.Add(snapshotRefusalAge)
	if held := slices.Index(searcher.held, snapshot); held >= 0 {
		searcher.held = slices.Delete(searcher.held, held, held+1)
		gatherer.planEpoch++
	}
}

// observeLatency records the latency of a successful attempt; an attempt that spans a process pause is ignored.
func (gatherer *Gatherer) observeLatency(attempt *attemptRow) {
	if attempt.sentAt < gatherer.resumedAt {
		return
	}
	latency := gatherer.now.Sub(attempt.sentAt)
	slow := attempt.replica.service.latency.slow(latency)
	attempt.replica.observe(gatherer.now, latency)
	gatherer.recordWork(attempt, latency)
	attempt.replica.service.latency.record(gatherer.now, latency)
	if slow {
		gatherer.recordBadOutcome(attempt)
		return
	}
	attempt.replica.searcher.ejection.RecordGood()
}

// observeCancelled records the time a cancelled attempt has taken so far as a lower bound of its latency, so that a
// straggler whose attempts are always cancelled is still recognised as slow.
func (gatherer *Gatherer) observeCancelled(attempt *attemptRow) {
	if !gatherer.usesCurrentPolicy() || attempt.sentAt < gatherer.resumedAt {
		return
	}
	service := attempt.replica.service
	elapsed := gatherer.now.Sub(attempt.sentAt)
	if attempt.kind == carobthread.AttemptFirst && service.latency.hedge > 0 && elapsed >= service.latency.hedge {
		service.latency.record(gatherer.now, elapsed)
	}
	gatherer.recordUnfinished(attempt.replica, elapsed)
	if service.latency.median > 0 && float64(elapsed) > attempt.replica.latency {
		attempt.replica.observe(gatherer.now, elapsed)
	}
	if service.latency.slow(elapsed) || service.latency.median == 0 && gatherer.now >= attempt.query.deadline {
		gatherer.recordBadOutcome(attempt)
	}
}

// recordBadOutcome counts a failed or very slow attempt and ejects its searcher after several in a row.
func (gatherer *Gatherer) recordBadOutcome(attempt *attemptRow) {
	searcher := attempt.replica.searcher
	if attempt.sentAt >= gatherer.resumedAt {
		searcher.centre.recordFailure(gatherer.now, attempt.sentAt, searcher)
	}
	if attempt.sentAt < gatherer.resumedAt || gatherer.now < searcher.ejection.Until() {
		return
	}
	if attempt.sentAt < searcher.lastFailureAt {
		return // Sent before the last bad outcome: one pause of the searcher delays many attempts and must count once.
	}
	searcher.lastFailureAt = gatherer.now
	if !searcher.ejection.RecordBad() {
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

// recordDraining records an indication that the searcher is draining; only a report at least carobthread.DrainHoldTime after
// the last indication clears it.
func (gatherer *Gatherer) recordDraining(searcher *searcherRow, draining bool) {
	if !gatherer.usesCurrentPolicy() {
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
