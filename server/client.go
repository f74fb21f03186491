package server

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"carobthread"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/tracer"
)

// Client sends repeatable requests to searchers over one shared transport.
type Client struct {
	http    *http.Client
	mutex   sync.Mutex
	clients map[string]carobthreadv1connect.SearcherServiceClient
}

var _ carobthread.Upstream = (*Client)(nil)

// NewClient returns a client that opens at most maxConnections to each searcher.
func NewClient(maxConnections int) *Client {
	transport := &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections}
	return &Client{
		http:    &http.Client{Transport: transport},
		clients: map[string]carobthreadv1connect.SearcherServiceClient{},
	}
}

// SearchShard sends one attempt; a failure is a *RequestError.
func (client *Client) SearchShard(ctx context.Context, searcher carobthread.Searcher, request *carobthreadv1.SearchShardRequest) (*carobthreadv1.SearchShardResponse, error) {
	call := connect.NewRequest(request)
	tracer.InjectHeader(ctx, call.Header())
	response, err := client.client(searcher).SearchShard(ctx, call)
	if err != nil {
		return nil, failureOf(request.GetService(), err)
	}
	return response.Msg, nil
}

// Report asks a searcher for its report.
func (client *Client) Report(ctx context.Context, searcher carobthread.Searcher) (*carobthreadv1.ReportResponse, error) {
	response, err := client.client(searcher).Report(ctx, connect.NewRequest(&carobthreadv1.ReportRequest{}))
	if err != nil {
		return nil, failureOf("", err)
	}
	return response.Msg, nil
}

func (client *Client) client(searcher carobthread.Searcher) carobthreadv1connect.SearcherServiceClient {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	found, known := client.clients[searcher.Address]
	if !known {
		found = carobthreadv1connect.NewSearcherServiceClient(client.http, "http://"+searcher.Address)
		client.clients[searcher.Address] = found
	}
	return found
}

func failureOf(service string, err error) error {
	reason := carobthread.ReasonUpstreamFailed
	if errors.Is(err, context.DeadlineExceeded) {
		reason = carobthread.ReasonTimeout
	}
	return &carobthread.RequestError{State: carobthread.MayHaveRun, Reason: reason, Service: service, Detail: err.Error()}
}
