package caller

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errGateShut refuses writes of a request whose Run has ended.
var errGateShut = errors.New("the request has ended before its first byte was written")

// gate stands before the first byte of one request that may not be repeated.
type gate struct {
	permit func() error

	mutex   sync.Mutex
	open    bool
	shut    error
	writing int
	written bool
}

// enter asks the permit at the first write; the caller must leave after a nil error.
func (gate *gate) enter() error {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.shut != nil {
		return gate.shut
	}
	if !gate.open {
		if err := gate.permit(); err != nil {
			gate.shut = err
			return err
		}
		gate.open = true
	}
	gate.writing++
	return nil
}

func (gate *gate) leave(bytes int) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.writing--
	gate.written = gate.written || bytes > 0
}

// close ends the request and reports whether it is certain that no byte was and will be written.
func (gate *gate) close() (unwritten bool, cause error) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.written || gate.writing > 0 {
		return false, nil
	}
	if gate.shut == nil {
		gate.shut = errGateShut
	}
	return true, gate.shut
}

// gatedConn passes writes through the gate of the request that uses the connection.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

var _ net.Conn = (*gatedConn)(nil)

// Write writes to the connection if its gate, if any, permits.
func (conn *gatedConn) Write(data []byte) (int, error) {
	gate := conn.gate.Load()
	if gate == nil {
		return conn.Conn.Write(data)
	}
	if err := gate.enter(); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Write(data)
	gate.leave(count)
	return count, err
}

// armTrace puts the gate before the connection as soon as the request's first header is encoded.
// HTTP/2 encodes headers under its write lock, so the next write holds the request's first byte,
// and control frames before it need no permit.
func armTrace(conn *gatedConn, gate *gate) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { conn.gate.Store(gate) }}
}
