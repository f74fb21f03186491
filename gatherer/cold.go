package gatherer

// A searcher that has just started is cold and crashes if it receives well over what it can take. The limit holds for the sum
// over all hosts and without agreement. The hosts that may send to a cold searcher are the first few in its rendezvous order,
// each with an equal number of requests in any coldWindow; every other host sends it nothing. The order covers every host seen
// within hostMemory, in any state, since hosts that are out of sight may still send.

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/assigner"
	"carobthread/limiter"
)

const (
	// coldWindow is the time in which a host sends at most its share. It exceeds the second of the rule by what a request may be
	// delayed on its way, for example while its connection opens.
	coldWindow = 1250 * time.Millisecond
	// coldMargin is the fraction of the limit that is divided among the hosts. The rest covers hosts with different views, such
	// as two parts of a fleet that have never seen each other.
	coldMargin = 0.5
	// hostMemory is how long a host that is missing from the view still counts.
	hostMemory = time.Minute
)

// coldTime is what this host knows of a searcher's cold time.
type coldTime struct {
	// until is the end of the cold time, or 0 if the searcher is warm.
	until carobthread.Instant
	// window limits the requests of this host, as computed for the hosts of the epoch and the limit.
	window limiter.Window
	epoch  uint64
	limit  float64
}

// recordCold updates the searcher's cold time from its configuration, before this replaces the previous one. A new row is a
// searcher that this host has not seen before.
func (gatherer *Gatherer) recordCold(searcher *searcherRow, config *carobthread.Searcher, isNew bool) {
	stated := &config.Cold
	if !gatherer.usesCurrentPolicy() {
		return
	}
	if stated.Limit <= 0 {
		searcher.cold.until = min(searcher.cold.until, gatherer.now)
		return
	}
	until := carobthread.Instant(0)
	heard := isNew || stated.Heartbeat != searcher.config.Cold.Heartbeat || searcher.config.Cold.Limit <= 0
	if heard && stated.Left > 0 {
		// The heartbeat is older than its arrival, so the cold time ends no later than this.
		until = gatherer.now.Add(stated.Left)
	}
	if isNew {
		until = max(until, gatherer.startCold(stated))
	}
	if searcher.config.Evacuated && !config.Evacuated {
		until = max(until, gatherer.now.Add(stated.Span)) // It has been idle for a while.
	}
	gatherer.markCold(searcher, until, isNew || searcher.evacuated)
}

// startCold returns the end of the cold time that follows from the start of a searcher seen for the first time, or 0. The
// searcher's clock may differ from this host's, so the end is at most the whole span from now.
func (gatherer *Gatherer) startCold(stated *carobthread.ColdState) carobthread.Instant {
	switch {
	case stated.Started == 0 && gatherer.configured:
		return gatherer.now.Add(stated.Span)
	case stated.Started == 0:
		return 0
	}
	return min(stated.Started.Add(stated.Span), gatherer.now.Add(stated.Span))
}

// markCold marks a searcher as cold until the given time, unless that has passed. A searcher that is not idle, or that the
// previous process of this host may have sent to, has had requests within the window, so that its share begins empty.
func (gatherer *Gatherer) markCold(searcher *searcherRow, until carobthread.Instant, idle bool) {
	if until <= gatherer.now {
		return
	}
	wasWarm := searcher.cold.until == 0
	searcher.cold.until = until
	if !wasWarm {
		return
	}
	searcher.cold.window.Block(gatherer.startedAt.Add(coldWindow))
	if !idle {
		searcher.cold.window.Block(gatherer.now.Add(coldWindow))
	}
	gatherer.coldSearchers = append(gatherer.coldSearchers, searcher)
	gatherer.backpressured = true
}

// emitColdChanges reports the searchers that have become cold since the last call. It is called once the configuration is
// complete, since the share depends on it.
func (gatherer *Gatherer) emitColdChanges() {
	for _, searcher := range gatherer.coldSearchers[gatherer.coldReported:] {
		share := 0
		if window := gatherer.coldShare(searcher); window != nil {
			share = window.Limit()
		}
		gatherer.actions = append(gatherer.actions, carobthread.Action{Cold: &carobthread.ColdChanged{
			Searcher: searcher.config.Name, LeftMicros: searcher.cold.until.Sub(gatherer.now).Microseconds(),
			Share: share, WindowMicros: coldWindow.Microseconds(),
		}})
	}
	gatherer.coldReported = len(gatherer.coldSearchers)
}

// endCold ends the cold times that are over. The in-flight limit then grows from one, since the searcher has had few requests
// until now.
func (gatherer *Gatherer) endCold() {
	if len(gatherer.coldSearchers) == 0 {
		return
	}
	gatherer.coldSearchers = slices.DeleteFunc(gatherer.coldSearchers, func(searcher *searcherRow) bool {
		if gatherer.now < searcher.cold.until {
			return false
		}
		searcher.cold.until = 0
		if searcher.known {
			searcher.limit.Restart()
			gatherer.actions = append(gatherer.actions, carobthread.Action{Cold: &carobthread.ColdChanged{Searcher: searcher.config.Name}})
		}
		return true
	})
	gatherer.coldReported = len(gatherer.coldSearchers)
}

// coldBlocked reports whether the searcher is cold and may not be sent a request of this host now.
func (gatherer *Gatherer) coldBlocked(searcher *searcherRow) bool {
	return searcher.cold.until != 0 && !gatherer.coldShare(searcher).Allows(gatherer.now)
}

// coldWait returns the time until a searcher that may be cold can be sent a request of this host.
func (gatherer *Gatherer) coldWait(searcher *searcherRow) time.Duration {
	if searcher.cold.until == 0 {
		return 0
	}
	return min(gatherer.coldShare(searcher).Wait(gatherer.now), searcher.cold.until.Sub(gatherer.now))
}

// countCold counts a request that is sent to a searcher, if it is cold.
func (gatherer *Gatherer) countCold(searcher *searcherRow) {
	if searcher.cold.until != 0 {
		gatherer.coldShare(searcher).Take(gatherer.now)
	}
}

// coldPerSecond returns how many requests per second this host may send to a cold searcher.
func (gatherer *Gatherer) coldPerSecond(searcher *searcherRow) float64 {
	return float64(gatherer.coldShare(searcher).Limit()) / coldWindow.Seconds()
}

// coldShare returns the window with this host's share of a cold searcher's limit.
func (gatherer *Gatherer) coldShare(searcher *searcherRow) *limiter.Window {
	cold, limit := &searcher.cold, searcher.config.Cold.Limit
	if cold.limit != limit || cold.epoch != gatherer.seen.epoch {
		cold.limit, cold.epoch = limit, gatherer.seen.epoch
		share, holders := divideCold(limit, max(len(gatherer.seen.missingSince), gatherer.options.MinHosts))
		if !gatherer.seen.assigner().IsHolder(gatherer.self, searcher.config.Name, holders) {
			share = 0
		}
		cold.window.Configure(share, coldWindow)
	}
	return &cold.window
}

// divideCold divides a cold searcher's limit among a number of hosts: into the share of each host that may send to it, and the
// number of these hosts.
func divideCold(limit float64, hosts int) (share, holders int) {
	divided := int(min(coldMargin*limit, maxColdRequests))
	if divided == 0 && limit >= 1 {
		divided = 1
	}
	share = max(1, divided/max(1, hosts))
	return share, divided / share
}

// maxColdRequests is far above the requests that any searcher takes in a second.
const maxColdRequests = 1 << 30

// seenHosts holds the hosts that may send to searchers.
type seenHosts struct {
	// missingSince is when each host was first missing from the view, or 0 for those in the view.
	missingSince map[string]carobthread.Instant
	// epoch is incremented whenever the set of hosts changes; roles belong to rolesEpoch.
	epoch      uint64
	roles      *assigner.Assigner
	rolesEpoch uint64
}

// record adds the hosts of a view and forgets those that have been missing for hostMemory.
func (hosts *seenHosts) record(now carobthread.Instant, view *carobthread.View) {
	present := make(map[string]carobthread.Instant, len(view.Hosts))
	for i := range view.Hosts {
		present[view.Hosts[i].Name] = 0
	}
	changed := false
	for name, since := range hosts.missingSince {
		if _, found := present[name]; found {
			continue
		}
		if since == 0 {
			since = now
		}
		if now.Sub(since) >= hostMemory {
			changed = true
			continue
		}
		present[name] = since
	}
	if changed || len(present) != len(hosts.missingSince) {
		hosts.epoch++
	}
	hosts.missingSince = present
}

// assigner returns the roles of the hosts.
func (hosts *seenHosts) assigner() *assigner.Assigner {
	if hosts.roles == nil || hosts.rolesEpoch != hosts.epoch {
		view := carobthread.View{}
		for name := range hosts.missingSince {
			view.Hosts = append(view.Hosts, carobthread.Host{Name: name, State: carobthread.HostLive})
		}
		hosts.roles, hosts.rolesEpoch = assigner.New(view), hosts.epoch
	}
	return hosts.roles
}
