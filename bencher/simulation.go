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
	misroutedShare = 1.0 / 5000
	duplicateShare = 1.0 / 5000
	goneShare      = 1.0 / 500 // callers that stop waiting early
	goneAfter      = 2 * time.Millisecond
)

// Health and membership reach the hosts late.
const (
	reportPeriod  = time.Second
	reportLag     = 800 * time.Millisecond // greatest lag of a report
	viewLag       = 2 * time.Second
	balancerLag   = time.Second // time until the balancer sends nothing to a paused host
	reconnectTime = 100 * time.Millisecond
)

// Policy is a named choice of the core's options.
type Policy struct {
	Name    string
	Options gatherer.Options
	// WaitForAll takes the soft deadline away from services that put latency first.
	WaitForAll bool
}

// Policies returns the current policy and its baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "current"},
		{Name: "wait-for-all", Options: gatherer.Options{RandomReplica: true}, WaitForAll: true},
		{Name: "first", Options: gatherer.Options{FirstPolicy: true}},
	}
}

// Run names one run of the benchmark.
type Run struct {
	Scenario Scenario
	Faults   []Fault
	Policy   Policy
	Seed     uint64
	// DeadlineMedians tells runs apart whose scenario has a deadline of its own.
	DeadlineMedians float64
	// Wrap replaces the core of the first host, made with that seed and those options, by one that wraps it.
	Wrap func(seed uint64, options gatherer.Options, decider carobthread.Decider) carobthread.Decider
}

// simulation is the state of one run.
type simulation struct {
	loop
	scenario      Scenario
	noise         *rand.Rand
	arrivals      *rand.Rand
	hosts         []*entryHost
	searchers     []*searcher
	searcherNamed map[string]*searcher
	// isolated is the data centre that is cut off from the others, or empty.
	isolated   string
	isolatedAt carobthread.Instant
	loadFactor float64
	nextQuery  carobthread.QueryID
	open       map[carobthread.QueryID]*openQuery
	result     *Result
	end        carobthread.Instant
}

// openQuery is a query that a caller waits for.
type openQuery struct {
	started  carobthread.Instant
	arrived  carobthread.Instant
	measured bool
	// pausedBefore is how long the host had been paused in all when the query arrived.
	pausedBefore time.Duration
}

func dataCentres() []string { return []string{"dc-a", "dc-b", "dc-c"} }

// hostCentres places the four entry hosts.
func hostCentres() []string { return []string{"dc-a", "dc-a", "dc-b", "dc-c"} }

// stream returns a generator for one purpose, so that purposes do not shift each other's draws.
func stream(seed uint64, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }

const (
	streamNoise uint64 = iota + 1
	streamArrivals
	streamService
	streamReports
	streamFaults // the faults' streams follow, one each
)

// Execute performs the run on virtual time.
func (run Run) Execute() *Result {
	simulation := newSimulation(run)
	simulation.schedule(run)
	simulation.runUntil(simulation.end.Add(hardDeadline + 2*answerGrace))
	return simulation.finish()
}

func newSimulation(run Run) *simulation {
	simulation := &simulation{
		loop:          loop{now: epoch},
		scenario:      run.Scenario,
		noise:         stream(run.Seed, streamNoise),
		arrivals:      stream(run.Seed, streamArrivals),
		searcherNamed: map[string]*searcher{},
		loadFactor:    1,
		open:          map[carobthread.QueryID]*openQuery{},
		result:        newResult(run),
	}
	if run.Policy.WaitForAll {
		simulation.scenario.Preference = carobthread.CoverageFirst
	}
	simulation.end = epoch.Add(run.Scenario.WarmUp + run.Scenario.Measured)
	service := stream(run.Seed, streamService)
	for i := range run.Scenario.Searchers {
		simulation.addSearcher(service, fmt.Sprintf("searcher-%03d", i), dataCentres()[i%len(dataCentres())])
	}
	for i, centre := range hostCentres() {
		seed := run.Seed*100 + uint64(i)
		var decider carobthread.Decider = gatherer.New(seed, run.Policy.Options)
		if i == 0 && run.Wrap != nil {
			decider = run.Wrap(seed, run.Policy.Options, decider)
		}
		simulation.addHost(fmt.Sprintf("host-%d", i), centre, decider)
	}
	return simulation
}

func (simulation *simulation) addSearcher(random *rand.Rand, name, centre string) *searcher {
	entry := newSearcher(&simulation.loop, random, carobthread.Searcher{
		Name:        name,
		Address:     "127.0.0.1:1",
		DataCentre:  centre,
		Slots:       simulation.scenario.Slots,
		Connections: simulation.scenario.Connections,
	})
	entry.indexless = simulation.scenario.Execute
	simulation.searchers = append(simulation.searchers, entry)
	simulation.searcherNamed[name] = entry
	return entry
}

func (simulation *simulation) addHost(name, centre string, decider carobthread.Decider) {
	entry := &entryHost{
		simulation: simulation,
		name:       name,
		dataCentre: centre,
		decider:    decider,
		pools:      map[string]*pool{},
		jobs:       map[carobthread.AttemptID]*job{},
	}
	entry.checker = newChecker(entry, simulation.scenario.Execute)
	simulation.hosts = append(simulation.hosts, entry)
}

// schedule puts the first events of all parts and of the faults on the loop.
func (simulation *simulation) schedule(run Run) {
	config := simulation.config()
	reports := stream(run.Seed, streamReports)
	for _, host := range simulation.hosts {
		simulation.at(epoch, func() {
			host.deliver(carobthread.Event{View: &carobthread.ViewChanged{View: simulation.view(host, nil)}})
			host.configure(config)
		})
		simulation.tickHost(host)
	}
	for _, searcher := range simulation.searchers {
		simulation.after(time.Duration(reports.Int64N(int64(reportPeriod))), func() { simulation.reportSearcher(reports, searcher) })
	}
	simulation.at(epoch.Add(simulation.scenario.WarmUp/2), simulation.nextArrival)
	faults := slices.SortedFunc(slices.Values(run.Faults), func(one, other Fault) int { return cmp.Compare(one.stream, other.stream) })
	for _, fault := range faults {
		random := stream(run.Seed, streamFaults+fault.stream)
		delay := time.Duration(random.Int64N(int64(simulation.scenario.WarmUp / 4)))
		start := epoch.Add(simulation.scenario.WarmUp + delay)
		fault.apply(&injection{simulation: simulation, random: random, start: start, span: simulation.scenario.FaultSpan})
	}
}

// config returns the first configuration: the replicas of a shard stand in different data centres.
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
			host.deliver(carobthread.Event{Tick: &carobthread.Ticked{}})
		}
		simulation.tickHost(host)
	})
}

// reportSearcher sends the searcher's report to all hosts, each with a lag of its own.
func (simulation *simulation) reportSearcher(random *rand.Rand, searcher *searcher) {
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
	simulation.after(reportPeriod, func() { simulation.reportSearcher(random, searcher) })
}

// delay is the way from a host to a searcher.
func (simulation *simulation) delay(host *entryHost, searcher *searcher) time.Duration {
	if host.dataCentre == searcher.config.DataCentre {
		return localDelay
	}
	return simulation.scenario.CentreDelay
}

// reachable reports whether messages pass between a host and a searcher.
func (simulation *simulation) reachable(host *entryHost, searcher *searcher) bool {
	from, to := host.dataCentre, searcher.config.DataCentre
	return from == to || from != simulation.isolated && to != simulation.isolated
}

// nextArrival starts one query and schedules the following one; arrivals form a Poisson process.
func (simulation *simulation) nextArrival() {
	if simulation.now >= simulation.end {
		return
	}
	simulation.startQuery()
	gap := simulation.arrivals.ExpFloat64() / (simulation.scenario.rate() * simulation.loadFactor)
	simulation.after(time.Duration(gap*float64(time.Second)), simulation.nextArrival)
}

func (simulation *simulation) startQuery() {
	host := simulation.balance()
	simulation.nextQuery++
	id := simulation.nextQuery
	started := simulation.now
	query := &openQuery{started: started, measured: started >= epoch.Add(simulation.scenario.WarmUp)}
	simulation.open[id] = query
	if query.measured {
		simulation.result.Queries++
	}
	gone := simulation.arrivals.Float64() < goneShare
	simulation.after(simulation.scenario.ClientDelay, func() {
		query.arrived = simulation.now
		query.pausedBefore = host.pausedFor()
		host.deliver(carobthread.Event{Query: &carobthread.QueryArrived{
			Query:    id,
			Service:  serviceName,
			Deadline: started.Add(simulation.scenario.hardDeadline()),
			Size:     1000,
		}})
	})
	if gone && !simulation.scenario.Execute {
		simulation.after(simulation.scenario.ClientDelay+goneAfter, func() { simulation.leave(host, id) })
	}
}

// balance picks a host at random; the balancer notices a paused host late.
func (simulation *simulation) balance() *entryHost {
	for {
		host := simulation.hosts[simulation.arrivals.IntN(len(simulation.hosts))]
		if !host.ejected {
			return host
		}
	}
}

// leave ends a caller's wait for a query.
func (simulation *simulation) leave(host *entryHost, id carobthread.QueryID) {
	query := simulation.open[id]
	if query == nil {
		return
	}
	delete(simulation.open, id)
	if query.measured {
		simulation.result.Gone++
	}
	host.deliver(carobthread.Event{Gone: &carobthread.CallerGone{Query: id}})
}

// answered measures an answer.
func (simulation *simulation) answered(host *entryHost, answer *carobthread.AnswerQuery) {
	query := simulation.open[answer.Query]
	if query == nil {
		return
	}
	delete(simulation.open, answer.Query)
	if !query.measured {
		return
	}
	latency := simulation.now.Add(simulation.scenario.ClientDelay).Sub(query.started)
	simulation.result.answer(answer, latency, simulation.scenario.Execute, func() bool {
		return simulation.coverable(host, query)
	})
}

func (simulation *simulation) refused(_ *entryHost, refuse *carobthread.RefuseQuery) {
	query := simulation.open[refuse.Query]
	if query == nil {
		return
	}
	delete(simulation.open, refuse.Query)
	if query.measured {
		simulation.result.refuse(refuse.Reason)
	}
}

// coverable reports whether, from the query's arrival on, every shard had a live and reachable replica
// that held one snapshot, the same for all shards, and the host ran for at least four medians before the deadline.
func (simulation *simulation) coverable(host *entryHost, query *openQuery) bool {
	deadline := query.started.Add(simulation.scenario.hardDeadline())
	if deadline.Sub(query.arrived)-(host.pausedFor()-query.pausedBefore) < 4*medianServiceTime {
		return false
	}
	for i := range host.config.Layouts {
		layout := &host.config.Layouts[i]
		for snapshot := firstSnapshot; snapshot <= lastSnapshot; snapshot++ {
			if simulation.covers(host, layout, snapshot, query.arrived) {
				return true
			}
		}
	}
	return false
}

func (simulation *simulation) covers(host *entryHost, layout *carobthread.Layout, snapshot uint64, since carobthread.Instant) bool {
	for _, replicas := range layout.Shards {
		served := slices.ContainsFunc(replicas, func(name string) bool {
			searcher := simulation.searcherNamed[name]
			return searcher.serves(snapshot, layout.Generation, since) && simulation.reachableSince(host, searcher, since)
		})
		if !served {
			return false
		}
	}
	return true
}

// reachableSince also excludes a partition that has changed since the given time.
func (simulation *simulation) reachableSince(host *entryHost, searcher *searcher, since carobthread.Instant) bool {
	if host.dataCentre == searcher.config.DataCentre {
		return true
	}
	return simulation.reachable(host, searcher) && simulation.isolatedAt <= since
}

func (simulation *simulation) finish() *Result {
	for _, host := range simulation.hosts {
		host.checker.finish(simulation.now)
		for invariant, count := range host.checker.broken {
			simulation.result.Broken[invariant] += count
		}
	}
	simulation.result.finish()
	return simulation.result
}
