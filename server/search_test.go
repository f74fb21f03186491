package server_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread"
	"carobthread/gatherer"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/server"
	"carobthread/timer"
)

const testShards = 8

// misroutingUpstream returns the reply of another attempt for one attempt in four.
type misroutingUpstream struct {
	mutex    sync.Mutex
	random   *rand.Rand
	previous *carobthread.ShardReply
}

var _ carobthread.Upstream = (*misroutingUpstream)(nil)

func (upstream *misroutingUpstream) SearchShard(_ context.Context, _ carobthread.Searcher, request *carobthread.ShardRequest) (*carobthread.ShardReply, error) {
	own := &carobthread.ShardReply{
		Attempt: request.Attempt, Shard: request.Shard, Snapshot: 7, Layout: request.Layout,
		Status:        carobthread.ReplyOK,
		Hits:          []carobthread.Hit{{ID: fmt.Sprintf("%s/%d", request.Request.Body, request.Shard), Score: 1}},
		HeldSnapshots: []uint64{7},
	}
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	misrouted := upstream.previous
	upstream.previous = own
	if misrouted != nil && upstream.random.IntN(4) == 0 {
		return misrouted, nil
	}
	return own, nil
}

func (*misroutingUpstream) Report(context.Context, carobthread.Searcher) (*carobthread.ReportArrived, error) {
	return &carobthread.ReportArrived{Healthy: true, HeldSnapshots: []uint64{7}}, nil
}

func startSearch(t *testing.T, upstream carobthread.Upstream) *server.Search {
	t.Helper()
	search := newSearch(t, upstream)
	search.Configure(testConfig())
	return search
}

func newSearch(t *testing.T, upstream carobthread.Upstream) *server.Search {
	t.Helper()
	clock := timer.New()
	core := gatherer.New(1, gatherer.Options{})
	search := server.NewSearch(server.SearchOptions{
		Host: "entry", Decider: core, QueryCore: core, Timer: clock, Upstream: upstream,
		Tracer: noop.NewTracerProvider().Tracer("test"), Meter: server.NewMeter(tally.NoopScope),
	})
	t.Cleanup(clock.Subscribe(time.Millisecond, search))
	return search
}

func testConfig() carobthread.Config {
	config := carobthread.Config{
		Services: []carobthread.Service{{
			Name: "catalogue", Kind: carobthread.KindSearch, Preference: carobthread.CoverageFirst,
			SoftDeadline: time.Second, HardDeadline: 2 * time.Second, CoverageFloor: 1, HedgeQuantile: 0.95, ExtraAttemptRatio: 0.05,
			MaxRequestSize: 64, Layout: 1,
		}},
		Layouts: []carobthread.Layout{{Service: "catalogue", Generation: 1}},
	}
	for shard := range testShards {
		replicas := []string{}
		for replica := range 3 {
			name := fmt.Sprintf("s%d-%d", shard, replica)
			replicas = append(replicas, name)
			config.Searchers = append(config.Searchers, carobthread.Searcher{Name: name, Address: "127.0.0.1:1", DataCentre: "one", Slots: 64, Connections: 64})
		}
		config.Layouts[0].Shards = append(config.Layouts[0].Shards, replicas)
	}
	return config
}

// departureRecorder records the searchers that a Search reports as leaving or gone.
type departureRecorder struct {
	misroutingUpstream
	leaving, forgotten []string
}

var _ server.DepartureHandler = (*departureRecorder)(nil)

func (upstream *departureRecorder) SetLeaving(searcher string, leaving bool) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if leaving {
		upstream.leaving = append(upstream.leaving, searcher)
	}
}

func (upstream *departureRecorder) Forget(searcher string) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.forgotten = append(upstream.forgotten, searcher)
}

// Guards against requests that wait for a connection and are written to a searcher long after it has left, and against
// connections that stay open to searchers that are gone.
func TestSearchReportsLeavingSearchers(t *testing.T) {
	upstream := &departureRecorder{misroutingUpstream: misroutingUpstream{random: rand.New(rand.NewPCG(1, 1))}}
	search := startSearch(t, upstream)
	config := carobthread.Config{Searchers: []carobthread.Searcher{
		{Name: "stays", Address: "127.0.0.1:1", Slots: 1, Connections: 4}, {Name: "drains", Address: "127.0.0.1:2", Slots: 1, Connections: 4, Leaving: true},
	}}
	search.Configure(config)
	upstream.mutex.Lock()
	assert.Assert(t, slices.Contains(upstream.leaving, "drains") && !slices.Contains(upstream.leaving, "stays"))
	assert.Assert(t, slices.Contains(upstream.leaving, "s0-0"), "a searcher that is no longer configured is not reported as leaving")
	upstream.mutex.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		upstream.mutex.Lock()
		defer upstream.mutex.Unlock()
		if !slices.Contains(upstream.forgotten, "s0-0") {
			return poll.Continue("Forget was not called for the removed searcher")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	assert.Assert(t, !slices.Contains(upstream.forgotten, "stays") && !slices.Contains(upstream.forgotten, "drains"))
}

// Guards against requests that wait for a connection and are written to a searcher after its evacuation is complete, although
// no message tells of that moment.
func TestSearchReportsCompleteEvacuations(t *testing.T) {
	clock, upstream := timer.NewManual(carobthread.Instant(time.Hour)), &departureRecorder{}
	core := gatherer.New(1, gatherer.Options{})
	search := server.NewSearch(server.SearchOptions{Decider: core, QueryCore: core, Timer: clock, Upstream: upstream})
	defer search.Schedule(core)()
	search.Configure(carobthread.Config{Searchers: []carobthread.Searcher{
		{Name: "stays", Slots: 1},
		{Name: "now", Slots: 1, Evacuated: true, EvacuationEnd: clock.Now()},
		{Name: "later", Slots: 1, Evacuated: true, EvacuationStart: clock.Now(), EvacuationEnd: clock.Now().Add(900 * time.Millisecond)},
	}})
	clock.Advance(899 * time.Millisecond)
	assert.DeepEqual(t, upstream.leaving, []string{"now"})
	clock.Advance(time.Millisecond)
	assert.Assert(t, slices.Contains(upstream.leaving, "later") && !slices.Contains(upstream.leaving, "stays"), "%v", upstream.leaving)
}

// Guards against a misrouted or duplicate reply that ends up in another caller's answer.
func TestMisroutedRepliesNeverReachAnotherQuery(t *testing.T) {
	search := startSearch(t, &misroutingUpstream{random: rand.New(rand.NewPCG(1, 2))})
	var callers sync.WaitGroup
	for caller := range 50 {
		callers.Go(func() {
			query := fmt.Sprintf("query-%d", caller)
			response, err := search.Search(context.Background(), connect.NewRequest(&carobthreadv1.SearchRequest{Service: "catalogue", Query: []byte(query), Limit: testShards}))
			if err != nil {
				return
			}
			assert.Check(t, int(response.Msg.GetCoverage().GetAnswered()) == len(response.Msg.GetHits()))
			for _, hit := range response.Msg.GetHits() {
				assert.Check(t, strings.HasPrefix(hit.GetId(), query+"/"), "%s got %s", query, hit.GetId())
			}
		})
	}
	callers.Wait()
}

// Guards against invalid requests that are refused late, with an unclear reason or as if they had run.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	search := startSearch(t, &misroutingUpstream{random: rand.New(rand.NewPCG(1, 2))})
	mux := http.NewServeMux()
	mux.Handle(carobthreadv1connect.NewQueryServiceHandler(server.NewQueryHandler(search, nil)))
	httpServer := httptest.NewServer(mux)
	defer httpServer.Close()
	client := carobthreadv1connect.NewQueryServiceClient(httpServer.Client(), httpServer.URL)
	cases := []struct {
		request *carobthreadv1.SearchRequest
		code    connect.Code
		reason  carobthread.Reason
	}{
		{&carobthreadv1.SearchRequest{Service: "nowhere"}, connect.CodeNotFound, carobthread.ReasonUnknownService},
		{&carobthreadv1.SearchRequest{Service: "catalogue", DeadlineUs: 1}, connect.CodeDeadlineExceeded, carobthread.ReasonDeadlinePassed},
		{&carobthreadv1.SearchRequest{Service: "catalogue", Query: make([]byte, 65)}, connect.CodeResourceExhausted, carobthread.ReasonTooLarge},
	}
	for _, bad := range cases {
		_, err := client.Search(context.Background(), connect.NewRequest(bad.request))
		failure := server.RequestErrorOf(err)
		assert.Equal(t, connect.CodeOf(err), bad.code)
		assert.Equal(t, failure.State, carobthread.NotRun)
		assert.Equal(t, failure.Reason, bad.reason)
	}
}

// departingUpstream answers every attempt; the first searcher that it is called for says in each answer that it leaves.
type departingUpstream struct {
	mutex     sync.Mutex
	departing string
	counts    map[string]int
}

func (upstream *departingUpstream) SearchShard(_ context.Context, searcher carobthread.Searcher, request *carobthread.ShardRequest) (*carobthread.ShardReply, error) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.counts[searcher.Name]++
	upstream.departing = cmp.Or(upstream.departing, searcher.Name)
	leaving := searcher.Name == upstream.departing
	return &carobthread.ShardReply{
		Attempt: request.Attempt, Shard: request.Shard, Snapshot: 7, Layout: request.Layout, Status: carobthread.ReplyOK, HeldSnapshots: []uint64{7},
		Draining: leaving, Backpressure: &carobthread.Backpressure{Leaving: leaving}, Load: &carobthread.Load{Slots: 64},
	}, nil
}

// Guards against requests to a searcher that has said in an answer that it leaves, although its entry does not say so, is
// registered anew with each configuration, and is missing in between.
func TestSearchLeavesDepartingSearcherAlone(t *testing.T) {
	const queries = 30
	upstream := &departingUpstream{counts: map[string]int{}}
	search := newSearch(t, upstream)
	config := testConfig()
	search.Configure(config)
	run := func() {
		for range queries {
			_, err := search.Search(t.Context(), connect.NewRequest(&carobthreadv1.SearchRequest{Service: "catalogue"}))
			assert.NilError(t, err)
		}
	}
	run()
	reached := func() int {
		upstream.mutex.Lock()
		defer upstream.mutex.Unlock()
		return upstream.counts[upstream.departing]
	}
	before := reached()
	assert.Equal(t, before, 1)
	search.Configure(config)
	run()
	withoutSearcher := config
	withoutSearcher.Searchers = slices.DeleteFunc(slices.Clone(config.Searchers), func(searcher carobthread.Searcher) bool {
		return searcher.Name == upstream.departing
	})
	search.Configure(withoutSearcher)
	time.Sleep(carobthread.DrainHoldTime + 2*time.Second) // the query core forgets a searcher within that time
	search.Configure(config)
	run()
	assert.Equal(t, reached(), before)
}
