package relayer_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/applier"
	"carobthread/parser"
	"carobthread/relayer"
	"carobthread/tracker"
)

// newRelayer returns a relayer of host "a" with the peers b and c, and its state, which holds one object of ticket 5.
func newRelayer() (*relayer.Relayer, *applier.Applier) {
	state := applier.New(applier.Options{})
	host := func(name string) carobthread.Host {
		return carobthread.Host{Name: name, DataCentre: "east", PeerAddress: "10.0.0.1:1", State: carobthread.HostLive}
	}
	core := relayer.New(relayer.Options{
		Self: host("a"), Seeds: []carobthread.Host{host("b"), host("c")}, State: state, Seed: 1,
		DecodeHosts: func([]byte) ([]carobthread.Host, error) { return nil, nil },
	}, carobthread.Instant(time.Hour))
	ticket := carobthread.Ticket{Number: 5, Objects: []carobthread.Object{{
		ID: "searcher/s", Searcher: &carobthread.Searcher{Name: "s", Address: "127.0.0.1:1", DataCentre: "east", Slots: 1, Connections: 1},
	}}}
	state.Step(applier.Event{Arrived: &applier.ValuesArrived{Source: "platform", Values: [][]byte{parser.EncodeTicket(&ticket)[0].Content}}})
	core.Step(relayer.Event{At: carobthread.Instant(time.Hour), Tick: &carobthread.TickArrived{}})
	return core, state
}

// Guards against a peer's request that crashes the host, gets no response or one that cannot be encoded, or rolls the
// configuration back.
func FuzzPeerMessage(f *testing.F) {
	seeds := map[string]any{
		relayer.MethodExchange: relayer.Exchange{Highest: 4, Root: 1, Gossip: tracker.Gossip{Of: 4, Bucket: 1, Repair: true}},
		relayer.MethodPush:     relayer.PushRequest{Root: "b", Sequence: 1, Objects: []byte{1}, Marks: []tracker.SearcherMark{{Searcher: "s", At: 1, Leaving: true}}},
		relayer.MethodJoin:     relayer.JoinRequest{Gossip: tracker.Gossip{Records: []tracker.Record{{Name: "a", DataCentre: "east", Health: tracker.Gone}}}},
		relayer.MethodFetch:    relayer.FetchRequest{IDs: []carobthread.ObjectID{"searcher/s", "x"}, Cursor: -1},
		relayer.MethodCompare:  relayer.CompareRequest{Digest: applier.Digest{Buckets: []uint64{1}}},
		"unknown":              nil,
	}
	for method, params := range seeds {
		body, err := json.Marshal(params)
		assert.NilError(f, err)
		f.Add(method, body)
	}
	f.Fuzz(func(t *testing.T, method string, body []byte) {
		core, state := newRelayer()
		before := state.TicketNumber("searcher/s")
		answered := false
		for _, action := range core.Step(relayer.Event{
			At: carobthread.Instant(time.Hour), Request: &relayer.PeerRequest{From: "b", Method: method, Body: body},
		}) {
			if action.Respond != nil {
				answered = true
				_, err := json.Marshal(action.Respond.Result)
				assert.NilError(t, err)
			}
		}
		assert.Assert(t, answered)
		assert.Assert(t, state.TicketNumber("searcher/s") >= before)
		core.Step(relayer.Event{At: carobthread.Instant(time.Hour + time.Second), Tick: &carobthread.TickArrived{}})
	})
}

// Guards against a reply that crashes the host or changes its configuration, whichever call it answers.
func FuzzPeerReply(f *testing.F) {
	for _, result := range []any{
		relayer.Exchange{Highest: 9, Root: 1, Objects: []byte{3}}, relayer.JoinResponse{Ready: true}, relayer.FetchResponse{Next: 300}, relayer.CompareResponse{Buckets: []int{-1}},
	} {
		body, err := json.Marshal(result)
		assert.NilError(f, err)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		core, state := newRelayer()
		now := carobthread.Instant(time.Hour)
		for range 12 { // long enough for a join, a fetch and an exchange
			now = now.Add(relayer.TickPeriod)
			for _, action := range core.Step(relayer.Event{At: now, Tick: &carobthread.TickArrived{}}) {
				if action.Call != nil {
					core.Step(relayer.Event{At: now, Reply: &relayer.PeerReplied{Call: action.Call.Call, Body: body}})
				}
			}
		}
		assert.Equal(t, state.TicketNumber("searcher/s"), uint64(5))
	})
}
