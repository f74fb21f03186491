package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/caller"
	"carobthread/executor"
	"carobthread/internal/standin"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/server"
	"carobthread/timer"
)

// fleet is 4 entry hosts in this process, with loopback connections to callers and upstreams.
type fleet struct {
	t           testing.TB
	hosts       []*entryHost
	upstreams   []*standin.Searcher
	clockOffset atomic.Int64 // added to the system clock, in nanoseconds
}

type entryHost struct {
	*server.Execution
	fleet      *fleet
	caller     *caller.Caller
	http       *httptest.Server
	client     carobthreadv1connect.QueryServiceClient
	pauseLock  sync.RWMutex // locked while the host is paused, which blocks every step when it reads the clock
	killed     chan struct{}
	reachable  context.Context // ends when the host is paused or killed; calls to it then fail, but may have run
	disconnect context.CancelFunc
	leaving    atomic.Bool
}

func (*entryHost) Search(context.Context, *connect.Request[carobthreadv1.SearchRequest]) (*connect.Response[carobthreadv1.SearchResponse], error) {
	return nil, errors.New("not part of this test")
}

func (host *entryHost) Now() carobthread.Instant {
	host.pauseLock.RLock()
	defer host.pauseLock.RUnlock()
	return carobthread.At(time.Now()).Add(time.Duration(host.fleet.clockOffset.Load()))
}

func (*entryHost) Subscribe(time.Duration, carobthread.Subscriber) func() { return func() {} }

func (host *entryHost) Alarm(subscriber carobthread.Subscriber) carobthread.Alarm {
	return timer.NewManual(host.Now()).Alarm(subscriber)
}

// Call calls another host in this process; it fails when either host is killed or the other is paused.
func (host *entryHost) Call(ctx context.Context, name, method string, params, result any) error {
	var index int
	_, _ = fmt.Sscanf(name, "h%d", &index)
	target := host.fleet.hosts[index]
	text, err := json.Marshal(params)
	if err != nil {
		return err
	}
	replies := make(chan any, 1)
	go func() {
		value, err := target.Handle(ctx, "", method, text)
		assert.Check(host.fleet.t, err)
		replies <- value
	}()
	select {
	case value := <-replies:
		text, err := json.Marshal(value)
		return errors.Join(err, json.Unmarshal(text, result))
	case <-target.killed:
	case <-target.reachable.Done():
	case <-host.killed:
	case <-ctx.Done():
	}
	return &carobthread.RequestError{State: carobthread.MayHaveRun, Reason: carobthread.ReasonHostUnreachable}
}

func startFleet(t testing.TB, serviceTime time.Duration) *fleet {
	t.Helper()
	fleet := &fleet{t: t}
	config := carobthread.Config{
		Services: []carobthread.Service{{Name: "book", Kind: carobthread.KindExecute, HardDeadline: 5 * time.Second, Layout: 1}},
		Layouts:  []carobthread.Layout{{Service: "book", Generation: 1, Shards: [][]string{{}}}},
	}
	for i := range 3 {
		upstream, err := standin.NewSearcher(standin.SearcherOptions{Name: fmt.Sprintf("u%d", i), Slots: 64, ServiceTime: serviceTime, Seed: uint64(i)})
		assert.NilError(t, err)
		fleet.upstreams = append(fleet.upstreams, upstream)
		name := fmt.Sprintf("u%d", i)
		config.Searchers = append(config.Searchers, carobthread.Searcher{Name: name, Address: upstream.Address(), Slots: 16, DataCentre: "d"})
		config.Layouts[0].Shards[0] = append(config.Layouts[0].Shards[0], name)
	}
	view := carobthread.View{}
	for i := range 4 {
		host := &entryHost{fleet: fleet, caller: caller.New(caller.Options{Connections: 16}), killed: make(chan struct{})}
		host.reachable, host.disconnect = context.WithCancel(context.Background())
		incarnation := carobthread.Incarnation{Start: host.Now(), Random: uint64(i)}
		view.Hosts = append(view.Hosts, carobthread.Host{Name: fmt.Sprintf("h%d", i), Incarnation: incarnation, State: carobthread.HostLive})
		core := executor.New(executor.Options{Host: view.Hosts[i].Name, DataCentre: "d", Incarnation: incarnation, Secret: []byte{byte(i)}, Seed: uint64(i)})
		host.Execution = server.NewExecution(server.ExecutionOptions{Core: core, Timer: host, Peers: host, Runner: host.caller, Tracer: noop.NewTracerProvider().Tracer("")})
		_, handler := carobthreadv1connect.NewQueryServiceHandler(host)
		host.http = httptest.NewServer(handler)
		host.http.Client().Transport.(*http.Transport).MaxIdleConnsPerHost = loadCallers
		host.client = carobthreadv1connect.NewQueryServiceClient(host.http.Client(), host.http.URL)
		fleet.hosts = append(fleet.hosts, host)
	}
	for _, host := range fleet.hosts {
		host.Configure(config)
		host.SetView(view)
	}
	t.Cleanup(func() {
		for _, host := range fleet.hosts {
			host.http.CloseClientConnections()
			host.http.Close()
			host.caller.Close()
		}
		for _, upstream := range fleet.upstreams {
			_ = upstream.Close()
		}
	})
	return fleet
}

const loadCallers = 16

// booking is the state of a key as known to its caller.
type booking struct {
	minter int // index of the host that minted the key
	status carobthreadv1.ExecutionStatus
}

// load is a set of callers, each of which makes one booking after another and repeats a failed Execute through other hosts.
type load struct {
	fleet   *fleet
	mutex   sync.Mutex
	keys    map[string]booking
	callers sync.WaitGroup
	rounds  [loadCallers]atomic.Int64
	done    atomic.Bool
}

func (fleet *fleet) startLoad() *load {
	load := &load{fleet: fleet, keys: map[string]booking{}}
	for i := range load.rounds {
		random := rand.New(rand.NewPCG(uint64(i), 0))
		load.callers.Go(func() {
			for !load.done.Load() {
				load.book(random)
				load.rounds[i].Add(1)
			}
		})
	}
	return load
}

// pickHost picks a host that is not leaving and is not the excluded one.
func (load *load) pickHost(random *rand.Rand, excluded int) (int, *entryHost) {
	for {
		index := random.IntN(len(load.fleet.hosts))
		host := load.fleet.hosts[index]
		if index != excluded && !host.leaving.Load() {
			return index, host
		}
	}
}

func (load *load) book(random *rand.Rand) {
	minter, host := load.pickHost(random, -1)
	reserved, err := host.client.Reserve(host.reachable, connect.NewRequest(&carobthreadv1.ReserveRequest{Service: "book"}))
	if err != nil {
		return
	}
	key := reserved.Msg.GetKey()
	load.record(key, minter, carobthreadv1.ExecutionStatus_EXECUTION_STATUS_UNKNOWN)
	failed := -1
	for range 3 {
		index, host := load.pickHost(random, failed)
		answer, err := host.client.Execute(host.reachable, connect.NewRequest(&carobthreadv1.ExecuteRequest{Key: key, Service: "book", Payload: []byte(key)}))
		if err == nil {
			load.record(key, minter, answer.Msg.GetStatus())
			return
		}
		failed = index
	}
}

func (load *load) record(key string, minter int, status carobthreadv1.ExecutionStatus) {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	load.keys[key] = booking{minter, status}
}

// waitRound waits until each caller has started and finished a booking.
func (load *load) waitRound() {
	var from [loadCallers]int64
	for i := range load.rounds {
		from[i] = load.rounds[i].Load()
	}
	for i := range load.rounds {
		for load.rounds[i].Load() < from[i]+2 {
			time.Sleep(time.Millisecond)
		}
	}
}

// stop ends the load, logs the share of keys without an outcome and returns the counts of check.
func (load *load) stop(t *testing.T, minter int) (total, unknown, unknownElsewhere int) {
	t.Helper()
	load.done.Store(true)
	load.callers.Wait()
	total, unknown, unknownElsewhere = load.check(t, minter)
	t.Logf("%d keys, %d unknown (%.2f%%)", total, unknown+unknownElsewhere, 100*float64(unknown+unknownElsewhere)/float64(total))
	return total, unknown, unknownElsewhere
}

// check verifies the answers against the upstreams' runs. It counts all keys, and those without an outcome separately for
// the keys that the given host has minted and for those of the other hosts.
func (load *load) check(t *testing.T, minter int) (total, unknown, unknownElsewhere int) {
	t.Helper()
	load.mutex.Lock()
	defer load.mutex.Unlock()
	for key, booking := range load.keys {
		runs := 0
		for _, upstream := range load.fleet.upstreams {
			runs += upstream.Runs(key)
		}
		assert.Assert(t, runs <= 1, "%s ran %d times", key, runs)
		switch booking.status {
		case carobthreadv1.ExecutionStatus_EXECUTION_STATUS_NOT_RUN:
			assert.Equal(t, runs, 0, "%s was reported as not run", key)
		case carobthreadv1.ExecutionStatus_EXECUTION_STATUS_DONE:
			assert.Equal(t, runs, 1, "%s was reported as done", key)
		case carobthreadv1.ExecutionStatus_EXECUTION_STATUS_UNKNOWN:
			if booking.minter == minter {
				unknown++
			} else {
				unknownElsewhere++
			}
		}
	}
	return len(load.keys), unknown, unknownElsewhere
}

// TestKillUnderLoad guards against double runs and false "not run" answers when a host is killed, and against unknown
// outcomes for keys of other hosts.
func TestKillUnderLoad(t *testing.T) {
	fleet := startFleet(t, 5*time.Millisecond)
	load := fleet.startLoad()
	load.waitRound()
	host := fleet.hosts[0]
	_, unresolved, _ := load.check(t, 0)
	t.Logf("%d of the host's keys have no outcome yet, %d of them are running", unresolved, host.Stats().Running)
	host.disconnect() // from here on, callers get no answer
	close(host.killed)
	host.leaving.Store(true)
	for range 20 {
		load.waitRound()
	}
	_, _, unknownElsewhere := load.stop(t, 0)
	assert.Equal(t, unknownElsewhere, 0)
}

// TestPauseUnderLoad guards against a host that resumes after 30 s of virtual time and still sends requests, or loses
// track of those that it had sent.
func TestPauseUnderLoad(t *testing.T) {
	fleet := startFleet(t, 5*time.Millisecond)
	load := fleet.startLoad()
	load.waitRound()
	host := fleet.hosts[0]
	_, unresolved, _ := load.check(t, 0)
	t.Logf("%d of the host's keys have no outcome yet, %d of them are running", unresolved, host.Stats().Running)
	host.pauseLock.Lock()
	host.disconnect()
	load.waitRound()
	_, _, unknownElsewhere := load.stop(t, 0)
	assert.Equal(t, unknownElsewhere, 0)
	fleet.clockOffset.Add(int64(30 * time.Second))
	host.pauseLock.Unlock()
	for _, other := range fleet.hosts {
		other.Tick(other.Now(), 30*time.Second)
		assert.NilError(t, other.Wait(t.Context()))
	}
	for key, booking := range load.keys {
		if booking.status == carobthreadv1.ExecutionStatus_EXECUTION_STATUS_UNKNOWN {
			answer, err := host.client.Outcome(t.Context(), connect.NewRequest(&carobthreadv1.OutcomeRequest{Key: key}))
			assert.NilError(t, err)
			load.record(key, booking.minter, answer.Msg.GetStatus())
		}
	}
	_, unknown, _ := load.check(t, 0)
	t.Logf("%d still unknown after the pause", unknown)
}

// TestGracefulStops guards against a planned stop that aborts a request or leaves its outcome unknown.
func TestGracefulStops(t *testing.T) {
	const stops = 20
	total, unresolved := 0, 0
	for round := range stops {
		fleet := startFleet(t, time.Millisecond)
		load := fleet.startLoad()
		load.waitRound()
		host := fleet.hosts[round%len(fleet.hosts)]
		host.Drain(0)
		host.leaving.Store(true)
		load.waitRound() // the load balancer's grace period: callers use the keys that they hold
		host.Stop()
		host.http.Client().CloseIdleConnections() // Shutdown waits 5 s for connections that were never used
		assert.NilError(t, host.http.Config.Shutdown(t.Context()))
		assert.NilError(t, host.Wait(t.Context()))
		close(host.killed)
		load.waitRound()
		keys, unknown, unknownElsewhere := load.stop(t, round%len(fleet.hosts))
		total += keys
		unresolved += unknown + unknownElsewhere
	}
	t.Logf("%d stops, %d requests, %d without an outcome", stops, total, unresolved)
	assert.Equal(t, unresolved, 0)
}

// TestExecutionErrors guards against refusals whose connect errors have the wrong code, run state or reason.
func TestExecutionErrors(t *testing.T) {
	fleet := startFleet(t, 0)
	client := fleet.hosts[0].client
	_, err := client.Execute(t.Context(), connect.NewRequest(&carobthreadv1.ExecuteRequest{Key: "junk"}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
	assert.Equal(t, server.RequestErrorOf(err).State, carobthread.NotRun)
	_, err = client.Reserve(t.Context(), connect.NewRequest(&carobthreadv1.ReserveRequest{Service: "none"}))
	assert.Equal(t, server.RequestErrorOf(err).Reason, carobthread.ReasonUnknownService)
}

// plainForward forwards a request without the at-most-once protection.
type plainForward struct {
	carobthreadv1connect.UnimplementedQueryServiceHandler
	upstream carobthreadv1connect.SearcherServiceClient
}

func (plain *plainForward) Execute(ctx context.Context, request *connect.Request[carobthreadv1.ExecuteRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	response, err := plain.upstream.Run(ctx, connect.NewRequest(&carobthreadv1.RunRequest{Key: request.Msg.GetKey(), Payload: request.Msg.GetPayload()}))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&carobthreadv1.ExecuteResponse{Key: response.Msg.GetKey(), Result: response.Msg.GetResult()}), nil
}

// BenchmarkExecute compares keyed execution at the minting host ("guarded") and through another host ("forwarded") with a
// plain forward, alternating between the three.
func BenchmarkExecute(b *testing.B) {
	fleet := startFleet(b, 0)
	upstream := carobthreadv1connect.NewSearcherServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+fleet.upstreams[0].Address(),
		connect.WithAcceptCompression("gzip", nil, nil)) // as package caller does
	_, handler := carobthreadv1connect.NewQueryServiceHandler(&plainForward{upstream: upstream})
	plain := httptest.NewServer(handler)
	defer plain.Close()
	minting := fleet.hosts[0].client
	paths := []carobthreadv1connect.QueryServiceClient{carobthreadv1connect.NewQueryServiceClient(plain.Client(), plain.URL), minting, fleet.hosts[1].client}
	times := make([][]time.Duration, len(paths))
	for b.Loop() {
		for i, path := range paths {
			reserved, err := minting.Reserve(b.Context(), connect.NewRequest(&carobthreadv1.ReserveRequest{Service: "book"}))
			assert.NilError(b, err)
			started := time.Now()
			_, err = path.Execute(b.Context(), connect.NewRequest(&carobthreadv1.ExecuteRequest{Key: reserved.Msg.GetKey(), Service: "book", Payload: []byte("pay")}))
			times[i] = append(times[i], time.Since(started))
			assert.NilError(b, err)
		}
	}
	for i, unit := range []string{"plain/plain", "guarded/plain", "forwarded/plain"} {
		slices.Sort(times[i])
		b.ReportMetric(float64(times[i][len(times[i])/2])/float64(times[0][len(times[0])/2]), unit)
	}
}
