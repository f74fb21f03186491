package carobthread

import (
	"context"
	"net/http"
)

// Request is a caller's request as the query path hands it to searchers.
type Request struct {
	// ID is the caller's name of the request, or empty.
	ID      string
	Service string
	Body    []byte
	// Limit bounds the hits of a search.
	Limit uint32
	// HTTP is set for a request that is forwarded as it came.
	HTTP *HTTPRequest
}

// HTTPRequest is the head of a plain HTTP request.
type HTTPRequest struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
}

// ShardRequest is one attempt at one shard; its context carries the deadline.
type ShardRequest struct {
	Request  *Request
	Attempt  AttemptID
	Service  string
	Shard    uint32
	Snapshot uint64
	Layout   uint32
	// Once forbids the use of anything that might send the request twice.
	Once bool
}

// Hit is one result of a search.
type Hit struct {
	ID      string
	Score   float64
	Payload []byte
}

// HTTPReply is a searcher's whole answer to a forwarded request.
type HTTPReply struct {
	Status int
	Header http.Header
	Body   []byte
	// Seal is the searcher's signature of the answer.
	Seal string
}

// ShardReply is the end of one attempt as its searcher states it.
type ShardReply struct {
	Attempt           AttemptID
	Shard             uint32
	Snapshot          uint64
	Layout            uint32
	Status            ReplyStatus
	Draining          bool
	HeldSnapshots     []uint64
	SnapshotAgeMicros int64
	Hits              []Hit
	// HTTP is set for forwarded requests that the searcher answered, also if the status is ReplyFailed.
	HTTP *HTTPReply
	// Load is the searcher's own statement of its load, or nil.
	Load *Load
}

// Load is a searcher's statement of the requests that it runs and keeps waiting, with its slots.
type Load struct {
	Running int
	Queued  int
	Slots   int
}

// Upstream sends attempts to searchers.
type Upstream interface {
	// SearchShard sends one attempt; a failure is a *RequestError whose state tells whether it may have run.
	SearchShard(ctx context.Context, searcher Searcher, request *ShardRequest) (*ShardReply, error)
}

// Reporter is an Upstream whose searchers can be asked for their health, load and held snapshots.
type Reporter interface {
	// Report asks one searcher; a failure is a *RequestError.
	Report(ctx context.Context, searcher Searcher) (*ReportArrived, error)
}
