package server

import (
	"context"

	"connectrpc.com/connect"

	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
)

// Callers implements the query service, which is an entry host's API to callers.
type Callers struct {
	search    *Search
	execution *Execution
}

var _ carobthreadv1connect.QueryServiceHandler = (*Callers)(nil)

// NewCallers returns the handler that passes queries to search and keyed requests to execution.
func NewCallers(search *Search, execution *Execution) *Callers {
	return &Callers{search: search, execution: execution}
}

// Search answers one query.
func (callers *Callers) Search(ctx context.Context, request *connect.Request[carobthreadv1.SearchRequest]) (*connect.Response[carobthreadv1.SearchResponse], error) {
	return callers.search.Search(ctx, request)
}

// Reserve mints an idempotency key.
func (callers *Callers) Reserve(ctx context.Context, request *connect.Request[carobthreadv1.ReserveRequest]) (*connect.Response[carobthreadv1.ReserveResponse], error) {
	return callers.execution.Reserve(ctx, request)
}

// Execute runs the request of a key at most once.
func (callers *Callers) Execute(ctx context.Context, request *connect.Request[carobthreadv1.ExecuteRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	return callers.execution.Execute(ctx, request)
}

// Outcome returns what is known about a key.
func (callers *Callers) Outcome(ctx context.Context, request *connect.Request[carobthreadv1.OutcomeRequest]) (*connect.Response[carobthreadv1.ExecuteResponse], error) {
	return callers.execution.Outcome(ctx, request)
}
