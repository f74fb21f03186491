package messenger

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"carobthread"
	"carobthread/tracer"
)

// acceptor serves one accepted link: first the hello, then requests of the peer that it names.
type acceptor struct {
	messenger *Messenger
	stream    net.Conn
	codec     *codec
	peer      string // written by the read loop before any request is served
	inFlight  atomic.Int64
	greeted   sync.Once
}

var _ jsonrpc2.Handler = (*acceptor)(nil)

func newAcceptor(messenger *Messenger, stream net.Conn) *acceptor {
	return &acceptor{messenger: messenger, stream: stream, codec: newCodec(messenger.meter, maxHelloBytes)}
}

func (acceptor *acceptor) run(ctx context.Context) {
	conn := connect(ctx, acceptor.messenger, acceptor.stream, acceptor.codec, acceptor)
	limited, cancel := context.WithTimeout(ctx, helloTimeout)
	go func() {
		defer cancel()
		select {
		case <-limited.Done():
		case <-conn.DisconnectNotify():
		}
		if !acceptor.messenger.isAccepted(conn) {
			_ = conn.Close()
		}
		acceptor.endWait()
		<-conn.DisconnectNotify()
		acceptor.messenger.forget(conn)
	}()
}

// endWait gives back the place among the connections without a hello, once.
func (acceptor *acceptor) endWait() {
	acceptor.greeted.Do(func() {
		acceptor.messenger.mutex.Lock()
		acceptor.messenger.ungreeted--
		acceptor.messenger.mutex.Unlock()
	})
}

// Handle serves one request; the library calls it in order from the read loop.
func (acceptor *acceptor) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if acceptor.peer == "" {
		acceptor.greet(ctx, conn, request)
		return
	}
	if request.Notif {
		return // no method of the protocol is a notification
	}
	if acceptor.inFlight.Add(1) > maxInFlight {
		acceptor.inFlight.Add(-1)
		failure := refuse(carobthread.ReasonOverload, "too many requests in flight")
		_ = conn.ReplyWithError(ctx, request.ID, encodeFailure(failure))
		return
	}
	go func() {
		defer acceptor.inFlight.Add(-1)
		acceptor.serve(ctx, conn, request)
	}()
}

func (acceptor *acceptor) greet(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	stated, err := decodeHello(request.Params)
	if err == nil && request.Method == methodHello {
		err = acceptor.messenger.admit(stated)
	}
	if err != nil || request.Method != methodHello || !acceptor.messenger.register(conn, stated.Name) {
		acceptor.messenger.options.Logger.Warn().Err(err).Str("remote", acceptor.stream.RemoteAddr().String()).
			Msg("peer link refused")
		acceptor.messenger.meter.addRefused()
		_ = conn.Close()
		return
	}
	acceptor.peer = stated.Name
	acceptor.codec.limit.Store(maxFrameBytes)
	acceptor.endWait()
	_ = conn.Reply(ctx, request.ID, acceptor.messenger.ownHello())
}

func (acceptor *acceptor) serve(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	result, err := acceptor.invoke(ctx, request)
	if err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, encodeFailure(err))
		return
	}
	_ = conn.Reply(ctx, request.ID, result)
}

func (acceptor *acceptor) invoke(ctx context.Context, request *jsonrpc2.Request) (any, error) {
	var wrapped envelope
	if request.Params == nil {
		return nil, refuse(carobthread.ReasonUpstreamFailed, "request without params")
	}
	if err := json.Unmarshal(*request.Params, &wrapped); err != nil {
		return nil, refuse(carobthread.ReasonUpstreamFailed, err.Error())
	}
	left := time.Duration(wrapped.LeftMicros) * time.Microsecond
	if left <= 0 {
		return nil, refuse(carobthread.ReasonDeadlinePassed, "the deadline passed before the request arrived")
	}
	ctx, cancel := context.WithTimeout(tracer.Extract(ctx, wrapped.TraceParent), left)
	defer cancel()
	return acceptor.messenger.handle(ctx, acceptor.peer, request.Method, wrapped.Body)
}

func (messenger *Messenger) register(conn *jsonrpc2.Conn, name string) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if messenger.closed {
		return false
	}
	messenger.accepted[conn] = name
	return true
}

func (messenger *Messenger) isAccepted(conn *jsonrpc2.Conn) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	_, found := messenger.accepted[conn]
	return found
}

func (messenger *Messenger) forget(conn *jsonrpc2.Conn) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	delete(messenger.accepted, conn)
}
