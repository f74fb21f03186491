package bencher

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carobthread"
	"carobthread/gatherer"
)

// epoch is the start of virtual time.
const epoch = carobthread.Instant(1_700_000_000_000_000_000)

const (
	misroutedShare  = 1.0 / 5000 // share of replies preceded by a copy that names another query
	duplicateShare  = 1.0 / 5000 // share of replies that arrive twice
	callerGoneShare = 1.0 / 500  // share of callers that stop waiting early
	callerGoneAfter = 2 * time.Millisecond
)

// Delays with which hosts and the load balancer notice changes of health and membership.
const (
	reportPeriod  = time.Second
	reportLag     = 800 * time.Millisecond // maximum lag of a report
	viewLag       = 2 * time.Second
	balancerLag   = time.Second // time until the load balancer ejects a paused host
	reconnectTime = 100 * time.Millisecond
)

// Policy is a named set of options of the core.
type Policy struct {
	Name    string
	Options gatherer.Options
	// WaitForAll makes latency-first services coverage-first, so that no soft deadline applies.
	WaitForAll bool
}

// Policies returns the current policy, followed by the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "current"},
		{Name: "wait-for-all", Options: gatherer.Options{RandomReplica: true}, WaitForAll: true},
		{Name: "first", Options: gatherer.Options{OriginalPolicy: true}},
	}
}

// Run describes one run of the benchmark.
type Run struct {
	Scenario Scenario
	Faults   []Fault
	Policy   Policy
	Seed     uint64
	// DeadlineMedians is the deadline that the scenario was given in median latencies, or 0. It identifies such runs in bounds
	// and results.
	DeadlineMedians float64
	// WrapDecider, if set, wraps the core of the first host, which was created with the given seed and options.
	WrapDecider func(seed uint64, options gatherer.Options, decider carobthread.Decider) carobthread.Decider
}

// simulation is the state of one run.
type simulation struct {
	loop
	scenario        Scenario
	replyRandom     *rand.Rand
	arrivalRandom   *rand.Rand
	hosts           []*entryHost
	searchers       []*searcher
	searchersByName map[string]*searcher
	// isolated is the data centre that is cut off from the others, or empty if there is no partition.
	isolated           string
	isolationChangedAt carobthread.Instant
	loadFactor         float64
	lastQuery          carobthread.QueryID
	pendingQueries     map[carobthread.QueryID]*pendingQuery
	result             *Result
	arrivalsEnd        carobthread.Instant
}

// pendingQuery is a query that a caller is waiting for.
type pendingQuery struct {
	started  carobthread.Instant
	arrived  carobthread.Instant
	measured bool
	// pausedBefore is the total time that the host had been paused when the query arrived.
	pausedBefore time.Duration
}

func dataCentres() []string { return []string{"dc-a", "dc-b", "dc-c"} }

// hostDataCentres returns the data centre of each entry host.
func hostDataCentres() []string { return []string{"dc-a", "dc-a", "dc-b", "dc-c"} }

// randomStream returns a random generator for one purpose, so that the draws for one purpose do not affect those for
// another.
func randomStream(seed uint64, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}

const (
	streamReplies uint64 = iota + 1
	streamArrivals
	streamService
	streamReports
	streamFaults // base of the faults' streams, which follow it
)

// Execute executes the run on virtual time.
func (run Run) Execute() *Result {
	simulation := newSimulation(run)
	simulation.schedule(run)
	simulation.runUntil(simulation.arrivalsEnd.Add(hardDeadline + 2*answerGrace))
	return simulation.finish()
}

func newSimulation(run Run) *simulation {
	simulation := &simulation{
		loop:            loop{now: epoch},
		scenario:        run.Scenario,
		replyRandom:     randomStream(run.Seed, streamReplies),
		arrivalRandom:   randomStream(run.Seed, streamArrivals),
		searchersByName: map[string]*searcher{},
		loadFactor:      1,
		pendingQueries:  map[carobthread.QueryID]*pendingQuery{},
		result:          newResult(run),
	}
	if run.Policy.WaitForAll {
		simulation.scenario.Preference = carobthread.CoverageFirst
	}
	simulation.arrivalsEnd = epoch.Add(run.Scenario.WarmUp + run.Scenario.Measured)
	serviceRandom := randomStream(run.Seed, streamService)
	for i := range run.Scenario.Searchers {
		simulation.addSearcher(serviceRandom, fmt.Sprintf("searcher-%03d", i), dataCentres()[i%len(dataCentres())])
	}
	for i, centre := range hostDataCentres() {
		seed := run.Seed*100 + uint64(i)
		var decider carobthread.Decider = gatherer.New(seed, run.Policy.Options)
		if i == 0 && run.WrapDecider != nil {
			decider = run.WrapDecider(seed, run.Policy.Options, decider)
		}
		simulation.addHost(fmt.Sprintf("host-%d", i), centre, decider)
	}
	return simulation
}

func (simulation *simulation) addSearcher(random *rand.Rand, name, centre string) *searcher {
	added := newSearcher(&simulation.loop, random, carobthread.Searcher{
		Name:        name,
		Address:     "127.0.0.1:1",
		DataCentre:  centre,
		Slots:       simulation.scenario.Slots,
		Connections: simulation.scenario.Connections,
	})
	added.indexless = simulation.scenario.Execute
	simulation.searchers = append(simulation.searchers, added)
	simulation.searchersByName[name] = added
	return added
}

func (simulation *simulation) addHost(name, centre string, decider carobthread.Decider) {
	host := &entryHost{
		simulation: simulation,
		name:       name,
		dataCentre: centre,
		decider:    decider,
		pools:      map[string]*pool{},
		jobs:       map[carobthread.AttemptID]*job{},
	}
	host.checker = newChecker(host, simulation.scenario.Execute)
	simulation.hosts = append(simulation.hosts, host)
}

// schedule schedules the initial events of hosts, searchers and arrivals, and applies the faults.
func (simulation *simulation) schedule(run Run) {
	config := simulation.config()
	reportRandom := randomStream(run.Seed, streamReports)
	for _, host := range simulation.hosts {
		simulation.at(epoch, func() {
			host.deliver(carobthread.Event{View: &carobthread.ViewChanged{View: simulation.view(host, nil)}})
			host.configure(config)
		})
		simulation.tickHost(host)
	}
	for _, searcher := range simulation.searchers {
		simulation.after(time.Duration(reportRandom.Int64N(int64(reportPeriod))), func() { simulation.sendReports(reportRandom, searcher) })
	}
	simulation.at(epoch.Add(simulation.scenario.WarmUp/2), simulation.nextArrival)
	faults := slices.SortedFunc(slices.Values(run.Faults), func(one, other Fault) int { return cmp.Compare(one.randomStream, other.randomStream) })
	for _, fault := range faults {
		random := randomStream(run.Seed, streamFaults+fault.randomStream)
		delay := time.Duration(random.Int64N(int64(simulation.scenario.WarmUp / 4)))
		start := epoch.Add(simulation.scenario.WarmUp + delay)
		fault.apply(&injection{simulation: simulation, random: random, start: start, span: simulation.scenario.FaultSpan})
	}
}

// config returns the initial configuration. The replicas of a shard are in different data centres.
func (simulation *simulation) config() carobthread.Config {
	layout := carobthread.Layout{Service: serviceName, Generation: firstLayout}
	perShard := simulation.scenario.Searchers / simulation.scenario.Shards
	config := carobthread.Config{Services: []carobthread.Service{simulation.scenario.service()}}
	for i, searcher := range simulation.searchers {
		if i%perShard == 0 {
			layout.Shards = append(layout.Shards, nil)
		}
		last := len(layout.Shards) - 1
		layout.Shards[last] = append(layout.Shards[last], searcher.config.Name)
		config.Searchers = append(config.Searchers, searcher.config)
	}
	config.Layouts = []carobthread.Layout{layout}
	return config
}

func (simulation *simulation) view(self *entryHost, suspects []*entryHost) carobthread.View {
	view := carobthread.View{Self: self.name}
	for _, host := range simulation.hosts {
		state := carobthread.HostLive
		if slices.Contains(suspects, host) {
			state = carobthread.HostSuspect
		}
		view.Hosts = append(view.Hosts, carobthread.Host{
			Name:        host.name,
			DataCentre:  host.dataCentre,
			PeerAddress: "127.0.0.1:2",
			Incarnation: carobthread.Incarnation{Start: epoch, Random: 1},
			State:       state,
		})
	}
	return view
}

func (simulation *simulation) tickHost(host *entryHost) {
	simulation.after(simulation.scenario.Tick, func() {
		if !host.paused {
			host.deliver(carobthread.Event{Tick: &carobthread.TickArrived{}})
		}
		simulation.tickHost(host)
	})
}

// sendReports sends the searcher's report to all hosts, each with a random lag, and schedules the next one.
func (simulation *simulation) sendReports(random *rand.Rand, searcher *searcher) {
	for _, host := range simulation.hosts {
		lag := time.Duration(random.Int64N(int64(reportLag)))
		if searcher.reset || searcher.silent {
			continue
		}
		report := searcher.report()
		simulation.after(lag, func() {
			if simulation.reachable(host, searcher) {
				host.deliver(carobthread.Event{Report: &report})
			}
		})
	}
	simulation.after(reportPeriod, func() { simulation.sendReports(random, searcher) })
}

// delay returns the one-way network delay between a host and a searcher.
func (simulation *simulation) delay(host *entryHost, searcher *searcher) time.Duration {
	if host.dataCentre == searcher.config.DataCentre {
		return localDelay
	}
	return simulation.scenario.CentreDelay
}

// reachable reports whether a host and a searcher can exchange messages.
func (simulation *simulation) reachable(host *entryHost, searcher *searcher) bool {
	from, to := host.dataCentre, searcher.config.DataCentre
	return from == to || from != simulation.isolated && to != simulation.isolated
}

// nextArrival starts one query and schedules the following one; arrivals form a Poisson process.
func (simulation *simulation) nextArrival() {
	if simulation.now >= simulation.arrivalsEnd {
		return
	}
	simulation.startQuery()
	gap := simulation.arrivalRandom.ExpFloat64() / (simulation.scenario.rate() * simulation.loadFactor)
	simulation.after(time.Duration(gap*float64(time.Second)), simulation.nextArrival)
}

func (simulation *simulation) startQuery() {
	host := simulation.pickHost()
	simulation.lastQuery++
	id := simulation.lastQuery
	started := simulation.now
	query := &pendingQuery{started: started, measured: started >= epoch.Add(simulation.scenario.WarmUp)}
	simulation.pendingQueries[id] = query
	if query.measured {
		simulation.result.Queries++
	}
	gone := simulation.arrivalRandom.Float64() < callerGoneShare
	simulation.after(simulation.scenario.ClientDelay, func() {
		query.arrived = simulation.now
		query.pausedBefore = host.totalPaused()
		host.deliver(carobthread.Event{Query: &carobthread.QueryArrived{
			Query:    id,
			Service:  serviceName,
			Deadline: started.Add(simulation.scenario.hardDeadline()),
			Size:     1000,
		}})
	})
	if gone && !simulation.scenario.Execute {
		simulation.after(simulation.scenario.ClientDelay+callerGoneAfter, func() { simulation.callerGone(host, id) })
	}
}

// pickHost returns a random host that the load balancer has not ejected. A paused host is ejected only after balancerLag.
func (simulation *simulation) pickHost() *entryHost {
	for {
		host := simulation.hosts[simulation.arrivalRandom.IntN(len(simulation.hosts))]
		if !host.ejected {
			return host
		}
	}
}

// callerGone reports to the host that the caller has stopped waiting for a query.
func (simulation *simulation) callerGone(host *entryHost, id carobthread.QueryID) {
	query := simulation.pendingQueries[id]
	if query == nil {
		return
	}
	delete(simulation.pendingQueries, id)
	if query.measured {
		simulation.result.Gone++
	}
	host.deliver(carobthread.Event{Gone: &carobthread.CallerGone{Query: id}})
}

// recordAnswer adds the answer to the result if its query is measured.
func (simulation *simulation) recordAnswer(host *entryHost, answer *carobthread.AnswerQuery) {
	query := simulation.pendingQueries[answer.Query]
	if query == nil {
		return
	}
	delete(simulation.pendingQueries, answer.Query)
	if !query.measured {
		return
	}
	latency := simulation.now.Add(simulation.scenario.ClientDelay).Sub(query.started)
	simulation.result.answer(answer, latency, simulation.scenario.Execute, func() bool {
		return simulation.fullCoveragePossible(host, query)
	})
}

func (simulation *simulation) recordRefusal(_ *entryHost, refuse *carobthread.RefuseQuery) {
	query := simulation.pendingQueries[refuse.Query]
	if query == nil {
		return
	}
	delete(simulation.pendingQueries, refuse.Query)
	if query.measured {
		simulation.result.refuse(refuse.Reason)
	}
}

// fullCoveragePossible reports whether, since the query arrived, every shard had a live and reachable replica that
// held the same snapshot, and the host ran for at least four median service times before the deadline.
func (simulation *simulation) fullCoveragePossible(host *entryHost, query *pendingQuery) bool {
	deadline := query.started.Add(simulation.scenario.hardDeadline())
	if deadline.Sub(query.arrived)-(host.totalPaused()-query.pausedBefore) < 4*medianServiceTime {
		return false
	}
	for i := range host.config.Layouts {
		layout := &host.config.Layouts[i]
		for snapshot := firstSnapshot; snapshot <= lastSnapshot; snapshot++ {
			if simulation.allShardsServed(host, layout, snapshot, query.arrived) {
				return true
			}
		}
	}
	return false
}

func (simulation *simulation) allShardsServed(host *entryHost, layout *carobthread.Layout, snapshot uint64, since carobthread.Instant) bool {
	for _, replicas := range layout.Shards {
		served := slices.ContainsFunc(replicas, func(name string) bool {
			searcher := simulation.searchersByName[name]
			return searcher.servesSince(snapshot, layout.Generation, since) && simulation.reachableSince(host, searcher, since)
		})
		if !served {
			return false
		}
	}
	return true
}

// reachableSince reports whether messages have passed between a host and a searcher ever since the given time.
func (simulation *simulation) reachableSince(host *entryHost, searcher *searcher, since carobthread.Instant) bool {
	if host.dataCentre == searcher.config.DataCentre {
		return true
	}
	return simulation.reachable(host, searcher) && simulation.isolationChangedAt <= since
}

func (simulation *simulation) finish() *Result {
	for _, host := range simulation.hosts {
		host.checker.finish(simulation.now)
		for invariant, count := range host.checker.violations {
			simulation.result.Broken[invariant] += count
		}
	}
	simulation.result.finish()
	return simulation.result
}
