package gatherer

// A searcher in need names the requests per second that it accepts from all hosts together. No host sees what the others send,
// so each one keeps to an equal share of that limit; the sum over all hosts then stays below it without any agreement. A
// searcher that refuses an attempt may also name a time in which it wants nothing from this host.

import (
	"slices"
	"time"

	"carobthread"
)

// recordBackpressure applies what a searcher asks of its callers in a reply.
func (gatherer *Gatherer) recordBackpressure(searcher *searcherRow, stated *carobthread.Backpressure) {
	if stated == nil || !gatherer.usesCurrentPolicy() {
		return
	}
	gatherer.backpressured = gatherer.backpressured || *stated != (carobthread.Backpressure{})
	if stated.RetryAfterMicros > 0 {
		searcher.pausedUntil = max(searcher.pausedUntil, gatherer.now.Add(time.Duration(stated.RetryAfterMicros)*time.Microsecond))
	}
	if stated.RateLimit != searcher.rateLimit {
		searcher.rateLimit = stated.RateLimit
		gatherer.shareRateLimit(searcher)
	}
}

// throttled reports whether the searcher wants no request of this host now.
func (gatherer *Gatherer) throttled(searcher *searcherRow) bool {
	return gatherer.now < searcher.pausedUntil || !searcher.rate.Allows(gatherer.now)
}

// unheldShare is the fraction of a rate limit that all hosts which are not assigned to a searcher share; they send to it only
// if nothing else is left.
const unheldShare = 0.1

// shareRateLimit sets this host's share of the searcher's rate limit: an equal part of it for each host that is assigned to the
// searcher.
func (gatherer *Gatherer) shareRateLimit(searcher *searcherRow) {
	if searcher.rateLimit == 0 {
		searcher.rate.Clear()
		return
	}
	// The highest number of hosts known at once counts, since hosts that are out of sight may still send.
	limit, connections, hosts := searcher.rateLimit, searcher.config.Connections, gatherer.budgetHosts
	if gatherer.reserves(searcher) {
		connections, _ = gatherer.sharedConnections(searcher)
		limit, hosts = gatherer.coordinators.shareOf(limit, hosts)
	}
	share := limit / float64(hosts)
	switch {
	case searcher.unheld:
		share *= unheldShare
	case connections > 0 && connections < hosts:
		share = limit / float64(connections)
	}
	searcher.rate.Set(gatherer.now, share)
}

// throttledFor returns the time until one of the shard's usable searchers takes a request of this host, or 0 if one does now or
// none is usable.
func (gatherer *Gatherer) throttledFor(row *shardRow) time.Duration {
	if !gatherer.backpressured {
		return 0
	}
	least, found := time.Duration(0), false
	for i := range row.replicas {
		searcher := row.replicas[i].row.searcher
		if !searcher.usable() {
			continue
		}
		wait := max(0, searcher.pausedUntil.Sub(gatherer.now), searcher.rate.Wait(gatherer.now), gatherer.coldWait(searcher))
		if !found || wait < least {
			least, found = wait, true
		}
	}
	return least
}

// updateBackpressured determines whether any searcher asks its callers for less than usual.
func (gatherer *Gatherer) updateBackpressured() {
	gatherer.backpressured = slices.ContainsFunc(gatherer.searcherList, func(searcher *searcherRow) bool {
		return searcher.rateLimit > 0 || gatherer.now < searcher.pausedUntil || searcher.cold.until != 0
	})
}

// throughput estimates how many attempts per second of this host the replica can take now.
func (gatherer *Gatherer) throughput(replica *replicaRow) float64 {
	searcher := replica.searcher
	if gatherer.now < searcher.pausedUntil {
		return 0
	}
	bySlots := float64(searcher.limit.Limit()) * float64(time.Second) / gatherer.expectedLatency(replica)
	if searcher.rate.Limited() {
		bySlots = min(bySlots, searcher.rate.PerSecond())
	}
	if searcher.cold.until != 0 {
		bySlots = min(bySlots, gatherer.coldPerSecond(searcher))
	}
	return bySlots
}
