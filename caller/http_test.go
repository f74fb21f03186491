package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread"
	"carobthread/caller"
	"carobthread/platform"
	"carobthread/timer"
)

// rawSearcher answers each request on a connection with the next of its scripted replies, byte by byte as given.
type rawSearcher struct {
	listener net.Listener
	mutex    sync.Mutex
	replies  []string
	// answer formats the reply to each request from its ID, in place of the scripted ones.
	answer string
	// hold delays every reply until it is closed; nil delays none.
	hold <-chan struct{}
	// requests are the heads that have arrived, opened the number of connections.
	requests []string
	opened   int
	serving  sync.WaitGroup
}

func newRawSearcher(t *testing.T) *rawSearcher {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	searcher := &rawSearcher{listener: listener}
	searcher.serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			searcher.mutex.Lock()
			searcher.opened++
			searcher.mutex.Unlock()
			searcher.serving.Go(func() { searcher.serve(conn) })
		}
	})
	t.Cleanup(func() {
		assert.Check(t, listener.Close())
		searcher.serving.Wait()
	})
	return searcher
}

func (searcher *rawSearcher) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		searcher.mutex.Lock()
		searcher.requests = append(searcher.requests, describe(request))
		reply := ""
		if searcher.answer != "" {
			reply = fmt.Sprintf(searcher.answer, request.Header.Get("Request-Id"))
		} else if len(searcher.replies) > 0 {
			reply, searcher.replies = searcher.replies[0], searcher.replies[1:]
		}
		hold := searcher.hold
		searcher.mutex.Unlock()
		if hold != nil {
			<-hold
		}
		if reply == "" {
			return
		}
		if _, err := conn.Write([]byte(reply)); err != nil || strings.Contains(reply, "Connection: close") {
			return
		}
	}
}

// describe writes what must reach a searcher unchanged, and what must not reach it.
func describe(request *http.Request) string {
	body := make([]byte, max(0, request.ContentLength))
	_, _ = request.Body.Read(body)
	return fmt.Sprintf("%s %s host %s id %s for %s left-stated %v kept %q hop %q agent %q body %q",
		request.Method, request.RequestURI, request.Host, request.Header.Get("Request-Id"), request.Header.Get("Target-Instance"),
		request.Header.Get("Deadline-Ms") != "", request.Header.Get("X-Kept"), request.Header.Get("Te"), request.Header.Get("User-Agent"), body)
}

// TestHTTPReplies runs the scripts in testdata/http; each case names the failure that it guards against.
func TestHTTPReplies(t *testing.T) {
	datadriven.RunTest(t, "testdata/http", func(t *testing.T, data *datadriven.TestData) string {
		searcher := newRawSearcher(t)
		for _, reply := range strings.Split(data.Input, "\n~\n") {
			searcher.replies = append(searcher.replies, strings.ReplaceAll(strings.ReplaceAll(reply, "\n", "\r\n"), "|", ""))
		}
		client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1, MaxReplySize: 64})
		defer client.Close()
		times, target := 1, "/x/1?q=%2f"
		data.MaybeScanArgs(t, "times", &times)
		data.MaybeScanArgs(t, "target", &target)
		output := strings.Builder{}
		for i := range times {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			reply, err := client.SearchShard(ctx, carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i-1"}, forwarded(fmt.Sprintf("r%d", i+1), target))
			cancel()
			fmt.Fprintln(&output, describeEnd(reply, err))
		}
		searcher.mutex.Lock()
		defer searcher.mutex.Unlock()
		fmt.Fprintf(&output, "connections %d, arrived %d\n", searcher.opened, len(searcher.requests))
		if data.HasArg("head") {
			fmt.Fprintln(&output, searcher.requests[0])
		}
		return output.String()
	})
}

func forwarded(id, target string) *carobthread.ShardRequest {
	return &carobthread.ShardRequest{
		Attempt: 7, Shard: 2, Layout: 3,
		Request: &carobthread.Request{
			ID: id, Body: []byte("pay"),
			HTTP: &carobthread.HTTPRequest{Method: "POST", Target: target, Host: "a.example", Header: http.Header{"X-Kept": {"yes"}}},
		},
	}
}

func describeEnd(reply *carobthread.ShardReply, err error) string {
	var failure *carobthread.RequestError
	switch {
	case errors.As(err, &failure):
		return "failure " + string(failure.State)
	case err != nil:
		return "error " + err.Error()
	case reply.HTTP == nil:
		return fmt.Sprintf("%s load %v", reply.Status, reply.Load)
	}
	return fmt.Sprintf("%s %d %q seal %s load %v", reply.Status, reply.HTTP.Status, reply.HTTP.Body, reply.HTTP.Seal, reply.Load)
}

// Guards against a request that may not be repeated on a connection that its searcher may have forgotten.
func TestHTTPOnceTakesNoIdleConnection(t *testing.T) {
	searcher := newRawSearcher(t)
	searcher.answer = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
	clock := timer.NewManual(carobthread.Instant(time.Hour))
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: clock, Connections: 1})
	defer client.Close()
	target := carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i"}
	for index, step := range []struct {
		idle   time.Duration
		once   bool
		opened int
	}{
		{0, true, 1},
		{100 * time.Millisecond, true, 1},
		{time.Second, false, 1},
		{time.Second, true, 2},
	} {
		clock.Advance(step.idle)
		request := forwarded(fmt.Sprintf("r%d", index), "/x/1")
		request.Once = step.once
		_, err := client.SearchShard(t.Context(), target, request)
		assert.NilError(t, err)
		searcher.mutex.Lock()
		opened := searcher.opened
		searcher.mutex.Unlock()
		assert.Equal(t, opened, step.opened, "step %d", index)
	}
}

// Guards against a connection that one request looks at, and so spoils, while another one uses it.
func TestHTTPConnectionsInUseAreLeftAlone(t *testing.T) {
	searcher := newRawSearcher(t)
	searcher.answer = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 4})
	defer client.Close()
	target := carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i"}
	var requests sync.WaitGroup
	for worker := range 4 {
		requests.Go(func() {
			for i := range 200 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				_, err := client.SearchShard(ctx, target, forwarded(fmt.Sprintf("w%d-%d", worker, i), "/x/1"))
				cancel()
				assert.Check(t, err)
			}
		})
	}
	requests.Wait()
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	assert.Assert(t, searcher.opened <= 4, "%d connections", searcher.opened)
}

// Guards against a request that arrives twice, or is called not run although it arrived, when the connection dies at any byte.
func TestHTTPCutAtEachByte(t *testing.T) {
	searcher := newRawSearcher(t)
	cutter := newCutter(t, searcher.listener.Addr().String())
	defer func() { _ = cutter.listener.Close() }()
	searcher.answer = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
	arrived := func(id string) int {
		searcher.mutex.Lock()
		defer searcher.mutex.Unlock()
		count := 0
		for _, request := range searcher.requests {
			if strings.Contains(request, " id "+id+" ") {
				count++
			}
		}
		return count
	}
	try := func(id string, request, reply int64) (state carobthread.RunState) {
		client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
		defer client.Close()
		target := carobthread.Searcher{Name: "s", Address: cutter.listener.Addr().String(), Instance: "i"}
		cutter.set(-1, -1)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := client.SearchShard(ctx, target, forwarded("warm", "/x/1"))
		assert.NilError(t, err)
		cutter.set(request, reply)
		end, err := client.SearchShard(ctx, target, forwarded(id, "/x/1"))
		var failure *carobthread.RequestError
		if errors.As(err, &failure) {
			return failure.State
		}
		assert.NilError(t, err)
		assert.Equal(t, string(end.HTTP.Body), "sure")
		return carobthread.Ran
	}
	assert.Equal(t, try("w0000", -1, -1), carobthread.Ran)
	sent, received := cutter.passed[0].Load(), cutter.passed[1].Load()
	for position := range sent + 1 {
		id := fmt.Sprintf("q%04d", position)
		state := try(id, position, -1)
		assert.Assert(t, arrived(id) <= 1 && (state != carobthread.NotRun || arrived(id) == 0), "%s: %s, arrived %d", id, state, arrived(id))
	}
	for position := range received {
		id := fmt.Sprintf("p%04d", position)
		state := try(id, -1, position)
		assert.Assert(t, state == carobthread.MayHaveRun && arrived(id) == 1, "%s: %s, arrived %d", id, state, arrived(id))
	}
}

// Guards against a request that reaches a searcher long after it has left, because it waited for a connection meanwhile,
// and against the connections of searchers that are gone, which would pile up with each one that is replaced.
func TestHTTPHoldsBackFromLeavingSearchers(t *testing.T) {
	searcher := newRawSearcher(t)
	searcher.answer = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
	release := make(chan struct{})
	searcher.mutex.Lock()
	searcher.hold = release
	searcher.mutex.Unlock()
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
	defer client.Close()
	target := carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i"}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ends := make(chan error, 2)
	ask := func(id string) {
		_, err := client.SearchShard(ctx, target, forwarded(id, "/x/1"))
		ends <- err
	}
	go ask("first")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		searcher.mutex.Lock()
		defer searcher.mutex.Unlock()
		if len(searcher.requests) == 0 {
			return poll.Continue("the first request has not arrived")
		}
		return poll.Success()
	})
	go ask("second")
	client.SetLeaving("s", true)
	var failure *carobthread.RequestError
	assert.Assert(t, errors.As(<-ends, &failure) && failure.State == carobthread.NotRun)
	close(release)
	assert.NilError(t, <-ends, "a request that was written before ends as usual")
	client.SetLeaving("s", false)
	ask("third")
	assert.NilError(t, <-ends)
	client.Forget("s")
	ask("fourth")
	assert.NilError(t, <-ends)
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	assert.Equal(t, len(searcher.requests), 3)
	assert.Equal(t, searcher.opened, 2)
}
