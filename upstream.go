package carobthread

import (
	"context"
	"net/http"
	"time"
)

// Request is a caller's request as the query path sends it to searchers.
type Request struct {
	// ID is the request ID that the caller chose, or empty.
	ID      string
	Service string
	Body    []byte
	// Limit bounds the hits of a search.
	Limit uint32
	// HTTP is set for a plain HTTP request, which is forwarded unchanged.
	HTTP *HTTPRequest
	// Account, if set, holds the bytes of the replies that are kept for the request.
	Account MemoryAccount
}

// HTTPRequest is a plain HTTP request without its body.
type HTTPRequest struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
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
	// AtMostOnce forbids any means that might send the request twice.
	AtMostOnce bool
}

// Hit is one result of a search.
type Hit struct {
	ID      string
	Score   float64
	Payload []byte
}

// HTTPReply is a searcher's complete response to a forwarded request.
type HTTPReply struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the searcher's signature of the response.
	Signature string
}

// ShardReply is the result of one attempt as reported by its searcher.
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
	// HTTP is set for forwarded requests that the searcher answered, even if Status is ReplyFailed.
	HTTP *HTTPReply
	// Load is the load that the searcher reported, or nil.
	Load *Load
	// Backpressure is what the searcher asks of its callers, or nil if the reply can't state it.
	Backpressure *Backpressure
	// Timing tells where the time of the attempt went; it is zero if the Upstream doesn't measure it.
	Timing AttemptTiming
}

// AttemptTiming holds the times of the steps of one attempt, from its start, for operators.
type AttemptTiming struct {
	// Connected is when the attempt had a connection, which NewConnection tells was opened for it.
	Connected     time.Duration
	NewConnection bool
	// FirstByte is when the header of the reply was read, Complete when its body was.
	FirstByte time.Duration
	Complete  time.Duration
}

// Backpressure is what a searcher in need asks of its callers in a reply; it holds until another reply states otherwise.
type Backpressure struct {
	// RateLimit is the number of requests per second that the searcher accepts from all hosts together; 0 means no limit.
	RateLimit float64 `json:"rate-limit,omitempty"`
	// RetryAfterMicros is how long the searcher, which refused an attempt, wants no requests from this host.
	RetryAfterMicros int64 `json:"retry-after-us,omitempty"`
	// Leaving is set if the searcher is leaving; it holds for as long as the searcher lives.
	Leaving bool `json:"leaving,omitempty"`
}

// Load is a searcher's report of its running requests, queued requests and slots.
type Load struct {
	Running int
	Queued  int
	Slots   int
	// Slowness is how long work takes on the searcher's machine now, in percent of the usual time, or 0 if not stated.
	Slowness int
}

// Upstream sends attempts to searchers.
type Upstream interface {
	// SearchShard sends one attempt; a failure is a *RequestError whose State tells whether the attempt may have run.
	SearchShard(ctx context.Context, searcher Searcher, request *ShardRequest) (*ShardReply, error)
}

// Reporter is implemented by an Upstream whose searchers report their health, load and held snapshots on request.
type Reporter interface {
	// Report requests the report of one searcher; a failure is a *RequestError.
	Report(ctx context.Context, searcher Searcher) (*ReportArrived, error)
}
