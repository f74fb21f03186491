package gatherer

// A data centre that a partition cuts off fails all of its searchers at once. Ejection alone
// learns this one searcher at a time and its cap keeps some of them in use, so attempts are
// also counted by data centre: many bad outcomes in a row, without a reply of any searcher
// there, make the whole data centre silent. Its searchers are then a last resort.

import (
	"maps"
	"slices"
	"time"

	"carobthread"
)

const (
	// probeEvery is the time between two queries that try data centres which are cut off, at the cost of their callers.
	probeEvery = 3 * time.Second
	// cutOffRetry is when a caller may come again, to a host that may not be cut off.
	cutOffRetry = 50 * time.Millisecond
	// cutAfter searchers of other data centres, all late without a reply from any of these since, show that the own data
	// centre is cut off: their deadlines would show it only after as many lost queries. Searchers of which half are slow or
	// silent by themselves come to this number by chance once in 256 times.
	cutAfter = 8
	// cutSpan is the time within which they must be late, since a host with few callers seldom sends to other data centres.
	cutSpan = time.Second
	// silentAfter bad outcomes in a row make a data centre silent; a lost searcher alone reaches this
	// only if no other searcher of its data centre replies in between.
	silentAfter  = 6
	firstSilence = 500 * time.Millisecond
	maxSilence   = 4 * time.Second
)

// centreRow is what this host has seen of one data centre.
type centreRow struct {
	bad     int
	until   carobthread.Instant
	silence time.Duration
}

// remoteView is what this host has lately seen of all other data centres together.
type remoteView struct {
	// late are the searchers whose attempts are late, though nothing has come from any other data centre since these were sent.
	late      []*searcherRow
	lateFrom  carobthread.Instant
	repliedAt carobthread.Instant
}

// reply notes that a searcher of the data centre has replied.
func (centre *centreRow) reply() {
	centre.bad = 0
	centre.until = 0
	centre.silence = 0
}

// miss counts an attempt that failed or is very late.
func (centre *centreRow) miss(now carobthread.Instant) {
	centre.bad++
	if centre.bad >= silentAfter && now >= centre.until {
		centre.fallSilent(now)
	}
}

func (centre *centreRow) fallSilent(now carobthread.Instant) {
	centre.silence = min(max(firstSilence, 2*centre.silence), maxSilence)
	centre.until = now.Add(centre.silence)
}

// suspect reports whether the data centre is halfway to silence.
func (centre *centreRow) suspect() bool { return centre.bad >= silentAfter/2 }

// heard notes that a searcher has replied.
func (gatherer *Gatherer) heard(searcher *searcherRow) {
	searcher.replied(gatherer.now)
	searcher.centre.reply()
	if !searcher.local {
		gatherer.remote.repliedAt = gatherer.now
		gatherer.remote.late = gatherer.remote.late[:0]
	}
}

// noteRemoteLate counts a late attempt at another data centre; all others fall silent together when the own one is cut off.
func (gatherer *Gatherer) noteRemoteLate(attempt *attemptRow) {
	searcher, remote := attempt.replica.searcher, &gatherer.remote
	if searcher.local || attempt.sentAt < max(remote.repliedAt, gatherer.resumedAt) {
		return
	}
	if gatherer.now.Sub(remote.lateFrom) > cutSpan {
		remote.late = remote.late[:0]
	}
	if len(remote.late) == 0 {
		remote.lateFrom = gatherer.now
	}
	if slices.Contains(remote.late, searcher) {
		return
	}
	remote.late = append(remote.late, searcher)
	if len(remote.late) < cutAfter {
		return
	}
	remote.late = remote.late[:0]
	for _, row := range gatherer.searcherList {
		if !row.local && gatherer.now >= row.centre.until {
			row.centre.fallSilent(gatherer.now)
		}
	}
}

// cutOff reports whether the data centre has been silent and nothing there has answered since.
func (centre *centreRow) cutOff() bool { return centre.silence > 0 }

// silent reports whether the data centre is a last resort at present; it may be tried again while it still counts as cut off.
func (centre *centreRow) silent(now carobthread.Instant) bool { return now < centre.until }

// centre returns the row of a data centre and makes it if it is new.
func (gatherer *Gatherer) centre(name string) *centreRow {
	row := gatherer.centres[name]
	if row == nil {
		row = &centreRow{}
		gatherer.centres[name] = row
	}
	return row
}

// reachable returns how many shards of the layout have a searcher that may be sent to, and how many have one in a data
// centre that is not cut off.
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

// admitReachable refuses a query whose required shards have no searcher, or only ones in data centres that are cut off.
//
// Another host may reach those, so the caller is told at once; one query now and then tries all the same.
func (gatherer *Gatherer) admitReachable(service *serviceRow, plan *target, arrived *carobthread.QueryArrived) bool {
	required := service.required(len(plan.layout.shards))
	usable, connected := plan.layout.reachable()
	cutOff := usable >= required && connected < required
	if cutOff && !service.cutOff {
		gatherer.probeAt = max(gatherer.probeAt, gatherer.now.Add(probeEvery))
	}
	service.cutOff = cutOff
	switch {
	case usable < required:
		inputs := carobthread.RefusalInputs{Reachable: usable, Required: required}
		gatherer.refuseFor(arrived, carobthread.ReasonNoReplica, noReplicaRetry, inputs)
		return false
	case service.cutOff && gatherer.now < gatherer.probeAt:
		inputs := carobthread.RefusalInputs{Reachable: connected, Required: required, CutOff: gatherer.cutOffCentres()}
		gatherer.refuseFor(arrived, carobthread.ReasonCutOff, cutOffRetry, inputs)
		return false
	case service.cutOff:
		gatherer.probeAt = gatherer.now.Add(probeEvery)
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

// isolated reports whether nothing answers from any other data centre that has searchers.
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

// CutOff returns the data centres that are cut off if that puts required shards out of reach, or if they are all the
// others: hosts elsewhere then have more replicas left. Otherwise it returns none.
func (gatherer *Gatherer) CutOff() []string {
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
