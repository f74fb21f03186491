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

// countingSearcher counts the requests that arrive for each key.
type countingSearcher struct {
	carobthreadv1connect.UnimplementedSearcherServiceHandler
	mutex    sync.Mutex
	arrivals map[string]int
}

func (upstream *countingSearcher) Run(_ context.Context, request *connect.Request[carobthreadv1.RunRequest]) (*connect.Response[carobthreadv1.RunResponse], error) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.arrivals[request.Msg.GetKey()]++
	return connect.NewResponse(&carobthreadv1.RunResponse{Key: request.Msg.GetKey(), Result: request.Msg.GetPayload()}), nil
}

func (upstream *countingSearcher) count(key string) int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.arrivals[key]
}

func startServer(t *testing.T, upstream *countingSearcher) *httptest.Server {
	t.Helper()
	_, handler := carobthreadv1connect.NewSearcherServiceHandler(upstream)
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	return server
}

// faultProxy is a TCP proxy that closes both connections once a set number of bytes has passed in one direction.
type faultProxy struct {
	listener    net.Listener
	remaining   [2]atomic.Int64 // towards the upstream, and back
	transferred [2]atomic.Int64
	copiers     sync.WaitGroup
}

func newFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	faultProxy := &faultProxy{listener: listener}
	faultProxy.setLimits(-1, -1)
	faultProxy.copiers.Go(func() {
		for {
			callerConn, err := listener.Accept()
			if err != nil {
				return
			}
			upstreamConn, err := net.Dial("tcp", target)
			assert.Check(t, err)
			faultProxy.copiers.Go(func() { faultProxy.copyBytes(0, callerConn, upstreamConn) })
			faultProxy.copiers.Go(func() { faultProxy.copyBytes(1, upstreamConn, callerConn) })
		}
	})
	return faultProxy
}

// setLimits sets after how many bytes of the request and reply the connections are closed; -1 means never.
func (faultProxy *faultProxy) setLimits(request, reply int64) {
	faultProxy.remaining[0].Store(request)
	faultProxy.remaining[1].Store(reply)
	faultProxy.transferred[0].Store(0)
	faultProxy.transferred[1].Store(0)
}

func (faultProxy *faultProxy) copyBytes(direction int, from, to net.Conn) {
	defer func() { _ = errors.Join(from.Close(), to.Close()) }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		remaining := faultProxy.remaining[direction].Load()
		cut := remaining >= 0 && int64(count) >= remaining
		if cut {
			count = int(remaining)
		}
		if remaining >= 0 {
			faultProxy.remaining[direction].Add(-int64(count))
		}
		faultProxy.transferred[direction].Add(int64(count))
		_, writeErr := to.Write(buffer[:count])
		if err != nil || writeErr != nil || cut {
			return
		}
	}
}

func permit() error { return nil }

// TestRunCutAtEachByte guards against a request that is sent twice, or reported as not run although it arrived,
// when the connection breaks at any byte of the request or reply.
func TestRunCutAtEachByte(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("http2=%v,reused=%v", http2, reused), func(t *testing.T) {
				upstream := &countingSearcher{arrivals: map[string]int{}}
				server := startServer(t, upstream)
				faultProxy := newFaultProxy(t, server.Listener.Addr().String())
				notRun := map[string]bool{}
				done, unknown := 0, 0
				try := func(request, reply int64) (int64, int64) {
					caller := caller.New(caller.Options{HTTP2: http2, Connections: 1})
					defer caller.Close()
					searcher := carobthread.Searcher{Address: faultProxy.listener.Addr().String()}
					faultProxy.setLimits(-1, -1)
					if reused {
						_, err := caller.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "warm", Service: "book"}, permit)
						assert.NilError(t, err)
					}
					faultProxy.setLimits(request, reply)
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
					return faultProxy.transferred[0].Load(), faultProxy.transferred[1].Load()
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
				assert.NilError(t, faultProxy.listener.Close())
				faultProxy.copiers.Wait()
				t.Logf("request %d bytes, reply %d bytes: done %d, not run %d, unknown %d", sent, received, done, len(notRun), unknown)
				assert.Assert(t, unknown > int(received)/2)
				for key, count := range upstream.arrivals {
					assert.Assert(t, key == "warm" || count == 1 && !notRun[key], "%s arrived %d times, not run: %v", key, count, notRun[key])
				}
			})
		}
	}
}

// TestPlainClientSendsTwice is the control for TestRunCutAtEachByte: a plain http.Client with an idempotency header
// sends the request twice, and the test setup detects it.
func TestPlainClientSendsTwice(t *testing.T) {
	upstream := &countingSearcher{arrivals: map[string]int{}}
	server := startServer(t, upstream)
	defer server.Close()
	faultProxy := newFaultProxy(t, server.Listener.Addr().String())
	defer func() { _ = faultProxy.listener.Close() }()
	client := carobthreadv1connect.NewSearcherServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+faultProxy.listener.Addr().String())
	for _, key := range []string{"warm", "twice"} {
		request := connect.NewRequest(&carobthreadv1.RunRequest{Key: key})
		request.Header().Set("Idempotency-Key", key)
		if key == "twice" {
			faultProxy.remaining[1].Store(0) // the first reply is lost on the reused connection
			time.AfterFunc(20*time.Millisecond, func() { faultProxy.remaining[1].Store(-1) })
		}
		_, _ = client.Run(t.Context(), request)
	}
	assert.Assert(t, upstream.count("twice") > 1, "arrived %d times", upstream.count("twice"))
}

// TestPermit guards against a byte written without permission, and against a call of permit before the connection is ready.
func TestPermit(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		upstream := &countingSearcher{arrivals: map[string]int{}}
		server := startServer(t, upstream)
		defer server.Close()
		faultProxy := newFaultProxy(t, server.Listener.Addr().String())
		client := caller.New(caller.Options{HTTP2: http2, Connections: 2})
		searcher := carobthread.Searcher{Address: faultProxy.listener.Addr().String()}
		client.SetConnections(searcher, 1)
		_, err := client.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "warm", Service: "book"}, permit)
		assert.NilError(t, err)
		faultProxy.setLimits(-1, -1)
		refusal := &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonDeadlinePassed}
		_, err = client.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "late", Service: "book"}, func() error { return refusal })
		var failure *carobthread.RequestError
		assert.Assert(t, errors.As(err, &failure))
		assert.Equal(t, failure.State, carobthread.NotRun)
		assert.Equal(t, failure.Reason, carobthread.ReasonDeadlinePassed)
		if !http2 { // HTTP/2 may still acknowledge settings
			assert.Equal(t, faultProxy.transferred[0].Load(), int64(0))
		}
		permitCalls := 0
		_, err = client.Run(t.Context(), carobthread.Searcher{Address: "127.0.0.1:1"}, &carobthreadv1.RunRequest{Key: "none", Service: "book"}, func() error { permitCalls++; return nil })
		assert.Assert(t, errors.As(err, &failure) && failure.State == carobthread.NotRun && permitCalls == 0)
		client.Close()
		assert.NilError(t, faultProxy.listener.Close())
		assert.Equal(t, upstream.count("late"), 0)
	}
}

// TestSearchShard guards against replies over the size limit, connections over their limit, and a cancelled attempt that
// keeps its connection.
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
		upstream.SetSlowdown(0)
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

// TestGoAway guards against an HTTP/2 connection that stays in the pool although the searcher has sent GOAWAY.
func TestGoAway(t *testing.T) {
	upstream := &countingSearcher{arrivals: map[string]int{}}
	first := startServer(t, upstream)
	client := caller.New(caller.Options{HTTP2: true, Connections: 1})
	searcher := carobthread.Searcher{Address: first.Listener.Addr().String()}
	_, err := client.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "first", Service: "book"}, permit)
	assert.NilError(t, err)
	go func() { _ = first.Config.Shutdown(context.Background()) }()
	listener, err := net.Listen("tcp", searcher.Address)
	for ; err != nil; listener, err = net.Listen("tcp", searcher.Address) {
		time.Sleep(100 * time.Millisecond) // GOAWAY arrives in the meantime; the connection closes only after a second
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

// TestMain guards against goroutines that are still running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
