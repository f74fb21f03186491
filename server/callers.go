package server

import (
	"context"

	"connectrpc.com/connect"

	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
)

// Callers is the API that an entry host offers to callers.
type Callers struct {
	carobthreadv1connect.UnimplementedQueryServiceHandler
	search *Search
}

var _ carobthreadv1connect.QueryServiceHandler = (*Callers)(nil)

// NewCallers joins the parts that serve callers.
func NewCallers(search *Search) *Callers { return &Callers{search: search} }

// Search answers one query.
func (callers *Callers) Search(ctx context.Context, request *connect.Request[carobthreadv1.SearchRequest]) (*connect.Response[carobthreadv1.SearchResponse], error) {
	return callers.search.Search(ctx, request)
}
