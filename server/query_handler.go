package server

import (
	"context"

	"connectrpc.com/connect"

	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
)

// QueryHandler implements the query service, which is an entry host's API to callers.
type QueryHandler struct {
	search    *Search
	execution *Execution
}

var _ carobthreadv1connect.QueryServiceHandler = (*QueryHandler)(nil)

// NewQueryHandler returns the handler that passes queries to search and keyed requests to execution.
func NewQueryHandler(search *Search, execution *Execution) *QueryHandler {
	return &QueryHandler{search: search, execution: execution}
}

// Search answers one query.
func (handler *QueryHandler) Search(ctx context.Context, request *connect.Request[carobthreadv1.SearchRequest]) (*connect.Response[carobthreadv1.SearchResponse], error) {
	return handler.search.Search(ctx, request)
}

// Reserve mints an idempotency key.
func (handler *QueryHandler) Reserve(ctx context.Context, request *connect.Request[carobthreadv1.ReserveRequest]) (*connect.Response[carobthreadv1.ReserveResponse], error) {
	return handler.execution.Reserve(ctx, request)
}

// Execute runs the request of a key at most once.
func (handler *QueryHandler) Execute(ctx context.Context, request *connect.Request[carobthreadv1.ExecuteRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	return handler.execution.Execute(ctx, request)
}

// Outcome returns what is known about a key.
func (handler *QueryHandler) Outcome(ctx context.Context, request *connect.Request[carobthreadv1.OutcomeRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	return handler.execution.Outcome(ctx, request)
}
