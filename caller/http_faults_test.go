package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/caller"
	"carobthread/platform"
	"carobthread/timer"
)

// startSearcher serves each connection with the given function until the test ends, and returns its address.
func startSearcher(t *testing.T, serve func(conn *net.TCPConn, reader *bufio.Reader)) carobthread.Searcher {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	return carobthread.Searcher{Name: "s", Address: listener.Addr().String(), Instance: "i"}
}

// echoReply is a complete reply to the request with the ID; withID states whether it echoes the ID.
func echoReply(id string, withID bool) string {
	echo := ""
	if withID {
		echo = "Request-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 200 OK\r\n" + echo + "Response-Seal: seal-" + id + "\r\nContent-Length: 2\r\n\r\n" + id
}

// Guards against a second copy of a reply, on a connection that is in use again, that is taken for the reply to the next
// request: with and without the request ID, before, during and after that request, in one piece and byte by byte.
func TestHTTPSecondCopyIsNeverTheNextReply(t *testing.T) {
	const pause = 10 * time.Millisecond
	type copyCase struct {
		when    string
		withID  bool
		inBytes bool
	}
	var cases []copyCase
	for _, when := range []string{"with the reply", "while idle", "before the next reply", "after the next reply"} {
		for _, withID := range []bool{true, false} {
			for _, inBytes := range []bool{true, false} {
				cases = append(cases, copyCase{when, withID, inBytes})
			}
		}
	}
	for _, current := range cases {
		t.Run(fmt.Sprintf("%s, with ID %v, in bytes %v", current.when, current.withID, current.inBytes), func(t *testing.T) {
			searcher := startSearcher(t, func(conn *net.TCPConn, reader *bufio.Reader) {
				previous := ""
				sendCopy := func() {
					content := echoReply(previous, current.withID)
					step := len(content)
					if current.inBytes {
						step = 1
					}
					for ; len(content) > 0; content = content[step:] {
						_, _ = conn.Write([]byte(content[:step]))
						if step == 1 {
							time.Sleep(50 * time.Microsecond)
						}
					}
				}
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					id := request.Header.Get("Request-Id")
					if previous != "" && current.when == "before the next reply" {
						sendCopy()
					}
					_, _ = conn.Write([]byte(echoReply(id, true)))
					switch {
					case previous == "" && current.when == "with the reply", previous != "" && current.when == "after the next reply":
						previous = id
						sendCopy()
					case previous == "" && current.when == "while idle":
						previous = id
						time.Sleep(pause / 2)
						sendCopy()
					}
					previous = id
				}
			})
			client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
			defer client.Close()
			for turn := range 8 {
				id := fmt.Sprintf("r%d", turn)
				request := newShardRequest(id, "/x/1")
				request.Request.Body = nil
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				reply, err := client.SearchShard(ctx, searcher, request)
				cancel()
				if err == nil {
					assert.Equal(t, string(reply.HTTP.Body), id)
					assert.Equal(t, reply.HTTP.Signature, "seal-"+id)
				} else {
					var failure *carobthread.RequestError
					assert.Assert(t, errors.As(err, &failure), "%v", err)
					assert.Equal(t, failure.State, carobthread.MayHaveRun, "%v", err)
				}
				time.Sleep(pause)
			}
		})
	}
}

// Guards against a connection on which a request without an ID was sent: its late copy couldn't be told from the next reply.
func TestHTTPRequestWithoutIDUsesOwnConnection(t *testing.T) {
	searcher := newRawSearcher(t)
	searcher.replyFormat = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
	defer client.Close()
	target := carobthread.Searcher{Name: "s", Address: searcher.listener.Addr().String(), Instance: "i"}
	for _, id := range []string{"r1", "r2", "", "r3"} {
		_, err := client.SearchShard(t.Context(), target, newShardRequest(id, "/x/1"))
		assert.NilError(t, err)
	}
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	assert.Equal(t, searcher.connCount, 3)
}

// Guards against a reply that breaks off at any byte, in any framing, with a reset or an orderly end, and counts as complete.
// Only a reply without a length may end with its connection, and only if that is closed in order.
func TestHTTPBrokenReplyIsNeverComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
	for _, framing := range []struct{ name, reply string }{
		{"length", head + "Content-Length: 10\r\n\r\n0123456789"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"},
		{"no-length", head + "\r\n0123456789"},
		{"close", head + "Connection: close\r\nContent-Length: 10\r\n\r\n0123456789"},
	} {
		for _, reset := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reset %v", framing.name, reset), func(t *testing.T) {
				for cut := range len(framing.reply) + 1 {
					searcher := startSearcher(t, func(conn *net.TCPConn, reader *bufio.Reader) {
						if _, err := http.ReadRequest(reader); err != nil {
							return
						}
						_, _ = conn.Write([]byte(framing.reply[:cut]))
						if reset {
							time.Sleep(time.Millisecond) // until the caller has received the bytes
							_ = conn.SetLinger(0)
						}
					})
					client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
					request := newShardRequest("r1", "/x/1")
					request.Request.Body = nil
					reply, err := client.SearchShard(t.Context(), searcher, request)
					client.Close()
					whole := cut == len(framing.reply)
					if framing.name == "no-length" {
						whole = !reset && cut >= strings.Index(framing.reply, "\r\n\r\n")+4
					}
					if whole {
						assert.NilError(t, err, "cut at %d", cut)
						assert.Assert(t, framing.name == "no-length" || string(reply.HTTP.Body) == "0123456789", "%q", reply.HTTP.Body)
						continue
					}
					var failure *carobthread.RequestError
					assert.Assert(t, errors.As(err, &failure), "a reply cut at byte %d of %d counts as complete", cut, len(framing.reply))
					assert.Equal(t, failure.State, carobthread.MayHaveRun, "cut at byte %d", cut)
				}
			})
		}
	}
}

// Guards against a reply that crashes the host, or that counts as a success without the searcher's signature.
func FuzzHTTPReply(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nNot-Executed:\r\nRetry-After: 1e99\r\nServer-Load: ,,\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\nKeep-Alive: timeout=99999999999999999999\r\n\r\n"))
	f.Add([]byte("\x00\xff"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f, err)
	f.Cleanup(func() { assert.Check(f, listener.Close()) })
	replies := make(chan []byte, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = conn.Write(<-replies)
			_ = conn.Close()
		}
	}()
	searcher := carobthread.Searcher{Name: "s", Address: listener.Addr().String(), Instance: "i"}
	f.Fuzz(func(t *testing.T, content []byte) {
		client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
		defer client.Close()
		replies <- content
		reply, err := client.SearchShard(t.Context(), searcher, newShardRequest("r1", "/x/1"))
		if err == nil && reply.Status == carobthread.ReplyOK {
			assert.Check(t, reply.HTTP.Signature != "")
		}
	})
}
