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

// Exchange is one side of a digest exchange; the answer has the same form.
type Exchange struct {
	Gossip tracker.Gossip `json:"gossip"`
	// Highest is the highest active ticket number, and Root the hash of the whole state in force.
	Highest uint64 `json:"highest"`
	Root    uint64 `json:"root"`
	// FreshMicros is the last time at which the state in force was known to be what the platform holds.
	FreshMicros int64 `json:"fresh-us,omitempty"`
	// Objects holds, in an answer, the packed objects of tickets above the asking host's highest.
	Objects []byte `json:"objects,omitempty"`
}

// Push carries new packed objects and marks; with a Root it is passed on along the root's tree.
type Push struct {
	Root     string         `json:"root,omitempty"`
	Sequence uint64         `json:"sequence,omitempty"`
	Hops     int            `json:"hops,omitempty"`
	Objects  []byte         `json:"objects,omitempty"`
	Marks    []tracker.Mark `json:"marks,omitempty"`
}

// Pushed is the answer to a Push.
type Pushed struct{}

// Join asks for the whole membership.
type Join struct {
	Gossip tracker.Gossip `json:"gossip"`
}

// Joined answers a Join; Ready says that the host has a configuration to fetch.
type Joined struct {
	Gossip tracker.Gossip `json:"gossip"`
	Ready  bool           `json:"ready"`
}

// Fetch asks for named objects, or for whole buckets from a cursor on.
type Fetch struct {
	IDs    []carobthread.ObjectID `json:"ids,omitempty"`
	Cursor int                    `json:"cursor,omitempty"`
}

// Fetched answers a Fetch; Next is the cursor of the rest, or 0 at the end.
type Fetched struct {
	Objects []byte `json:"objects"`
	Next    int    `json:"next,omitempty"`
}

// Compare carries the hash of each bucket, to find objects that differ.
type Compare struct {
	Digest applier.Digest `json:"digest"`
}

// Compared answers a Compare with the objects of some buckets that differ.
type Compared struct {
	Buckets []int           `json:"buckets"`
	Entries []applier.Entry `json:"entries"`
}
