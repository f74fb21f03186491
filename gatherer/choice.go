package gatherer

// Replica selection ranks the replicas of a shard by class and takes the one with the lower cost
// of two random replicas of the best class. The health and load that searchers report about
// themselves never change the class.

import (
	"slices"
	"time"

	"carobthread"
)

// replicaClass ranks the replicas of a shard for one attempt; a lower class is preferred.
type replicaClass uint8

const (
	classLocal replicaClass = iota
	// classRemote is in another data centre, or is local with at least this host's fair share of its slots in use.
	classRemote
	// classReserved has free slots only among those kept for less urgent services; it is used by attempts that would wait.
	classReserved
	// classSaturated has no free slot; the attempt waits for one rather than going to a replica with bad outcomes.
	classSaturated
	// classThrottled has used up this host's share of the rate limit that the searcher names, or wants nothing from this host
	// for a time that it has named; the attempt waits.
	classThrottled
	// classAvoided is stalled, or would be ejected but for the ejection cap.
	classAvoided
	// classUnheld accepts fewer connections than there are hosts and is assigned to other hosts.
	classUnheld
	// classMayHold last listed only snapshots older than the one asked for and may have loaded that since.
	classMayHold
	// classSilent is in a data centre from which no searcher has replied lately.
	classSilent
	// classEjected is used only if no replica of a better class is left.
	classEjected
	// classCold has just started and may take no request of this host now; the attempt waits.
	classCold
	// classTried was sent an attempt in the current round, or would exceed the number of searchers that the query may be sent
	// to for the shard. No attempt is sent to a replica of this or a later class.
	classTried
	classLacksSnapshot
	classLacksLayout
	// classEvacuated is in a data centre that the operator evacuates.
	classEvacuated
	// classGone is draining, leaving or no longer configured.
	classGone
)

// String returns the name of the class in logs.
func (class replicaClass) String() string {
	names := [...]string{
		"local", "remote", "reserved", "saturated", "throttled", "avoided", "unheld", "may-hold", "silent", "ejected", "cold", "tried",
		"lacks-snapshot", "lacks-layout", "evacuated", "gone",
	}
	return names[class]
}

// waits reports whether an attempt waits until a replica of the class can take it.
func (class replicaClass) waits() bool {
	return class == classSaturated || class == classThrottled || class == classCold
}

const (
	// reportAge is how long a searcher's reported health and load are used to break ties.
	reportAge = time.Second
	// heldAge is how long a searcher's list of held snapshots is trusted to rule it out for other snapshots.
	heldAge = 5 * time.Second
	// localBias is the factor by which the cost of a local replica may exceed that of a remote one before the remote one is
	// chosen.
	localBias = 2
	// failureAge is how long a searcher's failure rate is valid after its last sample.
	failureAge = 2 * time.Second
)

// choose returns the index and class of the replica for the next attempt at a shard, or -1 and the best class if no attempt
// can be sent now.
func (gatherer *Gatherer) choose(query *queryRow, shard uint32) (int, replicaClass) {
	row := &query.current.layout.shards[shard]
	if !gatherer.usesCurrentPolicy() {
		return gatherer.chooseBaseline(row)
	}
	best, count := classGone, 0
	gatherer.classes = gatherer.classes[:0]
	for i := range row.replicas {
		class := gatherer.classify(query, shard, i)
		gatherer.classes = append(gatherer.classes, class)
		if class < best {
			best, count = class, 0
		}
		if class == best {
			count++
		}
	}
	if best == classThrottled {
		// A host that is assigned to other searchers, but to none that may take more, must not wait for the few tokens it gets.
		if unheld := slices.Index(gatherer.classes, classUnheld); unheld >= 0 {
			return unheld, classUnheld
		}
	}
	if best.waits() && len(row.waiting) > row.slots() {
		// With a queue this long, even a replica with bad outcomes is likely to reply sooner.
		if avoided := slices.Index(gatherer.classes, classAvoided); avoided >= 0 {
			return avoided, classAvoided
		}
	}
	if best > classEjected || best.waits() {
		return -1, best
	}
	if best <= classRemote && gatherer.predicts(row) {
		index, class := gatherer.pickPredicted(row)
		if gatherer.betterToWait(query, row, index) {
			return -1, classSaturated
		}
		return index, class
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

// preferLocal returns the local replica, or the cheapest remote one if the local cost exceeds its cost by more than
// localBias, so that a slow searcher does not keep the load of its data centre. It skips data centres that may be cut off.
// It applies to replica groups only: the service budget is too small to make up for attempts at a data centre that has
// just been cut off.
func (gatherer *Gatherer) preferLocal(row *shardRow, local int) (int, replicaClass) {
	remote := -1
	for i, class := range gatherer.classes {
		if class == classRemote && !row.replicas[i].row.searcher.centre.suspect() && (remote < 0 || gatherer.cost(row.replicas[i].row) < gatherer.cost(row.replicas[remote].row)) {
			remote = i
		}
	}
	if remote < 0 || gatherer.cost(row.replicas[local].row) <= localBias*gatherer.cost(row.replicas[remote].row) {
		return local, classLocal
	}
	return remote, classRemote
}

// pick returns the cheaper of two random replicas of the best class, which has count replicas.
func (gatherer *Gatherer) pick(row *shardRow, best replicaClass, count int) int {
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

// nth returns the index of the nth replica, counted from 0, of the wanted class.
func (gatherer *Gatherer) nth(wanted replicaClass, n int) int {
	for i, class := range gatherer.classes {
		if class != wanted {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

func (gatherer *Gatherer) classify(query *queryRow, shard uint32, index int) replicaClass {
	replica := &query.current.layout.shards[shard].replicas[index]
	searcher := replica.row.searcher
	state := &query.current.shards[shard]
	switch {
	case !searcher.staying():
		return classGone
	case searcher.config.Evacuated && gatherer.avoidsEvacuated(query, shard, searcher):
		return classEvacuated
	case gatherer.now < replica.layoutRefusedUntil:
		return classLacksLayout
	case query.current.pinned && gatherer.lacksSnapshot(searcher, query.current.snapshot):
		return classLacksSnapshot
	case state.tried.has(index), !state.reached.has(index) && state.atSearcherLimit(query):
		return classTried
	case gatherer.coldBlocked(searcher):
		return classCold
	case gatherer.throttled(searcher):
		return classThrottled
	case !replica.row.free():
		return replica.row.classWithoutSlot()
	case searcher.ejection.Ejected(gatherer.now):
		return classEjected
	case searcher.centre.silent(gatherer.now):
		return classSilent
	case query.current.pinned && gatherer.holdingsKnown(searcher) && !slices.Contains(searcher.held, query.current.snapshot):
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

// fairShare returns this host's share of a local searcher's slots; above it, the searcher competes with remote replicas by
// cost. The hosts of the data centre share the slots, or its coordinators if they send most attempts.
func (gatherer *Gatherer) fairShare(searcher *searcherRow) int {
	hosts := gatherer.localHosts
	if gatherer.coordinators.coordinates && gatherer.reserves(searcher) {
		hosts = max(1, gatherer.coordinators.local)
	}
	return (searcher.limit.Limit() + hosts - 1) / hosts
}

// free reports whether one more attempt may be sent, which needs a slot and a connection of its own. A searcher that several
// services use keeps one slot in reserve for each of the others.
func (replica *replicaRow) free() bool {
	searcher := replica.searcher
	return searcher.free() && (searcher.serviceCount <= 1 || replica.inFlight < max(1, searcher.limit.Limit()-searcher.serviceCount+1))
}

// free reports whether one more attempt of any service may be sent.
func (searcher *searcherRow) free() bool {
	return searcher.limit.Free() && (searcher.config.Connections == 0 || searcher.limit.Running() < searcher.connectionShare.Current())
}

// classWithoutSlot returns the class of a replica that is not free. Slots in reserve for less urgent services are used before
// an attempt waits, since these services would otherwise be served more often than the urgent one under a load of the latter.
func (replica *replicaRow) classWithoutSlot() replicaClass {
	searcher := replica.searcher
	if replica.reserve < searcher.serviceCount-1 && searcher.free() && replica.inFlight < max(1, searcher.limit.Limit()-replica.reserve) {
		return classReserved
	}
	return classSaturated
}

// lacksSnapshot reports whether the searcher has just refused the snapshot, has just replied without listing it, or holds a
// newer one instead.
func (gatherer *Gatherer) lacksSnapshot(searcher *searcherRow, snapshot uint64) bool {
	if gatherer.now < searcher.refusedUntil && searcher.refusedSnapshot == snapshot {
		return true
	}
	if !gatherer.holdingsKnown(searcher) || slices.Contains(searcher.held, snapshot) {
		return false
	}
	if searcher.listedByReplyAt != 0 && gatherer.now.Sub(searcher.listedByReplyAt) < snapshotRefusalAge {
		return true
	}
	return len(searcher.held) > 0 && slices.Max(searcher.held) > snapshot
}

// holdingsKnown reports whether the searcher's held snapshots were listed recently and since the last process pause.
func (gatherer *Gatherer) holdingsKnown(searcher *searcherRow) bool {
	if !gatherer.usesCurrentPolicy() {
		return true
	}
	return searcher.heldAt != 0 && searcher.heldAt >= gatherer.resumedAt && gatherer.now.Sub(searcher.heldAt) < heldAge
}

// reasonForClass returns the reason to report for a shard whose best replica class cannot be used.
func reasonForClass(class replicaClass) carobthread.Reason {
	switch class {
	case classSaturated, classThrottled, classCold:
		return carobthread.ReasonNoSlot
	case classLacksSnapshot:
		return carobthread.ReasonSnapshotMissing
	case classLacksLayout:
		return carobthread.ReasonLayoutMissing
	case classEvacuated:
		return carobthread.ReasonEvacuated
	default:
		return carobthread.ReasonNoReplica
	}
}
