package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/caller"
	"carobthread/platform"
	"carobthread/rpc/carobthreadv1"
	"carobthread/timer"
)

// invalidStatuses are status codes that net/http accepts in a status line and that are no final statuses.
var invalidStatuses = []string{"000", "001", "+99", "099", "101", "600", "700", "999"} //nolint:gochecknoglobals // a constant list

// statusTimeout ends an attempt that waits for another reply after an invalid one.
const statusTimeout = 2 * time.Second

// startFaulty starts a searcher that answers the first request of each connection with the text, and further ones as a usual
// searcher does; it counts the connections.
func startFaulty(t *testing.T, text string) (searcher carobthread.Searcher, connCount *atomic.Int64) {
	t.Helper()
	connCount = &atomic.Int64{}
	searcher = startSearcher(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		connCount.Add(1)
		for reply := text; ; reply = "" {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if reply == "" {
				reply = echoReply(request.Header.Get("Request-Id"), true)
			}
			_, _ = io.WriteString(conn, reply)
		}
	})
	return searcher, connCount
}

func assertFailedAfterSend(t *testing.T, err error) {
	t.Helper()
	var failure *carobthread.RequestError
	assert.Assert(t, errors.As(err, &failure), "the reply was accepted: %v", err)
	assert.Equal(t, failure.State, carobthread.MayHaveRun, "%v", err)
	assert.ErrorContains(t, err, "status")
}

// Guards against a reply with an invalid status that reaches a caller, that proves that a request has not run, or that lets
// the bytes after its header count as the reply.
func TestHTTPInvalidStatusIsNoReply(t *testing.T) {
	const body = "Content-Length: 4\r\n\r\nsure"
	valid := echoReply("r1", true)
	for name, rest := range map[string]string{
		"unsigned":            body,
		"signed":              "Response-Seal: s\r\n" + body,
		"not run":             "Not-Executed: 1\r\n" + body,
		"signed and not run":  "Response-Seal: s\r\nNot-Executed: 1\r\n" + body,
		"followed by a reply": "\r\n" + valid,
		"a reply as its body": fmt.Sprintf("Content-Length: %d\r\n\r\n", len(valid)) + valid,
	} {
		for _, status := range invalidStatuses {
			t.Run(status+", "+name, func(t *testing.T) {
				searcher, connCount := startFaulty(t, "HTTP/1.1 "+status+" Fault\r\nRequest-Id: r1\r\n"+rest)
				client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
				defer client.Close()
				ctx, cancel := context.WithTimeout(t.Context(), statusTimeout)
				defer cancel()
				for range 2 {
					_, err := client.SearchShard(ctx, searcher, newShardRequest("r1", "/x/1"))
					assertFailedAfterSend(t, err)
				}
				assert.Equal(t, connCount.Load(), int64(2), "the connection was reused")
			})
		}
	}
}

// Guards against the same on connections of the searcher API, whose errors may name any state.
func TestInvalidStatusIsNoReply(t *testing.T) {
	const rest = " Fault\r\nContent-Type: application/json\r\nContent-Length: 22\r\n\r\n{\"code\":\"unavailable\"}"
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			searcher, connCount := startFaulty(t, "HTTP/1.1 "+status+rest)
			client := caller.New(caller.Options{Connections: 1})
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), statusTimeout)
			defer cancel()
			for range 2 {
				_, err := client.SearchShard(ctx, searcher, newShardRequest("r1", "/x/1"))
				assertFailedAfterSend(t, err)
			}
			assert.Equal(t, connCount.Load(), int64(2), "the connection was reused")
			_, err := client.Run(ctx, searcher, &carobthreadv1.RunRequest{Service: "s", Key: "k"}, func() error { return nil })
			assertFailedAfterSend(t, err)
		})
	}
}
