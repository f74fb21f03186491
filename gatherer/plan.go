package gatherer

// A plan is the layout and snapshot for a query. Computing one scans every replica, so it is
// cached until one of its inputs changes or planAge has passed.

import (
	"slices"
	"time"

	"carobthread"
)

// planAge is how long a cached plan is valid, since replicas also become reachable again as time passes.
const planAge = 100 * time.Millisecond

// queryPlan is a layout and snapshot with the number of shards that are reachable in it.
type queryPlan struct {
	layout   *layoutRow
	snapshot uint64
	// pinned is false if no snapshot is known, so that each searcher is asked for its newest one.
	pinned          bool
	reachableShards int
}

// better reports whether the plan reaches a greater share of its shards than the other.
func (plan *queryPlan) better(other *queryPlan) bool {
	if other.layout == nil {
		return true
	}
	return plan.reachableShards*len(other.layout.shards) > other.reachableShards*len(plan.layout.shards)
}

// snapshotTally counts the shards in which a snapshot is held.
type snapshotTally struct {
	snapshot uint64
	// reachableShards counts the shards where the snapshot is known to be held, listedShards those where a replica's last
	// list contains it, however old.
	reachableShards int
	listedShards    int
	// widelyHeldShards counts the shards where at least half of the usable replicas hold the snapshot: the first replicas to
	// load a new snapshot cannot carry the whole load.
	widelyHeldShards int
	// lastShard is the number of the last shard counted plus one, holders the number of its replicas that hold the snapshot.
	lastShard int
	holders   int
}

// planFor returns the layout and snapshot for new queries of the service.
func (gatherer *Gatherer) planFor(service *serviceRow) *queryPlan {
	if service.planEpoch == gatherer.planEpoch && gatherer.now < service.planUntil {
		return &service.plan
	}
	service.plan = gatherer.bestPlan(service, nil)
	service.planEpoch = gatherer.planEpoch
	service.planUntil = gatherer.now.Add(planAge)
	return &service.plan
}

// bestPlan returns the plan with the best reachable coverage; on a tie the configured layout and then the newest snapshot
// wins. It leaves out the snapshot and layout of the candidate to skip.
func (gatherer *Gatherer) bestPlan(service *serviceRow, skip *candidate) queryPlan {
	best := queryPlan{}
	if layout := service.layout(service.config.Layout); layout != nil {
		best = gatherer.bestSnapshot(layout, skip)
	}
	if gatherer.options.OriginalPolicy || gatherer.options.RandomReplica {
		return best
	}
	for _, layout := range service.layouts {
		if layout.generation == service.config.Layout {
			continue
		}
		plan := gatherer.bestSnapshot(layout, skip)
		if plan.layout != nil && plan.better(&best) {
			best = plan
		}
	}
	return best
}

// bestSnapshot returns the plan for the best snapshot of a layout, in the order of snapshotTally.better.
func (gatherer *Gatherer) bestSnapshot(layout *layoutRow, skip *candidate) queryPlan {
	reachable, unknown, anyKnown := gatherer.tallyLayout(layout)
	best := queryPlan{}
	var bestEntry snapshotTally
	if anyKnown {
		for i := range gatherer.tallies {
			entry := &gatherer.tallies[i]
			if skip != nil && skip.matches(entry.snapshot, layout.generation) {
				continue
			}
			reachableShards := entry.reachableShards + unknown
			if best.layout != nil && !entry.better(&bestEntry) {
				continue
			}
			best = queryPlan{layout: layout, snapshot: entry.snapshot, pinned: true, reachableShards: reachableShards}
			bestEntry = *entry
		}
	}
	if best.layout == nil && (skip == nil || skip.layout != layout) {
		best = queryPlan{layout: layout, reachableShards: reachable}
	}
	return best
}

// better orders snapshots by known coverage, by how widely they are held, by listed coverage and then by recency.
func (entry *snapshotTally) better(other *snapshotTally) bool {
	switch {
	case entry.reachableShards != other.reachableShards:
		return entry.reachableShards > other.reachableShards
	case entry.widelyHeldShards != other.widelyHeldShards:
		return entry.widelyHeldShards > other.widelyHeldShards
	case entry.listedShards != other.listedShards:
		return entry.listedShards > other.listedShards
	}
	return entry.snapshot > other.snapshot
}

// tallyLayout counts for each snapshot the shards of the layout that hold it.
// It returns the number of shards with a reachable replica, the number of these where some replica's held snapshots are
// unknown, and whether any replica's held snapshots are known.
func (gatherer *Gatherer) tallyLayout(layout *layoutRow) (reachable, unknown int, anyKnown bool) {
	gatherer.tallies = gatherer.tallies[:0]
	for shard := range layout.shards {
		usable, holdingsUnknown := 0, false
		for i := range layout.shards[shard].replicas {
			replica := &layout.shards[shard].replicas[i]
			if !gatherer.isReachable(replica) {
				continue
			}
			usable++
			known := gatherer.holdingsKnown(replica.row.searcher)
			anyKnown = anyKnown || known
			holdingsUnknown = holdingsUnknown || !known
		}
		if usable == 0 {
			continue
		}
		reachable++
		if holdingsUnknown {
			unknown++
		}
		gatherer.tallyShard(layout, shard, usable, holdingsUnknown)
	}
	return reachable, unknown, anyKnown
}

// tallyShard counts each snapshot held in one shard once. With holdingsUnknown set, the shard is not added to
// reachableShards, since bestSnapshot adds such shards for every snapshot.
func (gatherer *Gatherer) tallyShard(layout *layoutRow, shard, usable int, holdingsUnknown bool) {
	for i := range layout.shards[shard].replicas {
		replica := &layout.shards[shard].replicas[i]
		if !gatherer.isReachable(replica) {
			continue
		}
		for _, snapshot := range replica.row.searcher.held {
			entry := gatherer.tallyOf(snapshot)
			if entry.lastShard != shard+1 {
				entry.lastShard, entry.holders = shard+1, 0
				entry.listedShards++
				if !holdingsUnknown {
					entry.reachableShards++
				}
			}
			entry.holders++
			if entry.holders == (usable+1)/2 {
				entry.widelyHeldShards++
			}
		}
	}
}

func (gatherer *Gatherer) tallyOf(snapshot uint64) *snapshotTally {
	for i := range gatherer.tallies {
		if gatherer.tallies[i].snapshot == snapshot {
			return &gatherer.tallies[i]
		}
	}
	gatherer.tallies = append(gatherer.tallies, snapshotTally{snapshot: snapshot})
	return &gatherer.tallies[len(gatherer.tallies)-1]
}

// isReachable reports whether a plan may count on the replica.
func (gatherer *Gatherer) isReachable(replica *shardReplica) bool {
	searcher := replica.row.searcher
	return searcher.usable() && gatherer.now >= replica.layoutRefusedUntil && !searcher.ejection.Ejected(gatherer.now)
}

// moveResult is the result of trying to move a query to another snapshot or layout.
type moveResult uint8

const (
	moveNotWorthwhile moveResult = iota
	// moveOverBudget means that a move would improve coverage but the retry budget does not permit it yet.
	moveOverBudget
	moveDone
)

// move restarts the whole query on a snapshot or layout with better reachable coverage, if there is one and enough time is
// left.
func (gatherer *Gatherer) move(query *queryRow) moveResult {
	service := query.service
	if query.fixed || query.moves >= maxMoves || gatherer.now.Add(service.latency.median) >= query.deadline {
		return moveNotWorthwhile
	}
	plan := gatherer.bestPlan(service, &query.current)
	if plan.layout == nil || len(plan.layout.shards) == 0 {
		return moveNotWorthwhile
	}
	attainable := query.current.answered + query.pendingShards - 1
	if plan.reachableShards*len(query.current.shards) <= attainable*len(plan.layout.shards) {
		return moveNotWorthwhile
	}
	fallback := query.fallback != nil && plan.pinned && query.fallback.matches(plan.snapshot, plan.layout.generation)
	cost := len(plan.layout.shards)
	if fallback {
		cost -= query.fallback.answered
	}
	if !service.budget.TakeRetry(cost) {
		gatherer.stats.BudgetRefused++
		return moveOverBudget
	}
	gatherer.endCurrent(query)
	gatherer.switchTo(query, &plan, fallback)
	query.moves++
	gatherer.stats.QueriesMoved++
	for shard := range query.current.shards {
		if query.current.shards[shard].reply == 0 {
			gatherer.dispatch(query, uint32(shard), carobthread.AttemptMove)
		}
	}
	return moveDone
}

// endCurrent cancels the attempts of the current candidate and keeps its replies.
func (gatherer *Gatherer) endCurrent(query *queryRow) {
	for shard := range query.current.shards {
		state := &query.current.shards[shard]
		if state.reply == 0 && !state.closed && state.reason == "" {
			state.reason = carobthread.ReasonTimeout
		}
		gatherer.cancelInFlight(query, state)
		gatherer.stopWaiting(query, uint32(shard))
		state.checkAt = 0
		state.closed = true
	}
}

// switchTo makes the plan the current candidate and keeps the other candidate with the higher coverage as the fallback.
// With fallback set, the plan is that of the present fallback candidate, whose replies are kept.
func (gatherer *Gatherer) switchTo(query *queryRow, plan *queryPlan, fallback bool) {
	previous := query.current
	switch {
	case fallback:
		query.current = *query.fallback
		query.fallback = &previous
	case query.fallback != nil && query.fallback.better(&previous):
		previous.layout.refCount--
		query.current = newCandidate(plan, nil)
	default:
		if query.fallback != nil {
			query.fallback.layout.refCount--
		}
		query.fallback = &previous
		query.current = newCandidate(plan, nil)
	}
	query.current.countReached(&previous)
	for shard := range query.current.shards {
		state := &query.current.shards[shard]
		state.closed = false
		state.reason = ""
		state.tried.clear()
		state.sent = 0
	}
	query.pendingShards = len(query.current.shards) - query.current.answered
}

// countReached adds the searchers that another candidate was sent to, for the shards that are the same in both layouts, since a
// query may not reach more searchers of a shard by moving.
func (current *candidate) countReached(previous *candidate) {
	shards := map[*groupRow]int{}
	for shard := range previous.shards {
		shards[previous.layout.shards[shard].group] = shard
	}
	delete(shards, nil)
	for shard := range current.shards {
		old, same := shards[current.layout.shards[shard].group]
		if !same {
			continue
		}
		state, replicas := &current.shards[shard], current.layout.shards[shard].replicas
		for index := range previous.layout.shards[old].replicas {
			if !previous.shards[old].reached.has(index) {
				continue
			}
			searcher := previous.layout.shards[old].replicas[index].row.searcher
			known := slices.IndexFunc(replicas, func(replica shardReplica) bool { return replica.row.searcher == searcher })
			if known >= 0 {
				state.reached.add(known)
			} else {
				state.reachedElsewhere++
			}
		}
		state.reachedElsewhere += previous.shards[old].reachedElsewhere
	}
}

func newCandidate(plan *queryPlan, shards []shardState) candidate {
	count := len(plan.layout.shards)
	if cap(shards) < count {
		shards = make([]shardState, count)
	}
	plan.layout.refCount++
	return candidate{layout: plan.layout, snapshot: plan.snapshot, pinned: plan.pinned, shards: shards[:count], age: -1}
}
