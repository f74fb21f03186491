package caller

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errRequestEnded is returned for writes of a request that has already ended.
var errRequestEnded = errors.New("the request ended before its first byte was written")

// gate asks for permission before the first byte of a request that must be sent at most once.
type gate struct {
	permit func() error

	mutex        sync.Mutex
	permitted    bool
	refusal      error
	activeWrites int
	wroteBytes   bool
}

// beginWrite calls permit before the first write. After a nil error, the caller must call endWrite.
func (gate *gate) beginWrite() error {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.refusal != nil {
		return gate.refusal
	}
	if !gate.permitted {
		if err := gate.permit(); err != nil {
			gate.refusal = err
			return err
		}
		gate.permitted = true
	}
	gate.activeWrites++
	return nil
}

func (gate *gate) endWrite(bytes int) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.activeWrites--
	gate.wroteBytes = gate.wroteBytes || bytes > 0
}

// close ends the request and reports whether no byte has been written and none can be written later;
// cause is then the refusal.
func (gate *gate) close() (unwritten bool, cause error) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.wroteBytes || gate.activeWrites > 0 {
		return false, nil
	}
	if gate.refusal == nil {
		gate.refusal = errRequestEnded
	}
	return true, gate.refusal
}

// gatedConn is a connection whose writes need permission from the gate of the current request.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

var _ net.Conn = (*gatedConn)(nil)

// Write writes to the connection; if a gate is set, it must permit the write.
func (conn *gatedConn) Write(data []byte) (int, error) {
	gate := conn.gate.Load()
	if gate == nil {
		return conn.Conn.Write(data)
	}
	if err := gate.beginWrite(); err != nil {
		return 0, err
	}
	count, err := conn.Conn.Write(data)
	gate.endWrite(count)
	return count, err
}

// gateFromFirstHeader returns a trace that sets the gate of the connection when the request's first header is encoded.
// HTTP/2 encodes headers while it holds its write lock, so the next write contains the first byte of
// the request, and control frames before it need no permission.
func gateFromFirstHeader(conn *gatedConn, gate *gate) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { conn.gate.Store(gate) }}
}
