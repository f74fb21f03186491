package relayer

import (
	"encoding/json"

	"carobthread"
	"carobthread/applier"
	"carobthread/tracker"
)

// CallID names a call that an action started and an event ends.
type CallID uint64

// Event is one input; exactly one of the pointers is set.
type Event struct {
	At             carobthread.Instant
	Tick           *carobthread.Ticked
	Request        *PeerRequest
	Reply          *PeerReplied
	Failure        *PeerFailed
	Value          *PlatformReplied
	PlatformFailed *PlatformFailed
	Searcher       *tracker.SearcherSeen
	Stop           *tracker.SelfStopping
}

// PeerRequest is a request of another host; the same step returns a Respond action.
type PeerRequest struct {
	From   string
	Method string
	Body   json.RawMessage
}

// PeerReplied ends a call with its result.
type PeerReplied struct {
	Call CallID
	Body json.RawMessage
}

// PeerFailed ends a call without one.
type PeerFailed struct {
	Call   CallID
	Reason carobthread.Reason
}

// PlatformReplied ends a read or watch; a watch that ends at its deadline gives the value without content.
type PlatformReplied struct {
	Call  CallID
	Value carobthread.Value
}

// PlatformFailed ends a read or watch without a value.
type PlatformFailed struct {
	Call    CallID
	Missing bool
}

// Action is one output; exactly one of the fields is set.
type Action struct {
	Call    *CallPeer
	Respond *Respond
	Read    *ReadPlatform
	Watch   *WatchPlatform
	View    *carobthread.View
	Marks   *MarksChanged
	Config  *ConfigActive
	// Refused, Conflict and Finding report content that did not take effect.
	Refused  *applier.Refusal
	Conflict *applier.Conflict
	Finding  *Finding
	Stop     *Superseded
}

// CallPeer asks the process to send a request to another host.
type CallPeer struct {
	Call     CallID
	Host     string
	Method   string
	Params   any
	Deadline carobthread.Instant
}

// Respond answers the request of this step.
type Respond struct {
	Result  any
	Failure *carobthread.RequestError
}

// ReadPlatform asks the process to read a key.
type ReadPlatform struct {
	Call     CallID
	Key      string
	Deadline carobthread.Instant
}

// WatchPlatform asks the process to wait until the revision of a key differs.
type WatchPlatform struct {
	Call     CallID
	Key      string
	Revision uint64
	Deadline carobthread.Instant
}

// MarksChanged gives the searchers that are marked as leaving or back.
type MarksChanged struct{ Marks []tracker.Mark }

// ConfigActive says which objects became active, and whether the host became ready by it.
type ConfigActive struct {
	Entries []Entry
	Source  string
}

// Finding is a platform value, named by its key, or a peer's message that cannot be used.
type Finding struct {
	Source string
	Cause  error
}

// Superseded says that a later incarnation of this host runs, so this process must end.
type Superseded struct{}
