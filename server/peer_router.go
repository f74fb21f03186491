package server

import (
	"context"
	"encoding/json"

	"github.com/rs/zerolog"

	"carobthread"
)

// PeerRouter passes the messages of other hosts to the component that serves their method.
type PeerRouter struct {
	Directory    *Directory
	Delegation   *Delegation
	Coordination *Coordination
	Logger       zerolog.Logger
}

var (
	_ carobthread.PeerHandler         = (*PeerRouter)(nil)
	_ carobthread.NotificationHandler = (*PeerRouter)(nil)
)

// Handle serves one request of a peer.
func (router *PeerRouter) Handle(ctx context.Context, peer, method string, params json.RawMessage) (any, error) {
	if method == MethodDelegate {
		return router.Coordination.Handle(ctx, peer, params)
	}
	return router.Directory.Handle(ctx, peer, method, params)
}

// HandleNotification processes one message about a delegated query.
func (router *PeerRouter) HandleNotification(peer, method string, params json.RawMessage) {
	var message delegateMessage
	if err := json.Unmarshal(params, &message); err != nil {
		router.Logger.Warn().Err(err).Str("event", "message-ignored").Str("peer", peer).Str("method", method).Msg("invalid message of another host ignored")
		return
	}
	switch method {
	case MethodDelegateAccepted:
		router.Delegation.accepted(peer, message)
	case MethodDelegateGrant:
		router.Coordination.grant(coordinatedKey{peer, message.ID})
	case MethodDelegateCancel:
		router.Coordination.cancel(coordinatedKey{peer, message.ID})
	}
}
