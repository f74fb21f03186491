package server_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/caller"
	"carobthread/gatherer"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/server"
	"carobthread/timer"
)

const (
	benchFanOut      = 30
	benchCallers     = 16
	benchConnections = 16
	// benchSlots lets all callers reach every searcher at the same time, as in the bare fan-out.
	benchSlots = 64
	// benchDeadline is long, since admission control refuses queries that a busy machine cannot answer in time.
	benchDeadline = 10 * time.Second
	// benchRound is the number of queries of one round.
	benchRound = 480
)

// echoSearcher replies immediately, so that only the cost of the fan-out is measured.
type echoSearcher struct {
	carobthreadv1connect.UnimplementedSearcherServiceHandler
}

func (*echoSearcher) SearchShard(_ context.Context, request *connect.Request[carobthreadv1.SearchShardRequest]) (*connect.Response[carobthreadv1.SearchShardResponse], error) {
	return connect.NewResponse(&carobthreadv1.SearchShardResponse{
		Attempt:       request.Msg.GetAttempt(),
		Shard:         request.Msg.GetShard(),
		Snapshot:      1,
		Layout:        request.Msg.GetLayout(),
		Status:        carobthreadv1.ShardStatus_SHARD_STATUS_OK,
		Hits:          []*carobthreadv1.Hit{{Id: "a", Score: 1}},
		HeldSnapshots: []uint64{1},
	}), nil
}

// bareFanOut calls every searcher for each query and concatenates the hits.
type bareFanOut struct {
	carobthreadv1connect.UnimplementedQueryServiceHandler
	clients []carobthreadv1connect.SearcherServiceClient
}

func (bare *bareFanOut) Search(ctx context.Context, request *connect.Request[carobthreadv1.SearchRequest]) (*connect.Response[carobthreadv1.SearchResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, benchDeadline)
	defer cancel()
	replies := make([]*carobthreadv1.SearchShardResponse, len(bare.clients))
	var calls sync.WaitGroup
	for shard, client := range bare.clients {
		calls.Go(func() {
			reply, err := client.SearchShard(ctx, connect.NewRequest(&carobthreadv1.SearchShardRequest{Shard: uint32(shard), Query: request.Msg.GetQuery()}))
			if err == nil {
				replies[shard] = reply.Msg
			}
		})
	}
	calls.Wait()
	response := &carobthreadv1.SearchResponse{Coverage: &carobthreadv1.Coverage{Total: uint32(len(replies))}}
	for _, reply := range replies {
		if reply != nil {
			response.Hits = append(response.Hits, reply.GetHits()...)
			response.Coverage.Answered++
		}
	}
	return connect.NewResponse(response), nil
}

func startQueryService(b *testing.B, handler carobthreadv1connect.QueryServiceHandler) carobthreadv1connect.QueryServiceClient {
	b.Helper()
	mux := http.NewServeMux()
	mux.Handle(carobthreadv1connect.NewQueryServiceHandler(handler))
	httpServer := httptest.NewServer(mux)
	b.Cleanup(httpServer.Close)
	transport := &http.Transport{MaxIdleConnsPerHost: benchCallers}
	b.Cleanup(transport.CloseIdleConnections)
	return carobthreadv1connect.NewQueryServiceClient(&http.Client{Transport: transport}, httpServer.URL)
}

func startEchoSearchers(b *testing.B) carobthread.Config {
	b.Helper()
	config := carobthread.Config{Services: []carobthread.Service{{
		Name: "bench", Kind: carobthread.KindSearch, Preference: carobthread.CoverageFirst,
		SoftDeadline: benchDeadline, HardDeadline: benchDeadline, CoverageFloor: 1, HedgeQuantile: 0.99, ExtraAttemptRatio: 0.05, Layout: 1,
	}}}
	layout := carobthread.Layout{Service: "bench", Generation: 1}
	for shard := range benchFanOut {
		mux := http.NewServeMux()
		mux.Handle(carobthreadv1connect.NewSearcherServiceHandler(&echoSearcher{}))
		searcher := httptest.NewServer(mux)
		b.Cleanup(searcher.Close)
		name := fmt.Sprintf("searcher-%d", shard)
		config.Searchers = append(config.Searchers, carobthread.Searcher{
			Name: name, Address: searcher.Listener.Addr().String(), DataCentre: "one", Slots: benchSlots, Connections: benchConnections,
		})
		layout.Shards = append(layout.Shards, []string{name})
	}
	config.Layouts = []carobthread.Layout{layout}
	return config
}

// processTime returns the CPU time of this process so far, including that of callers and searchers.
func processTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// rates sums the measurements of all rounds of one client.
type rates struct {
	queriesPerSecond float64
	cpuTime          time.Duration
}

func (sum *rates) round(b *testing.B, client carobthreadv1connect.QueryServiceClient) {
	b.Helper()
	before := processTime(b)
	sum.queriesPerSecond += queryRate(b, client)
	sum.cpuTime += processTime(b) - before
}

// microsPerSubRequest returns the mean CPU time per sub-request in microseconds.
func (sum *rates) microsPerSubRequest(rounds int) float64 {
	return float64(sum.cpuTime.Microseconds()) / float64(rounds*benchRound*benchFanOut)
}

// queryRate sends queries from concurrent callers and returns the complete answers per second.
func queryRate(b *testing.B, client carobthreadv1connect.QueryServiceClient) float64 {
	b.Helper()
	started := time.Now()
	var callers sync.WaitGroup
	for range benchCallers {
		callers.Go(func() {
			for range benchRound / benchCallers {
				response, err := client.Search(context.Background(), connect.NewRequest(&carobthreadv1.SearchRequest{Service: "bench", Query: []byte("q")}))
				if err != nil || response.Msg.GetCoverage().GetAnswered() != benchFanOut {
					b.Errorf("incomplete answer: %v %v", response, err)
					return
				}
			}
		})
	}
	callers.Wait()
	return float64(benchRound) / time.Since(started).Seconds()
}

// BenchmarkFanOut compares the throughput and CPU time of one entry host with those of a bare connect fan-out.
func BenchmarkFanOut(b *testing.B) {
	config := startEchoSearchers(b)
	bare := &bareFanOut{}
	transport := &http.Transport{MaxIdleConnsPerHost: benchConnections, MaxConnsPerHost: benchConnections}
	for _, searcher := range config.Searchers {
		bare.clients = append(bare.clients, carobthreadv1connect.NewSearcherServiceClient(&http.Client{Transport: transport}, "http://"+searcher.Address))
	}
	clock := timer.New()
	upstream := caller.New(caller.Options{Connections: benchConnections})
	b.Cleanup(upstream.Close)
	core := gatherer.New(1, gatherer.Options{})
	search := server.NewSearch(server.SearchOptions{
		Host:      "entry",
		Decider:   core,
		QueryCore: core,
		Timer:     clock,
		Upstream:  upstream,
		Tracer:    noop.NewTracerProvider().Tracer("bench"),
		Meter:     server.NewMeter(tally.NoopScope),
	})
	search.Configure(config)
	stop := clock.Subscribe(time.Millisecond, search)
	defer stop()
	tierClient := startQueryService(b, server.NewQueryHandler(search, nil))
	bareClient := startQueryService(b, bare)
	queryRate(b, bareClient)
	queryRate(b, tierClient)
	var bareRates, tierRates rates
	rounds := 0
	for b.Loop() {
		bareRates.round(b, bareClient)
		tierRates.round(b, tierClient)
		rounds++
	}
	b.ReportMetric(bareRates.queriesPerSecond/float64(rounds), "bare-queries/s")
	b.ReportMetric(tierRates.queriesPerSecond/float64(rounds), "tier-queries/s")
	b.ReportMetric(tierRates.queriesPerSecond/bareRates.queriesPerSecond, "ratio")
	b.ReportMetric(bareRates.microsPerSubRequest(rounds), "bare-cpu-us/sub-request")
	b.ReportMetric(tierRates.microsPerSubRequest(rounds), "tier-cpu-us/sub-request")
}
