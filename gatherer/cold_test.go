package gatherer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/gatherer"
)

const (
	coldRate  = 20.0
	coldLimit = coldRate*1.5 + 5
	coldSpan  = 3 * time.Second
	// coldNames of searchers end in coldSuffix, the mark of a second start.
	coldSuffix = "@2"
)

// coldConfig returns the configuration in which the searchers with the given names have just started again.
func coldConfig(restarted ...string) carobthread.Config {
	config := limitedConfig(manyConnections)
	for i := range config.Searchers {
		searcher := &config.Searchers[i]
		searcher.Cold = carobthread.ColdState{Limit: coldLimit, Span: coldSpan, Started: 1, Heartbeat: 1}
		if slices.Contains(restarted, searcher.Name) {
			searcher.Name += coldSuffix
			searcher.Cold.Left = coldSpan
			config.Layouts[0].Shards[0][i] = searcher.Name
		}
	}
	return config
}

// configure gives each host the configuration; as in a fleet, some hosts get it later than others.
func (simulated *limitedFleet) configure(config carobthread.Config) {
	for host := range simulated.cores {
		simulated.step(host, carobthread.Event{Config: &carobthread.ConfigChanged{Config: config}})
		if host%10 == 9 {
			simulated.run(10 * time.Millisecond)
		}
	}
}

// splitViews gives each host a view of only the hosts in its own part of the fleet.
func (simulated *limitedFleet) splitViews(parts int) {
	for host := range simulated.cores {
		core := gatherer.New(uint64(host), gatherer.Options{MinHosts: len(simulated.cores)})
		core.Step(carobthread.Event{At: simulated.now, View: &carobthread.ViewChanged{View: fleetView(host, len(simulated.cores), parts)}})
		core.Step(carobthread.Event{At: simulated.now, Config: &carobthread.ConfigChanged{Config: coldConfig()}})
		simulated.cores[host] = core
	}
}

// mostPerSecond returns the highest number of requests that reached a searcher in any one second, if each takes up to
// a fifth of a second on its way.
func (simulated *limitedFleet) mostPerSecond(searcher string, until time.Duration) int {
	random := rand.New(rand.NewPCG(2, 2))
	arrivals := []time.Duration{}
	for _, sent := range simulated.arrivals[searcher] {
		arrivals = append(arrivals, sent+time.Duration(random.Float64()*float64(200*time.Millisecond)))
	}
	slices.Sort(arrivals)
	most, first := 0, 0
	for last, at := range arrivals {
		for arrivals[first] <= at-time.Second {
			first++
		}
		if at < until {
			most = max(most, last-first+1)
		}
	}
	return most
}

// Load: one of three searchers of a shard starts again while callers ask for more than it can take. Guards against hosts that
// together send a cold searcher more than its limit, also if they have never seen each other, and against queries that fail
// because of it, against a searcher that gets nothing while it is cold, and against one that stays limited.
func TestFleetKeepsToColdLimit(t *testing.T) {
	for name, load := range map[string][]float64{
		"one host": {180}, "four hosts": evenLoad(4, 45), "33 hosts": evenLoad(33, 5.5), "85 hosts": evenLoad(85, 2), "one busy host of 33": append(evenLoad(32, 1), 148),
	} {
		for _, parts := range []int{1, 2, len(load)} {
			if parts > coldLimit {
				continue // So many hosts that have never seen another one exceed the limit even at one request each.
			}
			t.Run(fmt.Sprintf("%s in %d parts", name, parts), func(t *testing.T) {
				simulated := newLimitedFleet(load, manyConnections, func(string, time.Duration) float64 { return 0 })
				simulated.splitViews(parts)
				simulated.run(2 * time.Second)
				started := simulated.now.Sub(limitedFleetStart)
				simulated.configure(coldConfig("s0-0"))
				simulated.run(coldSpan)
				searcher := "s0-0" + coldSuffix
				most := simulated.mostPerSecond(searcher, started+coldSpan)
				assert.Check(t, float64(most) <= coldLimit, "%d requests in one second, the limit is %v", most, coldLimit)
				whileCold := len(simulated.arrivals[searcher])
				assert.Check(t, whileCold > 0, "no requests while cold")
				simulated.run(4 * time.Second)
				assert.Check(t, len(simulated.arrivals[searcher])-whileCold > 3*whileCold, "%d requests while cold, %d afterwards", whileCold, len(simulated.arrivals[searcher])-whileCold)
				assert.Check(t, simulated.answered >= simulated.ended*98/100, "%d of %d queries answered", simulated.answered, simulated.ended)
			})
		}
	}
}

// Load: all searchers of a shard start at once, below and above what they can take together. Guards against a limit that is
// exceeded when there is no other replica, and against a fleet that then serves nothing.
func TestFleetKeepsToColdLimitOfAllReplicas(t *testing.T) {
	for _, perHost := range []float64{2, 45} {
		t.Run(fmt.Sprint(perHost), func(t *testing.T) {
			simulated := newLimitedFleet(evenLoad(4, perHost), manyConnections, func(string, time.Duration) float64 { return 0 })
			simulated.splitViews(1)
			simulated.run(2 * time.Second)
			started, answered := simulated.now.Sub(limitedFleetStart), simulated.answered
			simulated.configure(coldConfig("s0-0", "s0-1", "s0-2"))
			simulated.run(coldSpan)
			served, offered := simulated.answered-answered, 4*perHost*coldSpan.Seconds()
			for searcher := range simulated.arrivals {
				if strings.HasSuffix(searcher, coldSuffix) {
					most := simulated.mostPerSecond(searcher, started+coldSpan)
					assert.Check(t, float64(most) <= coldLimit, "%s got %d requests in one second", searcher, most)
				}
			}
			assert.Check(t, float64(served) >= min(0.8*offered, coldRate*coldSpan.Seconds()), "%d of %.0f queries answered", served, offered)
		})
	}
}
