package carobthread

import (
	"context"
	"time"
)

// RoutingTable is the whole configuration of plain HTTP forwarding, as one version of it states.
type RoutingTable struct {
	Version uint64
	Routes  []Route
	Groups  []ReplicaGroup
	Limits  ClientLimits
}

// Route selects requests by host and path prefix and states how they are served; exactly one of Backends and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer is worth most to the caller.
	Target time.Duration
	// Rank is the priority, where 0 is the highest.
	Rank int
	// MaxAttempts bounds the searchers that a request is sent to, for each shard.
	MaxAttempts int
	Backends    []Backend
	// Shards names the replica groups that a request is spread over.
	Shards []string
	// TopRecords is how many of the greatest records an answer over shards holds.
	TopRecords int
	// MinShare is the least share of the shards that makes an answer a success.
	MinShare float64
}

// Backend is a replica group that gets a share of a route's requests by its weight.
type Backend struct {
	Group  string
	Weight int
}

// ReplicaGroup is a set of searchers that answer equally well.
type ReplicaGroup struct {
	Name string
	// MaxConnections is how many connections each searcher accepts from all callers.
	MaxConnections int
}

// ClientLimits bound what a caller may send and how long it may take.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Registration is what a searcher says of itself in the platform's store.
type Registration struct {
	// ID is unique to one start of the searcher, together with Born, its start in Unix milliseconds or 0 if not stated.
	ID   string
	Born int64
	// Sequence counts the searcher's heartbeats since its start.
	Sequence   int64
	Group      string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// Cold is how much longer the searcher stays slow after its start.
	Cold time.Duration
}

// StoreItem is one item of the platform's store, or the tombstone of one that was removed.
type StoreItem struct {
	Key      string
	Revision uint64
	Content  []byte
	Removed  bool
}

// StoreItems is what one call to the store returned; AsOf is the store's revision at that time.
type StoreItems struct {
	Items []StoreItem
	AsOf  uint64
	More  bool
}

// Store is the platform's store, which can only be read.
type Store interface {
	// List returns the items whose keys begin with the prefix and come after the given key, a page a call.
	List(ctx context.Context, prefix, after string) (StoreItems, error)
	// Watch returns the changes after a revision as soon as there are any, or none after the wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (StoreItems, error)
}

// StoreError is a failed call to the store.
type StoreError struct {
	Call string
	// Status is the HTTP status of the answer, or 0 without one.
	Status int
	// HistoryGone says that the changes after the revision are no longer known, so that all items must be listed.
	HistoryGone bool
	Cause       error
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

// Unwrap returns the cause.
func (failure *StoreError) Unwrap() error { return failure.Cause }

// ItemDecoder turns the items of the store into the project's types.
type ItemDecoder interface {
	// Table decodes a routing table; false if the item is no routing table.
	Table(item StoreItem) (table RoutingTable, isTable bool, err error)
	// Registration decodes a searcher's entry; false if the item is no such entry.
	Registration(item StoreItem) (entry Registration, isEntry bool, err error)
}

// HeaderNames are the names of the headers that carry what the query path needs.
type HeaderNames struct {
	RequestID string
	// TimeLeft holds the milliseconds that the sender still waits.
	TimeLeft string
	// Seal holds a searcher's signature of its answer.
	Seal string
	// ExpectInstance holds the ID of the only searcher that may run the request.
	ExpectInstance string
	// NotRun is present in answers of a searcher that did not run the request.
	NotRun string
	// Load holds the running and waiting requests and the slots of a searcher.
	Load string
	// Seals holds the seals of the replies that an answer merges, MissingShards the number of shards without one.
	Seals         string
	MissingShards string
}
