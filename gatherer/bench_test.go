package gatherer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carobthread"
	"carobthread/gatherer"
)

// fleet returns a configuration with one service and three replicas per shard, one in each data centre.
func fleet(shards, slots int) carobthread.Config {
	config := carobthread.Config{Services: []carobthread.Service{{
		Name: "matching", Kind: carobthread.KindSearch, Preference: carobthread.LatencyFirst,
		SoftDeadline: 100 * time.Millisecond, HardDeadline: 160 * time.Millisecond, CoverageFloor: 0.9, Layout: 1,
	}}}
	layout := carobthread.Layout{Service: "matching", Generation: 1}
	for shard := range shards {
		names := []string{}
		for replica := range 3 {
			name := fmt.Sprintf("s%d-%d", shard, replica)
			names = append(names, name)
			config.Searchers = append(config.Searchers, carobthread.Searcher{
				Name: name, DataCentre: fmt.Sprint("dc", replica), Slots: slots, Connections: 30,
			})
		}
		layout.Shards = append(layout.Shards, names)
	}
	config.Layouts = append(config.Layouts, layout)
	return config
}

func withoutSearcher(config carobthread.Config, name string) carobthread.Config {
	config.Searchers = slices.DeleteFunc(config.Searchers, func(searcher carobthread.Searcher) bool { return searcher.Name == name })
	return config
}

// BenchmarkDecision measures the cost per sub-request: its reply and its share of the query's arrival and answer.
func BenchmarkDecision(b *testing.B) {
	for _, fanOut := range []int{10, 30, 120} {
		b.Run(fmt.Sprint("fan-out=", fanOut), func(b *testing.B) { benchmarkDecision(b, fanOut) })
	}
}

func benchmarkDecision(b *testing.B, fanOut int) {
	const inFlight = 4
	core := gatherer.New(1, gatherer.Options{})
	core.Step(carobthread.Event{At: 1, Config: &carobthread.ConfigChanged{Config: fleet(fanOut, 8)}})
	now := carobthread.Instant(time.Second)
	arrived := carobthread.QueryArrived{Service: "matching"}
	reply := carobthread.ReplyArrived{Snapshot: 8, Layout: 1, Status: carobthread.ReplyOK, HeldSnapshots: []uint64{7, 8}}
	sends := make([]*carobthread.SendAttempt, 0, inFlight*fanOut)
	b.ReportAllocs()
	b.ResetTimer()
	for decisions := 0; decisions < b.N; decisions += inFlight * fanOut {
		sends = sends[:0]
		for range inFlight {
			arrived.Query++
			for _, action := range core.Step(carobthread.Event{At: now, Query: &arrived}) {
				sends = append(sends, action.Send)
			}
		}
		for i, send := range sends {
			now += 20_000
			if i%64 == 0 {
				core.Step(carobthread.Event{At: now, Tick: &carobthread.TickArrived{}})
			}
			reply.Query, reply.Attempt, reply.Shard = send.Query, send.Attempt, send.Shard
			core.Step(carobthread.Event{At: now, Reply: &reply})
		}
	}
}
