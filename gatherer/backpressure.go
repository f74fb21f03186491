package gatherer

// A searcher in need names the requests per second that it accepts from all hosts together. No host sees what the others send,
// so each one keeps to an equal share of that limit; the sum over all hosts then stays below it without any agreement.

import (
	"time"

	"carobthread"
)

// recordBackpressure applies what a searcher asks of its callers in a reply.
func (gatherer *Gatherer) recordBackpressure(searcher *searcherRow, stated *carobthread.Backpressure) {
	if stated == nil || !gatherer.usesCurrentPolicy() || stated.RateLimit == searcher.rateLimit {
		return
	}
	searcher.rateLimit = stated.RateLimit
	gatherer.shareRateLimit(searcher)
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
	share := searcher.rateLimit / float64(gatherer.budgetHosts)
	switch connections := searcher.config.Connections; {
	case searcher.unheld:
		share *= unheldShare
	case connections > 0 && connections < gatherer.budgetHosts:
		share = searcher.rateLimit / float64(connections)
	}
	searcher.rate.Set(gatherer.now, share)
}

// throughput estimates how many attempts per second of this host the replica can take.
func (gatherer *Gatherer) throughput(replica *replicaRow) float64 {
	searcher := replica.searcher
	bySlots := float64(searcher.limit.Limit()) * float64(time.Second) / gatherer.expectedLatency(replica)
	if searcher.rate.Limited() {
		return min(bySlots, searcher.rate.PerSecond())
	}
	return bySlots
}
