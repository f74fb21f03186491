package relayer

import (
	"carobthread"
	"carobthread/applier"
	"carobthread/tracker"
)

// Methods of the requests between hosts.
const (
	MethodExchange = "exchange"
	MethodPush     = "push"
	MethodJoin     = "join"
	MethodFetch    = "fetch"
	MethodCompare  = "compare"
)

// Methods lists the methods that a relayer serves.
func Methods() []string {
	return []string{MethodExchange, MethodPush, MethodJoin, MethodFetch, MethodCompare}
}

// Exchange is the request and the response of a digest exchange.
type Exchange struct {
	Gossip tracker.Gossip `json:"gossip"`
	// Highest is the highest active ticket number, and Root the hash of the whole active state.
	Highest uint64 `json:"highest"`
	Root    uint64 `json:"root"`
	// FreshMicros is the last time at which the active state was known to match the platform.
	FreshMicros int64 `json:"fresh-us,omitempty"`
	// Objects holds, in a response, the packed objects of tickets above the requesting host's Highest.
	Objects []byte `json:"objects,omitempty"`
}

// PushRequest carries packed objects and marks. With a Root it is forwarded along the root's tree.
type PushRequest struct {
	Root     string                 `json:"root,omitempty"`
	Sequence uint64                 `json:"sequence,omitempty"`
	Hops     int                    `json:"hops,omitempty"`
	Objects  []byte                 `json:"objects,omitempty"`
	Marks    []tracker.SearcherMark `json:"marks,omitempty"`
}

// PushResponse is the response to a PushRequest.
type PushResponse struct{}

// JoinRequest requests the whole membership.
type JoinRequest struct {
	Gossip tracker.Gossip `json:"gossip"`
}

// JoinResponse is the response to a JoinRequest. Ready is set if the host has a configuration to fetch.
type JoinResponse struct {
	Gossip tracker.Gossip `json:"gossip"`
	Ready  bool           `json:"ready"`
}

// FetchRequest requests the objects with the given IDs or, without IDs, whole buckets from Cursor on.
type FetchRequest struct {
	IDs    []carobthread.ObjectID `json:"ids,omitempty"`
	Cursor int                    `json:"cursor,omitempty"`
}

// FetchResponse is the response to a FetchRequest. Next is the cursor of the next request, or 0 at the end.
type FetchResponse struct {
	Objects []byte `json:"objects"`
	Next    int    `json:"next,omitempty"`
}

// CompareRequest carries the hash of each bucket, to find the objects that differ.
type CompareRequest struct {
	Digest applier.Digest `json:"digest"`
}

// CompareResponse is the response to a CompareRequest, with the entries of some or all of the buckets that differ.
type CompareResponse struct {
	Buckets []int           `json:"buckets"`
	Entries []applier.Entry `json:"entries"`
}
