package tracker

// The tracker is a state machine: Step takes one event with its time. Its
// state is one row for each known host, the marks of leaving searchers and the
// rumours being repeated. Rules:
//   - A host is judged by the hosts of its own data centre, so the cut of a
//     data centre starts no suspicions. A data centre too small to judge its
//     own hosts is judged by the others.
//   - Two exchanges without an answer make a suspicion, which spreads. The
//     suspected host refutes it with a higher beat, or is gone after suspectSpan.
//   - After an own pause, silence of others counts only from the resumption.

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"carobthread"
	"carobthread/assigner"
)

// Times and counts of the failure detector.
const (
	missesToSuspect = 2
	suspectSpan     = 5 * time.Second
	// forgetSpan outlasts the spread of a record, so that an old copy does not bring a host back.
	forgetSpan = 10 * time.Minute
	markSpan   = 10 * time.Minute
	// PauseThreshold is the lateness of a tick that shows a pause of the own process.
	PauseThreshold = 2 * time.Second
	// relearnSpan gives every neighbour time for an exchange after a pause.
	relearnSpan = 4 * time.Second
)

// Event is one input; exactly one of the pointers is set.
type Event struct {
	At       carobthread.Instant
	Tick     *carobthread.Ticked
	List     *HostsListed
	Received *GossipReceived
	Silent   *HostSilent
	Searcher *SearcherSeen
	Stop     *SelfStopping
}

// HostsListed is the platform's list, which lags; an entry without an incarnation speaks of whichever runs.
type HostsListed struct{ Hosts []carobthread.Host }

// GossipReceived is the membership part of a message, which also shows that its sender is alive.
type GossipReceived struct {
	From     string
	Audience Audience
	Gossip   Gossip
}

// HostSilent says that an own request to a host was not answered.
type HostSilent struct{ Host string }

// SearcherSeen is a searcher's own sign that it leaves, or that it takes work again.
type SearcherSeen struct {
	Searcher string
	Leaving  bool
}

// SelfStopping says that the own host takes no new work.
type SelfStopping struct{}

// Changes states what an event changed.
type Changes struct {
	View  bool
	Marks bool
	// Superseded says that a later incarnation of the own host is known, so this process must stop.
	Superseded bool
	// Resumed says that the own process was paused.
	Resumed bool
}

// Tracker follows the hosts of the fleet; it is not safe for concurrent use.
type Tracker struct {
	self       Record
	table      table
	marks      map[string]Mark
	rumours    rumours
	neighbours neighbours
	random     *rand.Rand
	nextBucket uint32
	relearning carobthread.Instant
	listRead   bool
	// wholeFleet is set by WholeFleet.
	wholeFleet bool
	changes    Changes
}

// New returns a tracker that knows its own host and the seeds.
func New(self carobthread.Host, seeds []carobthread.Host, now carobthread.Instant, seed uint64) *Tracker {
	tracker := &Tracker{
		self: Record{
			Name: self.Name, DataCentre: self.DataCentre, PeerAddress: self.PeerAddress, Incarnation: self.Incarnation,
		},
		marks: map[string]Mark{}, rumours: newRumours(),
		random: rand.New(rand.NewPCG(seed, uint64(self.Incarnation.Start)^self.Incarnation.Random)),
	}
	for _, host := range seeds {
		tracker.table.put(Record{Name: host.Name, DataCentre: host.DataCentre, PeerAddress: host.PeerAddress}, now)
	}
	tracker.storeSelf(now)
	return tracker
}

// WholeFleet makes this host exchange with and judge the hosts of all data centres, as suits a fleet of up to some
// hundred hosts, and outlive other incarnations of its own name, where the platform gives each name to one process.
func (tracker *Tracker) WholeFleet() { tracker.wholeFleet = true }

// Step takes one event and returns what it changed.
func (tracker *Tracker) Step(event Event) Changes {
	tracker.changes = Changes{}
	switch {
	case event.Tick != nil:
		tracker.tick(event.At, time.Duration(event.Tick.LateMicros)*time.Microsecond)
	case event.List != nil:
		tracker.list(event.At, event.List.Hosts)
	case event.Received != nil:
		if row := tracker.table.get(event.Received.From); row != nil {
			row.misses = 0
		}
		tracker.receive(event.At, event.Received.Audience, event.Received.Gossip)
	case event.Silent != nil:
		tracker.silent(event.At, event.Silent.Host)
	case event.Searcher != nil:
		tracker.seeSearcher(event.At, *event.Searcher)
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

// Marks returns the marks of searchers ordered by name.
func (tracker *Tracker) Marks() []Mark {
	marks := make([]Mark, 0, len(tracker.marks))
	for _, name := range tracker.markNames() {
		marks = append(marks, tracker.marks[name])
	}
	return marks
}

func (tracker *Tracker) markNames() []string { return slices.Sorted(maps.Keys(tracker.marks)) }

func (tracker *Tracker) storeSelf(now carobthread.Instant) {
	tracker.table.put(tracker.self, now)
	tracker.rumours.add(hostPrefix+tracker.self.Name, now)
	tracker.changes.View = true
}

func (tracker *Tracker) tick(now carobthread.Instant, late time.Duration) {
	if late >= PauseThreshold {
		tracker.resume(now)
	}
	tracker.rumours.expire(now)
	tracker.neighbours.rotate(tracker, now)
	maps.DeleteFunc(tracker.marks, func(_ string, mark Mark) bool { return now.Sub(mark.At) > markSpan })
	if now < tracker.relearning {
		return
	}
	for _, row := range tracker.table.rows {
		if row.record.Health == Suspected && now.Sub(row.since) >= suspectSpan {
			tracker.judge(now, row, Gone)
		}
	}
	tracker.forget(now)
}

// resume treats what was learnt before a pause as old: the spans of silence start again.
func (tracker *Tracker) resume(now carobthread.Instant) {
	tracker.relearning = now.Add(relearnSpan)
	tracker.changes.Resumed = true
	for _, row := range tracker.table.rows {
		row.misses = 0
		if row.record.Health == Suspected {
			row.since = tracker.relearning
		}
	}
}

func (tracker *Tracker) forget(now carobthread.Instant) {
	dropped := tracker.table.remove(func(row *entry) bool {
		return row.record.Health == Gone && row.listing == unlisted && now.Sub(row.since) >= forgetSpan
	})
	tracker.changes.View = tracker.changes.View || dropped
}

func (tracker *Tracker) judge(now carobthread.Instant, row *entry, health Health) {
	record := row.record
	record.Health = health
	tracker.table.put(record, now)
	tracker.rumours.add(hostPrefix+record.Name, now)
	tracker.changes.View = true
}

func (tracker *Tracker) silent(now carobthread.Instant, host string) {
	row := tracker.table.get(host)
	if row == nil || host == tracker.self.Name || now < tracker.relearning {
		return
	}
	centre := row.record.DataCentre
	if !tracker.wholeFleet && centre != tracker.self.DataCentre && tracker.table.answering(centre) > assigner.ReadersPerCentre {
		return
	}
	row.misses++
	if row.misses >= missesToSuspect && row.record.Health == Healthy {
		tracker.judge(now, row, Suspected)
	}
}

// learn joins a record and reports whether it changed the table.
func (tracker *Tracker) learn(now carobthread.Instant, audience Audience, record Record) bool {
	if record.Name == tracker.self.Name {
		return tracker.learnSelf(now, record)
	}
	key := hostPrefix + record.Name
	row := tracker.table.get(record.Name)
	if row == nil {
		if record.Health == Gone {
			return false // no reason to spread a host that is over
		}
		tracker.table.put(record, now)
		tracker.rumours.add(key, now)
		tracker.changes.View = true
		return true
	}
	joined := row.record.join(record)
	if joined == row.record {
		if record == row.record {
			tracker.rumours.heard(key, audience)
		} else {
			tracker.rumours.add(key, now) // the sender holds an older record
		}
		return false
	}
	tracker.table.put(joined, now)
	tracker.rumours.add(key, now)
	tracker.changes.View = true
	return true
}

// learnSelf refutes what others believe of the own process.
func (tracker *Tracker) learnSelf(now carobthread.Instant, record Record) bool {
	own := tracker.self
	switch {
	case own.Incarnation.Less(record.Incarnation) && tracker.wholeFleet:
		// The clock may have stood later at the earlier start.
		tracker.self.Incarnation.Start = record.Incarnation.Start + 1
	case own.Incarnation.Less(record.Incarnation):
		tracker.changes.Superseded = true
		return false
	case record.Incarnation.Less(own.Incarnation):
		tracker.rumours.add(hostPrefix+own.Name, now)
		return false
	}
	if record.Leaving {
		tracker.self.Leaving = true
	}
	if record.Health != Healthy && record.Beat >= own.Beat {
		tracker.self.Beat = record.Beat + 1
	}
	if tracker.self == own {
		return false
	}
	tracker.storeSelf(now)
	return true
}

func (tracker *Tracker) learnMark(now carobthread.Instant, audience Audience, mark Mark) bool {
	if now.Sub(mark.At) > markSpan {
		return false
	}
	held, found := tracker.marks[mark.Searcher]
	if found && !mark.replaces(held) {
		tracker.rumours.heard(searcherPrefix+mark.Searcher, audience)
		return false
	}
	tracker.marks[mark.Searcher] = mark
	tracker.rumours.add(searcherPrefix+mark.Searcher, now)
	tracker.changes.Marks = true
	return true
}

// seeSearcher marks a searcher at its first sign; repeated signs change nothing until half the mark's span is over.
func (tracker *Tracker) seeSearcher(now carobthread.Instant, seen SearcherSeen) {
	held, found := tracker.marks[seen.Searcher]
	if !found && !seen.Leaving {
		return
	}
	if found && held.Leaving == seen.Leaving && now.Sub(held.At) < markSpan/2 {
		return
	}
	tracker.learnMark(now, Near, Mark{Searcher: seen.Searcher, At: now, Leaving: seen.Leaving})
}
