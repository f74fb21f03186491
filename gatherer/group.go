package gatherer

// Services may share the searchers of a shard. What bounds the load on these searchers, the retry
// budget and the rest from hedging after a refusal, is then kept for the group of replicas and
// not for the service, since a fault of one group must not spend the budget of another.

import (
	"maps"
	"time"

	"carobthread"
	"carobthread/limiter"
)

// groupPollInterval is the time between two tries to pay for an attempt from a group's budget, which is filled by later queries.
const groupPollInterval = 10 * time.Millisecond

// groupRow is one replica group with its retry budget.
type groupRow struct {
	window limiter.Window
	// usedAt is the last query or extra attempt.
	usedAt carobthread.Instant
	// hedgeFrom is when hedging may start again after a searcher of the group shed load.
	hedgeFrom carobthread.Instant
}

// group returns the replica group of a shard, or nil.
func (query *queryRow) group(shard uint32) *groupRow { return query.current.layout.shards[shard].group }

// group returns the row of a group and makes it if it is new; nil for a shard without a group.
func (gatherer *Gatherer) group(name string) *groupRow {
	if name == "" {
		return nil
	}
	row := gatherer.groups[name]
	if row == nil {
		began := gatherer.startedAt
		if gatherer.configured {
			began = gatherer.now
		}
		row = &groupRow{window: limiter.NewWindow(began), usedAt: gatherer.now}
		gatherer.groups[name] = row
	}
	return row
}

// configureGroups divides the budget of each group by the number of live hosts.
func (gatherer *Gatherer) configureGroups() {
	budget := &gatherer.retryBudget
	for _, row := range gatherer.groups {
		row.window.Configure(budget.Ratio, budget.Slack, gatherer.budgetHosts, budget.Window)
	}
}

// countRequest counts a query for the group of each of its shards.
func (gatherer *Gatherer) countRequest(layout *layoutRow) {
	for shard := range layout.shards {
		if group := layout.shards[shard].group; group != nil {
			group.usedAt = gatherer.now
			group.window.Request(gatherer.now)
		}
	}
}

// pay takes an extra attempt of that kind from the budget of the shard's group or else of the service.
func (gatherer *Gatherer) pay(query *queryRow, shard uint32, kind carobthread.AttemptKind) bool {
	if group := query.group(shard); group != nil {
		group.usedAt = gatherer.now
		return group.window.Take(gatherer.now)
	}
	if kind == carobthread.AttemptHedge {
		return query.service.budget.TakeHedge()
	}
	return query.service.budget.TakeRetry(1)
}

// sweepGroups removes the groups that no layout names and that no span of the retry budget can still count.
func (gatherer *Gatherer) sweepGroups() {
	named := map[*groupRow]bool{}
	name := func(layouts []*layoutRow) {
		for _, layout := range layouts {
			for shard := range layout.shards {
				named[layout.shards[shard].group] = true
			}
		}
	}
	for _, service := range gatherer.serviceList {
		name(service.layouts)
	}
	name(gatherer.retired)
	maps.DeleteFunc(gatherer.groups, func(_ string, group *groupRow) bool {
		return !named[group] && gatherer.now.Sub(group.usedAt) > 2*gatherer.retryBudget.Window
	})
}

// refund returns the payment for an attempt that was not sent.
func (gatherer *Gatherer) refund(query *queryRow, shard uint32) {
	if group := query.group(shard); group != nil {
		group.window.Refund()
		return
	}
	query.service.budget.Refund(1)
}

// payAgain returns when to try again to pay for an attempt.
func (gatherer *Gatherer) payAgain(query *queryRow, shard uint32) time.Duration {
	if query.group(shard) != nil {
		return groupPollInterval
	}
	return pollInterval
}

// hedgeFrom returns when hedging may start again at a shard.
func (gatherer *Gatherer) hedgeFrom(query *queryRow, shard uint32) carobthread.Instant {
	if group := query.group(shard); group != nil {
		return group.hedgeFrom
	}
	return query.service.hedgeFrom
}

// restHedges keeps hedging off for a while after a searcher of the shard has shed load.
func (gatherer *Gatherer) restHedges(attempt *attemptRow) {
	until := gatherer.now.Add(hedgeRest)
	if group := attempt.query.group(attempt.shard); group != nil {
		group.hedgeFrom = until
		return
	}
	attempt.replica.service.hedgeFrom = until
}
