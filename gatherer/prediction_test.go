package gatherer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/gatherer"
)

// placement is a deployment on virtual time: hosts with the real core, and searchers with slots, a queue and a speed that may
// change. Each data centre has a third of the hosts and one searcher of each shard.
type placement struct {
	hosts, shards, slots int
	perSecond            float64 // queries of all hosts together
	network              time.Duration
	// work returns the work of a request, slowness by which factor a searcher takes longer now.
	work     func(random *rand.Rand) time.Duration
	slowness func(searcher int, since time.Duration) float64
	// paused reports whether the searcher does nothing now.
	paused func(searcher int, since time.Duration) bool
	// reporting is set if replies carry what the searcher has to do; without it, the choice is today's.
	reporting bool
	// hidden is set if the reports don't state the slowness.
	hidden bool
	// reportDelay is how old the numbers in a report are.
	reportDelay time.Duration

	seed      uint64
	random    *rand.Rand
	now       time.Duration // since the start, in steps
	cores     []*gatherer.Gatherer
	searchers []*placementSearcher
	due       map[time.Duration][]func()
	requests  []map[carobthread.AttemptID]*placementRequest // of each host
	arrived   map[carobthread.QueryID]time.Duration
	latencies []time.Duration
	missing   int
	queries   carobthread.QueryID
}

type placementSearcher struct {
	running int
	queue   []*placementRequest
	// reports are the past loads with their times, for reports that are old.
	reports []carobthread.ReportArrived
	at      []time.Duration
}

type placementRequest struct {
	host int
	send carobthread.SendAttempt
	left time.Duration
	// cancelled is set once the host has cancelled the request.
	cancelled bool
}

const (
	placementStart = carobthread.Instant(time.Hour)
	// placementStep is the resolution of time.
	placementStep = 250 * time.Microsecond
)

func (run *placement) since() time.Duration { return run.now * placementStep }

func (run *placement) after(delay time.Duration, action func()) {
	due := run.now + max(1, delay/placementStep)
	run.due[due] = append(run.due[due], action)
}

// simulate runs the deployment and records the latencies of the queries and the shards missing from answers after a warm-up.
func (run *placement) simulate(span time.Duration) {
	run.random = rand.New(rand.NewPCG(run.seed, 7))
	run.due, run.arrived = map[time.Duration][]func(){}, map[carobthread.QueryID]time.Duration{}
	config := fleet(run.shards, run.slots)
	config.RetryBudget = carobthread.RetryBudget{Ratio: 0.2, Slack: 210, Window: 10 * time.Second}
	config.Services[0].FloorRequired, config.Services[0].MaxSearchers, config.Services[0].HedgeQuantile = true, 2, 0.9
	config.Services[0].SoftDeadline, config.Services[0].HardDeadline = 185*time.Millisecond, 600*time.Millisecond
	config.Services[0].HedgeDelay = config.Services[0].SoftDeadline / 3
	for shard := range run.shards {
		config.Layouts[0].Groups = append(config.Layouts[0].Groups, fmt.Sprint("group-", shard))
	}
	for i := range config.Searchers {
		config.Searchers[i].Connections = manyConnections
		run.searchers = append(run.searchers, &placementSearcher{})
	}
	for host := range run.hosts {
		core := gatherer.New(run.seed+uint64(host), gatherer.Options{})
		run.cores = append(run.cores, core)
		run.requests = append(run.requests, map[carobthread.AttemptID]*placementRequest{})
		run.step(host, carobthread.Event{View: &carobthread.ViewChanged{View: fleetView(host, run.hosts, 1)}})
		run.step(host, carobthread.Event{Config: &carobthread.ConfigChanged{Config: config}})
		run.tick(host)
	}
	run.after(0, run.arrive)
	for ; run.now < span/placementStep; run.now++ {
		for _, action := range run.due[run.now] {
			action()
		}
		delete(run.due, run.now)
	}
}

func (run *placement) tick(host int) {
	run.step(host, carobthread.Event{Tick: &carobthread.TickArrived{}})
	run.after(2*time.Millisecond, func() { run.tick(host) })
}

func (run *placement) arrive() {
	run.queries++
	run.arrived[run.queries] = run.since()
	run.step(run.random.IntN(run.hosts), carobthread.Event{Query: &carobthread.QueryArrived{Query: run.queries, Service: "matching"}})
	run.after(time.Duration(run.random.ExpFloat64()/run.perSecond*float64(time.Second)), run.arrive)
}

func (run *placement) step(host int, event carobthread.Event) {
	const warmUp = 5 * time.Second
	event.At = placementStart.Add(run.since())
	for _, action := range run.cores[host].Step(event) {
		switch {
		case action.Send != nil:
			run.send(host, *action.Send)
		case action.Cancel != nil:
			request := run.requests[host][action.Cancel.Attempt]
			delete(run.requests[host], action.Cancel.Attempt)
			run.after(run.delay(host, run.index(request.send.Searcher)), func() { request.cancelled = true })
		case action.Answer != nil:
			if run.since() > warmUp {
				run.latencies = append(run.latencies, run.since()-run.arrived[action.Answer.Query])
				run.missing += len(action.Answer.Coverage.Missing)
			}
		case action.Refuse != nil:
			if run.since() > warmUp {
				run.latencies = append(run.latencies, time.Second)
				run.missing += run.shards
			}
		}
	}
}

// index returns the number of a searcher named sSHARD-REPLICA.
func (run *placement) index(name string) int {
	shard, replica := 0, 0
	_, _ = fmt.Sscanf(name, "s%d-%d", &shard, &replica)
	return 3*shard + replica
}

func (run *placement) delay(host, searcher int) time.Duration {
	if host%3 == searcher%3 {
		return 250 * time.Microsecond
	}
	return run.network
}

func (run *placement) send(host int, send carobthread.SendAttempt) {
	index := run.index(send.Searcher)
	request := &placementRequest{host: host, send: send, left: run.work(run.random)}
	run.requests[host][send.Attempt] = request
	run.after(run.delay(host, index), func() {
		searcher := run.searchers[index]
		searcher.queue = append(searcher.queue, request)
		run.start(index)
	})
}

func (run *placement) start(index int) {
	searcher := run.searchers[index]
	for searcher.running < run.slots && len(searcher.queue) > 0 {
		request := searcher.queue[0]
		searcher.queue = searcher.queue[1:]
		if request.cancelled {
			continue
		}
		searcher.running++
		run.progress(index, request)
	}
}

// progress runs a request for a millisecond, or ends it.
func (run *placement) progress(index int, request *placementRequest) {
	const slice = time.Millisecond
	if !run.paused(index, run.since()) {
		request.left -= time.Duration(float64(slice) / run.slowness(index, run.since()))
	}
	if request.cancelled {
		run.searchers[index].running--
		run.start(index)
		return
	}
	if request.left > 0 {
		run.after(slice, func() { run.progress(index, request) })
		return
	}
	run.after(slice, func() {
		report := run.report(index) // a searcher writes it while the request still counts as running
		run.searchers[index].running--
		run.start(index)
		run.after(run.delay(request.host, index), func() {
			if run.reporting {
				report.Searcher = request.send.Searcher
				run.step(request.host, carobthread.Event{Report: &report})
			}
			delete(run.requests[request.host], request.send.Attempt)
			reply := replyTo(&request.send)
			reply.Searcher = request.send.Searcher
			run.step(request.host, carobthread.Event{Reply: &reply})
		})
	})
}

// report returns the searcher's load as it was reportDelay ago.
func (run *placement) report(index int) carobthread.ReportArrived {
	searcher := run.searchers[index]
	report := carobthread.ReportArrived{Healthy: true, Running: searcher.running, Queued: len(searcher.queue), Slowness: 100}
	if !run.hidden {
		report.Slowness = int(100 * run.slowness(index, run.since()))
	}
	searcher.reports, searcher.at = append(searcher.reports, report), append(searcher.at, run.since())
	for len(searcher.at) > 1 && run.since()-searcher.at[1] >= run.reportDelay {
		searcher.reports, searcher.at = searcher.reports[1:], searcher.at[1:]
	}
	return searcher.reports[0]
}

func evenWork(random *rand.Rand) time.Duration {
	return time.Duration((0.7 + 0.6*random.Float64()) * float64(11*time.Millisecond))
}

func tailWork(random *rand.Rand) time.Duration {
	if random.IntN(50) == 0 {
		return 110 * time.Millisecond
	}
	return 9 * time.Millisecond
}

func steady(int, time.Duration) float64 { return 1 }

// noise returns by which factor a noisy neighbour slows a searcher: 2.5 in 15% of the periods of 600 ms.
func noise(searcher int, since time.Duration) float64 {
	random := rand.New(rand.NewPCG(uint64(searcher), uint64(since/(600*time.Millisecond))))
	if random.Float64() < 0.15 {
		return 2.5
	}
	return 1
}

// slowReplica makes one searcher ten times slower for 8 s.
func slowReplica(searcher int, since time.Duration) float64 {
	if searcher == 4 && since > 8*time.Second && since < 16*time.Second {
		return 10
	}
	return 1
}

func running(int, time.Duration) bool { return false }

// pausing makes each searcher pause for 120 ms every 3 s.
func pausing(searcher int, since time.Duration) bool {
	return (since+time.Duration(searcher)*370*time.Millisecond)%(3*time.Second) < 120*time.Millisecond
}

// Replays the same load with reports that call for prediction and without, which gives today's choice. Guards against
// predictions that make latencies longer: where costs are alike, where they have a tail that is not known beforehand, where a
// pause poisons an estimate, and where reports are old or a host sees a searcher only once in two seconds; and against ones
// that gain nothing where a replica or its machine is slow. most bounds the mean latency as a ratio to today's.
func TestPredictionAgainstTodaysChoice(t *testing.T) {
	for name, current := range map[string]struct {
		most float64
		placement
	}{
		"alike":             {1.02, placement{hosts: 6, perSecond: 100, slowness: steady, paused: running, work: evenWork}},
		"alike loaded":      {1.02, placement{hosts: 6, perSecond: 600, slowness: steady, paused: running, work: evenWork}},
		"stale loaded":      {1.02, placement{hosts: 6, perSecond: 600, slowness: steady, paused: running, work: evenWork, reportDelay: time.Second}},
		"many hosts pauses": {1.02, placement{hosts: 85, perSecond: 128, slowness: steady, paused: pausing, work: evenWork}},
		"tail":              {1.02, placement{hosts: 6, perSecond: 400, slowness: steady, paused: running, work: tailWork}},
		"noise":             {0.95, placement{hosts: 6, perSecond: 128, slowness: noise, paused: pausing, work: evenWork}},
		"noise loaded":      {0.97, placement{hosts: 6, perSecond: 250, slowness: noise, paused: pausing, work: evenWork}},
		"noise many hosts":  {1.02, placement{hosts: 85, perSecond: 128, slowness: noise, paused: pausing, work: evenWork}},
		"noise stale":       {1.03, placement{hosts: 6, perSecond: 128, slowness: noise, paused: pausing, work: evenWork, reportDelay: time.Second}},
		"slow":              {0.97, placement{hosts: 6, perSecond: 100, slowness: slowReplica, paused: running, work: evenWork, hidden: true}},
		"slow many hosts":   {0.97, placement{hosts: 85, perSecond: 128, slowness: slowReplica, paused: running, work: evenWork, hidden: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, missingBefore := current.replay(false)
			after, missingAfter := current.replay(true)
			t.Logf("%s: mean %s, predicted %s; missing shards %d, predicted %d", name, before, after, missingBefore, missingAfter)
			assert.Check(t, float64(after) <= current.most*float64(before), "mean %s, today %s", after, before)
			assert.Check(t, missingAfter <= missingBefore+missingBefore/10, "missing %d, today %d", missingAfter, missingBefore)
		})
	}
}

// replay returns the mean latency and the missing shards of two runs with other random numbers.
func (run *placement) replay(reporting bool) (time.Duration, int) {
	const span = 18 * time.Second
	total, queries, missing := time.Duration(0), 0, 0
	for seed := range uint64(2) {
		deployment := *run
		deployment.shards, deployment.slots, deployment.network = 8, 4, 3900*time.Microsecond
		deployment.reporting, deployment.seed = reporting, seed
		deployment.simulate(span)
		for _, latency := range deployment.latencies {
			total += latency
		}
		queries += len(deployment.latencies)
		missing += deployment.missing
	}
	return total / time.Duration(max(1, queries)), missing
}
