package bencher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"carobthread"
)

// NoFault names a run without faults.
const NoFault = "none"

// lastSnapshot and secondLayout come into being by faults.
const (
	lastSnapshot = uint64(2)
	secondLayout = uint32(2)
)

// Fault is a named disturbance; any two of them combine.
type Fault struct {
	Name    string
	Summary string
	// stream separates the random draws of faults and orders them: the fault that adds searchers comes first.
	stream uint64
	apply  func(injection *injection)
}

// injection is one fault in one run.
type injection struct {
	simulation *simulation
	random     *rand.Rand
	start      carobthread.Instant
	span       time.Duration
}

// Faults returns all faults in the order of the report.
func Faults() []Fault {
	faults := []Fault{
		{Name: "straggler", Summary: "1 in 100 attempts takes 30 times the median", apply: straggler},
		{Name: "replica-lost", Summary: "some searchers stop, half of them without closing connections", apply: replicaLost},
		{Name: "misleading-health", Summary: "slow searchers report to be idle, good ones to be unhealthy", apply: misleadingHealth},
		{Name: "cold-start", Summary: "some searchers restart with empty caches", apply: coldStart},
		{Name: "index-roll", Summary: "a new snapshot replaces the old one, data centre by data centre", apply: indexRoll},
		{Name: "repartition", Summary: "a new layout replaces the old one while hosts learn of it at different times", apply: repartition},
		{Name: "config-stale", Summary: "searchers are replaced, and half of the hosts do not learn of it", apply: configStale},
		{Name: "pause", Summary: "one entry host stops for a third of the fault's time and resumes late", apply: pause},
		{Name: "partition", Summary: "one data centre is cut off from the others", apply: partition},
		{Name: "shed", Summary: "some searchers refuse half of their requests", apply: shed},
		{Name: "drain", Summary: "some searchers drain, stop and come back", apply: drain},
		{Name: "overload", Summary: "arrivals at twice the capacity", apply: overload},
	}
	for i := range faults {
		if faults[i].Name != "config-stale" {
			faults[i].stream = uint64(i) + 1
		}
	}
	return faults
}

// ParseFaults returns the faults of a comma-separated list.
func ParseFaults(text string) ([]Fault, error) {
	if text == "" || text == NoFault {
		return nil, nil
	}
	faults := []Fault{}
	for name := range strings.SplitSeq(text, ",") {
		at := slices.IndexFunc(Faults(), func(fault Fault) bool { return fault.Name == name })
		if at < 0 {
			return nil, fmt.Errorf("unknown fault %q", name)
		}
		faults = append(faults, Faults()[at])
	}
	return faults, nil
}

// moment returns a time within the fault's span; 0 is its start and 1 its end.
func (injection *injection) moment(share float64) carobthread.Instant {
	return injection.start.Add(time.Duration(share * float64(injection.span)))
}

func (injection *injection) at(share float64, run func()) {
	injection.simulation.at(injection.moment(share), run)
}

// victims returns one searcher of every fifth shard, or every tenth searcher of a single-request workload.
func (injection *injection) victims() []*searcher {
	simulation := injection.simulation
	count := simulation.scenario.Shards / 5
	if simulation.scenario.Execute {
		count = simulation.scenario.Searchers / 10
	}
	count = max(1, count)
	group := simulation.scenario.Searchers / count
	victims := make([]*searcher, count)
	for i := range victims {
		victims[i] = simulation.searchers[i*group+injection.random.IntN(group)]
	}
	return victims
}

func straggler(injection *injection) {
	for _, searcher := range injection.simulation.searchers {
		searcher.stragglers = 0.01
	}
}

func replicaLost(injection *injection) {
	for i, searcher := range injection.victims() {
		silent := (i+injection.random.IntN(2))%2 == 0
		injection.at(0, func() { injection.simulation.stop(searcher, silent) })
		injection.at(1, func() { injection.simulation.restart(searcher, 0) })
	}
}

func misleadingHealth(injection *injection) {
	const slowdown = 10
	for _, searcher := range injection.victims() {
		injection.at(0, func() {
			searcher.slowdown = slowdown
			searcher.lie = &carobthread.ReportArrived{Healthy: true}
		})
		injection.at(1, func() {
			searcher.slowdown = 1
			searcher.lie = nil
		})
	}
	for _, searcher := range injection.victims() {
		injection.at(0, func() {
			if searcher.lie == nil {
				searcher.lie = &carobthread.ReportArrived{Running: searcher.config.Slots, Queued: searcherQueue}
			}
		})
		injection.at(1, func() { searcher.lie = nil })
	}
}

func coldStart(injection *injection) {
	for _, searcher := range injection.victims() {
		injection.at(0, func() { injection.simulation.stop(searcher, false) })
		injection.at(0.1, func() { injection.simulation.restart(searcher, injection.span/2) })
	}
}

// indexRoll loads the new snapshot in one data centre after the other; a searcher drops the old one a quarter of the span later.
func indexRoll(injection *injection) {
	stages := dataCentres()
	injection.random.Shuffle(len(stages), func(i, j int) { stages[i], stages[j] = stages[j], stages[i] })
	for _, searcher := range injection.simulation.searchers {
		stage := float64(slices.Index(stages, searcher.config.DataCentre))
		load := 0.3*stage + 0.15*injection.random.Float64()
		injection.at(load, func() { searcher.hold(firstSnapshot, lastSnapshot) })
		injection.at(load+0.25, func() { searcher.hold(lastSnapshot) })
	}
}

// repartition moves each shard to the searchers of its neighbour; searchers of two data centres drop the old layout
// before the last host has switched.
func repartition(injection *injection) {
	simulation := injection.simulation
	keeper := dataCentres()[injection.random.IntN(len(dataCentres()))]
	for _, searcher := range simulation.searchers {
		injection.at(0, func() { searcher.serve(firstLayout, secondLayout) })
		dropped := 0.2 + 0.2*injection.random.Float64()
		if searcher.config.DataCentre == keeper {
			dropped = 0.9
		}
		injection.at(dropped, func() { searcher.serve(secondLayout) })
	}
	for _, host := range simulation.hosts {
		switched := 0.1 + 0.3*injection.random.Float64()
		injection.at(switched, func() {
			config := cloneConfig(&host.latest)
			old := config.Layouts[0]
			moved := carobthread.Layout{Service: old.Service, Generation: secondLayout}
			moved.Shards = append(slices.Clone(old.Shards[1:]), old.Shards[0])
			config.Layouts = append(config.Layouts, moved)
			config.Services[0].Layout = secondLayout
			host.configure(config)
		})
	}
}

// configStale replaces searchers; the old ones stop soon after, which half of the hosts do not learn.
func configStale(injection *injection) {
	simulation := injection.simulation
	replaced := map[string]string{}
	for i, old := range injection.victims() {
		name := fmt.Sprintf("replacement-%03d", i)
		replacement := simulation.addSearcher(old.random, name, old.config.DataCentre)
		replacement.stragglers = old.stragglers
		replacement.layouts, replacement.held = old.layouts, old.held
		replaced[old.config.Name] = name
		injection.at(0, func() { simulation.reportSearcher(injection.random, replacement) })
		injection.at(0.2, func() { simulation.stop(old, false) })
	}
	first := injection.random.IntN(2)
	for i, host := range simulation.hosts {
		if i%2 != first {
			continue
		}
		injection.at(0.1*injection.random.Float64(), func() { host.configure(replaceSearchers(&host.latest, replaced)) })
	}
}

func pause(injection *injection) {
	simulation := injection.simulation
	host := simulation.hosts[injection.random.IntN(len(simulation.hosts))]
	tickFirst := injection.random.IntN(2) == 0
	stopped := injection.moment(0)
	resumed := injection.moment(1.0 / 3)
	simulation.at(stopped, host.pause)
	simulation.at(stopped.Add(balancerLag), func() { host.ejected = true })
	simulation.at(stopped.Add(viewLag), func() { simulation.suspect(host) })
	simulation.at(resumed, func() { host.resume(tickFirst) })
	simulation.at(resumed.Add(balancerLag), func() { host.ejected = false })
	simulation.at(resumed.Add(viewLag), func() { simulation.suspect() })
}

func partition(injection *injection) {
	simulation := injection.simulation
	centre := dataCentres()[injection.random.IntN(len(dataCentres()))]
	injection.at(0, func() { simulation.isolate(centre) })
	injection.at(1, func() { simulation.isolate("") })
	simulation.at(injection.moment(0).Add(viewLag), simulation.suspectUnreachable)
	simulation.at(injection.moment(1).Add(viewLag), simulation.suspectUnreachable)
}

func shed(injection *injection) {
	for _, searcher := range injection.victims() {
		injection.at(0, func() { searcher.shedShare = 0.5 })
		injection.at(1, func() { searcher.shedShare = 0 })
	}
}

// drain stops the searchers at five sixths of the span, after they have refused new requests for a while.
func drain(injection *injection) {
	for _, searcher := range injection.victims() {
		injection.at(0, searcher.drain)
		injection.at(5.0/6, func() { injection.simulation.stop(searcher, false) })
		injection.at(1, func() { injection.simulation.restart(searcher, injection.span/6) })
	}
}

func overload(injection *injection) {
	injection.at(0, func() { injection.simulation.loadFactor = overloadFactor })
	injection.at(1, func() { injection.simulation.loadFactor = 1 })
}
