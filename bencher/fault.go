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

// lastSnapshot and secondLayout are introduced by faults.
const (
	lastSnapshot = uint64(2)
	secondLayout = uint32(2)
)

// Fault is a named failure to inject; any two of them can be combined.
type Fault struct {
	Name    string
	Summary string
	// randomStream numbers the random stream of the fault and orders the application of faults: the fault that adds searchers
	// is applied first.
	randomStream uint64
	apply        func(injection *injection)
}

// injection is the application of one fault to one run.
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
		{Name: "replica-lost", Summary: "some searchers stop, half of them without closing their connections", apply: replicaLost},
		{Name: "misleading-health", Summary: "some slow searchers report that they are idle, some healthy ones that they are unhealthy", apply: misleadingHealth},
		{Name: "cold-start", Summary: "some searchers restart with empty caches", apply: coldStart},
		{Name: "index-roll", Summary: "a new snapshot replaces the old one, data centre by data centre", apply: indexRoll},
		{Name: "repartition", Summary: "a new layout replaces the old one, and hosts receive it at different times", apply: repartition},
		{Name: "config-stale", Summary: "some searchers are replaced, and half of the hosts keep the old configuration", apply: configStale},
		{Name: "pause", Summary: "one entry host pauses for a third of the fault's duration and then processes its backlog late", apply: pause},
		{Name: "partition", Summary: "one data centre is cut off from the others", apply: partition},
		{Name: "shed", Summary: "some searchers refuse half of their requests", apply: shed},
		{Name: "drain", Summary: "some searchers drain, stop and restart", apply: drain},
		{Name: "overload", Summary: "queries arrive at twice the capacity", apply: overload},
	}
	for i := range faults {
		if faults[i].Name != "config-stale" {
			faults[i].randomStream = uint64(i) + 1
		}
	}
	return faults
}

// ParseFaults parses a comma-separated list of fault names.
func ParseFaults(text string) ([]Fault, error) {
	if text == "" || text == NoFault {
		return nil, nil
	}
	faults := []Fault{}
	for name := range strings.SplitSeq(text, ",") {
		index := slices.IndexFunc(Faults(), func(fault Fault) bool { return fault.Name == name })
		if index < 0 {
			return nil, fmt.Errorf("unknown fault %q", name)
		}
		faults = append(faults, Faults()[index])
	}
	return faults, nil
}

// timeAt returns the time at a fraction of the fault's span, from 0 at its start to 1 at its end.
func (injection *injection) timeAt(fraction float64) carobthread.Instant {
	return injection.start.Add(time.Duration(fraction * float64(injection.span)))
}

func (injection *injection) at(fraction float64, run func()) {
	injection.simulation.at(injection.timeAt(fraction), run)
}

// targets returns randomly chosen searchers: one for every five shards, or one in ten in a workload of requests that must
// not be repeated.
func (injection *injection) targets() []*searcher {
	simulation := injection.simulation
	count := simulation.scenario.Shards / 5
	if simulation.scenario.Execute {
		count = simulation.scenario.Searchers / 10
	}
	count = max(1, count)
	group := simulation.scenario.Searchers / count
	targets := make([]*searcher, count)
	for i := range targets {
		targets[i] = simulation.searchers[i*group+injection.random.IntN(group)]
	}
	return targets
}

func straggler(injection *injection) {
	for _, searcher := range injection.simulation.searchers {
		searcher.stragglerShare = 0.01
	}
}

func replicaLost(injection *injection) {
	for i, searcher := range injection.targets() {
		silent := (i+injection.random.IntN(2))%2 == 0
		injection.at(0, func() { injection.simulation.stop(searcher, silent) })
		injection.at(1, func() { injection.simulation.restart(searcher, 0) })
	}
}

func misleadingHealth(injection *injection) {
	const slowdown = 10
	for _, searcher := range injection.targets() {
		injection.at(0, func() {
			searcher.slowdown = slowdown
			searcher.falseReport = &carobthread.ReportArrived{Healthy: true}
		})
		injection.at(1, func() {
			searcher.slowdown = 1
			searcher.falseReport = nil
		})
	}
	for _, searcher := range injection.targets() {
		injection.at(0, func() {
			if searcher.falseReport == nil {
				searcher.falseReport = &carobthread.ReportArrived{Running: searcher.config.Slots, Queued: searcherQueueLimit}
			}
		})
		injection.at(1, func() { searcher.falseReport = nil })
	}
}

func coldStart(injection *injection) {
	for _, searcher := range injection.targets() {
		injection.at(0, func() { injection.simulation.stop(searcher, false) })
		injection.at(0.1, func() { injection.simulation.restart(searcher, injection.span/2) })
	}
}

// indexRoll loads the new snapshot in one data centre after another. Each searcher drops the old snapshot a quarter of the
// span after it loads the new one.
func indexRoll(injection *injection) {
	stages := dataCentres()
	injection.random.Shuffle(len(stages), func(i, j int) { stages[i], stages[j] = stages[j], stages[i] })
	for _, searcher := range injection.simulation.searchers {
		stage := float64(slices.Index(stages, searcher.config.DataCentre))
		loadAt := 0.3*stage + 0.15*injection.random.Float64()
		injection.at(loadAt, func() { searcher.setSnapshots(firstSnapshot, lastSnapshot) })
		injection.at(loadAt+0.25, func() { searcher.setSnapshots(lastSnapshot) })
	}
}

// repartition moves each shard to the searchers of the next one. The searchers of two data centres may drop the old layout
// before the last host has switched to the new one.
func repartition(injection *injection) {
	simulation := injection.simulation
	keepingCentre := dataCentres()[injection.random.IntN(len(dataCentres()))]
	for _, searcher := range simulation.searchers {
		injection.at(0, func() { searcher.setLayouts(firstLayout, secondLayout) })
		dropAt := 0.2 + 0.2*injection.random.Float64()
		if searcher.config.DataCentre == keepingCentre {
			dropAt = 0.9
		}
		injection.at(dropAt, func() { searcher.setLayouts(secondLayout) })
	}
	for _, host := range simulation.hosts {
		switchAt := 0.1 + 0.3*injection.random.Float64()
		injection.at(switchAt, func() {
			config := cloneConfig(&host.latestConfig)
			oldLayout := config.Layouts[0]
			newLayout := carobthread.Layout{Service: oldLayout.Service, Generation: secondLayout}
			newLayout.Shards = append(slices.Clone(oldLayout.Shards[1:]), oldLayout.Shards[0])
			config.Layouts = append(config.Layouts, newLayout)
			config.Services[0].Layout = secondLayout
			host.configure(config)
		})
	}
}

// configStale replaces searchers and stops the old ones soon after. Half of the hosts do not receive the new configuration.
func configStale(injection *injection) {
	simulation := injection.simulation
	replacements := map[string]string{}
	for i, old := range injection.targets() {
		name := fmt.Sprintf("replacement-%03d", i)
		replacement := simulation.addSearcher(old.random, name, old.config.DataCentre)
		replacement.stragglerShare = old.stragglerShare
		replacement.layouts, replacement.heldSnapshots = old.layouts, old.heldSnapshots
		replacements[old.config.Name] = name
		injection.at(0, func() { simulation.sendReports(injection.random, replacement) })
		injection.at(0.2, func() { simulation.stop(old, false) })
	}
	parity := injection.random.IntN(2)
	for i, host := range simulation.hosts {
		if i%2 != parity {
			continue
		}
		injection.at(0.1*injection.random.Float64(), func() { host.configure(replaceSearchers(&host.latestConfig, replacements)) })
	}
}

func pause(injection *injection) {
	simulation := injection.simulation
	host := simulation.hosts[injection.random.IntN(len(simulation.hosts))]
	tickFirst := injection.random.IntN(2) == 0
	pausedAt := injection.timeAt(0)
	resumedAt := injection.timeAt(1.0 / 3)
	simulation.at(pausedAt, host.pause)
	simulation.at(pausedAt.Add(balancerLag), func() { host.ejected = true })
	simulation.at(pausedAt.Add(viewLag), func() { simulation.suspect(host) })
	simulation.at(resumedAt, func() { host.resume(tickFirst) })
	simulation.at(resumedAt.Add(balancerLag), func() { host.ejected = false })
	simulation.at(resumedAt.Add(viewLag), func() { simulation.suspect() })
}

func partition(injection *injection) {
	simulation := injection.simulation
	centre := dataCentres()[injection.random.IntN(len(dataCentres()))]
	injection.at(0, func() { simulation.isolate(centre) })
	injection.at(1, func() { simulation.isolate("") })
	simulation.at(injection.timeAt(0).Add(viewLag), simulation.suspectUnreachable)
	simulation.at(injection.timeAt(1).Add(viewLag), simulation.suspectUnreachable)
}

func shed(injection *injection) {
	for _, searcher := range injection.targets() {
		injection.at(0, func() { searcher.shedShare = 0.5 })
		injection.at(1, func() { searcher.shedShare = 0 })
	}
}

// drain stops the searchers at five sixths of the span, after they have refused new requests for a while, and restarts them
// at its end.
func drain(injection *injection) {
	for _, searcher := range injection.targets() {
		injection.at(0, searcher.drain)
		injection.at(5.0/6, func() { injection.simulation.stop(searcher, false) })
		injection.at(1, func() { injection.simulation.restart(searcher, injection.span/6) })
	}
}

func overload(injection *injection) {
	injection.at(0, func() { injection.simulation.loadFactor = overloadFactor })
	injection.at(1, func() { injection.simulation.loadFactor = 1 })
}
