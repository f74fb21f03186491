package carobthread

import (
	"context"

	"carobthread/rpc/carobthreadv1"
)

// Upstream sends requests that may be repeated to searchers.
type Upstream interface {
	// SearchShard sends one attempt; a failure is a *RequestError.
	SearchShard(ctx context.Context, searcher Searcher, request *carobthreadv1.SearchShardRequest) (*carobthreadv1.SearchShardResponse, error)
	// Report asks a searcher for its health, load and held snapshots.
	Report(ctx context.Context, searcher Searcher) (*carobthreadv1.ReportResponse, error)
}
