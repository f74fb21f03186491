package estimator

// The fleet is a discrete-event simulation in one goroutine. Hosts exchange the
// frames that the messenger would write, so byte counts are those of the real
// encoding, and every message is decoded. Invariants are checked each time a
// host activates a configuration, and violations are collected.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"carobthread"
	"carobthread/timer"
)

// start is the virtual time at which a fleet begins: 2026-01-01T00:00:00Z.
const start = carobthread.Instant(1767225600 * int64(time.Second))

// FleetOptions configure a fleet.
type FleetOptions struct {
	Hosts   int
	Centres int
	// Searchers is the number of searcher objects published before the hosts start.
	Searchers int
	Seed      uint64
	// Loss is the ratio of messages that a link delivers only after a retransmission.
	Loss float64
}

// Fleet is a set of simulated hosts on virtual time.
type Fleet struct {
	options  FleetOptions
	random   *rand.Rand
	now      carobthread.Instant
	queue    schedule
	sequence uint64

	nodes       []*node
	nodesByName map[string]*node
	network     network
	// clock is the real clock that measures coreTime, the time spent in the state machines, for the CPU figure.
	clock    carobthread.Timer
	coreTime time.Duration
	// trafficSince is the time of the last ResetTraffic.
	trafficSince carobthread.Instant
	platform     *platform

	tickets          []*publishedTicket
	leavingSearchers []*leavingSearcher
	violations       []string
}

// NewFleet returns a fleet whose hosts all start within the first second.
func NewFleet(options FleetOptions) *Fleet {
	fleet := &Fleet{
		options: options, now: start, nodesByName: map[string]*node{}, clock: timer.New(),
		random: rand.New(rand.NewPCG(options.Seed, uint64(options.Hosts))),
	}
	fleet.network.lastUsed = map[[2]string]carobthread.Instant{}
	fleet.platform = newPlatform(fleet)
	for i := range options.Hosts {
		fleet.addNode(fmt.Sprintf("host-%04d", i), fmt.Sprintf("dc%d", i%options.Centres+1), fmt.Sprintf("10.%d.%d.%d:7400", i%options.Centres, i/250, i%250+1))
	}
	fleet.platform.publishSearchers(options.Searchers)
	fleet.platform.updateHostList()
	for _, node := range fleet.nodes {
		fleet.after(fleet.randomDuration(0, time.Second), node.start)
	}
	return fleet
}

// Now returns the virtual time since the fleet began.
func (fleet *Fleet) Now() time.Duration { return fleet.now.Sub(start) }

// Run runs the events of the next span of virtual time.
func (fleet *Fleet) Run(span time.Duration) {
	end := fleet.now.Add(span)
	for len(fleet.queue) > 0 && fleet.queue[0].at <= end {
		next := heap.Pop(&fleet.queue).(*scheduledEvent)
		fleet.now = next.at
		next.run()
	}
	fleet.now = end
}

// Violations returns the invariant violations seen so far.
func (fleet *Fleet) Violations() []string { return fleet.violations }

// addViolation records an invariant violation with the virtual time.
func (fleet *Fleet) addViolation(format string, values ...any) {
	fleet.violations = append(fleet.violations, fleet.Now().String()+": "+fmt.Sprintf(format, values...))
}

// after schedules a function to run once the span has passed.
func (fleet *Fleet) after(span time.Duration, run func()) {
	fleet.sequence++
	heap.Push(&fleet.queue, &scheduledEvent{at: fleet.now.Add(span), order: fleet.sequence, run: run})
}

// randomDuration returns a random duration from least up to, but not including, most.
func (fleet *Fleet) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(fleet.random.Int64N(int64(most-least)))
}

// scheduledEvent is a function to run at a time; events of the same time run in the order in which they were scheduled.
type scheduledEvent struct {
	at    carobthread.Instant
	order uint64
	run   func()
}

// schedule is a priority queue of events for package heap.
type schedule []*scheduledEvent

func (schedule schedule) Len() int { return len(schedule) }

func (schedule schedule) Less(i, j int) bool {
	if schedule[i].at != schedule[j].at {
		return schedule[i].at < schedule[j].at
	}
	return schedule[i].order < schedule[j].order
}

func (schedule schedule) Swap(i, j int) { schedule[i], schedule[j] = schedule[j], schedule[i] }

// Push implements heap.Interface.
func (schedule *schedule) Push(value any) { *schedule = append(*schedule, value.(*scheduledEvent)) }

// Pop implements heap.Interface.
func (schedule *schedule) Pop() any {
	last := (*schedule)[len(*schedule)-1]
	(*schedule)[len(*schedule)-1] = nil
	*schedule = (*schedule)[:len(*schedule)-1]
	return last
}
