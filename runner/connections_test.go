package runner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread/timer"
)

const rawRequest = "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody"

// drainedServer is a server whose connections are tracked. A request with the path /hold is answered when held is closed.
type drainedServer struct {
	address string
	set     *connections
	tcp     net.Listener
	held    chan struct{}
}

func startDrained(t *testing.T) *drainedServer {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	drained := &drainedServer{address: listener.Addr().String(), set: newConnections(timer.New()), held: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err == nil && request.URL.Path == "/hold" {
			<-drained.held
		}
		_, _ = writer.Write(body)
	})}
	drained.tcp = drained.set.track(server, listener)
	go func() { _ = server.Serve(drained.tcp) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			assert.Check(t, errors.Is(err, net.ErrClosed), "%v", err)
		}
	})
	return drained
}

// dial opens a connection that has carried one request.
func (drained *drainedServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", drained.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, rawRequest)
	assert.NilError(t, err)
	readAnswer(t, reader)
	return conn, reader
}

func readAnswer(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body")
}

// Guards against a stop that closes a connection under a request, at each byte of the request at which the stop begins.
func TestDrainAnswersRequestsBegunAtEachByte(t *testing.T) {
	drained := startDrained(t)
	type caller struct {
		conn   net.Conn
		reader *bufio.Reader
		sent   int
	}
	var callers []caller
	for sent := 1; sent <= len(rawRequest); sent++ {
		conn, reader := drained.dial(t)
		_, err := io.WriteString(conn, rawRequest[:sent])
		assert.NilError(t, err)
		callers = append(callers, caller{conn, reader, sent})
	}
	idle, idleReader := drained.dial(t)
	time.Sleep(50 * time.Millisecond) // until the server has read the bytes
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		drained.set.drain(ctx, drained.tcp)
		close(ended)
	}()
	_, err := idleReader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	_ = idle.Close()
	for _, caller := range callers {
		_, err := io.WriteString(caller.conn, rawRequest[caller.sent:])
		assert.NilError(t, err, "after %d bytes", caller.sent)
		readAnswer(t, caller.reader)
	}
	<-ended
	assert.NilError(t, ctx.Err())
}

// Guards against a stop that drops complete requests which arrive while it waits for others, as http.Server.Shutdown does,
// and against one that ends while a request is in progress.
func TestDrainAnswersRequestsThatArriveMeanwhile(t *testing.T) {
	drained := startDrained(t)
	holding, holdingReader := drained.dial(t)
	_, err := io.WriteString(holding, strings.Replace(rawRequest, "/book/1", "/hold", 1))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // until the server has read the request
	ended := make(chan struct{})
	go func() {
		drained.set.drain(t.Context(), drained.tcp)
		close(ended)
	}()
	for range 20 { // new connections, since idle ones are closed
		_, reader := drained.dial(t)
		_, err := reader.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
	}
	select {
	case <-ended:
		t.Fatal("the stop ended while a request was in progress")
	default:
	}
	close(drained.held)
	readAnswer(t, holdingReader)
	<-ended
}

// Guards against a stop that closes a connection on which the next request began to arrive before the previous one was
// answered: net/http reads the first byte of it meanwhile.
func TestDrainAnswersRequestsBegunDuringThePreviousOne(t *testing.T) {
	for _, sent := range []int{1, 2, len(rawRequest) - 1} {
		drained := startDrained(t)
		conn, reader := drained.dial(t)
		_, err := io.WriteString(conn, strings.Replace(rawRequest, "/book/1", "/hold", 1))
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // until the server has read the request
		_, err = io.WriteString(conn, rawRequest[:sent])
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // until the server has read the first byte
		close(drained.held)
		readAnswer(t, reader)
		ended := make(chan struct{})
		go func() {
			drained.set.drain(t.Context(), drained.tcp)
			close(ended)
		}()
		time.Sleep(20 * time.Millisecond)
		_, err = io.WriteString(conn, rawRequest[sent:])
		assert.NilError(t, err, "after %d bytes", sent)
		readAnswer(t, reader)
		<-ended
	}
}
