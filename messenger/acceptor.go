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

// acceptor serves one accepted link: first the hello, then the requests of the peer that the hello identifies.
type acceptor struct {
	messenger *Messenger
	stream    net.Conn
	codec     *codec
	peer      string // set by the read loop before any request is served
	inFlight  atomic.Int64
	helloDone sync.Once
}

var _ jsonrpc2.Handler = (*acceptor)(nil)

func newAcceptor(messenger *Messenger, stream net.Conn) *acceptor {
	return &acceptor{messenger: messenger, stream: stream, codec: newCodec(messenger.meter, maxHelloBytes)}
}

func (acceptor *acceptor) run(ctx context.Context) {
	conn := newConn(ctx, acceptor.messenger, acceptor.stream, acceptor.codec, acceptor)
	helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	go func() {
		defer cancel()
		select {
		case <-helloCtx.Done():
		case <-conn.DisconnectNotify():
		}
		if !acceptor.messenger.isAccepted(conn) {
			_ = conn.Close()
		}
		acceptor.releaseHelloSlot()
		<-conn.DisconnectNotify()
		acceptor.messenger.unregister(conn)
	}()
}

// releaseHelloSlot stops counting the connection among those that wait for a hello; only the first call has an effect.
func (acceptor *acceptor) releaseHelloSlot() {
	acceptor.helloDone.Do(func() {
		acceptor.messenger.mutex.Lock()
		acceptor.messenger.awaitingHello--
		acceptor.messenger.mutex.Unlock()
	})
}

// Handle serves one request; the library calls it sequentially from the read loop.
func (acceptor *acceptor) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if acceptor.peer == "" {
		acceptor.handleHello(ctx, conn, request)
		return
	}
	if request.Notif {
		acceptor.messenger.handleNotification(acceptor.peer, request)
		return
	}
	if acceptor.inFlight.Add(1) > maxInFlight {
		acceptor.inFlight.Add(-1)
		failure := notRunError(carobthread.ReasonOverload, "too many requests in flight")
		_ = conn.ReplyWithError(ctx, request.ID, encodeFailure(failure))
		return
	}
	go func() {
		defer acceptor.inFlight.Add(-1)
		acceptor.serve(ctx, conn, request)
	}()
}

func (acceptor *acceptor) handleHello(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	remote, err := decodeHello(request.Params)
	if err == nil && request.Method == methodHello {
		err = acceptor.messenger.admit(remote)
	}
	if err != nil || request.Method != methodHello || !acceptor.messenger.register(conn, remote.Name) {
		acceptor.messenger.options.Logger.Warn().Err(err).Str("remote", acceptor.stream.RemoteAddr().String()).
			Msg("peer link refused")
		acceptor.messenger.meter.addRefused()
		_ = conn.Close()
		return
	}
	acceptor.peer = remote.Name
	acceptor.codec.limit.Store(maxFrameBytes)
	acceptor.releaseHelloSlot()
	_ = conn.Reply(ctx, request.ID, acceptor.messenger.localHello())
}

func (acceptor *acceptor) serve(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	result, err := acceptor.invoke(ctx, conn, request)
	if err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, encodeFailure(err))
		return
	}
	if err := conn.Reply(ctx, request.ID, result); errors.Is(err, errFrameTooLarge) {
		acceptor.messenger.options.Logger.Error().Err(err).Str("event", "response-too-large").Str("peer", acceptor.peer).Str("method", request.Method).
			Msg("response to another host exceeds the frame limit")
		failure := &carobthread.RequestError{State: carobthread.MayHaveRun, Reason: carobthread.ReasonTooLarge, Detail: err.Error()}
		_ = conn.ReplyWithError(ctx, request.ID, encodeFailure(failure))
	}
}

func (acceptor *acceptor) invoke(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	var wrapped envelope
	if request.Params == nil {
		return nil, notRunError(carobthread.ReasonUpstreamFailed, "request without params")
	}
	if err := json.Unmarshal(*request.Params, &wrapped); err != nil {
		return nil, notRunError(carobthread.ReasonUpstreamFailed, err.Error())
	}
	remaining := time.Duration(wrapped.RemainingMicros) * time.Microsecond
	if remaining <= 0 {
		return nil, notRunError(carobthread.ReasonDeadlinePassed, "the deadline passed before the request arrived")
	}
	ctx = context.WithValue(ctx, connKey{}, conn)
	ctx, cancel := context.WithTimeout(tracer.Extract(ctx, wrapped.TraceParent), remaining)
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

func (messenger *Messenger) unregister(conn *jsonrpc2.Conn) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	delete(messenger.accepted, conn)
}
