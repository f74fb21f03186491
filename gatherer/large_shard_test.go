package gatherer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/gatherer"
)

// largeShard returns a configuration with one shard of many replicas, whose queries may reach the given number of them.
func largeShard(replicas, maxSearchers int) carobthread.Config {
	config := fleet(1, 100)
	config.Services[0].MaxSearchers, config.Services[0].FloorRequired = maxSearchers, true
	config.Services[0].HardDeadline, config.Services[0].SoftDeadline = time.Second, time.Second
	config.RetryBudget = carobthread.RetryBudget{Ratio: 0.2, Slack: 1e9, Window: 10 * time.Second}
	config.Layouts[0].Groups = []string{"group"}
	config.Searchers, config.Layouts[0].Shards[0] = nil, nil
	for replica := range replicas {
		name := fmt.Sprintf("s%d", replica)
		config.Layouts[0].Shards[0] = append(config.Layouts[0].Shards[0], name)
		config.Searchers = append(config.Searchers, carobthread.Searcher{Name: name, DataCentre: "dc0", Slots: 100, Connections: 100})
	}
	return config
}

// maxSeenAttempts is the number of attempts after which a query is not followed any further.
const maxSeenAttempts = 5000

// failingQuery runs a query whose attempts all end with the status and returns the searchers that they were sent to, in order.
func failingQuery(core *gatherer.Gatherer, now *carobthread.Instant, id carobthread.QueryID, status carobthread.ReplyStatus) (searchers []string) {
	events := []carobthread.Event{{At: *now, Query: &carobthread.QueryArrived{Query: id, Service: "matching"}}}
	for answered := false; !answered && len(searchers) < maxSeenAttempts; events = events[1:] {
		for _, action := range core.Step(events[0]) {
			switch {
			case action.Send != nil:
				searchers = append(searchers, action.Send.Searcher)
				reply := replyTo(action.Send)
				reply.Searcher, reply.Status = action.Send.Searcher, status
				events = append(events, carobthread.Event{At: *now, Reply: &reply})
			case action.Answer != nil, action.Refuse != nil:
				answered = true
			}
		}
		if len(events) == 1 && !answered {
			*now = now.Add(5 * time.Millisecond)
			events = append(events, carobthread.Event{At: *now, Tick: &carobthread.TickArrived{}})
		}
	}
	return searchers
}

func distinct(names []string) int {
	seen := map[string]bool{}
	for _, name := range names {
		seen[name] = true
	}
	return len(seen)
}

// Guards against a request that is sent to more searchers than its route permits because the shard has more of them than the
// set of those reached can tell apart.
func TestSearcherLimitHoldsInLargeShards(t *testing.T) {
	const queries = 100
	for _, replicas := range []int{3, 63, 64, 65, 78, 128, 129, 300} {
		for _, limit := range []int{1, 2, 3, 5} {
			for _, status := range []carobthread.ReplyStatus{carobthread.ReplyFailed, carobthread.ReplyShed} {
				core, now := gatherer.New(1, gatherer.Options{}), carobthread.Instant(time.Hour)
				core.Step(carobthread.Event{At: now, Config: &carobthread.ConfigChanged{Config: largeShard(replicas, limit)}})
				core.Step(carobthread.Event{At: now, View: &carobthread.ViewChanged{View: carobthread.View{Self: "a", Hosts: []carobthread.Host{{Name: "a", DataCentre: "dc0"}}}}})
				over := 0
				for query := range queries {
					if distinct(failingQuery(core, &now, carobthread.QueryID(query+1), status)) > limit {
						over++
					}
					now = now.Add(10 * time.Second) // ends ejections
				}
				assert.Check(t, over == 0, "%d replicas, at most %d searchers, %s: %d of %d queries reached more", replicas, limit, status, over, queries)
			}
		}
	}
}

// Guards against replicas of a large shard that are passed over because another one was tried before, so that a query is given
// up, or sent to a searcher again, while others can take it.
func TestEachReplicaOfLargeShardIsTriedOnce(t *testing.T) {
	const replicas = 300
	core, now := gatherer.New(1, gatherer.Options{}), carobthread.Instant(time.Hour)
	core.Step(carobthread.Event{At: now, Config: &carobthread.ConfigChanged{Config: largeShard(replicas, 0)}})
	searchers := failingQuery(core, &now, 1, carobthread.ReplyNotSent)
	assert.Assert(t, len(searchers) >= replicas, "%d attempts", len(searchers))
	assert.Equal(t, distinct(searchers[:replicas]), replicas)
}

// Guards against a query that sends attempts without a pause, until its deadline, while every searcher of a shard refuses
// connections.
func TestAttemptsPauseWhenNoSearcherIsReached(t *testing.T) {
	core, now := gatherer.New(1, gatherer.Options{}), carobthread.Instant(time.Hour)
	core.Step(carobthread.Event{At: now, Config: &carobthread.ConfigChanged{Config: largeShard(3, 2)}})
	searchers := failingQuery(core, &now, 1, carobthread.ReplyNotSent)
	assert.Assert(t, len(searchers) < maxSeenAttempts, "%d attempts", len(searchers))
}

// Guards against a query that begins to count the searchers it was sent to anew when it moves to a layout with other searchers
// of the same shard.
func TestSearcherLimitHoldsOverMoves(t *testing.T) {
	for _, limit := range []int{1, 2} {
		core, now := gatherer.New(1, gatherer.Options{}), carobthread.Instant(time.Hour)
		before := largeShard(limit, limit)
		core.Step(carobthread.Event{At: now, Config: &carobthread.ConfigChanged{Config: before}})
		for id := range carobthread.QueryID(200) { // fills the budget of moves
			for _, action := range core.Step(carobthread.Event{At: now, Query: &carobthread.QueryArrived{Query: id + 2, Service: "matching"}}) {
				reply := replyTo(action.Send)
				core.Step(carobthread.Event{At: now, Reply: &reply})
			}
		}
		reached := map[string]bool{}
		var last *carobthread.SendAttempt
		step := func(event carobthread.Event) {
			event.At = now
			for _, action := range core.Step(event) {
				if action.Send != nil {
					last = action.Send
					reached[last.Searcher] = true
				}
			}
		}
		fail := func() {
			reply := replyTo(last)
			reply.Searcher, reply.Status = last.Searcher, carobthread.ReplyFailed
			step(carobthread.Event{Reply: &reply})
		}
		step(carobthread.Event{Query: &carobthread.QueryArrived{Query: 1, Service: "matching"}})
		for range limit - 1 {
			fail()
		}
		assert.Equal(t, len(reached), limit)
		after := largeShard(limit+3, limit)
		after.Services[0].Layout, after.Layouts[0].Generation = 2, 2
		after.Layouts[0].Shards[0] = after.Layouts[0].Shards[0][limit:]
		after.Searchers = after.Searchers[limit:]
		step(carobthread.Event{Config: &carobthread.ConfigChanged{Config: after}})
		fail()
		for range 100 {
			now = now.Add(5 * time.Millisecond)
			step(carobthread.Event{Tick: &carobthread.TickArrived{}})
		}
		assert.Equal(t, len(reached), limit, "a query that may reach %d searchers reached %v", limit, reached)
	}
}
