package caller

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"

	"carobthread"
)

// connection is one connection of a pool; the pool's mutex guards its counts.
type connection struct {
	client    exchanger
	raw       *gatedConn
	http2     bool
	inFlight  int
	exclusive bool
	// expires is when the searcher may close the connection, or 0 if it has not said so; only the holder uses it.
	expires carobthread.Instant
	// usedAt is the end of the last exchange, or 0 on a new connection; only the holder uses it.
	usedAt carobthread.Instant
}

func (conn *connection) close() { _ = conn.client.Close() } // the connection is given up either way

// spent reports a connection that can carry no further request. An HTTP/2 connection whose searcher has
// sent GOAWAY stays open without an error, and shows only in that it has no stream to offer while it is idle.
//
// A connection in exclusive use is its holder's: a look at it could take bytes of the reply.
func (conn *connection) spent() bool {
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
	// plain dials connections for a wire in place of the transport, or is nil.
	plain  *net.Dialer
	shared bool // a connection carries several repeatable requests at once

	mutex    sync.Mutex
	limit    int
	dialling int
	conns    []*connection
	changed  chan struct{} // closed and replaced when a connection may have become free
	closed   bool
	// leaving says that requests must no longer reach the searcher.
	leaving bool
}

type rawKey struct{}

// newTransport returns a transport that dials for one pool; it hands the raw connection to the dialling context.
func newTransport(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(!options.HTTP2)
	protocols.SetUnencryptedHTTP2(options.HTTP2)
	return &http.Transport{
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			raw := ctx.Value(rawKey{}).(*gatedConn)
			raw.Conn = conn
			return raw, nil
		},
	}
}

func newPool(address string, limit int, options Options) *pool {
	return &pool{
		address:   address,
		transport: newTransport(options),
		shared:    options.HTTP2,
		limit:     max(1, limit),
		changed:   make(chan struct{}),
	}
}

// acquire returns a connection, dials one below the limit or waits for one; exclusive ones carry no other request.
func (pool *pool) acquire(ctx context.Context, exclusive bool) (*connection, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		pool.mutex.Lock()
		if err := pool.admitsLocked(); err != nil {
			pool.mutex.Unlock()
			return nil, err
		}
		conn, dial := pool.pickLocked(exclusive)
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

// admits returns why no request may be written to the searcher, or nil.
func (pool *pool) admits() error {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.admitsLocked()
}

func (pool *pool) admitsLocked() error {
	switch {
	case pool.closed:
		return net.ErrClosed
	case pool.leaving:
		return errLeaving
	}
	return nil
}

// pickLocked prefers an idle connection, then a new one, then the least loaded one that may be shared.
func (pool *pool) pickLocked(exclusive bool) (*connection, bool) {
	pool.conns = slices.DeleteFunc(pool.conns, (*connection).spent)
	var best *connection
	for _, conn := range pool.conns {
		if conn.exclusive || conn.http2 && conn.client.Available() == 0 || conn.inFlight > 0 && (exclusive || !pool.shared) {
			continue
		}
		if best == nil || conn.inFlight < best.inFlight {
			best = conn
		}
	}
	room := len(pool.conns)+pool.dialling < pool.limit
	if best != nil && (best.inFlight == 0 || !room) {
		best.inFlight++
		best.exclusive = exclusive
		return best, false
	}
	if room {
		pool.dialling++
	}
	return nil, room
}

// dial opens a connection, which the caller has counted as dialling, and hands it out.
func (pool *pool) dial(ctx context.Context, exclusive bool) (*connection, error) {
	conn, err := pool.open(ctx)
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.dialling--
	pool.wakeLocked()
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
	if pool.plain != nil {
		conn, err := pool.plain.DialContext(ctx, "tcp", pool.address)
		if err != nil {
			return nil, err
		}
		raw.Conn = conn
		return &connection{client: newWire(raw), raw: raw}, nil
	}
	client, err := pool.transport.NewClientConn(context.WithValue(ctx, rawKey{}, raw), "http", pool.address)
	if err != nil {
		return nil, err
	}
	return &connection{client: client, raw: raw, http2: pool.shared}, nil
}

// release gives a connection back; without keep it is closed.
func (pool *pool) release(conn *connection, keep bool) {
	if keep {
		conn.raw.gate.Store(nil) // otherwise the shut gate stops a write that is still under way
	}
	pool.mutex.Lock()
	conn.inFlight--
	conn.exclusive = false
	if !keep || pool.closed || len(pool.conns) > pool.limit && conn.inFlight == 0 {
		pool.conns = slices.DeleteFunc(pool.conns, func(other *connection) bool { return other == conn })
		defer conn.close()
	}
	pool.wakeLocked()
	pool.mutex.Unlock()
}

func (pool *pool) wakeLocked() {
	close(pool.changed)
	pool.changed = make(chan struct{})
}

// resize sets the number of connections and closes idle ones above it.
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
	pool.wakeLocked()
}

// setLeaving states whether the searcher is leaving, and wakes the requests that wait for a connection.
func (pool *pool) setLeaving(leaving bool) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.leaving = leaving
	pool.wakeLocked()
}

// warm opens connections up to the limit ahead of requests.
func (pool *pool) warm(ctx context.Context) {
	for {
		pool.mutex.Lock()
		room := !pool.closed && len(pool.conns)+pool.dialling < pool.limit
		if room {
			pool.dialling++
		}
		pool.mutex.Unlock()
		if !room {
			return
		}
		conn, err := pool.dial(ctx, true)
		if err != nil {
			return // requests dial on their own once the searcher is back
		}
		pool.release(conn, true)
	}
}

// close closes idle connections now and busy ones when their requests end.
func (pool *pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, conn := range pool.conns {
		if conn.inFlight == 0 {
			defer conn.close()
		}
	}
	pool.wakeLocked()
}
