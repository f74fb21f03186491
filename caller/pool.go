package caller

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"carobthread"
	"carobthread/accountant"
)

// connection is a pooled connection; the pool's mutex guards inFlight and exclusive.
type connection struct {
	client    clientConn
	raw       *gatedConn
	http2     bool
	inFlight  int
	exclusive bool
	// expiresAt is when the searcher's Keep-Alive header forbids further use of the connection, or 0 without one.
	// Only the request that holds the connection accesses it.
	expiresAt carobthread.Instant
	// lastUsedAt is the end of the last exchange, or 0 for a new connection.
	// Only the request that holds the connection accesses it.
	lastUsedAt carobthread.Instant
	// unresolved holds the hashes of the requests that were answered without a result and may therefore be sent again.
	// Only the request that holds the connection adds to it.
	unresolved []uint64
}

// maxUnresolved is the number of requests answered without a result after which a connection is closed. It bounds the record
// to 2 KB a connection while a searcher that rejects requests does not cost a new connection for each.
const maxUnresolved = 256

// recordUnresolved records that the request was answered without a result and reports whether the connection may be used
// again. The searcher may send a second copy of that answer at any later time, and the request's ID doesn't tell the copy
// from the answer to another send of the same request. So that send needs another connection.
func (conn *connection) recordUnresolved(requestID string) (reusable bool) {
	if conn.http2 {
		return true // the stream tells the replies apart
	}
	conn.unresolved = append(conn.unresolved, xxhash.Sum64String(requestID))
	return len(conn.unresolved) < maxUnresolved
}

// mayCarry reports whether no earlier answer on the connection can be taken for the answer to the request.
func (conn *connection) mayCarry(requestID string) bool {
	return len(conn.unresolved) == 0 || !slices.Contains(conn.unresolved, xxhash.Sum64String(requestID))
}

func (conn *connection) close() { _ = conn.client.Close() } // the connection is discarded even if closing it fails

// unusable reports whether the connection can carry no further request. After a GOAWAY from the searcher, an HTTP/2
// connection stays open without an error; the only sign is that no stream is available although it is idle.
//
// A connection in exclusive use is not checked, because the check could read a byte of its reply.
func (conn *connection) unusable() bool {
	if conn.exclusive {
		return false
	}
	if conn.client.Err() != nil {
		return true
	}
	if !conn.http2 || conn.inFlight > 0 || conn.client.Available() > 0 {
		return false
	}
	conn.close()
	return true
}

// pool holds the connections to one searcher for one service.
type pool struct {
	address   string
	transport *http.Transport
	// http1Dialer, if set, dials connections for an http1Conn in place of the transport.
	http1Dialer *net.Dialer
	// maxReplySize limits the replies of an http1Conn, in bytes.
	maxReplySize int
	multiplexed  bool // a connection carries several idempotent requests at once

	mutex    sync.Mutex
	limit    int
	dialling int
	conns    []*connection
	changed  chan struct{} // closed and replaced when a connection may have become available
	closed   bool
	// leaving is set while the searcher is leaving and must receive no new requests.
	leaving bool
	// accountant limits the memory held for the searcher; nil limits nothing.
	accountant *accountant.Accountant
	// bytesPerConnection limits reservedBytes for each connection that may be open; 0 is no limit.
	bytesPerConnection int64
	// reservedBytes counts the bytes of the requests in flight or waiting for a connection.
	reservedBytes int64
	// reserveWaiters counts the requests that wait in reserve.
	reserveWaiters int
}

type rawConnKey struct{}

// newTransport returns a transport that dials for one pool. It stores each dialled connection in the gatedConn
// of the dialling context.
func newTransport(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!options.HTTP2)
	protocols.SetUnencryptedHTTP2(options.HTTP2)
	return &http.Transport{
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			raw := ctx.Value(rawConnKey{}).(*gatedConn)
			raw.Conn = conn
			return raw, nil
		},
	}
}

func newPool(address string, limit int, options Options) *pool {
	return &pool{
		address:     address,
		transport:   newTransport(options),
		multiplexed: options.HTTP2,
		limit:       max(1, limit),
		changed:     make(chan struct{}),
	}
}

// acquire returns a pooled connection that may carry the request, dials a new one below the limit, or waits for one.
// An exclusive connection carries no other request until it is released.
func (pool *pool) acquire(ctx context.Context, exclusive bool, requestID string) (*connection, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		pool.mutex.Lock()
		if err := pool.checkAcceptingLocked(); err != nil {
			pool.mutex.Unlock()
			return nil, err
		}
		conn, dial := pool.pickLocked(exclusive, requestID)
		changed := pool.changed
		pool.mutex.Unlock()
		if dial {
			return pool.dial(ctx, exclusive)
		}
		if conn != nil {
			return conn, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reserve waits until the request may add its bytes to those that the searcher holds for this host. A request that finds
// nothing reserved need not wait, whatever its size.
func (pool *pool) reserve(ctx context.Context, size int64) error {
	if pool.bytesPerConnection == 0 {
		return nil
	}
	for {
		pool.mutex.Lock()
		fits := pool.reservedBytes == 0 || pool.reservedBytes+size <= pool.maxReservedLocked()
		if fits {
			pool.reservedBytes += size
		}
		changed, err := pool.changed, pool.checkAcceptingLocked()
		switch {
		case err == nil && !fits:
			pool.reserveWaiters++
		case err != nil && fits:
			pool.reservedBytes -= size
		}
		pool.mutex.Unlock()
		if fits || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		pool.mutex.Lock()
		pool.reserveWaiters--
		pool.mutex.Unlock()
		if err != nil {
			return err
		}
	}
}

// minReservedBytes is the least limit of the bytes in flight to a searcher: two of the largest bodies that the platform's
// routing tables permit (256 KiB), so that one of them does not keep back all other requests.
const minReservedBytes = 512 << 10

func (pool *pool) maxReservedLocked() int64 {
	return max(minReservedBytes, int64(pool.limit)*pool.bytesPerConnection)
}

// unreserve undoes reserve when the request has ended.
func (pool *pool) unreserve(size int64) {
	if pool.bytesPerConnection == 0 {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.reservedBytes -= size
	if pool.reserveWaiters > 0 {
		pool.notifyLocked()
	}
}

// checkAccepting returns an error if no request may be written to the searcher.
func (pool *pool) checkAccepting() error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.checkAcceptingLocked()
}

func (pool *pool) checkAcceptingLocked() error {
	switch {
	case pool.closed:
		return net.ErrClosed
	case pool.leaving:
		return errSearcherLeaving
	}
	return nil
}

// pickLocked prefers an idle connection, then a new one, then the least loaded one that can be shared. At the limit, it closes
// an idle connection that may not carry the request to make room for a new one.
// The second result tells the caller to dial a new connection.
func (pool *pool) pickLocked(exclusive bool, requestID string) (*connection, bool) {
	pool.conns = slices.DeleteFunc(pool.conns, (*connection).unusable)
	var best, unsuitable *connection
	for _, conn := range pool.conns {
		switch {
		case conn.exclusive || conn.http2 && conn.client.Available() == 0 || conn.inFlight > 0 && (exclusive || !pool.multiplexed):
		case !conn.mayCarry(requestID):
			unsuitable = conn
		case best == nil || conn.inFlight < best.inFlight:
			best = conn
		}
	}
	belowLimit := len(pool.conns)+pool.dialling < pool.limit
	if best != nil && (best.inFlight == 0 || !belowLimit) {
		best.inFlight++
		best.exclusive = exclusive
		return best, false
	}
	if !belowLimit && unsuitable != nil {
		pool.conns = slices.DeleteFunc(pool.conns, func(conn *connection) bool { return conn == unsuitable })
		unsuitable.close()
		belowLimit = len(pool.conns)+pool.dialling < pool.limit
	}
	if belowLimit {
		pool.dialling++
	}
	return nil, belowLimit
}

// dial opens a connection and returns it in use. The caller must have incremented pool.dialling.
func (pool *pool) dial(ctx context.Context, exclusive bool) (*connection, error) {
	conn, err := pool.open(ctx)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.dialling--
	pool.notifyLocked()
	if err != nil {
		return nil, err
	}
	if pool.closed {
		conn.close()
		return nil, net.ErrClosed
	}
	conn.inFlight, conn.exclusive = 1, exclusive
	pool.conns = append(pool.conns, conn)
	return conn, nil
}

func (pool *pool) open(ctx context.Context) (*connection, error) {
	raw := &gatedConn{}
	if pool.http1Dialer != nil {
		conn, err := pool.http1Dialer.DialContext(ctx, "tcp", pool.address)
		if err != nil {
			return nil, err
		}
		raw.Conn = conn
		return &connection{client: newHTTP1Conn(raw, pool.maxReplySize, pool.accountant), raw: raw}, nil
	}
	client, err := pool.transport.NewClientConn(context.WithValue(ctx, rawConnKey{}, raw), "http", pool.address)
	if err != nil {
		return nil, err
	}
	return &connection{client: client, raw: raw, http2: pool.multiplexed}, nil
}

// release returns a connection to the pool, or closes it if keep is false.
func (pool *pool) release(conn *connection, keep bool) {
	if keep {
		conn.raw.gate.Store(nil) // if the connection is closed instead, the closed gate still blocks late writes of the request
	}
	pool.mutex.Lock()
	conn.inFlight--
	conn.exclusive = false
	if !keep || pool.closed || len(pool.conns) > pool.limit && conn.inFlight == 0 {
		pool.conns = slices.DeleteFunc(pool.conns, func(other *connection) bool { return other == conn })
		defer conn.close()
	}
	pool.notifyLocked()
	pool.mutex.Unlock()
}

func (pool *pool) notifyLocked() {
	close(pool.changed)
	pool.changed = make(chan struct{})
}

// resize sets the maximum number of connections and closes idle ones above it.
func (pool *pool) resize(limit int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.limit = max(1, limit)
	for i := len(pool.conns) - 1; i >= 0 && len(pool.conns) > pool.limit; i-- {
		if pool.conns[i].inFlight == 0 {
			defer pool.conns[i].close()
			pool.conns = slices.Delete(pool.conns, i, i+1)
		}
	}
	pool.notifyLocked()
}

// setLeaving sets whether the searcher is leaving and wakes the requests that wait for a connection.
func (pool *pool) setLeaving(leaving bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.leaving = leaving
	pool.notifyLocked()
}

// warmUp opens connections up to the limit before requests need them.
func (pool *pool) warmUp(ctx context.Context) {
	for {
		pool.mutex.Lock()
		belowLimit := !pool.closed && len(pool.conns)+pool.dialling < pool.limit
		if belowLimit {
			pool.dialling++
		}
		pool.mutex.Unlock()
		if !belowLimit {
			return
		}
		conn, err := pool.dial(ctx, true)
		if err != nil {
			return // requests dial themselves once the searcher is reachable again
		}
		pool.release(conn, true)
	}
}

// close closes idle connections immediately and busy ones when their requests end.
func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, conn := range pool.conns {
		if conn.inFlight == 0 {
			defer conn.close()
		}
	}
	pool.notifyLocked()
}
