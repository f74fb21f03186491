package gatherer_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/gatherer"
)

// Guards against an explanation that changes a later decision, or that names a searcher which queries don't go to.
func TestExplanationMatchesAndChangesNoDecision(t *testing.T) {
	const queries = 200
	config := carobthread.Config{Services: []carobthread.Service{{
		Name: "s", Kind: carobthread.KindSearch, HardDeadline: time.Second, SoftDeadline: 300 * time.Millisecond, Layout: 1,
	}}}
	layout := carobthread.Layout{Service: "s", Generation: 1, Shards: make([][]string, 2)}
	for index := range 4 {
		name := fmt.Sprint("searcher-", index)
		config.Searchers = append(config.Searchers, carobthread.Searcher{Name: name, DataCentre: "one", Slots: 2, Connections: 8, Leaving: index == 3})
		layout.Shards[index%2] = append(layout.Shards[index%2], name)
	}
	config.Layouts = []carobthread.Layout{layout}
	run := func(explain bool) (decisions []string) {
		core := gatherer.New(1, gatherer.Options{})
		now := carobthread.Instant(time.Hour)
		step := func(event carobthread.Event) []carobthread.Action {
			event.At = now
			return core.Step(event)
		}
		step(carobthread.Event{View: &carobthread.ViewChanged{View: carobthread.View{Self: "h", Hosts: []carobthread.Host{{Name: "h", DataCentre: "one"}}}}})
		step(carobthread.Event{Config: &carobthread.ConfigChanged{Config: config}})
		step(carobthread.Event{Reply: &carobthread.ReplyArrived{Searcher: "searcher-0", Backpressure: &carobthread.Backpressure{RateLimit: 30}}})
		for id := range carobthread.QueryID(queries) {
			now = now.Add(7 * time.Millisecond)
			step(carobthread.Event{Tick: &carobthread.TickArrived{}}) // ends what is due, as the timer does
			var placement carobthread.Placement
			if explain {
				var known bool
				placement, known = core.Explain(now, "s")
				assert.Assert(t, known)
			}
			actions := step(carobthread.Event{Query: &carobthread.QueryArrived{Query: id + 1, Service: "s"}})
			for _, action := range actions {
				if action.Send == nil {
					continue
				}
				if explain && action.Send.Query == id+1 && action.Send.Shard == 1 { // a single usable replica
					assert.Equal(t, placement.Shards[1].Chosen, action.Send.Searcher)
					assert.Equal(t, placement.Shards[1].Class, action.Send.Inputs.Class)
				}
				if id%5 != 0 { // the others stay in flight
					step(carobthread.Event{Reply: &carobthread.ReplyArrived{
						Query: id + 1, Attempt: action.Send.Attempt, Shard: action.Send.Shard, Searcher: action.Send.Searcher,
						Layout: 1, Status: carobthread.ReplyOK,
					}})
				}
			}
			text, err := json.Marshal(actions)
			assert.NilError(t, err)
			decisions = append(decisions, string(text))
		}
		return decisions
	}
	assert.DeepEqual(t, run(true), run(false))
}
