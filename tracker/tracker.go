package tracker

// The tracker is a state machine: Step takes one event with its time. Its
// state is one row for each known host, the marks of searchers and the queue of
// updates. Rules of the failure detector:
//   - Unless MonitorAllDataCentres was called, only hosts of the same data centre
//     suspect a host, so a partition between data centres causes no suspicions.
//     A data centre with too few hosts to monitor itself is monitored by the
//     others.
//   - A host is suspected after two exchanges without an answer, and the
//     suspicion is gossiped. The host refutes it with a higher health version,
//     or is gone after suspicionTimeout.
//   - After this process was paused, unanswered exchanges count only from
//     resumeGracePeriod after the resumption.

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"carobthread"
	"carobthread/assigner"
)

// Settings of the failure detector and lifetimes of its records.
const (
	failuresToSuspect = 2
	suspicionTimeout  = 5 * time.Second
	// goneRetention exceeds the time in which a record spreads, so that an old copy does not bring a removed host back.
	goneRetention = 10 * time.Minute
	markLifetime  = 10 * time.Minute
	// PauseThreshold is the lateness of a tick from which the process counts as having been paused.
	PauseThreshold = 2 * time.Second
	// resumeGracePeriod gives every neighbour time for an exchange after a pause.
	resumeGracePeriod = 4 * time.Second
)

// Event is one input of the tracker; exactly one of the pointers is set.
type Event struct {
	At       carobthread.Instant
	Tick     *carobthread.TickArrived
	List     *HostsListed
	Received *GossipReceived
	Silent   *HostSilent
	Searcher *SearcherStateObserved
	Stop     *SelfStopping
}

// HostsListed is the platform's host list, which lags. An entry without an incarnation is about whichever incarnation runs.
type HostsListed struct{ Hosts []carobthread.Host }

// GossipReceived is the membership part of a message. Receiving it also shows that the sender is alive.
type GossipReceived struct {
	From     string
	Locality Locality
	Gossip   Gossip
}

// HostSilent reports that a host did not answer a request of this host.
type HostSilent struct{ Host string }

// SearcherStateObserved reports that a searcher announced that it is leaving or that it accepts work again.
type SearcherStateObserved struct {
	Searcher string
	Leaving  bool
}

// SelfStopping reports that this host accepts no new work.
type SelfStopping struct{}

// Changes reports what an event changed.
type Changes struct {
	View  bool
	Marks bool
	// Superseded is set when a later incarnation of this host is known, so this process must stop.
	Superseded bool
	// Resumed is set when this process has resumed after a pause.
	Resumed bool
}

// Tracker is the membership state of one host; it is not safe for concurrent use.
type Tracker struct {
	self       Record
	table      table
	marks      map[string]SearcherMark
	updates    updates
	neighbours neighbours
	random     *rand.Rand
	nextBucket uint32
	// judgeAfter is the time before which no host is suspected or declared gone.
	judgeAfter   carobthread.Instant
	listReceived bool
	// monitorAllDataCentres is set by MonitorAllDataCentres.
	monitorAllDataCentres bool
	changes               Changes
}

// New returns a tracker whose table holds this host and the seeds, the hosts that are known at the start.
func New(self carobthread.Host, seeds []carobthread.Host, now carobthread.Instant, randomSeed uint64) *Tracker {
	tracker := &Tracker{
		self: Record{
			Name: self.Name, DataCentre: self.DataCentre, PeerAddress: self.PeerAddress, Incarnation: self.Incarnation,
			Capacity: uint32(self.Capacity * capacityUnits),
		},
		marks: map[string]SearcherMark{}, updates: newUpdates(),
		random: rand.New(rand.NewPCG(randomSeed, uint64(self.Incarnation.Start)^self.Incarnation.Random)),
	}
	for _, host := range seeds {
		tracker.table.put(Record{Name: host.Name, DataCentre: host.DataCentre, PeerAddress: host.PeerAddress}, now)
	}
	tracker.storeSelf(now)
	return tracker
}

// MonitorAllDataCentres makes this host exchange with and monitor the hosts of all data centres, which suits a fleet of up
// to a few hundred hosts. It also makes this host supersede other incarnations of its name instead of stopping, for platforms
// that give each name to one process.
func (tracker *Tracker) MonitorAllDataCentres() { tracker.monitorAllDataCentres = true }

// Step handles one event and returns what it changed.
func (tracker *Tracker) Step(event Event) Changes {
	tracker.changes = Changes{}
	switch {
	case event.Tick != nil:
		tracker.tick(event.At, time.Duration(event.Tick.LateMicros)*time.Microsecond)
	case event.List != nil:
		tracker.applyList(event.At, event.List.Hosts)
	case event.Received != nil:
		if row := tracker.table.get(event.Received.From); row != nil {
			row.consecutiveFailures = 0
		}
		tracker.mergeGossip(event.At, event.Received.Locality, event.Received.Gossip)
	case event.Silent != nil:
		tracker.countFailure(event.At, event.Silent.Host)
	case event.Searcher != nil:
		tracker.markSearcher(event.At, *event.Searcher)
	case event.Stop != nil:
		tracker.self.Leaving = true
		tracker.storeSelf(event.At)
	}
	return tracker.changes
}

// View returns the known hosts ordered by name.
func (tracker *Tracker) View() carobthread.View {
	view := carobthread.View{Self: tracker.self.Name, Hosts: make([]carobthread.Host, len(tracker.table.rows))}
	for i, row := range tracker.table.rows {
		view.Hosts[i] = row.record.host()
	}
	return view
}

// Marks returns the marks ordered by searcher name.
func (tracker *Tracker) Marks() []SearcherMark {
	marks := make([]SearcherMark, 0, len(tracker.marks))
	for _, name := range tracker.markNames() {
		marks = append(marks, tracker.marks[name])
	}
	return marks
}

func (tracker *Tracker) markNames() []string { return slices.Sorted(maps.Keys(tracker.marks)) }

func (tracker *Tracker) storeSelf(now carobthread.Instant) {
	tracker.table.put(tracker.self, now)
	tracker.updates.add(hostPrefix+tracker.self.Name, now)
	tracker.changes.View = true
}

func (tracker *Tracker) tick(now carobthread.Instant, late time.Duration) {
	if late >= PauseThreshold {
		tracker.resumeAfterPause(now)
	}
	tracker.updates.expire(now)
	tracker.neighbours.rotate(tracker, now)
	maps.DeleteFunc(tracker.marks, func(_ string, mark SearcherMark) bool { return now.Sub(mark.At) > markLifetime })
	if now < tracker.judgeAfter {
		return
	}
	for _, row := range tracker.table.rows {
		if row.record.Health == Suspected && now.Sub(row.healthSince) >= suspicionTimeout {
			tracker.setHealth(now, row, Gone)
		}
	}
	tracker.removeGone(now)
}

// resumeAfterPause discards the failures counted before a pause and restarts the
// suspicion timeouts at the end of the grace period.
func (tracker *Tracker) resumeAfterPause(now carobthread.Instant) {
	tracker.judgeAfter = now.Add(resumeGracePeriod)
	tracker.changes.Resumed = true
	for _, row := range tracker.table.rows {
		row.consecutiveFailures = 0
		if row.record.Health == Suspected {
			row.healthSince = tracker.judgeAfter
		}
	}
}

// removeGone removes the hosts that have been gone for goneRetention and are not on the platform's list.
func (tracker *Tracker) removeGone(now carobthread.Instant) {
	removed := tracker.table.remove(func(row *hostRow) bool {
		return row.record.Health == Gone && row.listing == unlisted && now.Sub(row.healthSince) >= goneRetention
	})
	tracker.changes.View = tracker.changes.View || removed
}

func (tracker *Tracker) setHealth(now carobthread.Instant, row *hostRow, health Health) {
	record := row.record
	record.Health = health
	tracker.table.put(record, now)
	tracker.updates.add(hostPrefix+record.Name, now)
	tracker.changes.View = true
}

// countFailure counts an unanswered request and suspects the host after failuresToSuspect of them in a row.
func (tracker *Tracker) countFailure(now carobthread.Instant, host string) {
	row := tracker.table.get(host)
	if row == nil || host == tracker.self.Name || now < tracker.judgeAfter {
		return
	}
	centre := row.record.DataCentre
	if !tracker.monitorAllDataCentres && centre != tracker.self.DataCentre && tracker.table.countNotGone(centre) > assigner.ReadersPerCentre {
		return
	}
	row.consecutiveFailures++
	if row.consecutiveFailures >= failuresToSuspect && row.record.Health == Healthy {
		tracker.setHealth(now, row, Suspected)
	}
}

// mergeRecord merges a received record and reports whether it changed the table.
func (tracker *Tracker) mergeRecord(now carobthread.Instant, locality Locality, record Record) bool {
	if record.Name == tracker.self.Name {
		return tracker.mergeOwnRecord(now, record)
	}
	key := hostPrefix + record.Name
	row := tracker.table.get(record.Name)
	if row == nil {
		if record.Health == Gone {
			return false // an unknown host that is gone need not be added and gossiped
		}
		tracker.table.put(record, now)
		tracker.updates.add(key, now)
		tracker.changes.View = true
		return true
	}
	merged := row.record.merge(record)
	if merged == row.record {
		if record == row.record {
			tracker.updates.countDuplicate(key, locality)
		} else {
			tracker.updates.add(key, now) // the sender holds an older record
		}
		return false
	}
	tracker.table.put(merged, now)
	tracker.updates.add(key, now)
	tracker.changes.View = true
	return true
}

// mergeOwnRecord merges a received record of this host and refutes a suspicion.
func (tracker *Tracker) mergeOwnRecord(now carobthread.Instant, record Record) bool {
	own := tracker.self
	switch {
	case own.Incarnation.Less(record.Incarnation) && tracker.monitorAllDataCentres:
		// The clock may have been ahead when the earlier incarnation started.
		tracker.self.Incarnation.Start = record.Incarnation.Start + 1
	case own.Incarnation.Less(record.Incarnation):
		tracker.changes.Superseded = true
		return false
	case record.Incarnation.Less(own.Incarnation):
		tracker.updates.add(hostPrefix+own.Name, now)
		return false
	}
	if record.Leaving {
		tracker.self.Leaving = true
	}
	if record.Health != Healthy && record.HealthVersion >= own.HealthVersion {
		tracker.self.HealthVersion = record.HealthVersion + 1
	}
	if tracker.self == own {
		return false
	}
	tracker.storeSelf(now)
	return true
}

func (tracker *Tracker) mergeMark(now carobthread.Instant, locality Locality, mark SearcherMark) bool {
	if now.Sub(mark.At) > markLifetime {
		return false
	}
	current, found := tracker.marks[mark.Searcher]
	if found && !mark.supersedes(current) {
		tracker.updates.countDuplicate(searcherPrefix+mark.Searcher, locality)
		return false
	}
	tracker.marks[mark.Searcher] = mark
	tracker.updates.add(searcherPrefix+mark.Searcher, now)
	tracker.changes.Marks = true
	return true
}

// markSearcher stores a mark when a searcher's state changes. An unchanged state renews its mark only after half of
// markLifetime.
func (tracker *Tracker) markSearcher(now carobthread.Instant, observed SearcherStateObserved) {
	mark, found := tracker.marks[observed.Searcher]
	if !found && !observed.Leaving {
		return
	}
	if found && mark.Leaving == observed.Leaving && now.Sub(mark.At) < markLifetime/2 {
		return
	}
	tracker.mergeMark(now, SameDataCentre, SearcherMark{Searcher: observed.Searcher, At: now, Leaving: observed.Leaving})
}
