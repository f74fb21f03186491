package gatherer

// The choice ranks the replicas of a shard by class and takes the cheaper of two random ones
// of the best class. What searchers report of themselves never changes the class.

import (
	"slices"
	"time"

	"carobthread"
)

// class ranks the replicas of a shard for one attempt; a lower one is preferred.
type class uint8

const (
	classLocal class = iota
	classRemote
	// classSaturated has no free slot; the attempt waits rather than going to a replica with bad outcomes.
	classSaturated
	// classAvoided would be ejected but for the cap.
	classAvoided
	// classUnheld is left to other hosts, whose connections are as many as it accepts.
	classUnheld
	// classMayHold last stated only older snapshots than the one asked for and may have loaded it since.
	classMayHold
	// classSilent is in a data centre from which nothing has replied lately.
	classSilent
	// classEjected is the last resort when every other replica is gone.
	classEjected
	classTried
	classLacksSnapshot
	classLacksLayout
	classGone
)

// String names the class for logs.
func (found class) String() string {
	names := [...]string{
		"local", "remote", "saturated", "avoided", "unheld", "may-hold", "silent", "ejected", "tried", "lacks-snapshot", "lacks-layout", "gone",
	}
	return names[found]
}

const (
	// reportAge is how long a searcher's reported health and load break ties.
	reportAge = time.Second
	// heldAge is how long a list of held snapshots rules a replica out.
	heldAge = 5 * time.Second
	// latencyAge is how long a replica's latency estimate counts.
	latencyAge = 5 * time.Second
	// localBias is how many times the cost of a remote replica a local one may have.
	localBias = 2
	// failureAge is how long a searcher's failures count after the last attempt at it.
	failureAge = 2 * time.Second
	// failureCost is the time that a failed attempt adds, in latencies: it is noticed, another searcher is asked, and the
	// budget for that is spent.
	failureCost = 5
	// costTie is the ratio of costs within which two replicas count as equal.
	costTie = 1.1
)

// choose returns the index of the replica for the next attempt at a shard and its class, or -1 and the class of the best replica that cannot be used.
func (gatherer *Gatherer) choose(query *queryRow, shard uint32) (int, class) {
	row := &query.current.layout.shards[shard]
	if !gatherer.inForce() {
		return gatherer.chooseBaseline(row)
	}
	best, count := classGone, 0
	gatherer.classes = gatherer.classes[:0]
	for i := range row.replicas {
		found := gatherer.classify(query, shard, i)
		gatherer.classes = append(gatherer.classes, found)
		if found < best {
			best, count = found, 0
		}
		if found == best {
			count++
		}
	}
	if best == classSaturated && len(row.waiting) > row.slots() {
		// With a queue this long, even a replica with bad outcomes is likely to reply first.
		if avoided := slices.Index(gatherer.classes, classAvoided); avoided >= 0 {
			return avoided, classAvoided
		}
	}
	if best > classEjected || best == classSaturated {
		return -1, best
	}
	index := gatherer.pick(row, best, count)
	if row.group == nil {
		return index, best
	}
	if best == classLocal {
		index, best = gatherer.preferLocal(row, index)
	}
	if best <= classRemote && gatherer.betterToWait(query, row, index) {
		return -1, classSaturated
	}
	return index, best
}

// betterToWait reports whether the chosen replica is expected to reply too late while one that has no free slot now would
// reply in time after those that wait. Without this, slow searchers take what the others cannot take at once, and the
// replies come too late to count.
func (gatherer *Gatherer) betterToWait(query *queryRow, row *shardRow, chosen int) bool {
	left := query.soft.Sub(gatherer.now)
	if left <= 0 || gatherer.recentLatency(row.replicas[chosen].row) <= left {
		return false
	}
	for i, found := range gatherer.classes {
		replica := row.replicas[i].row
		if found != classSaturated || gatherer.now < replica.searcher.stalledUntil {
			continue
		}
		latency := gatherer.recentLatency(replica)
		wait := time.Duration(float64(latency) * float64(len(row.waiting)+1) / float64(replica.searcher.limit.Limit()))
		if latency > 0 && wait+latency <= left {
			return true
		}
	}
	return false
}

// recentLatency returns the replica's estimate, or 0 if it has none that still counts.
func (gatherer *Gatherer) recentLatency(replica *replicaRow) time.Duration {
	if replica.seenAt < gatherer.resumedAt || replica.seenAt == 0 || gatherer.now.Sub(replica.seenAt) > latencyAge {
		return 0
	}
	return time.Duration(replica.latency)
}

// preferLocal returns the local replica, or the cheapest remote one if that is cheaper by far, so that a slow
// searcher does not keep the load of its data centre; not one of a data centre that may have been cut off. Without a
// replica group, the budget is too small to make up for attempts at a data centre that has just been cut off.
func (gatherer *Gatherer) preferLocal(row *shardRow, local int) (int, class) {
	remote := -1
	for i, found := range gatherer.classes {
		if found == classRemote && !row.replicas[i].row.searcher.centre.suspect() && (remote < 0 || gatherer.cost(row.replicas[i].row) < gatherer.cost(row.replicas[remote].row)) {
			remote = i
		}
	}
	if remote < 0 || gatherer.cost(row.replicas[local].row) <= localBias*gatherer.cost(row.replicas[remote].row) {
		return local, classLocal
	}
	return remote, classRemote
}

// pick returns the cheaper of two random replicas of a class with that many.
func (gatherer *Gatherer) pick(row *shardRow, best class, count int) int {
	if count == 1 {
		return slices.Index(gatherer.classes, best)
	}
	first := gatherer.random.IntN(count)
	second := gatherer.random.IntN(count - 1)
	if second >= first {
		second++
	}
	return gatherer.cheaper(row, gatherer.nth(best, first), gatherer.nth(best, second))
}

// nth returns the index of the replica that is the nth of its class.
func (gatherer *Gatherer) nth(wanted class, n int) int {
	for i, found := range gatherer.classes {
		if found != wanted {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

func (gatherer *Gatherer) classify(query *queryRow, shard uint32, index int) class {
	replica := &query.current.layout.shards[shard].replicas[index]
	searcher := replica.row.searcher
	switch {
	case !searcher.usable():
		return classGone
	case gatherer.now < replica.lacksUntil:
		return classLacksLayout
	case query.current.bound && gatherer.lacksSnapshot(searcher, query.current.snapshot):
		return classLacksSnapshot
	case query.current.shards[shard].tried&replicaBit(index) != 0:
		return classTried
	case query.current.shards[shard].reached&replicaBit(index) == 0 && query.current.shards[shard].full(query.service):
		return classTried
	case !replica.row.free():
		return classSaturated
	case searcher.ejection.Ejected(gatherer.now):
		return classEjected
	case searcher.centre.silent(gatherer.now):
		return classSilent
	case query.current.bound && gatherer.heldKnown(searcher) && !slices.Contains(searcher.held, query.current.snapshot):
		return classMayHold
	case searcher.ejection.Avoided(gatherer.now), gatherer.now < searcher.stalledUntil:
		return classAvoided
	case searcher.unheld:
		return classUnheld
	case searcher.local && searcher.limit.Running() < gatherer.fairShare(searcher):
		return classLocal
	}
	return classRemote
}

// fairShare returns this host's part of a local searcher's slots; above it the remote replicas compete by cost.
func (gatherer *Gatherer) fairShare(searcher *searcherRow) int {
	return (searcher.limit.Limit() + gatherer.localHosts - 1) / gatherer.localHosts
}

// replicaBit returns the bit of a replica in the tried set; replicas past the 63rd share one.
func replicaBit(index int) uint64 { return 1 << min(index, 63) }

// free reports whether one more attempt may be sent, which takes a slot and a connection of its own; a searcher of several services keeps a slot for each other one.
func (replica *replicaRow) free() bool {
	searcher := replica.searcher
	if !searcher.limit.Free() || searcher.config.Connections > 0 && searcher.limit.Running() >= searcher.share.Current() {
		return false
	}
	return searcher.users <= 1 || replica.inFlight < max(1, searcher.limit.Limit()-searcher.users+1)
}

// lacksSnapshot reports whether the searcher has just refused or not listed the snapshot, or has replaced it by a newer one.
func (gatherer *Gatherer) lacksSnapshot(searcher *searcherRow, snapshot uint64) bool {
	if gatherer.now < searcher.lacksUntil && searcher.lacks == snapshot {
		return true
	}
	if !gatherer.heldKnown(searcher) || slices.Contains(searcher.held, snapshot) {
		return false
	}
	if searcher.statedAt != 0 && gatherer.now.Sub(searcher.statedAt) < lacksAge {
		return true
	}
	return len(searcher.held) > 0 && slices.Max(searcher.held) > snapshot
}

// heldKnown reports whether the held snapshots were stated recently and after the last pause.
func (gatherer *Gatherer) heldKnown(searcher *searcherRow) bool {
	if !gatherer.inForce() {
		return true
	}
	return searcher.heldAt != 0 && searcher.heldAt >= gatherer.resumedAt && gatherer.now.Sub(searcher.heldAt) < heldAge
}

// cheaper returns the replica with the lower expected wait; recent reports decide only between nearly equal ones.
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

// cost is the latency estimate, with the time that a failure is likely to add, multiplied by the load relative to the limit.
func (gatherer *Gatherer) cost(replica *replicaRow) float64 {
	latency := float64(gatherer.recentLatency(replica))
	if latency == 0 {
		latency = float64(max(time.Millisecond, replica.service.latency.median))
	}
	latency *= 1 + failureCost*replica.searcher.failureShare(gatherer.now)
	limit := &replica.searcher.limit
	return latency * float64(limit.Running()+1) / float64(limit.Limit())
}

// reportedWorse reports whether recent reports say that the first searcher is worse off than the second.
func (gatherer *Gatherer) reportedWorse(one, other *searcherRow) bool {
	if !gatherer.reportKnown(one) || !gatherer.reportKnown(other) {
		return false
	}
	if one.healthy != other.healthy {
		return other.healthy
	}
	return one.load > other.load
}

// idle reports whether the searcher has stated lately that it has slots to spare.
func (gatherer *Gatherer) idle(searcher *searcherRow) bool {
	return gatherer.reportKnown(searcher) && searcher.load <= searcher.config.Slots
}

func (gatherer *Gatherer) reportKnown(searcher *searcherRow) bool {
	return searcher.reportAt != 0 && searcher.reportAt >= gatherer.resumedAt && gatherer.now.Sub(searcher.reportAt) < reportAge
}

// chooseBaseline takes any configured replica at random, or the less loaded of two random ones with a free slot.
func (gatherer *Gatherer) chooseBaseline(row *shardRow) (int, class) {
	gatherer.classes = gatherer.classes[:0]
	count := 0
	for i := range row.replicas {
		found := gatherer.classifyBaseline(row.replicas[i].row.searcher)
		gatherer.classes = append(gatherer.classes, found)
		if found == classLocal {
			count++
		}
	}
	if count == 0 {
		return -1, classGone
	}
	first := gatherer.nth(classLocal, gatherer.random.IntN(count))
	if gatherer.options.RandomReplica {
		return first, classLocal
	}
	second := gatherer.nth(classLocal, gatherer.random.IntN(count))
	if row.replicas[second].row.searcher.limit.Running() < row.replicas[first].row.searcher.limit.Running() {
		return second, classLocal
	}
	return first, classLocal
}

func (gatherer *Gatherer) classifyBaseline(searcher *searcherRow) class {
	if gatherer.options.RandomReplica {
		if searcher.known && !searcher.config.Leaving {
			return classLocal
		}
		return classGone
	}
	if !searcher.usable() || searcher.limit.Running() >= searcher.limit.Slots() {
		return classGone
	}
	return classLocal
}

// reasonOf states why no replica of a class can be used.
func reasonOf(found class) carobthread.Reason {
	switch found {
	case classSaturated:
		return carobthread.ReasonNoSlot
	case classLacksSnapshot:
		return carobthread.ReasonSnapshotMissing
	case classLacksLayout:
		return carobthread.ReasonLayoutMissing
	default:
		return carobthread.ReasonNoReplica
	}
}
