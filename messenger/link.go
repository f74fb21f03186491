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

// link is the dialled connection to one peer. The first call opens it. After a
// failed dial, calls fail as not run until the backoff has passed.
type link struct {
	messenger *Messenger
	name      string
	inFlight  atomic.Int64
	sequence  atomic.Uint64

	dialling chan struct{} // semaphore of one, so that concurrent calls share a dial

	mutex    sync.Mutex
	conn     *jsonrpc2.Conn
	codec    *codec
	lastUsed carobthread.Instant
	redialAt carobthread.Instant
	backoff  time.Duration
}

func newLink(messenger *Messenger, name string) *link {
	return &link{messenger: messenger, name: name, dialling: make(chan struct{}, 1)}
}

func (link *link) call(ctx context.Context, method string, params, result any) error {
	if link.inFlight.Add(1) > maxInFlight {
		link.inFlight.Add(-1)
		return notRunError(carobthread.ReasonOverload, "too many requests in flight to host "+link.name)
	}
	defer link.inFlight.Add(-1)
	wrapped, err := wrap(ctx, params)
	if err != nil {
		return err
	}
	conn, codec, err := link.open(ctx)
	if err != nil {
		return notRunError(carobthread.ReasonHostUnreachable, err.Error())
	}
	id := jsonrpc2.ID{Num: link.sequence.Add(1)}
	started, received := link.messenger.options.Timer.Now(), codec.received.Load()
	err = conn.Call(ctx, method, wrapped, result, jsonrpc2.PickID(id))
	if errors.Is(err, context.DeadlineExceeded) && codec.received.Load() == received {
		link.closeSilent(conn, link.messenger.options.Timer.Now().Sub(started))
	}
	return link.toRequestError(err, codec.finish(id))
}

// closeSilent closes a connection on which nothing was received while a call waited, if that took at least silenceTimeout.
// A connection can fall silent for good without a reset, while new ones to the same host work.
func (link *link) closeSilent(silent *jsonrpc2.Conn, waited time.Duration) {
	if waited < silenceTimeout {
		return
	}
	link.mutex.Lock()
	if link.conn == silent {
		link.conn = nil
	}
	link.mutex.Unlock()
	link.messenger.options.Logger.Info().Str("event", "peer-link-closed").Str("peer", link.name).Int64("silent-us", waited.Microseconds()).
		Msg("silent connection to another host closed")
	_ = silent.Close()
}

func wrap(ctx context.Context, params any) (*envelope, error) {
	body, err := json.Marshal(params)
	if err != nil {
		return nil, notRunError(carobthread.ReasonUpstreamFailed, err.Error())
	}
	if len(body) > maxFrameBytes-maxEnvelopeBytes {
		return nil, notRunError(carobthread.ReasonTooLarge, "the request exceeds the frame limit")
	}
	if ctx.Err() != nil {
		return nil, notRunError(carobthread.ReasonDeadlinePassed, ctx.Err().Error())
	}
	deadline, _ := ctx.Deadline()
	return &envelope{RemainingMicros: time.Until(deadline).Microseconds(), TraceParent: tracer.Inject(ctx), Body: body}, nil
}

// toRequestError converts the error of a call. If there was no response, the result states NotRun only if the write of the
// request never started.
func (link *link) toRequestError(err error, writeStarted bool) error {
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
	if !writeStarted {
		failure.State = carobthread.NotRun
	}
	return failure
}

// open returns the current connection or dials a new one.
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
	waiting := link.messenger.options.Timer.Now() < link.redialAt
	link.mutex.Unlock()
	if waiting {
		return nil, nil, errors.New("host " + link.name + ": in backoff after a failed dial")
	}
	conn, codec, err := link.dial(ctx)
	if err != nil {
		link.scheduleRedial()
		return nil, nil, err
	}
	link.setConn(conn, codec)
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
	link.lastUsed = link.messenger.options.Timer.Now()
	return link.conn, link.codec
}

func (link *link) setConn(conn *jsonrpc2.Conn, codec *codec) {
	link.mutex.Lock()
	link.conn, link.codec = conn, codec
	link.lastUsed = link.messenger.options.Timer.Now()
	link.backoff = 0
	link.mutex.Unlock()
	link.messenger.closeIfRemoved(link)
}

// closeIfRemoved closes the connection of a link that was removed while it was being dialled.
func (messenger *Messenger) closeIfRemoved(dialled *link) {
	messenger.mutex.Lock()
	removed := messenger.links[dialled.name] != dialled
	messenger.mutex.Unlock()
	if !removed {
		return
	}
	if conn := dialled.detach(); conn != nil {
		_ = conn.Close()
	}
}

// scheduleRedial doubles the backoff and sets the time of the next dial, with jitter so that hosts do not reconnect at
// the same time.
func (link *link) scheduleRedial() {
	link.mutex.Lock()
	link.backoff = min(max(2*link.backoff, minBackoff), maxBackoff)
	interval := link.backoff
	link.mutex.Unlock()
	until := link.messenger.options.Timer.Now().Add(link.messenger.jitter(interval))
	link.mutex.Lock()
	link.redialAt = until
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
	conn := newConn(context.WithoutCancel(ctx), link.messenger, stream, codec, &notificationReceiver{messenger: link.messenger, peer: link.name})
	var remote hello
	if err := conn.Call(ctx, methodHello, link.messenger.localHello(), &remote); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	if err := link.messenger.admitDialled(link.name, remote); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return conn, codec, nil
}

// detach removes the connection from the link and returns it for closing, or nil if there is none.
func (link *link) detach() *jsonrpc2.Conn {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	conn := link.conn
	link.conn = nil
	return conn
}

func (link *link) detachIdle(now carobthread.Instant) *jsonrpc2.Conn {
	if link.inFlight.Load() > 0 {
		return nil
	}
	link.mutex.Lock()
	idle := now.Sub(link.lastUsed) >= idleTimeout
	link.mutex.Unlock()
	if !idle {
		return nil
	}
	return link.detach()
}

// notificationReceiver passes on the notifications that arrive on a dialled link and closes the link if its remote end sends
// a request; only the dialling end may send requests.
type notificationReceiver struct {
	messenger *Messenger
	peer      string
}

var _ jsonrpc2.Handler = (*notificationReceiver)(nil)

// Handle processes one message of the accepting end.
func (receiver *notificationReceiver) Handle(_ context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if !request.Notif {
		_ = conn.Close()
		return
	}
	receiver.messenger.handleNotification(receiver.peer, request)
}

func newConn(ctx context.Context, messenger *Messenger, stream net.Conn, codec *codec, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	bounded := &writeDeadlineConn{Conn: stream}
	return jsonrpc2.NewConn(
		ctx, jsonrpc2.NewBufferedStream(bounded, codec), handler,
		jsonrpc2.OnSend(codec.onSend), jsonrpc2.OnRecv(codec.onReceive), jsonrpc2.SetLogger(&messenger.options.Logger),
	)
}

// writeDeadlineConn times out writes to a peer that has stopped reading, which would block all other writes of the link.
type writeDeadlineConn struct {
	net.Conn
}

func (conn *writeDeadlineConn) Write(content []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(content)
}
