package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread"
	"carobthread/accountant"
	"carobthread/forwarder"
	"carobthread/limiter"
	"carobthread/platform"
	"carobthread/router"
	"carobthread/server"
	"carobthread/timer"
)

const (
	largeAnswer   = 1 << 20
	processMemory = 160 << 20 // a budget of 40 large answers
)

// answeringRunner answers requests for /large with largeAnswer bytes, and all others with a few.
type answeringRunner struct{ queries atomic.Int64 }

func (runner *answeringRunner) RunQuery(_ context.Context, query server.Query) (server.Outcome, error) {
	runner.queries.Add(1)
	body := []byte("sure")
	if query.Request.HTTP.Target == "/large" {
		body = make([]byte, largeAnswer)
	}
	reply := &carobthread.ShardReply{HTTP: &carobthread.HTTPReply{Status: http.StatusOK, Signature: "s", Body: body}}
	return server.Outcome{Answer: &carobthread.AnswerQuery{}, Replies: []*carobthread.ShardReply{reply}}, nil
}

// limitedServer is a forwarder with a memory limit, whose transfers are timed by a manual clock.
type limitedServer struct {
	address    string
	clock      *timer.Manual
	accountant *accountant.Accountant
	runner     answeringRunner
}

func startLimited(t *testing.T) *limitedServer {
	t.Helper()
	limited := &limitedServer{clock: timer.NewManual(carobthread.At(time.Unix(1, 0)))}
	limited.accountant = accountant.New(accountant.Options{Timer: limited.clock})
	limited.accountant.SetLimit(processMemory)
	handler := forwarder.New(forwarder.Options{
		Headers: platform.Headers(), QueryRunner: &limited.runner, Timer: limited.clock, Accountant: limited.accountant,
	})
	handler.SetRouter(router.New(&carobthread.RoutingTable{Version: 1, Routes: []carobthread.Route{{
		Name: "all", Host: "a.example", Prefix: "/", Timeout: time.Minute, Backends: []carobthread.Backend{{Group: "g", Weight: 1}},
	}}}))
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limited.address = listener.Addr().String()
	set := newConnections(timer.New())
	set.sendBuffer = callerSendBuffer
	callers := &http.Server{Handler: handler}
	tracked := set.track(callers, listener)
	go func() { _ = callers.Serve(tracked) }()
	t.Cleanup(func() { assert.Check(t, callers.Close()) })
	return limited
}

// send opens a connection and sends the text; the operating system receives only little of what the test does not read.
func (limited *limitedServer) send(t *testing.T, text string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", limited.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	tcp := conn.(*net.TCPConn)
	assert.NilError(t, tcp.SetReadBuffer(4<<10))
	assert.NilError(t, tcp.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(tcp, text)
	assert.NilError(t, err)
	return tcp
}

// result reads the answer on a connection.
func result(conn net.Conn) string {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Sprintf("%d, incomplete", response.StatusCode)
	}
	return fmt.Sprintf("%d %.20q, retry after %q", response.StatusCode, body, response.Header.Get("Retry-After"))
}

func (limited *limitedServer) awaitStats(t *testing.T, what string, reached func(stats limiter.MemoryStats) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if stats := limited.accountant.Stats(); !reached(stats) {
			return poll.Continue("%s: %+v", what, stats)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Guards against callers that read nothing and hold the memory and the goroutines of their answers for minutes, that keep
// other callers from being served, or that receive an incomplete answer which looks complete.
func TestCallersThatReadNothingAreCutOff(t *testing.T) {
	const slowCallers = 36
	limited := startLimited(t)
	var slow []net.Conn
	for range slowCallers {
		slow = append(slow, limited.send(t, "GET /large HTTP/1.1\r\nHost: a.example\r\n\r\n"))
	}
	limited.awaitStats(t, "all answers are being written", func(stats limiter.MemoryStats) bool {
		return stats.Held[carobthread.MemoryAnswers] == slowCallers*largeAnswer
	})
	started := time.Now()
	assert.Equal(t, result(limited.send(t, "GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")), `200 "sure", retry after ""`)
	assert.Assert(t, time.Since(started) < time.Second)
	queries := limited.runner.queries.Load()
	assert.Equal(t, result(limited.send(t, rawRequest)), `503 "memory\n", retry after "0.250"`)
	assert.Equal(t, limited.runner.queries.Load(), queries, "a refused request has run")

	limited.clock.Advance(time.Second)
	limited.awaitStats(t, "usage fell below the second mark", func(stats limiter.MemoryStats) bool { return stats.Marks < limiter.MemoryAboveSecondMark })
	assert.Assert(t, limited.accountant.Stats().Transfers > slowCallers/2, "more callers than necessary were cut off")
	limited.clock.Advance(6 * time.Second)
	limited.awaitStats(t, "all answers are released", func(stats limiter.MemoryStats) bool { return stats.Total == 0 && stats.Transfers == 0 })
	assert.Equal(t, result(limited.send(t, rawRequest)), `200 "sure", retry after ""`)
	for _, conn := range slow {
		assert.Assert(t, !strings.Contains(result(conn), "retry after"), "an incomplete answer looks complete")
	}
}

// Guards against callers that send their bodies too slowly and hold memory, and against a refusal of such a request that runs.
func TestCallersThatSendSlowlyAreRefused(t *testing.T) {
	limited := startLimited(t)
	slow := limited.send(t, "POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 50000))
	limited.awaitStats(t, "the body is being read", func(stats limiter.MemoryStats) bool { return stats.Held[carobthread.MemoryRequestBodies] >= 50000 })
	limited.clock.Advance(6 * time.Second)
	assert.Equal(t, result(slow), `503 "slow-caller\n", retry after "0.250"`)
	limited.awaitStats(t, "the body is released", func(stats limiter.MemoryStats) bool { return stats.Total == 0 })
	assert.Equal(t, limited.runner.queries.Load(), int64(0))
}
