package carobthread

import (
	"context"
	"fmt"
	"time"
)

// RoutingTable is one version of the complete configuration of plain HTTP forwarding.
type RoutingTable struct {
	Version uint64
	Routes  []Route
	Groups  []ReplicaGroup
	Limits  ClientLimits
	// Ignored lists fields that are missing or could not be decoded; the rest of the table applies.
	Ignored []FieldError
}

// FieldError is a field of a routing table that could not be used.
type FieldError struct {
	// Object names the route with the field, or the whole table.
	Object string
	Field  string
	Cause  error
}

var _ error = (*FieldError)(nil)

// Error formats the failure with its field.
func (failure *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s ignored: %v", failure.Object, failure.Field, failure.Cause)
}

// Unwrap returns the cause.
func (failure *FieldError) Unwrap() error { return failure.Cause }

// Route selects requests by host and path prefix and states how they are served; exactly one of Backends and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout bounds the time that a caller waits for the answer.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has the most value for the caller.
	TargetLatency time.Duration
	// Priority orders routes whose attempts wait for the same slots; 0 is the highest, and fractions rank between.
	Priority float64
	// MaxSearchers bounds the number of searchers that a request is sent to, for each shard.
	MaxSearchers int
	Backends     []Backend
	// Shards names the replica groups of the shards that a request is fanned out to.
	Shards []string
	// TopK is the number of records in an answer merged from shards, which holds the greatest ones.
	TopK int
	// MinShardRatio is the minimum fraction of the shards that a successful answer covers.
	MinShardRatio float64
}

// Backend is a replica group that receives a share of a route's requests in proportion to its weight.
type Backend struct {
	Group  string
	Weight float64
}

// ReplicaGroup is a set of interchangeable searchers.
type ReplicaGroup struct {
	Name string
	// MaxConnections is the number of connections that each searcher accepts from all callers together.
	MaxConnections int
	// ColdStart is how long a searcher stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold searcher can take, or 0 for no limit.
	ColdRate float64
}

// ClientLimits bounds the size and the duration of callers' requests.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Registration is a searcher's own entry in the platform's store.
type Registration struct {
	// ID and StartedMillis together identify one run of the searcher; StartedMillis is its start in Unix milliseconds, or 0
	// if not stated.
	ID            string
	StartedMillis int64
	// Sequence counts the searcher's heartbeats since its start.
	Sequence   int64
	Group      string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// WarmUpLeft is the remaining warm-up time, during which the searcher is slower.
	WarmUpLeft time.Duration
}

// Evacuation is an operator's request that nothing more is sent to the searchers of a data centre.
type Evacuation struct {
	DataCentre string
	// Revision is the store's revision of the request.
	Revision uint64
	// LearnedAt is when this host learned of the request.
	LearnedAt Instant
	// CompleteAt is the time from which no attempt is sent there; a share of the attempts that grows from LearnedAt on goes
	// elsewhere before.
	CompleteAt Instant
}

// StoreItem is one item of the platform's store, or the tombstone of a removed item.
type StoreItem struct {
	Key      string
	Revision uint64
	// Created is the revision at which the item came into being, after its last removal, or 0 if not stated.
	Created uint64 `json:",omitempty"`
	Content []byte
	Removed bool
}

// StoreItems is the result of one call to the store; AsOf is the store's revision at that time, and More is set if there
// are further items.
type StoreItems struct {
	Items []StoreItem
	AsOf  uint64
	// Era rises each time that the store comes back from an older copy; revisions are comparable only within one era.
	Era  uint64
	More bool
}

// Store is a read-only client of the platform's store.
type Store interface {
	// List returns one page of the items whose keys begin with the prefix and sort after the given key.
	List(ctx context.Context, prefix, after string) (StoreItems, error)
	// Watch returns the changes after a revision as soon as there are any, or none if the wait time expires.
	Watch(ctx context.Context, after uint64, wait time.Duration) (StoreItems, error)
}

// StoreError is a failed call to the store.
type StoreError struct {
	Call string
	// Status is the HTTP status of the response, or 0 without one.
	Status int
	// HistoryGone is set if the store no longer has the changes after the revision.
	HistoryGone bool
	// TooLarge is set if the response exceeds the size limit.
	TooLarge bool
	Cause    error
}

var _ error = (*StoreError)(nil)

// Error formats the failure with its call.
func (failure *StoreError) Error() string {
	text := "store: " + failure.Call
	if failure.Cause != nil {
		return text + ": " + failure.Cause.Error()
	}
	return text + ": refused"
}

// NeedsList reports whether the changes after the revision can't be obtained, so that all items must be listed again.
func (failure *StoreError) NeedsList() bool { return failure.HistoryGone || failure.TooLarge }

// Unwrap returns the cause.
func (failure *StoreError) Unwrap() error { return failure.Cause }

// ItemDecoder decodes items of the store into types of this package.
type ItemDecoder interface {
	// Table decodes a routing table; isTable is false if the item is not a routing table. A field that can't be decoded is
	// listed in the table and is not an error.
	Table(item StoreItem) (table RoutingTable, isTable bool, err error)
	// Registration decodes a searcher's registration; isRegistration is false if the item is not a registration.
	Registration(item StoreItem) (registration Registration, isRegistration bool, err error)
	// Evacuation decodes the request to evacuate a data centre, or its withdrawal if the item is removed; isEvacuation is
	// false if the item is no such request.
	Evacuation(item StoreItem) (dataCentre string, isEvacuation bool, err error)
}

// HeaderNames holds the names of the HTTP headers that the query path uses.
type HeaderNames struct {
	RequestID string
	// TimeLeft holds the remaining time in milliseconds that the sender waits for the answer.
	TimeLeft string
	// Signature holds a searcher's signature of its reply.
	Signature string
	// ExpectInstance holds the ID of the only searcher instance that may run the request.
	ExpectInstance string
	// NotRun is present in responses of a searcher that did not run the request.
	NotRun string
	// Load holds the numbers of running requests, queued requests and slots of a searcher and, where it states that, how long
	// work takes on its machine now in percent of the usual time.
	Load string
	// RateLimit holds the requests per second that a searcher accepts from all hosts together.
	RateLimit string
	// Leaving is "1" in the responses of a searcher that is leaving.
	Leaving string
	// Signatures holds the signatures of the replies that an answer merges, MissingShards the number of shards without a reply.
	Signatures    string
	MissingShards string
}
