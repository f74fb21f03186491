package gatherer_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/gatherer"
)

// manyRoutes returns a configuration of plain HTTP forwarding: routes over 10 shards of 3 searchers, each with a service and
// a layout of its own.
func manyRoutes(routes int) carobthread.Config {
	const shards, replicas = 10, 3
	config := carobthread.Config{RetryBudget: carobthread.RetryBudget{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}}
	layout := carobthread.Layout{Generation: 1}
	for shard := range shards {
		var names []string
		for replica := range replicas {
			name := fmt.Sprintf("i-%d-%d", shard, replica)
			names = append(names, name)
			config.Searchers = append(config.Searchers, carobthread.Searcher{Name: name, DataCentre: fmt.Sprint("dc", replica), Slots: 3, Connections: 31})
		}
		layout.Shards = append(layout.Shards, names)
		layout.Groups = append(layout.Groups, fmt.Sprint("shard-", shard))
	}
	for route := range routes {
		name := fmt.Sprint("route-", route)
		config.Services = append(config.Services, carobthread.Service{
			Name: name, Kind: carobthread.KindSearch, Preference: carobthread.LatencyFirst, SoftDeadline: 100 * time.Millisecond,
			HardDeadline: time.Second, CoverageFloor: 0.75, FloorRequired: true, HedgeQuantile: 0.9, Layout: 1, MaxSearchers: 2,
		})
		layout.Service = name
		config.Layouts = append(config.Layouts, layout)
	}
	return config
}

// allocated returns the number and the bytes of the objects that the function allocates.
func allocated(function func()) (objects, bytes uint64) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	function()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs, after.TotalAlloc - before.TotalAlloc
}

// Guards against a host that builds its state of all routes anew whenever a searcher starts to leave. With thousands of
// routes, that took the time in which a host that stops has to answer its requests.
func TestConfigureKeepsUnchangedLayouts(t *testing.T) {
	const routes = 2000
	core := gatherer.New(1, gatherer.Options{})
	config := manyRoutes(routes)
	core.Step(carobthread.Event{At: 1, Config: &carobthread.ConfigChanged{Config: config}})
	config.Searchers[0].Leaving = true
	objects, _ := allocated(func() {
		core.Step(carobthread.Event{At: 2, Config: &carobthread.ConfigChanged{Config: config}})
	})
	shards := routes * len(config.Layouts[0].Shards)
	assert.Assert(t, int(objects) < shards, "a change of one searcher allocates %d objects for %d shards", objects, shards)
}

// Guards against routes that have had no request and take a large part of a host's memory, of which 256 MB are for control.
func TestIdleRoutesTakeLittleMemory(t *testing.T) {
	const (
		routes        = 2000
		maxRoutes     = 6650 // as many as a routing table of 1 MiB holds
		controlMemory = 256 << 20
	)
	core := gatherer.New(1, gatherer.Options{})
	config := manyRoutes(routes)
	_, taken := allocated(func() {
		core.Step(carobthread.Event{At: 1, Config: &carobthread.ConfigChanged{Config: config}})
	})
	assert.Assert(t, taken/routes < controlMemory/maxRoutes, "%d bytes a route", taken/routes)
}

// Guards against a change of the replicas, groups or generation of a layout that a host does not take in because it keeps the
// state of layouts that are unchanged.
func TestConfigureTakesInChangedLayouts(t *testing.T) {
	for name, change := range map[string]func(config *carobthread.Config){
		"a replica is replaced":    func(config *carobthread.Config) { config.Layouts[0].Shards = [][]string{{"new"}} },
		"a replica is added":       func(config *carobthread.Config) { config.Layouts[0].Shards = [][]string{{"new", "old"}} },
		"a shard is added":         func(config *carobthread.Config) { config.Layouts[0].Shards = [][]string{{"new"}, {"other"}} },
		"a replica is configured":  func(config *carobthread.Config) { config.Layouts[0].Shards = [][]string{{"old", "new"}} },
		"a generation is replaced": func(config *carobthread.Config) { config.Layouts[0].Generation, config.Services[0].Layout = 2, 2 },
	} {
		t.Run(name, func(t *testing.T) {
			config := carobthread.Config{
				Services:  []carobthread.Service{{Name: "one", Kind: carobthread.KindSearch, HardDeadline: time.Second, Layout: 1, CoverageFloor: 1}},
				Layouts:   []carobthread.Layout{{Service: "one", Generation: 1, Shards: [][]string{{"old", "new"}}}},
				Searchers: []carobthread.Searcher{{Name: "old", Slots: 3}},
			}
			core := gatherer.New(1, gatherer.Options{})
			core.Step(carobthread.Event{At: 1, Config: &carobthread.ConfigChanged{Config: config}})
			before := config.Layouts[0].Generation
			change(&config)
			config.Searchers = []carobthread.Searcher{{Name: "new", Slots: 3}, {Name: "other", Slots: 3}}
			core.Step(carobthread.Event{At: 2, Config: &carobthread.ConfigChanged{Config: config}})
			var sent []*carobthread.SendAttempt
			for _, action := range core.Step(carobthread.Event{At: 3, Query: &carobthread.QueryArrived{Query: 1, Service: "one"}}) {
				if action.Send != nil {
					sent = append(sent, action.Send)
				}
			}
			assert.Equal(t, len(sent), len(config.Layouts[0].Shards))
			for shard, send := range sent {
				assert.Equal(t, send.Searcher, []string{"new", "other"}[shard])
				assert.Equal(t, send.Layout, max(before, config.Layouts[0].Generation))
			}
		})
	}
}

// BenchmarkConfigure measures a change of one searcher under configurations of many routes.
func BenchmarkConfigure(b *testing.B) {
	for _, routes := range []int{350, 1400, 5600} {
		b.Run(fmt.Sprint("routes=", routes), func(b *testing.B) {
			core := gatherer.New(1, gatherer.Options{})
			config := manyRoutes(routes)
			b.ReportAllocs()
			for step := range b.N {
				config.Searchers[0].Leaving = step%2 == 1
				core.Step(carobthread.Event{At: carobthread.Instant(step + 1), Config: &carobthread.ConfigChanged{Config: config}})
			}
		})
	}
}

// Guards against a status page that can't be read once shards were missing from answers.
func TestStatsDecode(t *testing.T) {
	stats := gatherer.Stats{BlockedShards: map[carobthread.BlockCause]uint64{}}
	for cause := carobthread.BlockedNotChecked; cause <= carobthread.BlockedBudget; cause++ {
		stats.BlockedShards[cause] = uint64(cause)
	}
	content, err := json.Marshal(stats)
	assert.NilError(t, err)
	var decoded gatherer.Stats
	assert.NilError(t, json.Unmarshal(content, &decoded))
	assert.DeepEqual(t, decoded.BlockedShards, stats.BlockedShards)
	assert.ErrorContains(t, json.Unmarshal([]byte(`{"blocked-shards":{"none":1}}`), &decoded), "unknown cause")
}
