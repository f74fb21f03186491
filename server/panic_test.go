package server_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/executor"
	"carobthread/gatherer"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/server"
	"carobthread/timer"
)

// panicBody is the body of the request at which the components of these tests panic.
const panicBody = "panic"

// panickingUpstream panics in each attempt of the request with panicBody.
type panickingUpstream struct{ misroutingUpstream }

func (upstream *panickingUpstream) SearchShard(_ context.Context, _ carobthread.Searcher, request *carobthread.ShardRequest) (*carobthread.ShardReply, error) {
	if string(request.Request.Body) == panicBody {
		panic("malformed reply")
	}
	return &carobthread.ShardReply{
		Attempt: request.Attempt, Shard: request.Shard, Snapshot: 7, Layout: request.Layout, Status: carobthread.ReplyOK,
	}, nil
}

// Guards against one malformed reply that ends the whole process.
func TestPanicInAttemptEndsItsQueryAlone(t *testing.T) {
	search := startSearch(t, &panickingUpstream{})
	outcome, err := search.RunQuery(t.Context(), query(panicBody))
	assert.NilError(t, err)
	assert.Assert(t, outcome.Answer == nil || outcome.Answer.Coverage.Answered == 0)
	outcome, err = search.RunQuery(t.Context(), query("good"))
	assert.NilError(t, err)
	assert.Equal(t, outcome.Answer.Coverage.Answered, uint32(testShards))
	assert.NilError(t, search.Wait(t.Context()))
}

func query(body string) server.Query {
	return server.Query{Request: &carobthread.Request{Service: "catalogue", Body: []byte(body)}}
}

// panickingDecider panics at queries of the size of panicBody.
type panickingDecider struct{ carobthread.Decider }

func (decider *panickingDecider) Step(event carobthread.Event) []carobthread.Action {
	if event.Query != nil && event.Query.Size == len(panicBody) {
		panic("unexpected query")
	}
	return decider.Decider.Step(event)
}

// Guards against an unexpected error in the core that leaves it locked, so that no query is answered any more.
func TestPanicInCoreEndsItsQueryAlone(t *testing.T) {
	core := gatherer.New(1, gatherer.Options{})
	clock := timer.New()
	search := server.NewSearch(server.SearchOptions{
		Host: "entry", Decider: &panickingDecider{core}, QueryCore: core, Timer: clock, Upstream: &panickingUpstream{},
		Tracer: noop.NewTracerProvider().Tracer("test"), Meter: server.NewMeter(tally.NoopScope),
	})
	t.Cleanup(clock.Subscribe(time.Millisecond, search))
	search.Configure(testConfig())
	func() {
		defer func() { assert.Check(t, recover() != nil) }() // as the handler of the request does
		_, _ = search.RunQuery(t.Context(), query(panicBody))
	}()
	assert.Equal(t, search.Pending(), 0)
	outcome, err := search.RunQuery(t.Context(), query("other"+panicBody))
	assert.NilError(t, err)
	assert.Equal(t, outcome.Answer.Coverage.Answered, uint32(testShards))
}

// panickingRunner panics in each run.
type panickingRunner struct{}

func (panickingRunner) Run(context.Context, carobthread.Searcher, *carobthreadv1.RunRequest, func() error) (*carobthreadv1.RunResponse, error) {
	panic("malformed response")
}

// Guards against a malformed response to an at-most-once request that ends the process or whose caller hears that it has not
// run.
func TestPanicInRunHasUnknownOutcome(t *testing.T) {
	host := carobthread.Host{Name: "a", Incarnation: carobthread.Incarnation{Start: 1}}
	execution := server.NewExecution(server.ExecutionOptions{
		Core:  executor.New(executor.Options{Host: "a", Incarnation: host.Incarnation, Secret: []byte("s"), KeyLifetime: time.Minute}),
		Timer: timer.New(), Runner: panickingRunner{}, Tracer: noop.NewTracerProvider().Tracer("test"),
	})
	execution.SetView(carobthread.View{Self: "a", Hosts: []carobthread.Host{host}})
	execution.Configure(carobthread.Config{
		Services:  []carobthread.Service{{Name: "book", Kind: carobthread.KindExecute, HardDeadline: time.Second, Layout: 1}},
		Layouts:   []carobthread.Layout{{Service: "book", Generation: 1, Shards: [][]string{{"u1"}}}},
		Searchers: []carobthread.Searcher{{Name: "u1", Slots: 1}},
	})
	reserved, err := execution.Reserve(t.Context(), connect.NewRequest(&carobthreadv1.ReserveRequest{Service: "book"}))
	assert.NilError(t, err)
	executed, err := execution.Execute(t.Context(), connect.NewRequest(&carobthreadv1.ExecuteRequest{Key: reserved.Msg.GetKey(), Service: "book"}))
	assert.NilError(t, err)
	assert.Equal(t, executed.Msg.GetStatus(), carobthreadv1.ExecutionStatus_EXECUTION_STATUS_UNKNOWN)
	assert.Equal(t, executed.Msg.GetReason(), string(carobthread.ReasonInternal))
	assert.NilError(t, execution.Wait(t.Context()))
}

// panickingHandler panics in each call.
type panickingHandler struct {
	carobthreadv1connect.UnimplementedQueryServiceHandler
}

func (*panickingHandler) Execute(context.Context, *connect.Request[carobthreadv1.ExecuteRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	panic("unexpected request")
}

// Guards against a call that may have run and whose HTTP status, such as 503, tells its caller that it has not.
func TestPanicInCallIsNotAnsweredAsNotRun(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(carobthreadv1connect.NewQueryServiceHandler(&panickingHandler{}, connect.WithRecover(server.RecoverCall(zerolog.Nop()))))
	httpServer := httptest.NewServer(mux)
	defer httpServer.Close()
	response, err := httpServer.Client().Post(httpServer.URL+carobthreadv1connect.QueryServiceExecuteProcedure, "application/json", strings.NewReader("{}"))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, carobthread.RunState(response.Header.Get("Carobthread-State")), carobthread.MayHaveRun)
}

// panickingStore panics in its first reads.
type panickingStore struct {
	listOnlyStore
	panics int
	done   chan struct{}
}

func (store *panickingStore) List(ctx context.Context, prefix, after string) (carobthread.StoreItems, error) {
	if store.panics > 0 {
		store.panics--
		panic("malformed page")
	}
	select {
	case <-store.done:
	default:
		close(store.done)
	}
	return store.listOnlyStore.List(ctx, prefix, after)
}

// Guards against an unexpected error in a read of the store that ends the process or the loop of reads.
func TestPanicInStoreReadDoesNotEndTheLoop(t *testing.T) {
	store := &panickingStore{panics: 2, done: make(chan struct{})}
	clock := timer.NewManual(carobthread.Instant(time.Hour))
	startDirectory(t, clock, store, nil)
	advanceUntil(t, clock, func() bool {
		select {
		case <-store.done:
			return true
		default:
			return false
		}
	})
}
