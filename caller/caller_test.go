package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/caller"
	"carobthread/internal/standin"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
)

// standIn counts the arrivals of each key.
type standIn struct {
	carobthreadv1connect.UnimplementedSearcherServiceHandler
	mutex    sync.Mutex
	arrivals map[string]int
}

func (upstream *standIn) Run(_ context.Context, request *connect.Request[carobthreadv1.RunRequest]) (*connect.Response[carobthreadv1.RunResponse], error) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.arrivals[request.Msg.GetKey()]++
	return connect.NewResponse(&carobthreadv1.RunResponse{Key: request.Msg.GetKey(), Result: request.Msg.GetPayload()}), nil
}

func (upstream *standIn) count(key string) int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.arrivals[key]
}

func serve(t *testing.T, upstream *standIn) *httptest.Server {
	t.Helper()
	_, handler := carobthreadv1connect.NewSearcherServiceHandler(upstream)
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	return server
}

// cutter passes bytes on until a set number has passed in one direction and then closes both connections.
type cutter struct {
	listener net.Listener
	left     [2]atomic.Int64 // towards the upstream and back
	passed   [2]atomic.Int64
	pipes    sync.WaitGroup
}

func newCutter(t *testing.T, target string) *cutter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cutter := &cutter{listener: listener}
	cutter.set(-1, -1)
	cutter.pipes.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			assert.Check(t, err)
			cutter.pipes.Go(func() { cutter.pipe(0, near, far) })
			cutter.pipes.Go(func() { cutter.pipe(1, far, near) })
		}
	})
	return cutter
}

// set cuts after the given numbers of bytes; -1 never cuts.
func (cutter *cutter) set(request, reply int64) {
	cutter.left[0].Store(request)
	cutter.left[1].Store(reply)
	cutter.passed[0].Store(0)
	cutter.passed[1].Store(0)
}

func (cutter *cutter) pipe(direction int, from, to net.Conn) {
	defer func() { _ = errors.Join(from.Close(), to.Close()) }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		left := cutter.left[direction].Load()
		cut := left >= 0 && int64(count) >= left
		if cut {
			count = int(left)
		}
		if left >= 0 {
			cutter.left[direction].Add(-int64(count))
		}
		cutter.passed[direction].Add(int64(count))
		_, failed := to.Write(buffer[:count])
		if err != nil || failed != nil || cut {
			return
		}
	}
}

func permit() error { return nil }

// TestCutAtEachByte guards against a request that is sent twice, or called not run although it arrived,
// when the connection dies at any byte of the request or reply.
func TestCutAtEachByte(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("http2=%v,reused=%v", http2, reused), func(t *testing.T) {
				upstream := &standIn{arrivals: map[string]int{}}
				server := serve(t, upstream)
				cutter := newCutter(t, server.Listener.Addr().String())
				notRun := map[string]bool{}
				done, unknown := 0, 0
				try := func(request, reply int64) (int64, int64) {
					caller := caller.New(caller.Options{HTTP2: http2, Connections: 1})
					defer caller.Close()
					searcher := carobthread.Searcher{Address: cutter.listener.Addr().String()}
					cutter.set(-1, -1)
					if reused {
						_, err := caller.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "warm", Service: "book"}, permit)
						assert.NilError(t, err)
					}
					cutter.set(request, reply)
					key := fmt.Sprintf("%v-%v-%d-%d", http2, reused, request, reply)
					response, err := caller.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: key, Service: "book", Payload: []byte("pay")}, permit)
					var failure *carobthread.RequestError
					switch {
					case err == nil:
						done++
						assert.Equal(t, response.GetKey(), key)
						assert.Equal(t, upstream.count(key), 1)
					case !errors.As(err, &failure):
						t.Errorf("%v is not a RequestError", err)
					case failure.State == carobthread.NotRun:
						notRun[key] = true
					default:
						unknown++
					}
					return cutter.passed[0].Load(), cutter.passed[1].Load()
				}
				sent, received := try(-1, -1)
				assert.Equal(t, done, 1)
				// HTTP/2 control frames make the length vary by some bytes.
				for position := range sent + 20 {
					try(position, -1)
				}
				for position := range received + 20 {
					try(-1, position)
				}
				server.Close()
				assert.NilError(t, cutter.listener.Close())
				cutter.pipes.Wait()
				t.Logf("request %d bytes, reply %d bytes: done %d, not run %d, unknown %d", sent, received, done, len(notRun), unknown)
				assert.Assert(t, unknown > int(received)/2)
				for key, count := range upstream.arrivals {
					assert.Assert(t, key == "warm" || count == 1 && !notRun[key], "%s arrived %d times, not run: %v", key, count, notRun[key])
				}
			})
		}
	}
}

// TestControlRepeats shows that the cut test would notice: a plain client with an idempotency header sends twice.
func TestControlRepeats(t *testing.T) {
	upstream := &standIn{arrivals: map[string]int{}}
	server := serve(t, upstream)
	defer server.Close()
	cutter := newCutter(t, server.Listener.Addr().String())
	defer func() { _ = cutter.listener.Close() }()
	client := carobthreadv1connect.NewSearcherServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+cutter.listener.Addr().String())
	for _, key := range []string{"warm", "twice"} {
		request := connect.NewRequest(&carobthreadv1.RunRequest{Key: key})
		request.Header().Set("Idempotency-Key", key)
		if key == "twice" {
			cutter.left[1].Store(0) // the first reply is lost on the reused connection
			time.AfterFunc(20*time.Millisecond, func() { cutter.left[1].Store(-1) })
		}
		_, _ = client.Run(t.Context(), request)
	}
	assert.Assert(t, upstream.count("twice") > 1, "arrived %d times", upstream.count("twice"))
}

// TestPermit guards against a byte that is written without permit, and against a permit that is asked before the connection is ready.
func TestPermit(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		upstream := &standIn{arrivals: map[string]int{}}
		server := serve(t, upstream)
		defer server.Close()
		cutter := newCutter(t, server.Listener.Addr().String())
		client := caller.New(caller.Options{HTTP2: http2, Connections: 2})
		searcher := carobthread.Searcher{Address: cutter.listener.Addr().String()}
		client.SetConnections(searcher, 1)
		_, err := client.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "warm", Service: "book"}, permit)
		assert.NilError(t, err)
		cutter.set(-1, -1)
		refusal := &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonDeadlinePassed}
		_, err = client.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "late", Service: "book"}, func() error { return refusal })
		var failure *carobthread.RequestError
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.State, carobthread.NotRun)
		assert.Equal(t, failure.Reason, carobthread.ReasonDeadlinePassed)
		if !http2 { // HTTP/2 may still acknowledge settings
			assert.Equal(t, cutter.passed[0].Load(), int64(0))
		}
		asked := 0
		_, err = client.Run(t.Context(), carobthread.Searcher{Address: "127.0.0.1:1"}, &carobthreadv1.RunRequest{Key: "none", Service: "book"}, func() error { asked++; return nil })
		assert.Assert(t, errors.As(err, &failure) && failure.State == carobthread.NotRun && asked == 0)
		client.Close()
		assert.NilError(t, cutter.listener.Close())
		assert.Equal(t, upstream.count("late"), 0)
	}
}

// TestSearchShard guards against unbounded replies and connections, and against a cancelled attempt that keeps its connection.
func TestSearchShard(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		upstream, err := standin.NewSearcher(standin.SearcherOptions{Slots: 4, ServiceTime: time.Hour, Snapshots: []uint64{1}, Layouts: []uint32{1}})
		assert.NilError(t, err)
		client := caller.New(caller.Options{HTTP2: http2, Connections: 2, MaxReplySize: 200})
		searcher := carobthread.Searcher{Address: upstream.Address()}
		request := &carobthread.ShardRequest{Request: &carobthread.Request{}, Service: "find", Layout: 1, Attempt: 5}
		ctx, cancel := context.WithCancel(t.Context())
		var attempts sync.WaitGroup
		for range 4 {
			attempts.Go(func() {
				_, err := client.SearchShard(ctx, searcher, request)
				assert.Check(t, err != nil)
			})
		}
		cancel()
		attempts.Wait()
		upstream.Slow(0)
		response, err := client.SearchShard(t.Context(), searcher, request)
		assert.NilError(t, err)
		assert.Equal(t, response.Attempt, carobthread.AttemptID(5))
		small := caller.New(caller.Options{HTTP2: http2, MaxReplySize: 50})
		_, err = small.SearchShard(t.Context(), searcher, request)
		var failure *carobthread.RequestError
		assert.Assert(t, errors.As(err, &failure) && failure.Reason == carobthread.ReasonTooLarge, "%v", err)
		client.Close()
		small.Close()
		_, err = client.Report(t.Context(), searcher)
		assert.Assert(t, errors.As(err, &failure) && failure.State == carobthread.NotRun)
		assert.NilError(t, upstream.Close())
	}
}

// TestGoAway guards against an HTTP/2 connection that stays in the pool although the searcher takes no more requests on it.
func TestGoAway(t *testing.T) {
	upstream := &standIn{arrivals: map[string]int{}}
	first := serve(t, upstream)
	client := caller.New(caller.Options{HTTP2: true, Connections: 1})
	searcher := carobthread.Searcher{Address: first.Listener.Addr().String()}
	_, err := client.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "first", Service: "book"}, permit)
	assert.NilError(t, err)
	go func() { _ = first.Config.Shutdown(context.Background()) }()
	listener, err := net.Listen("tcp", searcher.Address)
	for ; err != nil; listener, err = net.Listen("tcp", searcher.Address) {
		time.Sleep(100 * time.Millisecond) // GOAWAY comes meanwhile; the connection closes only after a second
	}
	time.Sleep(200 * time.Millisecond) // the port may be free before the client has read GOAWAY
	second := &http.Server{Handler: first.Config.Handler, Protocols: first.Config.Protocols}
	go func() { _ = second.Serve(listener) }()
	_, err = client.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "second", Service: "book"}, permit)
	assert.NilError(t, err)
	client.Close()
	assert.NilError(t, second.Close())
	first.Close()
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
