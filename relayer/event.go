package relayer

import (
	"encoding/json"

	"carobthread"
	"carobthread/applier"
	"carobthread/tracker"
)

// CallID identifies a call that an action starts and an event ends.
type CallID uint64

// Event is one input of the relayer; exactly one of the pointers is set.
type Event struct {
	At             carobthread.Instant
	Tick           *carobthread.TickArrived
	Request        *PeerRequest
	Reply          *PeerReplied
	Failure        *PeerFailed
	Value          *PlatformReplied
	PlatformFailed *PlatformFailed
	Searcher       *tracker.SearcherStateObserved
	Stop           *tracker.SelfStopping
}

// PeerRequest is a request from another host. The step that handles it returns a Respond action.
type PeerRequest struct {
	From   string
	Method string
	Body   json.RawMessage
}

// PeerReplied ends a call to a peer with its result.
type PeerReplied struct {
	Call CallID
	Body json.RawMessage
}

// PeerFailed ends a call to a peer without a result.
type PeerFailed struct {
	Call   CallID
	Reason carobthread.Reason
}

// PlatformReplied ends a read or watch. A watch that reaches its deadline unchanged has a value without content.
type PlatformReplied struct {
	Call  CallID
	Value carobthread.Value
}

// PlatformFailed ends a read or watch without a value. Missing is set if the key has no value.
type PlatformFailed struct {
	Call    CallID
	Missing bool
}

// Action is one output of the relayer; exactly one of the pointers is set.
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

// CallPeer requests that the process send a request to another host.
type CallPeer struct {
	Call     CallID
	Host     string
	Method   string
	Params   any
	Deadline carobthread.Instant
}

// Respond is the response to the request that the step handles.
type Respond struct {
	Result  any
	Failure *carobthread.RequestError
}

// ReadPlatform requests that the process read a key from the platform.
type ReadPlatform struct {
	Call     CallID
	Key      string
	Deadline carobthread.Instant
}

// WatchPlatform requests that the process wait until the revision of a key differs from Revision.
type WatchPlatform struct {
	Call     CallID
	Key      string
	Revision uint64
	Deadline carobthread.Instant
}

// MarksChanged holds all marks of searchers after a change.
type MarksChanged struct{ Marks []tracker.SearcherMark }

// ConfigActive reports the objects that became active and where they came from.
type ConfigActive struct {
	Entries []Entry
	Source  string
}

// Finding reports a platform value or a peer's message that cannot be decoded. Source is the key or the peer.
type Finding struct {
	Source string
	Cause  error
}

// Superseded reports that a later incarnation of this host runs, so this process must stop.
type Superseded struct{}
