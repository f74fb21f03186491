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
