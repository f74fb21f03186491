package carobthread

import (
	"context"
	"encoding/json"
)

// Peers sends requests to other hosts of the system.
type Peers interface {
	// Call sends one request and decodes the result; a failure is a *RequestError whose State tells whether the peer may
	// have run the request.
	Call(ctx context.Context, host, method string, params, result any) error
}

// PeerHandler serves the requests of other hosts.
type PeerHandler interface {
	// Handle serves one request of the named peer host; a *RequestError is returned to the peer unchanged.
	Handle(ctx context.Context, peer, method string, params json.RawMessage) (any, error)
}

// PeerNotifier sends messages without an answer to other hosts.
type PeerNotifier interface {
	// Notify sends a message over the open link to the host; it fails if there is no open link.
	Notify(host, method string, params any) error
	// NotifyCaller sends a message to the host whose request has the context, over the link of the request.
	NotifyCaller(ctx context.Context, method string, params any) error
}

// NotificationHandler is implemented by a PeerHandler that receives the messages of a PeerNotifier.
type NotificationHandler interface {
	// HandleNotification processes one message of the named peer host; it must not block, since the messages of a link are
	// processed in order.
	HandleNotification(peer, method string, params json.RawMessage)
}
