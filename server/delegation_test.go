package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/delegator"
	"carobthread/gatherer"
	"carobthread/server"
	"carobthread/timer"
)

// signingUpstream answers each attempt at once with a signed record and counts the attempts.
type signingUpstream struct {
	mutex    sync.Mutex
	attempts int
	// silent is a shard without replies, failing one whose first attempt fails, if they are not 0.
	silent, failing uint32
}

func (upstream *signingUpstream) SearchShard(ctx context.Context, searcher carobthread.Searcher, request *carobthread.ShardRequest) (*carobthread.ShardReply, error) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.attempts++
	if upstream.silent != 0 && request.Shard == upstream.silent {
		upstream.mutex.Unlock()
		<-ctx.Done()
		upstream.mutex.Lock()
		return nil, ctx.Err()
	}
	if upstream.failing != 0 && request.Shard == upstream.failing {
		upstream.failing = 0
		return nil, &carobthread.RequestError{State: carobthread.MayHaveRun, Reason: carobthread.ReasonUpstreamFailed}
	}
	return &carobthread.ShardReply{
		Attempt: request.Attempt, Shard: request.Shard, Layout: request.Layout, Status: carobthread.ReplyOK,
		HTTP: &carobthread.HTTPReply{Signature: request.Request.ID + "@" + searcher.Name, Body: []byte(fmt.Sprintf("record-%09d", request.Shard))},
	}, nil
}

func (upstream *signingUpstream) count() int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.attempts
}

// shardedConfig returns a route over shards of version 1 of the routing table, whose retry budget has the given slack.
func shardedConfig(slack float64) carobthread.Config {
	config := testConfig()
	config.Services[0].Preference, config.Services[0].FloorRequired, config.Services[0].MaxSearchers = carobthread.LatencyFirst, true, 2
	config.RetryBudget = carobthread.RetryBudget{Slack: slack, Window: 10 * time.Second}
	config.Layouts[0].Definition = 1
	for shard := range config.Layouts[0].Shards {
		config.Layouts[0].Groups = append(config.Layouts[0].Groups, fmt.Sprintf("group-%d", shard))
	}
	return config
}

func scheduledSearch(clock carobthread.Timer, upstream carobthread.Upstream, config carobthread.Config) *server.Search {
	core := gatherer.New(1, gatherer.Options{})
	search := server.NewSearch(server.SearchOptions{
		Host: "host", Decider: core, QueryCore: core, Timer: clock, Upstream: upstream,
		Tracer: noop.NewTracerProvider().Tracer("test"), Meter: server.NewMeter(tally.NoopScope),
	})
	search.Configure(config)
	search.Schedule(core)
	return search
}

// fakeLink passes calls and messages to the function of a test.
type fakeLink struct {
	call  func(ctx context.Context, params, result any) error
	mutex sync.Mutex
	sent  []string
}

func (link *fakeLink) Call(ctx context.Context, _, _ string, params, result any) error {
	return link.call(ctx, params, result)
}

func (link *fakeLink) Notify(_, method string, _ any) error {
	return link.NotifyCaller(context.Background(), method, nil)
}

func (link *fakeLink) NotifyCaller(_ context.Context, method string, _ any) error {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.sent = append(link.sent, method)
	return nil
}

// Guards against a coordinator that runs queries which waited while its process was paused, that were cancelled, that are for
// another version of the routing table or that arrive while it stops, and against an answer without its true coverage.
func TestCoordinationRefusesWhatItMayNotRun(t *testing.T) {
	clock, upstream, link := timer.NewManual(carobthread.Instant(time.Hour)), &signingUpstream{}, &fakeLink{}
	reason := carobthread.Reason("")
	coordination := server.NewCoordination(server.CoordinationOptions{
		Search: scheduledSearch(clock, upstream, shardedConfig(0)), Notifier: link, Timer: clock, Accepts: func() carobthread.Reason { return reason },
	})
	defer coordination.Close()
	router := &server.PeerRouter{Coordination: coordination}
	delegate := func(id, definition int) (string, carobthread.Reason) {
		message := fmt.Sprintf(`{"id":%d,"request":"r","service":"catalogue","version":1,"definition":%d,"method":"GET","target":"/","host":"h","top-k":2,"left-us":600000,"target-left-us":200000}`, id, definition)
		result, err := router.Handle(t.Context(), "entry", server.MethodDelegate, json.RawMessage(message))
		if err != nil {
			var failure *carobthread.RequestError
			assert.Assert(t, errors.As(err, &failure) && failure.State == carobthread.NotRun, "%v", err)
			return "", failure.Reason
		}
		content, err := json.Marshal(result)
		assert.NilError(t, err)
		return string(content), ""
	}
	answer, _ := delegate(1, 1)
	assert.Check(t, strings.Contains(answer, `"answered":8,"total":8`) && strings.Count(answer, "r@s") == 8, answer)
	assert.DeepEqual(t, link.sent, []string{server.MethodDelegateAccepted})
	before := upstream.count()

	clock.Pause(time.Second)
	_, refused := delegate(2, 1)
	assert.Equal(t, refused, carobthread.ReasonDeadlinePassed)
	clock.Advance(200 * time.Millisecond)
	_, refused = delegate(3, 2)
	assert.Equal(t, refused, carobthread.ReasonLayoutMissing)
	router.HandleNotification("entry", server.MethodDelegateCancel, json.RawMessage(`{"id":4}`))
	_, refused = delegate(4, 1)
	assert.Equal(t, refused, carobthread.ReasonTimeout)
	reason = carobthread.ReasonStopping
	_, refused = delegate(5, 1)
	assert.Equal(t, refused, carobthread.ReasonStopping)
	_, err := router.Handle(t.Context(), "entry", server.MethodDelegate, json.RawMessage(`{"id":"x"}`))
	assert.ErrorContains(t, err, string(carobthread.ReasonMalformed))
	router.HandleNotification("entry", server.MethodDelegateGrant, json.RawMessage(`[`))
	assert.Equal(t, upstream.count(), before)
	assert.Equal(t, coordination.Stats().Running, 0)

	reason = ""
	answer, _ = delegate(6, 1)
	assert.Check(t, strings.Contains(answer, `"answered":8`), answer)
}

// Guards against a query that its coordinator may have run and that is then refused as not run, and against one that this host
// does not handle although its coordinator has proved that it has not run.
func TestDelegationStatesNotRunOnlyWithProof(t *testing.T) {
	for _, state := range []carobthread.RunState{carobthread.MayHaveRun, carobthread.NotRun} {
		clock, upstream := timer.NewManual(carobthread.Instant(time.Hour)), &signingUpstream{}
		link := &fakeLink{call: func(context.Context, any, any) error {
			return &carobthread.RequestError{State: state, Reason: carobthread.ReasonConnectionLost}
		}}
		small := carobthread.Host{Name: "small", DataCentre: "one", State: carobthread.HostLive, Capacity: 0.2}
		large := carobthread.Host{Name: "large", DataCentre: "one", State: carobthread.HostLive, Capacity: 0.8}
		config := shardedConfig(0) // the budget permits no repeated query
		delegation := server.NewDelegation(server.DelegationOptions{
			Self: small, Search: scheduledSearch(clock, upstream, config), Core: delegator.New(delegator.Options{}), Peers: link, Notifier: link, Timer: clock,
		})
		delegation.Configure(&config)
		delegation.SetView(carobthread.View{Self: "small", Hosts: []carobthread.Host{large, small}})
		outcome, err := delegation.RunQuery(t.Context(), server.Query{
			Request:  &carobthread.Request{ID: "r", Service: "catalogue", HTTP: &carobthread.HTTPRequest{Method: "GET"}},
			Deadline: clock.Now().Add(time.Second), Version: 1,
		})
		assert.NilError(t, err)
		assert.Assert(t, outcome.Refusal == nil, "%+v", outcome.Refusal)
		assert.Equal(t, len(outcome.Delegations), 1)
		if state == carobthread.NotRun {
			assert.Equal(t, outcome.Answer.Coverage.Answered, uint32(testShards))
			assert.Equal(t, outcome.Delegations[0].End, "refused")
		} else {
			assert.Check(t, outcome.Answer.Failed && !outcome.Answer.NotRun, "%+v", outcome.Answer)
			assert.Equal(t, outcome.Answer.Coverage.Missing[0].Reason, carobthread.ReasonRetryBudget)
			assert.Equal(t, upstream.count(), 0)
		}
		delegation.Close()
	}
}

// Guards against a delegated answer whose coverage, missing shards or signatures differ from the coordinator's, and against a
// grant that does not reach it at once when a first attempt has failed.
func TestDelegatedAnswerStatesCoordinatorsCoverage(t *testing.T) {
	clock, upstream := timer.NewManual(carobthread.Instant(time.Hour)), &signingUpstream{silent: 3, failing: 5}
	config := shardedConfig(800)
	config.Services[0].CoverageFloor = 0.5
	small := carobthread.Host{Name: "small", DataCentre: "one", State: carobthread.HostLive, Capacity: 0.2}
	large := carobthread.Host{Name: "large", DataCentre: "one", State: carobthread.HostLive, Capacity: 0.8}
	router := &server.PeerRouter{}
	link := &routedLink{router: router}
	link.call = func(ctx context.Context, params, result any) error {
		content, err := json.Marshal(params)
		assert.NilError(t, err)
		answer, err := router.Handle(ctx, "small", server.MethodDelegate, content)
		if err != nil {
			return err
		}
		content, err = json.Marshal(answer)
		assert.NilError(t, err)
		return json.Unmarshal(content, result)
	}
	router.Coordination = server.NewCoordination(server.CoordinationOptions{
		Search: scheduledSearch(clock, upstream, config), Notifier: link, Timer: clock, Accepts: func() carobthread.Reason { return "" },
	})
	defer router.Coordination.Close()
	router.Delegation = server.NewDelegation(server.DelegationOptions{
		Self: small, Search: scheduledSearch(clock, &signingUpstream{}, config), Core: delegator.New(delegator.Options{}), Peers: link, Notifier: link, Timer: clock,
	})
	router.Delegation.Configure(&config)
	router.Delegation.SetView(carobthread.View{Self: "small", Hosts: []carobthread.Host{large, small}})
	outcomes := make(chan server.Outcome)
	go func() {
		outcome, _ := router.Delegation.RunQuery(t.Context(), server.Query{
			Request:  &carobthread.Request{ID: "r", Service: "catalogue", HTTP: &carobthread.HTTPRequest{Method: "GET"}},
			Deadline: clock.Now().Add(2 * time.Second), Version: 1, TopK: 2,
		})
		outcomes <- outcome
	}()
	for {
		select {
		case outcome := <-outcomes:
			answer := outcome.Answer
			assert.Check(t, answer.Coverage.Answered == testShards-1 && answer.Coverage.Total == testShards && !answer.Failed, "%+v", answer)
			assert.DeepEqual(t, answer.Coverage.Missing, []carobthread.MissingShard{{Shard: 3, Reason: carobthread.ReasonTimeout}})
			assert.Equal(t, strings.Count(outcome.Merged.Signatures, "r@s"), testShards-1)
			assert.Equal(t, string(outcome.Merged.Body), "record-000000007record-000000006")
			try := outcome.Delegations[0]
			assert.Check(t, try.GrantedAt.Sub(try.At) <= time.Millisecond && try.End == "answered", "%+v", try)
			router.Delegation.Close()
			return
		case <-time.After(time.Millisecond):
			if link.accepted.Load() > 1 {
				clock.Advance(5 * time.Millisecond)
			}
		}
	}
}

// routedLink passes notifications to a router, as if from the other end.
type routedLink struct {
	fakeLink
	router *server.PeerRouter
	// accepted counts the acceptances that have been processed.
	accepted atomic.Int64
}

func (link *routedLink) Notify(_, method string, params any) error {
	return link.notify("small", method, params)
}

func (link *routedLink) NotifyCaller(_ context.Context, method string, params any) error {
	return link.notify("large", method, params)
}

func (link *routedLink) notify(peer, method string, params any) error {
	content, err := json.Marshal(params)
	if err == nil {
		link.router.HandleNotification(peer, method, content)
		if method == server.MethodDelegateAccepted {
			link.accepted.Add(1)
		}
	}
	return err
}
