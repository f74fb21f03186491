package gatherer

// The cost of a replica is the time that an attempt at it is expected to take, in view of its latency, failures and load.

import "time"

const (
	// latencyAge is how long a replica's latency estimate is valid after its last sample.
	latencyAge = 5 * time.Second
	// failureCost is the time that a failed attempt adds, as a multiple of the latency: the failure must be detected and
	// another attempt sent, which also uses up budget.
	failureCost = 5
	// costTie is the ratio within which the costs of two replicas count as equal.
	costTie = 1.1
)

// betterToWait reports whether the chosen replica is expected to reply too late while a saturated one would still reply in
// time after the attempts that already wait. Without this check, slow searchers get the load that exceeds the capacity of
// the fast ones and reply too late to count.
func (gatherer *Gatherer) betterToWait(query *queryRow, row *shardRow, chosen int) bool {
	left := query.softDeadline.Sub(gatherer.now)
	if left <= 0 || gatherer.recentLatency(row.replicas[chosen].row) <= left {
		return false
	}
	for i, class := range gatherer.classes {
		replica := row.replicas[i].row
		if class != classSaturated || gatherer.now < replica.searcher.stalledUntil {
			continue
		}
		latency := gatherer.recentLatency(replica)
		wait := time.Duration(float64(len(row.waiting)+1) / gatherer.throughput(replica) * float64(time.Second)) // not throttled, so not 0
		if latency > 0 && wait+latency <= left {
			return true
		}
	}
	return false
}

// recentLatency returns the replica's latency estimate, or 0 if it has none or an outdated one.
func (gatherer *Gatherer) recentLatency(replica *replicaRow) time.Duration {
	if replica.sampledAt < gatherer.resumedAt || replica.sampledAt == 0 || gatherer.now.Sub(replica.sampledAt) > latencyAge {
		return 0
	}
	return time.Duration(replica.latency)
}

// cheaper returns the replica with the lower cost; recent reports decide only between nearly equal costs.
func (gatherer *Gatherer) cheaper(row *shardRow, first, second int) int {
	one := row.replicas[first].row
	other := row.replicas[second].row
	oneCost := gatherer.cost(one)
	otherCost := gatherer.cost(other)
	switch {
	case oneCost*costTie < otherCost:
		return first
	case otherCost*costTie < oneCost:
		return second
	case gatherer.reportedWorse(one.searcher, other.searcher):
		return second
	case gatherer.reportedWorse(other.searcher, one.searcher):
		return first
	case otherCost < oneCost:
		return second
	}
	return first
}

// cost returns the latency estimate, increased by the expected cost of failures and multiplied by the load relative to the
// limit.
func (gatherer *Gatherer) cost(replica *replicaRow) float64 {
	latency := float64(gatherer.recentLatency(replica))
	if latency == 0 {
		latency = float64(max(time.Millisecond, replica.service.latency.median))
	}
	latency *= 1 + failureCost*replica.searcher.recentFailureRate(gatherer.now)
	limit := &replica.searcher.limit
	if replica.searcher.config.Cold.Limit > 0 && limit.Starting() && limit.Running() == 0 {
		// Relative to a limit of one, an idle searcher would look as loaded as a full one, get no requests and never leave slow
		// start.
		return latency / float64(limit.Slots())
	}
	return latency * float64(limit.Running()+1) / float64(limit.Limit())
}

// reportedWorse reports whether recent reports show the first searcher as less healthy or more loaded than the second.
func (gatherer *Gatherer) reportedWorse(one, other *searcherRow) bool {
	if !gatherer.reportIsRecent(one) || !gatherer.reportIsRecent(other) {
		return false
	}
	if one.healthy != other.healthy {
		return other.healthy
	}
	return one.load > other.load
}

// idle reports whether a recent report of the searcher shows no more load than slots.
func (gatherer *Gatherer) idle(searcher *searcherRow) bool {
	return gatherer.reportIsRecent(searcher) && searcher.load <= searcher.config.Slots
}

func (gatherer *Gatherer) reportIsRecent(searcher *searcherRow) bool {
	return searcher.reportedAt != 0 && searcher.reportedAt >= gatherer.resumedAt && gatherer.now.Sub(searcher.reportedAt) < reportAge
}
