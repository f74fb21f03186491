package estimator

// The fleet is a queue of timed steps in one goroutine. Hosts exchange the
// frames that the messenger would write, so bytes are those of the real
// encoding and every message is really decoded. Invariants are checked at each
// activation and collected as violations.

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"carobthread"
	"carobthread/timer"
)

// start is the virtual time at which fleets begin: 2026-01-01T00:00:00Z.
const start = carobthread.Instant(1767225600 * int64(time.Second))

// Settings are the size and seed of a fleet.
type Settings struct {
	Hosts   int
	Centres int
	// Searchers is the number of searcher objects published before the start.
	Searchers int
	Seed      uint64
	// Loss is the share of messages that a link delivers only after a retransmission.
	Loss float64
}

// Fleet is a set of hosts on virtual time.
type Fleet struct {
	settings Settings
	random   *rand.Rand
	now      carobthread.Instant
	queue    steps
	sequence uint64

	nodes   []*node
	byName  map[string]*node
	network network
	// stepTime is the real time spent in the cores, for the figure of CPU.
	clock    carobthread.Timer
	stepTime time.Duration
	// measuredFrom is when the load began to be counted.
	measuredFrom carobthread.Instant
	platform     *platform

	tickets    []*published
	marks      []*marked
	violations []string
}

// NewFleet returns a fleet whose hosts all start within the first second.
func NewFleet(settings Settings) *Fleet {
	fleet := &Fleet{
		settings: settings, now: start, byName: map[string]*node{}, clock: timer.New(),
		random: rand.New(rand.NewPCG(settings.Seed, uint64(settings.Hosts))),
	}
	fleet.network.links = map[[2]string]carobthread.Instant{}
	fleet.platform = newPlatform(fleet)
	for i := range settings.Hosts {
		fleet.addNode(fmt.Sprintf("host-%04d", i), fmt.Sprintf("dc%d", i%settings.Centres+1), fmt.Sprintf("10.%d.%d.%d:7400", i%settings.Centres, i/250, i%250+1))
	}
	fleet.platform.publishSearchers(settings.Searchers)
	fleet.platform.listHosts()
	for _, node := range fleet.nodes {
		fleet.after(fleet.between(0, time.Second), node.start)
	}
	return fleet
}

// Now returns the virtual time since the fleet began.
func (fleet *Fleet) Now() time.Duration { return fleet.now.Sub(start) }

// Run passes the span of virtual time.
func (fleet *Fleet) Run(span time.Duration) {
	end := fleet.now.Add(span)
	for len(fleet.queue) > 0 && fleet.queue[0].at <= end {
		next := heap.Pop(&fleet.queue).(*step)
		fleet.now = next.at
		next.run()
	}
	fleet.now = end
}

// Violations returns the broken invariants.
func (fleet *Fleet) Violations() []string { return fleet.violations }

func (fleet *Fleet) violate(format string, values ...any) {
	fleet.violations = append(fleet.violations, fleet.Now().String()+": "+fmt.Sprintf(format, values...))
}

func (fleet *Fleet) after(span time.Duration, run func()) {
	fleet.sequence++
	heap.Push(&fleet.queue, &step{at: fleet.now.Add(span), order: fleet.sequence, run: run})
}

// between returns a random span from least to below most.
func (fleet *Fleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(fleet.random.Int64N(int64(most-least)))
}

// step is one timed piece of work; steps of the same time run in order of their making.
type step struct {
	at    carobthread.Instant
	order uint64
	run   func()
}

type steps []*step

func (steps steps) Len() int { return len(steps) }

func (steps steps) Less(i, j int) bool {
	if steps[i].at != steps[j].at {
		return steps[i].at < steps[j].at
	}
	return steps[i].order < steps[j].order
}

func (steps steps) Swap(i, j int) { steps[i], steps[j] = steps[j], steps[i] }

// Push adds a step at the end, for package heap.
func (steps *steps) Push(value any) { *steps = append(*steps, value.(*step)) }

// Pop removes the last step, for package heap.
func (steps *steps) Pop() any {
	last := (*steps)[len(*steps)-1]
	(*steps)[len(*steps)-1] = nil
	*steps = (*steps)[:len(*steps)-1]
	return last
}
