package gatherer

// A query that another host has delegated may use only one searcher per shard until that host grants it the others, since
// until then the other host may still handle the query itself. A query that was taken back from another host is limited in
// the same way, and its first attempts are charged to the retry budget.

import (
	"time"

	"carobthread"
	"carobthread/assigner"
	"carobthread/delegator"
)

// reservedConnections is the fraction of a searcher's connections that is reserved for coordinators. With it, four
// coordinators in ten hosts with a third as many connections as hosts still hold one connection each, and the other hosts keep
// enough for their fallbacks.
const reservedConnections = 0.5

// reservedRate is the fraction of a searcher's rate limit that is reserved for coordinators, which send most requests.
const reservedRate = 0.75

// coordinatorCounts counts the hosts that may gather queries of others.
type coordinatorCounts struct {
	// live is the number at present, local that in this host's data centre, most the greatest number known at once.
	live, local, most int
	// coordinates is set while this host is one of them, since the given time.
	coordinates bool
	since       carobthread.Instant
}

func (counts *coordinatorCounts) update(now carobthread.Instant, view *carobthread.View) {
	previously := counts.coordinates
	count := delegator.CountCoordinators(view)
	counts.live, counts.local, counts.coordinates = count.All, count.Local, count.Self
	counts.most = max(counts.most, counts.live)
	if counts.coordinates && !previously {
		counts.since = now
	}
}

// usesReserve reports whether this host may use its share of the coordinators' part of the retry slack. Until all hosts have
// had the time of a window with the split slack, they may have used more of the whole.
func (counts *coordinatorCounts) usesReserve(now carobthread.Instant, window time.Duration) bool {
	return counts.coordinates && now.Sub(counts.since) >= window
}

// shareOf returns the part of a searcher's rate limit that this host shares with others, and the number of hosts that share it
// out of the given number of all hosts.
func (counts *coordinatorCounts) shareOf(limit float64, hosts int) (part float64, sharers int) {
	if counts.coordinates {
		return reservedRate * limit, counts.most
	}
	return (1 - reservedRate) * limit, max(1, hosts-counts.most)
}

// delegable reports whether queries of the service may be delegated.
func (service *serviceRow) delegable() bool {
	shards := 0
	for _, layout := range service.layouts {
		shards = max(shards, len(layout.shards))
	}
	return delegator.Delegable(&service.config, shards)
}

// reserves reports whether coordinators have precedence at the searcher: it serves only delegable queries, so that other hosts
// send to it only what no coordinator handles.
func (gatherer *Gatherer) reserves(searcher *searcherRow) bool {
	return gatherer.coordinators.live > 0 && searcher.delegableCount > 0 && searcher.delegableCount == searcher.serviceCount
}

// sharedConnections returns the connections to a searcher that this host shares with others, and the number of hosts that
// share them. Coordinators have a part for themselves at the searchers at which they have precedence.
func (gatherer *Gatherer) sharedConnections(searcher *searcherRow) (connections, hosts int) {
	total, coordinators := searcher.config.Connections, gatherer.coordinators.live
	if total <= 0 || !gatherer.reserves(searcher) {
		return total, gatherer.liveHosts
	}
	reserved := max(1, int(reservedConnections*float64(total))/coordinators) * coordinators
	if gatherer.coordinators.coordinates {
		return min(reserved, total), coordinators
	}
	return max(0, total-reserved), max(1, gatherer.liveHosts-coordinators)
}

// assignSearchers determines the searchers that are assigned to other hosts because they accept fewer connections than there
// are hosts.
func (gatherer *Gatherer) assignSearchers() {
	for _, searcher := range gatherer.searcherList {
		connections, hosts := gatherer.sharedConnections(searcher)
		none := connections == 0 && searcher.config.Connections > 0
		searcher.unheld = none || !assigner.InSubset(gatherer.self, searcher.config.Name, connections, hosts)
	}
}

// permitsRepeat reports whether the retry budget permits a query that another host may have sent to the shards to reach its
// coverage floor here.
func (gatherer *Gatherer) permitsRepeat(service *serviceRow, plan *queryPlan) bool {
	permitted := 0
	for shard := range plan.layout.shards {
		if group := plan.layout.shards[shard].group; group == nil || group.slidingBudget.Permits(gatherer.now) {
			permitted++
		}
	}
	return permitted >= service.required(len(plan.layout.shards))
}

// MayRepeat reports whether the retry budget permits a query of the service that another host may have sent to the shards.
func (gatherer *Gatherer) MayRepeat(service string) bool {
	row := gatherer.services[service]
	if row == nil {
		return false
	}
	plan := gatherer.planFor(row)
	return plan.layout != nil && gatherer.permitsRepeat(row, plan)
}

// sendRepeated sends the first attempt of a repeated query to a shard as an extra one. Where the budget does not permit it,
// the shard is given up at once: the budgets of a host that delegates refill too slowly to wait for.
func (gatherer *Gatherer) sendRepeated(query *queryRow, shard uint32) {
	if !gatherer.takeBudget(query, shard, carobthread.AttemptRetry) {
		gatherer.stats.BudgetRefused++
		gatherer.closeShard(query, shard, carobthread.ReasonRetryBudget)
		return
	}
	gatherer.dispatch(query, shard, carobthread.AttemptRetry)
}

// limit applies the limits of one query, which are never wider than those of its service.
func (query *queryRow) limit(limits *carobthread.QueryLimits) {
	query.maxSearchers = query.service.maxSearchers()
	if limits.MaxSearchers > 0 {
		query.maxSearchers = min(query.maxSearchers, limits.MaxSearchers)
	}
	query.withheld = limits.Withheld
	query.fixed = limits.Withheld || limits.Repeated
}

// wantGrant asks for the grant of a query whose first attempt at a shard has failed, since it does not need to wait until other
// attempts are late.
func (gatherer *Gatherer) wantGrant(query *queryRow) {
	if !query.wanted {
		query.wanted = true
		gatherer.actions = append(gatherer.actions, carobthread.Action{Want: &carobthread.WantGrant{Query: query.id}})
	}
}

// grant permits the query to use second searchers and checks at once the shards that have waited for this.
func (gatherer *Gatherer) grant(id carobthread.QueryID) {
	query := gatherer.queries[id]
	if query == nil || !query.withheld {
		return
	}
	query.withheld = false
	for shard := range query.current.shards {
		state := &query.current.shards[shard]
		if state.reply == 0 && !state.closed && !state.waiting && state.checkAt == 0 {
			state.checkAt = gatherer.now
			gatherer.wake(query, gatherer.now)
		}
	}
}

// HedgeDelay returns the time after which an attempt of the service counts as late, or 0 if it is unknown.
func (gatherer *Gatherer) HedgeDelay(service string) time.Duration {
	if row := gatherer.services[service]; row != nil {
		return row.hedgeDelay()
	}
	return 0
}
