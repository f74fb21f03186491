package gatherer

// A query that another host has delegated may use only one searcher per shard until that host grants it the others, since
// until then the other host may still handle the query itself. A query that was taken back from another host is limited in
// the same way, and its first attempts are charged to the retry budget.

import (
	"time"

	"carobthread"
)

// limit applies the limits of one query, which are never wider than those of its service.
func (query *queryRow) limit(limits *carobthread.QueryLimits) {
	query.maxSearchers = query.service.maxSearchers()
	if limits.MaxSearchers > 0 {
		query.maxSearchers = min(query.maxSearchers, limits.MaxSearchers)
	}
	query.withheld = limits.Withheld
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
