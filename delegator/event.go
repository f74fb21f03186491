package delegator

import (
	"time"

	"carobthread"
)

// Event is one input; exactly one of the pointers is set, or none for a tick.
type Event struct {
	At       carobthread.Instant
	Config   *carobthread.Config
	View     *carobthread.View
	Query    *QueryArrived
	Accepted *Accepted
	Ended    *Ended
	Gone     *Gone
	// Reached reports that a host in another data centre has answered this host.
	Reached *carobthread.DataCentreReached
	Stop    *carobthread.StopBegun
}

// QueryArrived is a caller's query on this host.
type QueryArrived struct {
	ID      uint64
	Service string
	// Request is the caller's request ID.
	Request    string
	Deadline   carobthread.Instant
	Size       int
	AtMostOnce bool
}

// Accepted reports that the coordinator has started the query; HedgeDelay is the time since the start after which it wants to
// use second searchers, or 0 if it does not know. A coordinator may report again if it wants them earlier.
type Accepted struct {
	ID         uint64
	HedgeDelay time.Duration
}

// Ended is the end of the call to the coordinator; State is Ran if it returned an outcome, whatever that is.
type Ended struct {
	ID         uint64
	State      carobthread.RunState
	Reason     carobthread.Reason
	RetryAfter time.Duration
}

// Gone reports that the caller no longer waits.
type Gone struct{ ID uint64 }

// Action is one output; exactly one of the pointers is set.
type Action struct {
	Delegate *Delegate
	Grant    *Message
	Cancel   *Message
	// Abort asks the process to end the call to the coordinator and to report the end with the state of the call.
	Abort  *Abort
	Handle *Handle
	Answer *Answer
	Refuse *Refuse
	Fail   *Fail
}

// ChoiceReason states why a coordinator was chosen.
type ChoiceReason string

// The reasons for the choice of a coordinator.
const (
	// ChoiceFirst is the first coordinator by rendezvous hash.
	ChoiceFirst ChoiceReason = "first"
	// ChoiceNext follows coordinators that were passed over.
	ChoiceNext ChoiceReason = "next"
	// ChoiceOtherCentre is in another data centre than the preferred one, in which all coordinators were passed over.
	ChoiceOtherCentre ChoiceReason = "other-data-centre"
)

// Delegate asks the process to send the query to the coordinator, which must answer within TimeLeft and should answer within
// TargetLeft.
type Delegate struct {
	ID          uint64
	Coordinator string
	Reason      ChoiceReason
	// Definition is the definition of the service's layout at this host.
	Definition uint64
	TimeLeft   time.Duration
	TargetLeft time.Duration
}

// Message asks the process to send a message without an answer to the coordinator of a query.
type Message struct {
	ID          uint64
	Coordinator string
}

// Abort names the query whose call must end.
type Abort struct{ ID uint64 }

// Handle asks the process to run the query on this host.
type Handle struct {
	ID uint64
	// MaxSearchers is the maximum number of searchers per shard, or 0 for that of the service.
	MaxSearchers int
	// SoftDeadline is the soft deadline of a query that has been sent to a coordinator, or 0.
	SoftDeadline carobthread.Instant
	// Repeated is set if a coordinator may have sent the query to the shards.
	Repeated bool
	// Reason is the cause if the query was sent to a coordinator before, or empty.
	Reason carobthread.Reason
}

// Refuse asks the process to refuse the query, which has not run.
type Refuse struct {
	ID         uint64
	Reason     carobthread.Reason
	RetryAfter time.Duration
}

// Answer asks the process to pass the coordinator's outcome to the caller.
type Answer struct{ ID uint64 }

// Fail asks the process to end the query, which may have run, with an error.
type Fail struct {
	ID     uint64
	Reason carobthread.Reason
}
