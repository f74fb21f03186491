package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// rawSearcher answers each request with the exact bytes of the next scripted reply.
type rawSearcher struct {
	listener net.Listener
	mutex    sync.Mutex
	replies  []string
	// replyFormat, if set, formats the reply to each request with the request ID, in place of the scripted replies.
	replyFormat string
	// hold, if set, delays every reply until it is closed.
	hold <-chan struct{}
	// requests describes the requests that have arrived, and connCount is the number of accepted connections.
	requests  []string
	connCount int
	handlers  sync.WaitGroup
}

func newRawSearcher(t *testing.T) *rawSearcher {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	searcher := &rawSearcher{listener: listener}
	searcher.handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			searcher.mutex.Lock()
			searcher.connCount++
			searcher.mutex.Unlock()
			searcher.handlers.Go(func() { searcher.serve(conn) })
		}
	})
	t.Cleanup(func() {
		assert.Check(t, listener.Close())
		searcher.handlers.Wait()
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
		searcher.requests = append(searcher.requests, describeRequest(request))
		reply := ""
		if searcher.replyFormat != "" {
			reply = fmt.Sprintf(searcher.replyFormat, request.Header.Get("Request-Id"))
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

// describeRequest formats the parts of a request that must reach the searcher unchanged, and those that must not reach it.
func describeRequest(request *http.Request) string {
	body := make([]byte, max(0, request.ContentLength))
	_, _ = request.Body.Read(body)
	return fmt.Sprintf("%s %s host %s id %s instance %s has-deadline %v x-kept %q te %q user-agent %q body %q",
		request.Method, request.RequestURI, request.Host, request.Header.Get("Request-Id"), request.Header.Get("Target-Instance"),
		request.Header.Get("Deadline-Ms") != "", request.Header.Get("X-Kept"), request.Header.Get("Te"), request.Header.Get("User-Agent"), body)
}

// TestHTTPReplies runs the script testdata/http; the comment of each case says which failure it guards against. In the
// script, a line "~" separates the replies to successive requests, and "|" stands for nothing, so that a line of it is empty.
func TestHTTPReplies(t *testing.T) {
	datadriven.RunTest(t, "testdata/http", func(t *testing.T, data *datadriven.TestData) string {
		searcher := newRawSearcher(t)
		for _, reply := range strings.Split(data.Input, "\n~\n") {
			searcher.replies = append(searcher.replies, strings.ReplaceAll(strings.ReplaceAll(reply, "\n", "\r\n"), "|", ""))
		}
		client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1, MaxReplySize: 64})
		defer client.Close()
		times, target, pauseMillis := 1, "/x/1?q=%2f", 0
		data.MaybeScanArgs(t, "times", &times)
		data.MaybeScanArgs(t, "target", &target)
		data.MaybeScanArgs(t, "pause-ms", &pauseMillis)
		output := strings.Builder{}
		for i := range times {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			reply, err := client.SearchShard(ctx, carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i-1"}, newShardRequest(fmt.Sprintf("r%d", i+1), target))
			cancel()
			fmt.Fprintln(&output, describeResult(reply, err))
			time.Sleep(time.Duration(pauseMillis) * time.Millisecond)
		}
		searcher.mutex.Lock()
		defer searcher.mutex.Unlock()
		fmt.Fprintf(&output, "connections %d, requests %d\n", searcher.connCount, len(searcher.requests))
		if data.HasArg("show-request") {
			fmt.Fprintln(&output, searcher.requests[0])
		}
		return output.String()
	})
}

func newShardRequest(id, target string) *carobthread.ShardRequest {
	return &carobthread.ShardRequest{
		Attempt: 7, Shard: 2, Layout: 3,
		Request: &carobthread.Request{
			ID: id, Body: []byte("pay"),
			HTTP: &carobthread.HTTPRequest{Method: "POST", Target: target, Host: "a.example", Header: http.Header{"X-Kept": {"yes"}}},
		},
	}
}

func describeResult(reply *carobthread.ShardReply, err error) string {
	var failure *carobthread.RequestError
	switch {
	case errors.As(err, &failure):
		return "failure " + string(failure.State)
	case err != nil:
		return "error " + err.Error()
	case reply.HTTP == nil:
		return fmt.Sprintf("%s load %v%s", reply.Status, reply.Load, describeBackpressure(reply.Backpressure))
	}
	return fmt.Sprintf("%s %d %q signature %s load %v%s", reply.Status, reply.HTTP.Status, reply.HTTP.Body, reply.HTTP.Signature, reply.Load, describeBackpressure(reply.Backpressure))
}

// Guards against an at-most-once request on an idle connection that its searcher may have dropped silently.
func TestHTTPAtMostOnceSkipsIdleConnections(t *testing.T) {
	searcher := newRawSearcher(t)
	searcher.replyFormat = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
	clock := timer.NewManual(carobthread.Instant(time.Hour))
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: clock, Connections: 1})
	defer client.Close()
	target := carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i"}
	for index, step := range []struct {
		idle       time.Duration
		atMostOnce bool
		connCount  int
	}{
		{0, true, 1},
		{100 * time.Millisecond, true, 1},
		{time.Second, false, 1},
		{time.Second, true, 2},
	} {
		clock.Advance(step.idle)
		request := newShardRequest(fmt.Sprintf("r%d", index), "/x/1")
		request.AtMostOnce = step.atMostOnce
		_, err := client.SearchShard(t.Context(), target, request)
		assert.NilError(t, err)
		searcher.mutex.Lock()
		connCount := searcher.connCount
		searcher.mutex.Unlock()
		assert.Equal(t, connCount, step.connCount, "step %d", index)
	}
}

// Guards against an idle check on a connection in use, which could read a byte of another request's reply.
func TestHTTPIdleCheckSkipsBusyConnections(t *testing.T) {
	searcher := newRawSearcher(t)
	searcher.replyFormat = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 4})
	defer client.Close()
	target := carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i"}
	var requests sync.WaitGroup
	for worker := range 4 {
		requests.Go(func() {
			for i := range 200 {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				_, err := client.SearchShard(ctx, target, newShardRequest(fmt.Sprintf("w%d-%d", worker, i), "/x/1"))
				cancel()
				assert.Check(t, err)
			}
		})
	}
	requests.Wait()
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	assert.Assert(t, searcher.connCount <= 4, "%d connections", searcher.connCount)
}

// Guards against a request that arrives twice, or is reported as not run although it arrived, when the connection breaks
// at any byte.
func TestHTTPCutAtEachByte(t *testing.T) {
	searcher := newRawSearcher(t)
	faultProxy := newFaultProxy(t, searcher.listener.Addr().String())
	defer func() { _ = faultProxy.listener.Close() }()
	searcher.replyFormat = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
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
		target := carobthread.Searcher{Name: "s", Address: faultProxy.listener.Addr().String(), Instance: "i"}
		faultProxy.setLimits(-1, -1)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := client.SearchShard(ctx, target, newShardRequest("warm", "/x/1"))
		assert.NilError(t, err)
		faultProxy.setLimits(request, reply)
		result, err := client.SearchShard(ctx, target, newShardRequest(id, "/x/1"))
		var failure *carobthread.RequestError
		if errors.As(err, &failure) {
			return failure.State
		}
		assert.NilError(t, err)
		assert.Equal(t, string(result.HTTP.Body), "sure")
		return carobthread.Ran
	}
	assert.Equal(t, try("w0000", -1, -1), carobthread.Ran)
	sent, received := faultProxy.transferred[0].Load(), faultProxy.transferred[1].Load()
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

// Guards against a request that reaches a searcher that has left, because the request waited for a connection, and
// against the connections of removed searchers, which would accumulate with each replacement.
func TestHTTPLeavingSearcher(t *testing.T) {
	searcher := newRawSearcher(t)
	searcher.replyFormat = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
	release := make(chan struct{})
	searcher.mutex.Lock()
	searcher.hold = release
	searcher.mutex.Unlock()
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
	defer client.Close()
	target := carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i"}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	results := make(chan error, 2)
	send := func(id string) {
		_, err := client.SearchShard(ctx, target, newShardRequest(id, "/x/1"))
		results <- err
	}
	go send("first")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		searcher.mutex.Lock()
		defer searcher.mutex.Unlock()
		if len(searcher.requests) == 0 {
			return poll.Continue("the first request has not arrived")
		}
		return poll.Success()
	})
	go send("second")
	client.SetLeaving("s", true)
	var failure *carobthread.RequestError
	assert.Assert(t, errors.As(<-results, &failure) && failure.State == carobthread.NotRun)
	close(release)
	assert.NilError(t, <-results, "a request that was written before SetLeaving must succeed")
	client.SetLeaving("s", false)
	send("third")
	assert.NilError(t, <-results)
	client.Forget("s")
	send("fourth")
	assert.NilError(t, <-results)
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	assert.Equal(t, len(searcher.requests), 3)
	assert.Equal(t, searcher.connCount, 2)
}

// describeBackpressure returns nothing for a reply without backpressure.
func describeBackpressure(stated *carobthread.Backpressure) string {
	if stated == nil || *stated == (carobthread.Backpressure{}) {
		return ""
	}
	return fmt.Sprintf(" rate limit %v leaving %v retry after %d us", stated.RateLimit, stated.Leaving, stated.RetryAfterMicros)
}

// startBrokenSearcher starts a searcher that writes the given bytes to each connection and then what follows forever, and counts
// the connections that its callers have closed.
func startBrokenSearcher(t *testing.T, start, endless string) (address string, closed *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed = &atomic.Int64{}
	var handlers sync.WaitGroup
	handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() {
				defer func() { _ = conn.Close() }()
				_, err := conn.Write([]byte(start))
				for err == nil {
					_, err = conn.Write([]byte(endless))
				}
				closed.Add(1)
			})
		}
	})
	t.Cleanup(func() {
		assert.Check(t, listener.Close())
		handlers.Wait()
	})
	return listener.Addr().String(), closed
}

// Guards against a reply without end, in its head or its body, that is read until the deadline of its attempt and held in
// memory meanwhile.
func TestHTTPEndlessReplies(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\n"
	line := strings.Repeat("x", 1000)
	for name, reply := range map[string][2]string{
		"header line":   {head + "X-Long: ", line},
		"header lines":  {head, "X-More: " + line + "\r\n"},
		"status line":   {"", line},
		"informational": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":          {head + "\r\n", line},
		"chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk header":  {head + "Transfer-Encoding: chunked\r\n\r\n1;", line},
		"trailer":       {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + line + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := startBrokenSearcher(t, reply[0], reply[1])
			client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1, MaxReplySize: 100_000})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := client.SearchShard(ctx, carobthread.Searcher{Name: "s", Address: address, Instance: "i"}, newShardRequest("r", "/x/1"))
			var failure *carobthread.RequestError
			assert.Assert(t, errors.As(err, &failure) && failure.State == carobthread.MayHaveRun, "%v", err)
			assert.NilError(t, ctx.Err())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if closed.Load() == 0 {
					return poll.Continue("the connection is still open")
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
		})
	}
}

// Guards against a reply without a body that is refused because the length that it states for a GET exceeds the limit.
func TestHTTPReplyToHead(t *testing.T) {
	searcher := newRawSearcher(t)
	searcher.replyFormat = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 1000000000\r\n\r\n"
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
	defer client.Close()
	for _, id := range []string{"r1", "r2"} {
		request := newShardRequest(id, "/x/1")
		request.Request.HTTP.Method, request.Request.Body = http.MethodHead, nil
		reply, err := client.SearchShard(t.Context(), carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i"}, request)
		assert.NilError(t, err)
		assert.Equal(t, reply.Status, carobthread.ReplyOK)
	}
}

// Guards against a header that is read far beyond its limit because the limit of the body applies to both.
func TestHTTPHeaderLimit(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		// The header is over its limit and stops there, as if the rest were on its way.
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nResponse-Seal: " + strings.Repeat("s", 200<<10)))
		_, _ = io.Copy(io.Discard, conn)
	}()
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = client.SearchShard(ctx, carobthread.Searcher{Name: "s", Address: listener.Addr().String(), Instance: "i"}, newShardRequest("r", "/x/1"))
	var failure *carobthread.RequestError
	assert.Assert(t, errors.As(err, &failure) && failure.State == carobthread.MayHaveRun, "%v", err)
	assert.NilError(t, ctx.Err(), "the header was read until the deadline")
}

// Guards against a reply whose head breaks off, with its connection closed in order, that is taken for a complete one.
func TestHTTPTruncatedHead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n\r\n"
	for length := range len(head) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn)) // unread bytes would reset the connection
			_, _ = conn.Write([]byte(head[:length]))
			_ = conn.Close()
		}()
		client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
		_, err = client.SearchShard(t.Context(), carobthread.Searcher{Name: "s", Address: listener.Addr().String(), Instance: "i"}, newShardRequest("r", "/x/1"))
		var failure *carobthread.RequestError
		assert.Check(t, errors.As(err, &failure) && failure.State == carobthread.MayHaveRun, "after %d bytes: %v", length, err)
		client.Close()
		assert.NilError(t, listener.Close())
	}
}

// Guards against many replies without end that fill the memory together, each within its own limit.
func TestHTTPLargeRepliesTogether(t *testing.T) {
	const (
		attempts = 8
		fitting  = 2 // of the incomplete replies below
	)
	// Each reply stops short of its limit, so that nothing but the limit of all replies ends it before the deadline.
	part := "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 900000\r\n\r\n" + strings.Repeat("x", 800_000)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Write([]byte(part))
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	client := caller.NewHTTP(caller.HTTPOptions{
		Headers: platform.Headers(), Timer: timer.New(), Connections: attempts, MaxReplySize: 1_000_000, MaxLargeReplyBytes: fitting * 1_000_000,
	})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var refused atomic.Int64
	var running sync.WaitGroup
	for index := range attempts {
		running.Go(func() {
			_, err := client.SearchShard(ctx, carobthread.Searcher{Name: "s", Address: listener.Addr().String(), Instance: "i"}, newShardRequest(fmt.Sprint("r", index), "/x/1"))
			assert.Check(t, err != nil)
			if ctx.Err() == nil {
				refused.Add(1)
			}
		})
	}
	running.Wait()
	assert.Assert(t, refused.Load() >= attempts-fitting-1, "%d of %d replies ended before the deadline", refused.Load(), attempts)
}
