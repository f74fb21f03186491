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
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread"
	"carobthread/accountant"
	"carobthread/caller"
	"carobthread/limiter"
	"carobthread/platform"
	"carobthread/timer"
)

// newLimitedCaller returns a caller with a memory limit, whose transfers are timed by a manual clock.
func newLimitedCaller(t *testing.T, memory int) (*caller.HTTPCaller, *accountant.Accountant, *timer.Manual) {
	t.Helper()
	clock := timer.NewManual(carobthread.At(time.Unix(1, 0)))
	budget := accountant.New(accountant.Options{Timer: clock})
	budget.SetLimit(memory)
	client := caller.NewHTTP(caller.HTTPOptions{
		Headers: platform.Headers(), Timer: timer.New(), Connections: 16, BytesPerConnection: 1, Accountant: budget,
	})
	t.Cleanup(client.Close)
	return client, budget, clock
}

func awaitStats(t *testing.T, budget *accountant.Accountant, what string, reached func(stats limiter.MemoryStats) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if stats := budget.Stats(); !reached(stats) {
			return poll.Continue("%s: %+v", what, stats)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// sendAll sends requests with bodies of the size, each to its own result.
func sendAll(t *testing.T, client *caller.HTTPCaller, searcher carobthread.Searcher, count, size int) (results chan error) {
	t.Helper()
	results = make(chan error, count)
	for index := range count {
		request := newShardRequest(fmt.Sprint("r", index), "/x/1")
		request.Request.Body = make([]byte, size)
		go func() {
			_, err := client.SearchShard(t.Context(), searcher, request)
			results <- err
		}()
	}
	return results
}

func assertMayHaveRun(t *testing.T, results chan error) {
	t.Helper()
	select {
	case err := <-results:
		var failure *carobthread.RequestError
		assert.Assert(t, errors.As(err, &failure), "%v", err)
		assert.Equal(t, failure.State, carobthread.MayHaveRun, "%v", err)
	case <-time.After(10 * time.Second):
		t.Fatal("the attempt did not end")
	}
}

// Guards against searchers that send slowly and without end, whose replies fill the memory and fail the attempts at others.
func TestHTTPSearchersThatSendSlowlyAreCutOff(t *testing.T) {
	const attempts = 9 // of 4 KiB each, of a budget of 40 KiB
	client, budget, clock := newLimitedCaller(t, 160<<10)
	slow := startSearcher(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		_, err := http.ReadRequest(reader)
		for text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"; err == nil; text = "1\r\nx\r\n" {
			_, err = io.WriteString(conn, text)
			time.Sleep(time.Millisecond)
		}
	})
	results := sendAll(t, client, slow, attempts, 10)
	awaitStats(t, budget, "all replies are being read", func(stats limiter.MemoryStats) bool { return stats.Held[carobthread.MemoryReplies] >= attempts*4<<10 })
	clock.Advance(time.Second)
	awaitStats(t, budget, "usage fell below the second mark", func(stats limiter.MemoryStats) bool { return stats.Marks < limiter.MemoryAboveSecondMark })
	for range budget.Stats().Slow {
		assertMayHaveRun(t, results)
	}
	usual := startSearcher(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, echoReply("r1", true))
	})
	usual.Name = "usual"
	reply, err := client.SearchShard(t.Context(), usual, newShardRequest("r1", "/x/1"))
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, carobthread.ReplyOK)
}

// Guards against a searcher that does not read a request, and holds its body until the deadline, which may be far.
func TestHTTPSearcherThatReadsNothingIsCutOff(t *testing.T) {
	client, budget, clock := newLimitedCaller(t, 160<<20)
	searcher := startSearcher(t, func(conn *net.TCPConn, _ *bufio.Reader) {
		_ = conn.SetReadBuffer(4 << 10)
		<-t.Context().Done()
	})
	results := sendAll(t, client, searcher, 1, 32<<20)
	awaitStats(t, budget, "the body is being sent", func(stats limiter.MemoryStats) bool { return stats.Held[carobthread.MemorySentBodies] > 0 })
	time.Sleep(200 * time.Millisecond) // until the buffers of the operating system are full
	clock.Advance(6 * time.Second)
	assertMayHaveRun(t, results)
	awaitStats(t, budget, "the body is released", func(stats limiter.MemoryStats) bool { return stats.Total == 0 })
}

// Guards against a searcher that crashes because this host sends it many large requests at once, and against a request that
// is never sent because it alone exceeds the bound.
func TestHTTPBytesInFlightToSearcherAreBounded(t *testing.T) {
	const size = 200 << 10 // two fit into 512 KiB
	client, _, _ := newLimitedCaller(t, 160<<20)
	arrived, release := make(chan struct{}, 16), make(chan struct{})
	searcher := startSearcher(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			arrived <- struct{}{}
			<-release
			_, _ = io.WriteString(conn, echoReply(request.Header.Get("Request-Id"), true))
		}
	})
	results := sendAll(t, client, searcher, 3, size)
	<-arrived
	<-arrived
	request := newShardRequest("waiting", "/x/1")
	request.Request.Body = []byte(strings.Repeat("x", size))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := client.SearchShard(ctx, searcher, request)
	var failure *carobthread.RequestError
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.State, carobthread.NotRun)
	assert.Equal(t, len(arrived), 0, "a third large request was sent")
	small := sendAll(t, client, searcher, 1, 100)
	<-arrived // a small request does not wait for the large ones
	close(release)
	for range 3 {
		assert.NilError(t, <-results)
	}
	assert.NilError(t, <-small)
	assert.NilError(t, <-sendAll(t, client, searcher, 1, 2<<20), "a request that alone exceeds the bound is sent")
}
