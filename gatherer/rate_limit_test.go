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

const (
	// limitGrace is the time after a searcher first names a limit in which the fleet need not keep to it yet.
	limitGrace = 4 * time.Second
	// limitWindow is the time over which requests are counted against a limit.
	limitWindow = 4 * time.Second
	// limitTolerance and limitSlack are the factor and the number of requests by which a window may exceed a limit.
	limitTolerance = 1.5
	limitSlack     = 5
	// manyConnections are more than the hosts of any case need.
	manyConnections = 200
)

// limitedFleet runs the cores of several hosts on virtual time against one shard of three searchers, each of which names a
// limit of its own in its replies.
type limitedFleet struct {
	random *rand.Rand
	now    carobthread.Instant
	cores  []*gatherer.Gatherer
	// queriesPerSecond is the load of each host.
	queriesPerSecond []float64
	// limit returns the limit that a searcher names at a time, or 0 for none.
	limit    func(searcher string, since time.Duration) float64
	arrivals map[string][]time.Duration
	replies  []scheduledReply
	queries  carobthread.QueryID
	ended    int
	answered int
}

type scheduledReply struct {
	due   carobthread.Instant
	host  int
	reply carobthread.ReplyArrived
}

const limitedFleetStart = carobthread.Instant(time.Hour)

func newLimitedFleet(queriesPerSecond []float64, connections int, limit func(searcher string, since time.Duration) float64) *limitedFleet {
	simulated := &limitedFleet{
		random: rand.New(rand.NewPCG(1, 1)), now: limitedFleetStart, queriesPerSecond: queriesPerSecond, limit: limit, arrivals: map[string][]time.Duration{},
	}
	config := limitedConfig(connections)
	for host := range queriesPerSecond {
		core := gatherer.New(uint64(host), gatherer.Options{})
		core.Step(carobthread.Event{At: simulated.now, View: &carobthread.ViewChanged{View: fleetView(host, len(queriesPerSecond), 1)}})
		core.Step(carobthread.Event{At: simulated.now, Config: &carobthread.ConfigChanged{Config: config}})
		simulated.cores = append(simulated.cores, core)
	}
	return simulated
}

// fleetView returns a host's view of the hosts in its own part of the fleet, which are spread over three data centres.
func fleetView(self, hosts, parts int) carobthread.View {
	view := carobthread.View{Self: fmt.Sprint("host-", self)}
	for host := self % parts; host < hosts; host += parts {
		view.Hosts = append(view.Hosts, carobthread.Host{Name: fmt.Sprint("host-", host), DataCentre: fmt.Sprint("dc", host%3), State: carobthread.HostLive})
	}
	return view
}

func limitedConfig(connections int) carobthread.Config {
	config := fleet(1, 8)
	for i := range config.Searchers {
		config.Searchers[i].Connections = connections
	}
	config.RetryBudget = carobthread.RetryBudget{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	config.Services[0].FloorRequired = true
	config.Layouts[0].Groups = []string{"group"}
	return config
}

// run advances the fleet by a span in steps of a millisecond.
func (simulated *limitedFleet) run(span time.Duration) {
	for end := simulated.now.Add(span); simulated.now < end; simulated.now = simulated.now.Add(time.Millisecond) {
		simulated.deliver()
		for host, core := range simulated.cores {
			if simulated.random.Float64() < simulated.queriesPerSecond[host]/1000 {
				simulated.queries++
				simulated.step(host, carobthread.Event{Query: &carobthread.QueryArrived{Query: simulated.queries, Service: "matching"}})
			}
			if core.NextDue() <= simulated.now {
				simulated.step(host, carobthread.Event{Tick: &carobthread.TickArrived{}})
			}
		}
	}
}

func (simulated *limitedFleet) deliver() {
	due := simulated.replies
	simulated.replies = nil
	for _, scheduled := range due {
		if scheduled.due > simulated.now {
			simulated.replies = append(simulated.replies, scheduled)
			continue
		}
		simulated.step(scheduled.host, carobthread.Event{Reply: &scheduled.reply})
	}
}

func (simulated *limitedFleet) step(host int, event carobthread.Event) {
	const latency = 10 * time.Millisecond
	event.At = simulated.now
	since := simulated.now.Sub(limitedFleetStart)
	for _, action := range simulated.cores[host].Step(event) {
		switch {
		case action.Send != nil:
			simulated.arrivals[action.Send.Searcher] = append(simulated.arrivals[action.Send.Searcher], since)
			reply := replyTo(action.Send)
			reply.Backpressure = &carobthread.Backpressure{RateLimit: simulated.limit(action.Send.Searcher, since)}
			simulated.replies = append(simulated.replies, scheduledReply{due: simulated.now.Add(latency), host: host, reply: reply})
		case action.Answer != nil && !action.Answer.Failed:
			simulated.answered++
			simulated.ended++
		case action.Answer != nil, action.Refuse != nil:
			simulated.ended++
		}
	}
}

// most returns the highest number of requests that reached the searcher within limitWindow, after the given time.
func (simulated *limitedFleet) most(searcher string, after time.Duration) int {
	arrivals := simulated.arrivals[searcher]
	most, first := 0, 0
	for last, at := range arrivals {
		for arrivals[first] < max(after, at-limitWindow) && first < last {
			first++
		}
		if at >= after {
			most = max(most, last-first+1)
		}
	}
	return most
}

// evenLoad returns the same load for each host.
func evenLoad(hosts int, each float64) []float64 {
	load := make([]float64, hosts)
	for host := range load {
		load[host] = each
	}
	return load
}

// permitted returns how many requests may reach a searcher with the limit within limitWindow.
func permitted(limit float64) int {
	return int(limitTolerance*limit*limitWindow.Seconds()) + limitSlack
}

// Load: callers ask for more than two searchers in need take together; the third takes the rest. Guards against hosts that send
// a searcher more than it has named, as the sum over all hosts, whether few or many hosts share it evenly or not.
func TestFleetKeepsToNamedRateLimit(t *testing.T) {
	const limit = 30.0
	for name, load := range map[string][]float64{
		"four hosts": evenLoad(4, 45), "uneven hosts": {15, 15, 15, 135}, "33 hosts": evenLoad(33, 5.5), "one busy host of 33": append(evenLoad(32, 1), 148),
	} {
		t.Run(name, func(t *testing.T) {
			limited := map[string]bool{"s0-0": true, "s0-1": true}
			simulated := newLimitedFleet(load, manyConnections, func(searcher string, _ time.Duration) float64 {
				if limited[searcher] {
					return limit
				}
				return 0
			})
			simulated.run(3 * limitWindow)
			for searcher := range limited {
				most := simulated.most(searcher, limitGrace)
				assert.Check(t, most <= permitted(limit), "%s got %d requests, permitted are %d", searcher, most, permitted(limit))
			}
			assert.Check(t, simulated.answered >= simulated.ended*95/100, "%d of %d queries answered", simulated.answered, simulated.ended)
		})
	}
}

// Load: more hosts than the searchers accept connections from. Guards against a limit that is divided by all hosts, most of which
// don't use the searcher, and against hosts that exceed it together.
func TestFleetSharesRateLimitAmongAssignedHosts(t *testing.T) {
	const (
		limit       = 30.0
		connections = 30
	)
	simulated := newLimitedFleet(evenLoad(240, 3), connections, func(string, time.Duration) float64 { return limit })
	simulated.run(3 * limitWindow)
	before := map[string]int{}
	for searcher, arrivals := range simulated.arrivals {
		before[searcher] = len(arrivals)
	}
	simulated.run(3 * limitWindow)
	for searcher, arrivals := range simulated.arrivals {
		most := simulated.most(searcher, limitGrace)
		assert.Check(t, most <= permitted(limit), "%s got %d requests, permitted are %d", searcher, most, permitted(limit))
		offered := limit * 3 * limitWindow.Seconds()
		got := len(arrivals) - before[searcher]
		assert.Check(t, float64(got) >= offered/2, "%s got %d of %.0f offered requests", searcher, got, offered)
	}
}

// Load: callers ask for twice as much as all searchers of a shard take. Guards against queries that wait for searchers which
// can't take them, and against a fleet that serves far less than the searchers offer.
func TestFleetRefusesMoreThanNamedRateLimits(t *testing.T) {
	const limit = 30.0
	simulated := newLimitedFleet([]float64{45, 45, 45, 45}, manyConnections, func(string, time.Duration) float64 { return limit })
	simulated.run(3 * limitWindow)
	before, ended := simulated.answered, simulated.ended
	simulated.run(limitWindow)
	for searcher := range simulated.arrivals {
		most := simulated.most(searcher, limitGrace)
		assert.Check(t, most <= permitted(limit), "%s got %d requests, permitted are %d", searcher, most, permitted(limit))
	}
	offered := 3 * limit * limitWindow.Seconds()
	assert.Check(t, float64(simulated.answered-before) >= 0.8*offered, "%d of %.0f offered requests were answered", simulated.answered-before, offered)
	assert.Check(t, simulated.ended-ended >= 4*45*int(limitWindow.Seconds())*9/10, "%d queries ended", simulated.ended-ended)
}

// Guards against a limit that outlasts the replies that name it, and against one that is not lowered.
func TestFleetFollowsChangesOfNamedRateLimit(t *testing.T) {
	const high, low = 40.0, 10.0
	simulated := newLimitedFleet([]float64{40, 40, 40, 40}, manyConnections, func(searcher string, since time.Duration) float64 {
		switch {
		case searcher != "s0-0" || since >= 24*time.Second:
			return 0
		case since >= 12*time.Second:
			return low
		}
		return high
	})
	simulated.run(12 * time.Second)
	assert.Check(t, simulated.most("s0-0", limitGrace) <= permitted(high))
	simulated.run(12 * time.Second)
	assert.Check(t, simulated.most("s0-0", 12*time.Second+limitGrace) <= permitted(low), "%d", simulated.most("s0-0", 12*time.Second+limitGrace))
	simulated.run(12 * time.Second)
	assert.Check(t, simulated.most("s0-0", 30*time.Second) > permitted(high), "%d requests after the end of the limit", simulated.most("s0-0", 30*time.Second))
}
