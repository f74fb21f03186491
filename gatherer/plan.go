package gatherer

// A plan is the layout and snapshot for a query. It is computed again only when something
// that it depends on has changed or after planAge, since it looks at every replica.

import (
	"time"

	"carobthread"
)

// planAge bounds how long a plan is used, since replicas become reachable again by time alone.
const planAge = 100 * time.Millisecond

// target is a layout and snapshot with the number of shards that are reachable in it.
type target struct {
	layout   *layoutRow
	snapshot uint64
	// bound is false if no snapshot is known, so that each searcher is asked for its newest one.
	bound bool
	reach int
}

// better reports whether the target reaches a greater share of its shards than the other.
func (found *target) better(other *target) bool {
	if other.layout == nil {
		return true
	}
	return found.reach*len(other.layout.shards) > other.reach*len(found.layout.shards)
}

// tally counts the shards in which a snapshot is held.
type tally struct {
	snapshot uint64
	// reach counts the shards where it is held, known those where it was stated, even long ago.
	reach int
	known int
	// wide counts the shards where at least half of the usable replicas hold it: the first replicas to load a new snapshot cannot take the whole load.
	wide int
	// last is the last shard counted, as its number plus one, and holders its replicas that hold the snapshot.
	last    int
	holders int
}

// planFor returns the layout and snapshot for new queries of the service.
func (gatherer *Gatherer) planFor(service *serviceRow) *target {
	if service.planEpoch == gatherer.planEpoch && gatherer.now < service.planUntil {
		return &service.plan
	}
	service.plan = gatherer.bestTarget(service, nil)
	service.planEpoch = gatherer.planEpoch
	service.planUntil = gatherer.now.Add(planAge)
	return &service.plan
}

// bestTarget returns the target with the best reachable coverage; on a tie the configured layout and then the newest snapshot wins.
// The snapshot and layout of the skipped candidate are left out.
func (gatherer *Gatherer) bestTarget(service *serviceRow, skip *candidate) target {
	best := target{}
	if layout := service.layout(service.config.Layout); layout != nil {
		best = gatherer.bestSnapshot(layout, skip)
	}
	if gatherer.options.FirstPolicy || gatherer.options.RandomReplica {
		return best
	}
	for _, layout := range service.layouts {
		if layout.generation == service.config.Layout {
			continue
		}
		found := gatherer.bestSnapshot(layout, skip)
		if found.layout != nil && found.better(&best) {
			best = found
		}
	}
	return best
}

// bestSnapshot returns the snapshot of a layout with the best reachable coverage, the newest one on a tie.
func (gatherer *Gatherer) bestSnapshot(layout *layoutRow, skip *candidate) target {
	reachable, unknown, anyKnown := gatherer.tallyLayout(layout)
	best := target{}
	var bestEntry tally
	if anyKnown {
		for i := range gatherer.tallies {
			entry := &gatherer.tallies[i]
			if skip != nil && skip.matches(entry.snapshot, layout.generation) {
				continue
			}
			reach := entry.reach + unknown
			if best.layout != nil && !entry.better(&bestEntry) {
				continue
			}
			best = target{layout: layout, snapshot: entry.snapshot, bound: true, reach: reach}
			bestEntry = *entry
		}
	}
	if best.layout == nil && (skip == nil || skip.layout != layout) {
		best = target{layout: layout, reach: reachable}
	}
	return best
}

// better orders snapshots by coverage, then by how widely they are held, then by age.
func (entry *tally) better(other *tally) bool {
	switch {
	case entry.reach != other.reach:
		return entry.reach > other.reach
	case entry.wide != other.wide:
		return entry.wide > other.wide
	case entry.known != other.known:
		return entry.known > other.known
	}
	return entry.snapshot > other.snapshot
}

// tallyLayout counts for each snapshot the shards that hold it.
// It returns the shards with a usable replica, those of them where a replica's holdings are unknown, and whether any list is known.
func (gatherer *Gatherer) tallyLayout(layout *layoutRow) (reachable, unknown int, anyKnown bool) {
	gatherer.tallies = gatherer.tallies[:0]
	for shard := range layout.shards {
		usable, open := 0, false
		for i := range layout.shards[shard].replicas {
			replica := &layout.shards[shard].replicas[i]
			if !gatherer.plannable(replica) {
				continue
			}
			usable++
			known := gatherer.heldKnown(replica.row.searcher)
			anyKnown = anyKnown || known
			open = open || !known
		}
		if usable == 0 {
			continue
		}
		reachable++
		if open {
			unknown++
		}
		gatherer.tallyShard(layout, shard, usable, open)
	}
	return reachable, unknown, anyKnown
}

// tallyShard counts the snapshots held in one shard, each once; with open set they count as known but not again as reachable.
func (gatherer *Gatherer) tallyShard(layout *layoutRow, shard, usable int, open bool) {
	for i := range layout.shards[shard].replicas {
		replica := &layout.shards[shard].replicas[i]
		if !gatherer.plannable(replica) {
			continue
		}
		for _, snapshot := range replica.row.searcher.held {
			entry := gatherer.tallyOf(snapshot)
			if entry.last != shard+1 {
				entry.last, entry.holders = shard+1, 0
				entry.known++
				if !open {
					entry.reach++
				}
			}
			entry.holders++
			if entry.holders == (usable+1)/2 {
				entry.wide++
			}
		}
	}
}

func (gatherer *Gatherer) tallyOf(snapshot uint64) *tally {
	for i := range gatherer.tallies {
		if gatherer.tallies[i].snapshot == snapshot {
			return &gatherer.tallies[i]
		}
	}
	gatherer.tallies = append(gatherer.tallies, tally{snapshot: snapshot})
	return &gatherer.tallies[len(gatherer.tallies)-1]
}

// plannable reports whether a replica counts as reachable.
func (gatherer *Gatherer) plannable(replica *shardReplica) bool {
	searcher := replica.row.searcher
	return searcher.usable() && gatherer.now >= replica.lacksUntil && !searcher.ejection.Ejected(gatherer.now)
}

// moveResult states what became of a wish to move a query.
type moveResult uint8

const (
	moveUseless moveResult = iota
	// moveUnpaid would help but the budget does not pay for it yet.
	moveUnpaid
	moveDone
)

// move takes the whole query to the snapshot or layout with better reachable coverage, if there is one and time is left.
func (gatherer *Gatherer) move(query *queryRow) moveResult {
	service := query.service
	if query.moves >= maxMoves || gatherer.now.Add(service.latency.median) >= query.deadline {
		return moveUseless
	}
	found := gatherer.bestTarget(service, &query.current)
	if found.layout == nil || len(found.layout.shards) == 0 {
		return moveUseless
	}
	reached := query.current.answered + query.open - 1
	if found.reach*len(query.current.shards) <= reached*len(found.layout.shards) {
		return moveUseless
	}
	earlier := query.earlier != nil && found.bound && query.earlier.matches(found.snapshot, found.layout.generation)
	cost := len(found.layout.shards)
	if earlier {
		cost -= query.earlier.answered
	}
	if !service.budget.TakeRetry(cost) {
		gatherer.stats.BudgetRefused++
		return moveUnpaid
	}
	gatherer.leaveCurrent(query)
	gatherer.enter(query, &found, earlier)
	query.moves++
	gatherer.stats.QueriesMoved++
	for shard := range query.current.shards {
		if query.current.shards[shard].reply == 0 {
			gatherer.dispatch(query, uint32(shard), carobthread.AttemptMove)
		}
	}
	return moveDone
}

// leaveCurrent ends the attempts of the current candidate; its replies stay.
func (gatherer *Gatherer) leaveCurrent(query *queryRow) {
	for shard := range query.current.shards {
		state := &query.current.shards[shard]
		if state.reply == 0 && !state.closed && state.reason == "" {
			state.reason = carobthread.ReasonTimeout
		}
		gatherer.cancelFlights(query, state)
		gatherer.stopWaiting(query, uint32(shard))
		state.checkAt = 0
		state.closed = true
	}
}

// enter makes the target the current candidate and keeps the better covered of the others as the earlier one.
func (gatherer *Gatherer) enter(query *queryRow, found *target, earlier bool) {
	left := query.current
	switch {
	case earlier:
		query.current = *query.earlier
		query.earlier = &left
	case query.earlier != nil && query.earlier.better(&left):
		left.layout.users--
		query.current = newCandidate(found, nil)
	default:
		if query.earlier != nil {
			query.earlier.layout.users--
		}
		query.earlier = &left
		query.current = newCandidate(found, nil)
	}
	for shard := range query.current.shards {
		state := &query.current.shards[shard]
		state.closed = false
		state.reason = ""
		state.tried = 0
		state.sent = 0
	}
	query.open = len(query.current.shards) - query.current.answered
}

func newCandidate(found *target, shards []shardState) candidate {
	count := len(found.layout.shards)
	if cap(shards) < count {
		shards = make([]shardState, count)
	}
	found.layout.users++
	return candidate{layout: found.layout, snapshot: found.snapshot, bound: found.bound, shards: shards[:count], age: -1}
}
