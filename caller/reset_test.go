package caller_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/caller"
	"carobthread/platform"
	"carobthread/rpc/carobthreadv1"
	"carobthread/timer"
)

const (
	// longBodySize is the largest body that the platform's routing tables permit; it is written while the reply is read.
	longBodySize = 256 << 10
	// resetRequests is the number of requests whose replies are reset. The operating system reports each reset either to the
	// writer of the request or to the reader of the reply.
	resetRequests = 100
	wholeReply    = "0123456789"
)

// longRequest returns a request whose body is still being written when its reply arrives.
func longRequest() *carobthread.ShardRequest {
	request := newShardRequest("r1", "/x/1")
	request.Request.Body = make([]byte, longBodySize)
	return request
}

// resetAfter sends a reply and resets the connection while the request is being written.
func resetAfter(reply string) func(conn *net.TCPConn, reader *bufio.Reader) {
	return func(conn *net.TCPConn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, reply)
			_ = conn.SetLinger(0)
		}
	}
}

// searchOften sends requests at the same time and returns the replies and errors.
func searchOften(t *testing.T, searcher carobthread.Searcher) (replies []*carobthread.ShardReply, failures []error) {
	t.Helper()
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 4})
	defer client.Close()
	var mutex sync.Mutex
	var requests sync.WaitGroup
	for range 4 {
		requests.Go(func() {
			for range resetRequests / 4 {
				reply, err := client.SearchShard(t.Context(), searcher, longRequest())
				mutex.Lock()
				if err == nil {
					replies = append(replies, reply)
				} else {
					failures = append(failures, err)
				}
				mutex.Unlock()
			}
		})
	}
	requests.Wait()
	return replies, failures
}

// Guards against a part of a reply that counts as the whole one because the reset of its connection was reported to the
// goroutine that writes the request's long body, so that the reader sees the end of the stream.
func TestHTTPReplyResetDuringLongBodyIsNeverComplete(t *testing.T) {
	const head = "\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
	for name, reply := range map[string]string{
		"without length":      "HTTP/1.1 200 OK" + head + "\r\n" + wholeReply[:5],
		"without length, 1.0": "HTTP/1.0 200 OK" + head + "Transfer-Encoding: chunked\r\n\r\n" + wholeReply[:5],
		"failure":             "HTTP/1.1 500 No" + head + "\r\n" + wholeReply[:5],
		"length":              "HTTP/1.1 200 OK" + head + "Content-Length: 10\r\n\r\n" + wholeReply[:5],
		"chunks":              "HTTP/1.1 200 OK" + head + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + wholeReply[:5] + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			replies, failures := searchOften(t, startSearcher(t, resetAfter(reply)))
			for _, reply := range replies {
				assert.Check(t, reply.HTTP == nil, "a reply that was reset counts as the complete %q", reply.HTTP.Body)
			}
			for _, err := range failures {
				var failure *carobthread.RequestError
				assert.Assert(t, errors.As(err, &failure))
				assert.Check(t, failure.State == carobthread.MayHaveRun, "%v", err)
			}
		})
	}
}

// Guards against a rejection that counts as a request that may have run because its connection is reset after its header, as
// where a searcher rejects a request before it has read the long body. The header alone states that nothing has run.
func TestHTTPResetRejectionIsNotRun(t *testing.T) {
	for name, rejection := range map[string]struct {
		reply  string
		status carobthread.ReplyStatus
	}{
		"shed":        {"HTTP/1.1 503 No\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n\r\nfull", carobthread.ReplyShed},
		"misdirected": {"HTTP/1.1 421 No\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nother", carobthread.ReplyMisdirected},
	} {
		t.Run(name, func(t *testing.T) {
			replies, failures := searchOften(t, startSearcher(t, resetAfter(rejection.reply)))
			for _, reply := range replies {
				assert.Equal(t, reply.Status, rejection.status)
			}
			// The reset may arrive before the header is read.
			assert.Assert(t, len(replies) > 0, "%d requests failed", len(failures))
		})
	}
}

// Guards against a complete reply without a length that is refused, or held until the deadline, since its searcher has not read
// the whole request when it answers.
func TestHTTPReplyWithoutLengthToLongBody(t *testing.T) {
	const reply = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n\r\n" + wholeReply
	for name, serve := range map[string]func(conn *net.TCPConn, request *http.Request){
		"after the body": func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, reply)
		},
		"before the body": func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, reply)
			_, _ = io.Copy(io.Discard, request.Body)
		},
		"body left unread": func(conn *net.TCPConn, _ *http.Request) {
			_ = conn.SetReadBuffer(4 << 10) // keeps the writer waiting
			_, _ = io.WriteString(conn, reply)
			_ = conn.CloseWrite()
			time.Sleep(100 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			searcher := startSearcher(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				if request, err := http.ReadRequest(reader); err == nil {
					serve(conn, request)
				}
			})
			replies, failures := searchOften(t, searcher)
			for _, err := range failures {
				assert.NilError(t, err)
			}
			for _, reply := range replies {
				assert.Equal(t, string(reply.HTTP.Body), wholeReply)
			}
		})
	}
}

// Guards against a reply of the searcher API without a length, whose end can't be told from that of a part of it.
func TestReplyWithoutLengthIsRefused(t *testing.T) {
	reply := "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n"
	for name, serve := range map[string]func(conn *net.TCPConn, reader *bufio.Reader){
		"reset": resetAfter(reply),
		"closed": func(conn *net.TCPConn, reader *bufio.Reader) {
			if request, err := http.ReadRequest(reader); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, reply)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			searcher := startSearcher(t, serve)
			client := caller.New(caller.Options{Connections: 1})
			defer client.Close()
			run := &carobthreadv1.RunRequest{Service: "book", Payload: []byte(strings.Repeat("x", longBodySize))}
			_, err := client.Run(t.Context(), searcher, run, permit)
			var failure *carobthread.RequestError
			assert.Assert(t, errors.As(err, &failure), "an empty reply without a length counts as complete")
			assert.Equal(t, failure.State, carobthread.MayHaveRun)
		})
	}
}
