package messenger

// Notifications are messages without an answer. Both ends of a link may send them; they arrive in the order in which they
// were sent, but a request that was sent before may be served later.

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"carobthread"
	"carobthread/recoverer"
)

var _ carobthread.PeerNotifier = (*Messenger)(nil)

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// Notify sends a message over the open link to the host; it fails if there is no open link.
func (messenger *Messenger) Notify(host, method string, params any) error {
	link, err := messenger.linkTo(host)
	if err != nil {
		return err
	}
	conn, _ := link.current()
	if conn == nil {
		return notRunError(carobthread.ReasonHostUnreachable, "no open link to host "+host)
	}
	return conn.Notify(context.Background(), method, params)
}

// NotifyCaller sends a message to the host whose request has the context, over the link of the request.
func (messenger *Messenger) NotifyCaller(ctx context.Context, method string, params any) error {
	conn, found := ctx.Value(connKey{}).(*jsonrpc2.Conn)
	if !found {
		return errors.New("the context is not that of a peer's request")
	}
	return conn.Notify(ctx, method, params)
}

// handleNotification passes a notification to the handler if that receives notifications; a panic ends this message alone.
func (messenger *Messenger) handleNotification(peer string, request *jsonrpc2.Request) {
	handler, receives := messenger.options.Handler.(carobthread.NotificationHandler)
	if !receives {
		return
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	_ = recoverer.Run(&messenger.options.Logger, "peer-notification", func() { handler.HandleNotification(peer, request.Method, params) })
}
