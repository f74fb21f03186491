package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"carobthread"
	"carobthread/tracer"
)

// link is the dialled connection to one peer. It is opened by the first call;
// after a failed dial, calls are refused as not run until the backoff is over.
type link struct {
	messenger *Messenger
	name      string
	inFlight  atomic.Int64
	sequence  atomic.Uint64

	dialling chan struct{} // holds one place, so that concurrent calls share a dial

	mutex    sync.Mutex
	conn     *jsonrpc2.Conn
	codec    *codec
	used     carobthread.Instant
	notUntil carobthread.Instant
	backoff  time.Duration
}

func newLink(messenger *Messenger, name string) *link {
	return &link{messenger: messenger, name: name, dialling: make(chan struct{}, 1)}
}

func (link *link) call(ctx context.Context, method string, params, result any) error {
	if link.inFlight.Add(1) > maxInFlight {
		link.inFlight.Add(-1)
		return refuse(carobthread.ReasonOverload, "too many requests in flight to host "+link.name)
	}
	defer link.inFlight.Add(-1)
	wrapped, err := wrap(ctx, params)
	if err != nil {
		return err
	}
	conn, codec, err := link.open(ctx)
	if err != nil {
		return refuse(carobthread.ReasonHostUnreachable, err.Error())
	}
	id := jsonrpc2.ID{Num: link.sequence.Add(1)}
	err = conn.Call(ctx, method, wrapped, result, jsonrpc2.PickID(id))
	return link.outcome(err, codec.finish(id))
}

func wrap(ctx context.Context, params any) (*envelope, error) {
	body, err := json.Marshal(params)
	if err != nil {
		return nil, refuse(carobthread.ReasonUpstreamFailed, err.Error())
	}
	if len(body) > maxFrameBytes/2 {
		return nil, refuse(carobthread.ReasonTooLarge, "the request is over the frame limit")
	}
	if ctx.Err() != nil {
		return nil, refuse(carobthread.ReasonDeadlinePassed, ctx.Err().Error())
	}
	deadline, _ := ctx.Deadline()
	return &envelope{LeftMicros: time.Until(deadline).Microseconds(), TraceParent: tracer.Inject(ctx), Body: body}, nil
}

func (link *link) outcome(err error, begun bool) error {
	if err == nil {
		return nil
	}
	var response *jsonrpc2.Error
	if errors.As(err, &response) {
		return decodeFailure(response)
	}
	failure := &carobthread.RequestError{
		State: carobthread.MayHaveRun, Reason: carobthread.ReasonConnectionLost, Detail: "host " + link.name + ": " + err.Error(),
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		failure.Reason = carobthread.ReasonTimeout
	}
	if !begun {
		failure.State = carobthread.NotRun
	}
	return failure
}

// open returns the open connection or dials a new one.
func (link *link) open(ctx context.Context) (*jsonrpc2.Conn, *codec, error) {
	if conn, codec := link.current(); conn != nil {
		return conn, codec, nil
	}
	select {
	case link.dialling <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	defer func() { <-link.dialling }()
	if conn, codec := link.current(); conn != nil {
		return conn, codec, nil
	}
	link.mutex.Lock()
	waiting := link.messenger.options.Timer.Now() < link.notUntil
	link.mutex.Unlock()
	if waiting {
		return nil, nil, errors.New("host " + link.name + ": waiting to reconnect after a failed dial")
	}
	conn, codec, err := link.dial(ctx)
	if err != nil {
		link.delay()
		return nil, nil, err
	}
	link.keep(conn, codec)
	return conn, codec, nil
}

func (link *link) current() (*jsonrpc2.Conn, *codec) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.conn == nil {
		return nil, nil
	}
	select {
	case <-link.conn.DisconnectNotify():
		link.conn = nil
		return nil, nil
	default:
	}
	link.used = link.messenger.options.Timer.Now()
	return link.conn, link.codec
}

func (link *link) keep(conn *jsonrpc2.Conn, codec *codec) {
	link.mutex.Lock()
	link.conn, link.codec = conn, codec
	link.used = link.messenger.options.Timer.Now()
	link.backoff = 0
	link.mutex.Unlock()
	link.messenger.endIfForgotten(link)
}

// endIfForgotten closes a link that was removed while it was being dialled.
func (messenger *Messenger) endIfForgotten(dialled *link) {
	messenger.mutex.Lock()
	forgotten := messenger.links[dialled.name] != dialled
	messenger.mutex.Unlock()
	if !forgotten {
		return
	}
	if conn := dialled.take(); conn != nil {
		_ = conn.Close()
	}
}

// delay doubles the time until the next dial, with jitter so that hosts do not reconnect in step.
func (link *link) delay() {
	link.mutex.Lock()
	link.backoff = min(max(2*link.backoff, backoffLeast), backoffMost)
	span := link.backoff
	link.mutex.Unlock()
	until := link.messenger.options.Timer.Now().Add(link.messenger.jitter(span))
	link.mutex.Lock()
	link.notUntil = until
	link.mutex.Unlock()
}

func (link *link) dial(ctx context.Context) (*jsonrpc2.Conn, *codec, error) {
	link.messenger.mutex.Lock()
	address := link.messenger.hosts[link.name].PeerAddress
	link.messenger.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+helloTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	stream, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	codec := newCodec(link.messenger.meter, maxFrameBytes)
	conn := connect(context.WithoutCancel(ctx), link.messenger, stream, codec, refuseRequests{})
	var stated hello
	if err := conn.Call(ctx, methodHello, link.messenger.ownHello(), &stated); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	if err := link.messenger.admitDialled(link.name, stated); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return conn, codec, nil
}

// take returns the connection for closing and leaves the link without one.
func (link *link) take() *jsonrpc2.Conn {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	conn := link.conn
	link.conn = nil
	return conn
}

func (link *link) takeIdle(now carobthread.Instant) *jsonrpc2.Conn {
	if link.inFlight.Load() > 0 {
		return nil
	}
	link.mutex.Lock()
	idle := now.Sub(link.used) >= idleSpan
	link.mutex.Unlock()
	if !idle {
		return nil
	}
	return link.take()
}

// refuseRequests closes a dialled link whose other end sends requests, since only the dialling end may.
type refuseRequests struct{}

func (refuseRequests) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}

func connect(ctx context.Context, messenger *Messenger, stream net.Conn, codec *codec, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	bounded := &boundedConn{Conn: stream}
	return jsonrpc2.NewConn(
		ctx, jsonrpc2.NewBufferedStream(bounded, codec), handler,
		jsonrpc2.OnSend(codec.onSend), jsonrpc2.OnRecv(codec.onReceive), jsonrpc2.SetLogger(&messenger.options.Logger),
	)
}

// boundedConn fails a write to a peer that has stopped reading, which would block all other writes of the link.
type boundedConn struct {
	net.Conn
}

func (conn *boundedConn) Write(content []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(content)
}
