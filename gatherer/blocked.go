package gatherer

// A shard that is missing from an answer although its query ended before all of its attempts did is reported with the cause
// for which no further attempt was sent. The cause is that of the last check of the shard.

import "carobthread"

// setBlocked records why no further attempt was sent to the shard, with the best class of its replicas.
func (state *shardState) setBlocked(cause carobthread.BlockCause, class replicaClass) {
	state.blocked = cause
	state.blockedClass = class
}

// hedgeBlock returns why the shard gets no hedge whatever its replicas, or BlockedNotChecked if nothing else rules one out.
func (gatherer *Gatherer) hedgeBlock(query *queryRow, state *shardState) carobthread.BlockCause {
	service := query.service
	switch {
	case service.config.AtMostOnce:
		return carobthread.BlockedAtMostOnce
	case query.withheld && state.reached.count() > 0:
		return carobthread.BlockedNotGranted
	case state.atSearcherLimit(query):
		return carobthread.BlockedSearcherLimit
	case state.inFlightCount >= maxShardInFlight:
		return carobthread.BlockedInFlightLimit
	case state.sent >= maxAttempts:
		return carobthread.BlockedAttemptLimit
	case gatherer.now.Add(service.latency.p10) >= query.deadline:
		return carobthread.BlockedDeadline
	}
	return carobthread.BlockedNotChecked
}

// recoverBlock returns why a shard without an attempt in flight is given up whatever its replicas.
func (gatherer *Gatherer) recoverBlock(query *queryRow, state *shardState) carobthread.BlockCause {
	switch {
	case gatherer.now >= query.deadline:
		return carobthread.BlockedDeadline
	case state.sent >= maxAttempts:
		return carobthread.BlockedAttemptLimit
	}
	return carobthread.BlockedAtMostOnce
}

// reportBlocked adds to the answer, and to the counters, why the missing shard got no further attempt.
func (gatherer *Gatherer) reportBlocked(answer *carobthread.AnswerQuery, query *queryRow, shard uint32, state *shardState) {
	blocked := carobthread.BlockedShard{Shard: shard, Cause: state.blocked, Sent: int(state.sent), InFlight: int(state.inFlightCount)}
	switch {
	case state.waiting:
		blocked.Cause = carobthread.BlockedQueued
	case state.blocked == carobthread.BlockedNotChecked && state.checkAt != 0:
		blocked.Cause = carobthread.BlockedNotDue
		if cause := gatherer.hedgeBlock(query, state); cause != carobthread.BlockedNotChecked {
			blocked.Cause = cause
		}
	case state.blocked == carobthread.BlockedNoReplica, state.blocked == carobthread.BlockedBudget, state.blocked == carobthread.BlockedNoSlot:
		blocked.Class = state.blockedClass.String()
	}
	answer.Blocked = append(answer.Blocked, blocked)
	gatherer.stats.BlockedShards[blocked.Cause]++
}
