package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"carobthread"
	"carobthread/timer"
)

const (
	// closePollInterval is the time between two checks for idle connections of a stopping host.
	closePollInterval = 20 * time.Millisecond
	// firstByteTimeout is how long a stopping host waits for the first byte on a new connection.
	firstByteTimeout = time.Second
	// backgroundReadBytes is the size of net/http's reads while a handler runs, which detect that a caller has left. They
	// begin after the body, so that what they return belongs to the next request; other reads are larger.
	backgroundReadBytes = 1
	// http2Prefix begins the client preface of HTTP/2 and no HTTP/1.1 request.
	http2Prefix = "PRI"
)

// connectionState states whether a caller's connection may carry a request.
type connectionState = int32

const (
	connectionNew connectionState = iota
	connectionReceiving
	connectionIdle
	connectionMultiplexed // HTTP/2, which announces its end to the caller itself
	connectionClosed
)

// connections tracks callers' connections so that a stopping host closes only those without a request.
//
// http.Server.Shutdown is not enough: it closes an idle connection on which a
// part of a request has arrived, and it drops complete requests that arrive
// while it waits for others.
type connections struct {
	timer carobthread.Timer
	// sendBuffer is the size in bytes of the operating system's send buffers, or 0 for its own choice, which can be megabytes.
	sendBuffer int
	mutex      sync.Mutex
	open       map[*callerConnection]struct{}
}

func newConnections(timer carobthread.Timer) *connections {
	return &connections{timer: timer, open: map[*callerConnection]struct{}{}}
}

// track makes the server report the connections that it accepts from the returned listener. The listener must be a TCP
// listener.
func (set *connections) track(server *http.Server, listener net.Listener) net.Listener {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if tracked, ok := conn.(*callerConnection); ok && state == http.StateIdle {
			tracked.endRequest()
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// The request may have arrived together with the previous one, without another read from the connection.
		if tracked, ok := request.Context().Value(connectionKey{}).(*callerConnection); ok {
			tracked.state.CompareAndSwap(connectionIdle, connectionReceiving)
		}
		handler.ServeHTTP(writer, request)
	})
	return &trackedListener{Listener: listener, set: set}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// drain closes the connections that carry no request as they become idle. It returns once none is left, except those of
// HTTP/2, or when the context ends; listener is closed before that, and requests on connections that were accepted before
// are still served.
func (set *connections) drain(ctx context.Context, listener net.Listener) {
	for set.closeIdle() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, set.timer, closePollInterval)
	}
	_ = listener.Close() // the process ends
	for set.closeIdle() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, set.timer, closePollInterval)
	}
}

// closeIdle closes the connections that carry no request and returns the number of the others.
func (set *connections) closeIdle() int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	now, busy := set.timer.Now(), 0
	for conn := range set.open {
		idle := conn.state.CompareAndSwap(connectionIdle, connectionClosed)
		if !idle && now.Sub(conn.acceptedAt) >= firstByteTimeout {
			idle = conn.state.CompareAndSwap(connectionNew, connectionClosed)
		}
		switch {
		case idle:
			_ = conn.TCPConn.Close() // carries no request
			delete(set.open, conn)
		case conn.state.Load() != connectionMultiplexed:
			busy++
		}
	}
	return busy
}

// trackedListener wraps the accepted connections.
type trackedListener struct {
	net.Listener
	set *connections
}

// Accept waits for the next connection.
func (listener *trackedListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	if listener.set.sendBuffer > 0 {
		_ = tcp.SetWriteBuffer(listener.set.sendBuffer) // without it, the answers of slow callers take more memory
	}
	tracked := &callerConnection{TCPConn: tcp, set: listener.set, acceptedAt: listener.set.timer.Now()}
	listener.set.mutex.Lock()
	defer listener.set.mutex.Unlock()
	listener.set.open[tracked] = struct{}{}
	return tracked, nil
}

// callerConnection is a connection from a caller that is idle from the end of a response until the next byte.
type callerConnection struct {
	*net.TCPConn
	set        *connections
	acceptedAt carobthread.Instant
	state      atomic.Int32 // a connectionState
	// nextBegun is set if the first byte of the next request arrived before the end of the current one.
	nextBegun atomic.Bool
}

// endRequest makes the connection idle, unless the next request has begun.
func (conn *callerConnection) endRequest() {
	if !conn.nextBegun.Swap(false) {
		conn.state.CompareAndSwap(connectionReceiving, connectionIdle)
	}
}

// Read reads from the connection; the first byte of a request makes the connection busy.
func (conn *callerConnection) Read(buffer []byte) (int, error) {
	count, err := conn.TCPConn.Read(buffer)
	if count == 0 {
		return count, err
	}
	if len(buffer) == backgroundReadBytes {
		conn.nextBegun.Store(true)
	}
	switch conn.state.Load() {
	case connectionNew:
		started := connectionReceiving
		if count >= len(http2Prefix) && string(buffer[:len(http2Prefix)]) == http2Prefix {
			started = connectionMultiplexed
		}
		conn.state.CompareAndSwap(connectionNew, started)
	case connectionIdle:
		conn.state.CompareAndSwap(connectionIdle, connectionReceiving)
	}
	if conn.state.Load() == connectionClosed {
		return 0, net.ErrClosed // so that no request is served whose answer can't be sent
	}
	return count, err
}

// Write writes to the connection. If the write is cut by its deadline, closing the connection discards what the caller has not
// read, which the operating system would otherwise keep for minutes.
func (conn *callerConnection) Write(data []byte) (int, error) {
	count, err := conn.TCPConn.Write(data)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = conn.SetLinger(0) // fails only for a connection that has ended
	}
	return count, err
}

// Close closes the connection.
func (conn *callerConnection) Close() error {
	conn.set.mutex.Lock()
	delete(conn.set.open, conn)
	conn.set.mutex.Unlock()
	return conn.TCPConn.Close()
}
