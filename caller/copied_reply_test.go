package caller_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/caller"
	"carobthread/platform"
	"carobthread/rpc/carobthreadv1"
	"carobthread/timer"
)

// startCopyingSearcher starts a searcher that answers the first arrival of each request with rejection and later ones with
// result. If a request arrives on the connection on which it was rejected, a second copy of the rejection comes first.
func startCopyingSearcher(t *testing.T, rejection, result string) (searcher carobthread.Searcher, connCount func() int) {
	t.Helper()
	var mutex sync.Mutex
	conns := 0
	rejectedOn := map[string]int{} // the connection that carried the rejection, by request
	searcher = startSearcher(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		mutex.Lock()
		conns++
		number := conns
		mutex.Unlock()
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body := make([]byte, max(0, request.ContentLength))
			_, _ = request.Body.Read(body)
			key := request.Header.Get("Request-Id") + string(body)
			mutex.Lock()
			earlier, again := rejectedOn[key]
			rejectedOn[key] = number
			mutex.Unlock()
			if !again || earlier == number {
				_, _ = conn.Write([]byte(rejection))
			}
			if again {
				_, _ = conn.Write([]byte(result))
			}
		}
	})
	return searcher, func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return conns
	}
}

// Guards against a late second copy of an answer without a result that is taken for the answer to the next send of the same
// request: the copy has the request's own ID. A request that may run once at most was counted as not run and ran twice.
func TestHTTPCopyOfRejectionIsNotTheRetrysReply(t *testing.T) {
	const result = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nsure"
	for name, head := range map[string]string{
		"rejected":      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
		"rate limit":    "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\n",
		"misdirected":   "HTTP/1.1 421 Misdirected Request\r\n",
		"failed":        "HTTP/1.1 500 Internal Server Error\r\nResponse-Seal: f\r\n",
		"not a success": "HTTP/1.1 200 OK\r\n",
	} {
		for _, connections := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d connections", name, connections), func(t *testing.T) {
				rejection := head + "Request-Id: r\r\nContent-Length: 0\r\n\r\n"
				searcher, connCount := startCopyingSearcher(t, rejection, result)
				client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: connections})
				defer client.Close()
				reply, err := client.SearchShard(t.Context(), searcher, newShardRequest("r", "/x/1"))
				assert.NilError(t, err)
				assert.Assert(t, reply.Status != carobthread.ReplyOK)
				reply, err = client.SearchShard(t.Context(), searcher, newShardRequest("r", "/x/1"))
				assert.NilError(t, err)
				assert.Equal(t, reply.Status, carobthread.ReplyOK)
				assert.Equal(t, connCount(), 2)
			})
		}
	}
}

// Guards against the same mistake at a searcher of the searcher API, whose answers name the key of their request.
func TestRunCopyOfRejectionIsNotTheRetrysReply(t *testing.T) {
	encode := func(response *carobthreadv1.RunResponse) string {
		content, err := proto.Marshal(response)
		assert.NilError(t, err)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
	}
	searcher, connCount := startCopyingSearcher(t,
		encode(&carobthreadv1.RunResponse{Key: "k", NotRun: true}), encode(&carobthreadv1.RunResponse{Key: "k", Result: []byte("done")}))
	client := caller.New(caller.Options{Connections: 1})
	defer client.Close()
	run := func() *carobthreadv1.RunResponse {
		response, err := client.Run(t.Context(), searcher, &carobthreadv1.RunRequest{Key: "k", Service: "booking"}, func() error { return nil })
		assert.NilError(t, err)
		return response
	}
	assert.Assert(t, run().GetNotRun())
	assert.Equal(t, string(run().GetResult()), "done")
	assert.Equal(t, connCount(), 2)
}

// Guards against connections that are opened anew for each request while a searcher turns requests away, and against a
// record of those requests that grows for as long as a connection is open.
func TestHTTPRejectionsKeepConnection(t *testing.T) {
	const maxUnresolved = 256
	client := caller.NewHTTP(caller.HTTPOptions{Headers: platform.Headers(), Timer: timer.New(), Connections: 1})
	defer client.Close()
	searcher := newRawSearcher(t)
	searcher.replyFormat = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	target := carobthread.Searcher{Name: "r", Address: searcher.listener.Addr().String(), Instance: "i"}
	send := func(from, to int) {
		for index := from; index < to; index++ {
			reply, err := client.SearchShard(t.Context(), target, newShardRequest(fmt.Sprint("r", index), "/x/1"))
			assert.NilError(t, err)
			assert.Equal(t, reply.Status, carobthread.ReplyShed)
		}
	}
	count := func() int {
		searcher.mutex.Lock()
		defer searcher.mutex.Unlock()
		return searcher.connCount
	}
	send(0, maxUnresolved)
	assert.Equal(t, count(), 1)
	send(maxUnresolved, maxUnresolved+1)
	assert.Equal(t, count(), 2)
}
