package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/forwarder"
	"carobthread/platform"
	"carobthread/router"
	"carobthread/server"
	"carobthread/timer"
)

// waitingRunner runs each query until its caller leaves.
type waitingRunner struct{}

func (waitingRunner) RunQuery(ctx context.Context, _ server.Query) (server.Outcome, error) {
	<-ctx.Done()
	return server.Outcome{}, ctx.Err()
}

// Guards against a caller that closes only its sending side and gets an empty 200 that no searcher gave, from net/http, because
// its request was given up without an answer.
func TestCallerThatHalfClosesGetsNoAnswer(t *testing.T) {
	ended := make(chan forwarder.RequestRecord, 1)
	handler := forwarder.New(forwarder.Options{
		Headers: platform.Headers(), QueryRunner: waitingRunner{}, Timer: timer.NewManual(carobthread.At(time.Unix(1, 0))),
		OnRequestEnd: func(record *forwarder.RequestRecord) { ended <- *record },
	})
	handler.SetRouter(router.New(routes()))
	httpServer := httptest.NewServer(handler)
	defer httpServer.Close()
	for _, request := range []string{
		"POST /book/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"GET /search/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r2\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", httpServer.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, request)
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Equal(t, string(answer), "")
		assert.NilError(t, conn.Close())
		record := <-ended
		assert.Assert(t, record.CallerGone && record.Status == 0)
	}
}
