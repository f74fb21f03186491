package carobthread

import (
	"context"
	"encoding/json"
)

// Peers sends requests to other hosts of the system.
type Peers interface {
	// Call sends one request and decodes its result; a failure is a *RequestError that states whether the peer may have run it.
	Call(ctx context.Context, host, method string, params, result any) error
}

// PeerHandler serves the requests of other hosts.
type PeerHandler interface {
	// Handle serves one request of the named peer host; a *RequestError reaches the peer as it is.
	Handle(ctx context.Context, peer, method string, params json.RawMessage) (any, error)
}
