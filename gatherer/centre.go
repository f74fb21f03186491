package gatherer

// A network partition makes all searchers of a data centre fail at once. Ejection alone would
// detect this one searcher at a time, and its cap would keep some of them in use. Outcomes are
// therefore also counted by data centre: several bad ones in a row, without a reply from any
// searcher there, mark the whole data centre as silent. Its searchers are then a last resort.

import (
	"maps"
	"slices"
	"time"

	"carobthread"
)

const (
	// probeInterval is the time between two queries that are sent to data centres that are cut off, at the expense of their
	// callers.
	probeInterval = 3 * time.Second
	// cutOffRetryAfter is the retry delay given to a caller refused because data centres are cut off from this host; the retry
	// may go to a host that still reaches them.
	cutOffRetryAfter = 50 * time.Millisecond
	// cutOffAfterLate is how many searchers of other data centres must be late, without a reply from any of these in between,
	// to show that this host's data centre is cut off. The deadlines of these attempts would show it too, but only after as
	// many queries are lost. If half of the searchers are slow or silent for other reasons, this number is reached by chance
	// once in 256 times.
	cutOffAfterLate = 8
	// cutOffSpan is the time within which they must all be late, since a host with few callers seldom sends to other data
	// centres and would otherwise add up unrelated late attempts.
	cutOffSpan = time.Second
	// silentAfterFailures is how many bad outcomes in a row mark a data centre as silent, from as many searchers if it has
	// them.
	silentAfterFailures = 6
	// initialSilence and maxSilence bound how long a data centre is silent; the time doubles whenever it is marked as silent
	// again without a reply in between.
	initialSilence = 500 * time.Millisecond
	maxSilence     = 4 * time.Second
)

// centreRow is this host's view of one data centre.
type centreRow struct {
	// failures counts the bad outcomes in a row of attempts that were sent since repliedAt, the time of the last reply, and
	// failed holds their searchers.
	failures  int
	failed    []*searcherRow
	repliedAt carobthread.Instant
	// searchers is the number of known searchers in the data centre.
	searchers     int
	silentUntil   carobthread.Instant
	silencePeriod time.Duration
}

// remoteView is this host's recent view of all other data centres together.
type remoteView struct {
	// late holds the searchers with late attempts sent since the last reply from any other data centre.
	late        []*searcherRow
	firstLateAt carobthread.Instant
	repliedAt   carobthread.Instant
}

// reply records a reply from a searcher or a host of the data centre.
func (centre *centreRow) reply(now carobthread.Instant) {
	centre.repliedAt = now
	centre.failures = 0
	centre.failed = centre.failed[:0]
	centre.silentUntil = 0
	centre.silencePeriod = 0
}

// recordFailure counts an attempt that failed or is very late. A reply that arrived after the attempt was sent shows that the
// data centre can be reached, however many of its searchers are slow or silent, and a searcher that fails every attempt at
// once says nothing about the others.
func (centre *centreRow) recordFailure(now, sentAt carobthread.Instant, searcher *searcherRow) {
	if sentAt < centre.repliedAt {
		return
	}
	centre.failures++
	if !slices.Contains(centre.failed, searcher) && len(centre.failed) < silentAfterFailures {
		centre.failed = append(centre.failed, searcher)
	}
	if centre.hasFailed(silentAfterFailures) && now >= centre.silentUntil {
		centre.markSilent(now)
	}
}

// hasFailed reports whether there were as many bad outcomes in a row, from as many searchers if the data centre has them.
// The number of searchers doesn't matter while the data centre counts as cut off, since few queries are sent there then.
func (centre *centreRow) hasFailed(count int) bool {
	return centre.failures >= count && (centre.cutOff() || len(centre.failed) >= min(count, centre.searchers))
}

func (centre *centreRow) markSilent(now carobthread.Instant) {
	centre.silencePeriod = min(max(initialSilence, 2*centre.silencePeriod), maxSilence)
	centre.silentUntil = now.Add(centre.silencePeriod)
}

// suspect reports whether the data centre has half as many bad outcomes in a row as mark it as silent.
func (centre *centreRow) suspect() bool { return centre.hasFailed(silentAfterFailures / 2) }

// recordReply records that a searcher has replied.
func (gatherer *Gatherer) recordReply(searcher *searcherRow) {
	searcher.markReplied(gatherer.now)
	searcher.centre.reply(gatherer.now)
	if !searcher.local {
		gatherer.remote.repliedAt = gatherer.now
		gatherer.remote.late = gatherer.remote.late[:0]
	}
}

// recordRemoteLate counts a late attempt at another data centre. Once enough searchers are late to show that this host's
// data centre is cut off, it marks all others as silent.
func (gatherer *Gatherer) recordRemoteLate(attempt *attemptRow) {
	searcher, remote := attempt.replica.searcher, &gatherer.remote
	if searcher.local || attempt.sentAt < max(remote.repliedAt, gatherer.resumedAt) {
		return
	}
	if gatherer.now.Sub(remote.firstLateAt) > cutOffSpan {
		remote.late = remote.late[:0]
	}
	if len(remote.late) == 0 {
		remote.firstLateAt = gatherer.now
	}
	if slices.Contains(remote.late, searcher) {
		return
	}
	remote.late = append(remote.late, searcher)
	if len(remote.late) < cutOffAfterLate {
		return
	}
	remote.late = remote.late[:0]
	for _, row := range gatherer.searcherList {
		if !row.local && gatherer.now >= row.centre.silentUntil {
			row.centre.markSilent(gatherer.now)
		}
	}
}

// cutOff reports whether the data centre was marked as silent and none of its searchers has replied since.
func (centre *centreRow) cutOff() bool { return centre.silencePeriod > 0 }

// silent reports whether the data centre's searchers are a last resort now. The period ends after a while even without a
// reply, so the data centre is tried again while it still counts as cut off.
func (centre *centreRow) silent(now carobthread.Instant) bool { return now < centre.silentUntil }

// centre returns the row of a data centre and creates it if needed.
func (gatherer *Gatherer) centre(name string) *centreRow {
	row := gatherer.centres[name]
	if row == nil {
		row = &centreRow{}
		gatherer.centres[name] = row
	}
	return row
}

// reachable returns how many shards of the layout have a usable searcher, and how many have one in a data centre that is
// not cut off.
func (layout *layoutRow) reachable() (usable, connected int) {
	for shard := range layout.shards {
		hasUsable, hasConnected := false, false
		for i := range layout.shards[shard].replicas {
			if searcher := layout.shards[shard].replicas[i].row.searcher; searcher.usable() {
				hasUsable = true
				hasConnected = !searcher.centre.cutOff()
			}
			if hasConnected {
				break
			}
		}
		if hasUsable {
			usable++
		}
		if hasConnected {
			connected++
		}
	}
	return usable, connected
}

// admitReachable refuses a query if too few shards for its coverage floor have a searcher, or have one in a data centre
// that is not cut off.
//
// Another host may reach those data centres, so the caller is refused at once instead of at its deadline. One query per
// probeInterval is admitted anyway, to detect the end of the partition.
func (gatherer *Gatherer) admitReachable(service *serviceRow, plan *queryPlan, arrived *carobthread.QueryArrived) bool {
	required := service.required(len(plan.layout.shards))
	usable, connected := plan.layout.reachable()
	cutOff := usable >= required && connected < required
	if cutOff && !service.cutOff {
		gatherer.nextProbeAt = max(gatherer.nextProbeAt, gatherer.now.Add(probeInterval))
	}
	service.cutOff = cutOff
	switch {
	case usable < required:
		inputs := carobthread.RefusalInputs{Reachable: usable, Required: required}
		reason := carobthread.ReasonNoReplica
		if plan.layout.reachableButForEvacuation() >= required {
			reason = carobthread.ReasonEvacuated
		}
		gatherer.refuseFor(arrived, reason, noReplicaRetryAfter, inputs)
		return false
	case service.cutOff && gatherer.now < gatherer.nextProbeAt:
		inputs := carobthread.RefusalInputs{Reachable: connected, Required: required, CutOff: gatherer.cutOffCentres()}
		gatherer.refuseFor(arrived, carobthread.ReasonCutOff, cutOffRetryAfter, inputs)
		return false
	case service.cutOff:
		gatherer.nextProbeAt = gatherer.now.Add(probeInterval)
	}
	return true
}

func (gatherer *Gatherer) cutOffCentres() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(gatherer.centres)) {
		if gatherer.centres[name].cutOff() {
			names = append(names, name)
		}
	}
	return names
}

// isolated reports whether all other data centres with usable searchers are cut off.
func (gatherer *Gatherer) isolated() bool {
	others := false
	for _, searcher := range gatherer.searcherList {
		if searcher.local || !searcher.usable() {
			continue
		}
		if !searcher.centre.cutOff() {
			return false
		}
		others = true
	}
	return others
}

// CutOffDataCentres returns the data centres that are cut off from this host if that makes required shards unreachable, or
// if all other data centres are cut off, since hosts elsewhere then reach more replicas. Otherwise it returns none.
func (gatherer *Gatherer) CutOffDataCentres() []string {
	if gatherer.isolated() {
		return gatherer.cutOffCentres()
	}
	for _, service := range gatherer.serviceList {
		if !service.known || !service.cutOff {
			continue
		}
		layout := service.layout(service.config.Layout)
		if layout == nil {
			continue
		}
		if _, connected := layout.reachable(); connected < service.required(len(layout.shards)) {
			return gatherer.cutOffCentres()
		}
	}
	return nil
}
