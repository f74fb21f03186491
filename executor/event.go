package executor

import "carobthread"

// CallID identifies a call from a caller or peer within one host.
type CallID uint64

// AttemptID identifies an attempt at an upstream within one host.
type AttemptID uint64

// Status is the execution status of a key.
type Status string

// Execution statuses of a key.
const (
	StatusDone       Status = "done"
	StatusNotRun     Status = "not-run"
	StatusUnknown    Status = "unknown"
	StatusInProgress Status = "in-progress"
)

// Outcome is the known result of executing a key.
type Outcome struct {
	Key              string             `json:"key"`
	Status           Status             `json:"status"`
	Result           []byte             `json:"result,omitempty"`
	Reason           carobthread.Reason `json:"reason,omitempty"`
	RetryAfterMicros int64              `json:"retry-after-us,omitempty"`
}

// Event is an input of the state machine; exactly one of the pointers is set.
type Event struct {
	At      carobthread.Instant        `json:"at"`
	Reserve *ReserveCalled             `json:"reserve,omitempty"`
	Execute *ExecuteCalled             `json:"execute,omitempty"`
	Outcome *OutcomeCalled             `json:"outcome,omitempty"`
	Gone    *CallerGone                `json:"gone,omitempty"`
	Write   *WriteReady                `json:"write,omitempty"`
	Ended   *AttemptEnded              `json:"ended,omitempty"`
	Forward *ForwardEnded              `json:"forward,omitempty"`
	Report  *carobthread.ReportArrived `json:"report,omitempty"`
	Config  *carobthread.ConfigChanged `json:"config,omitempty"`
	View    *carobthread.ViewChanged   `json:"view,omitempty"`
	Stop    *StopCalled                `json:"stop,omitempty"`
	Tick    *carobthread.TickArrived   `json:"tick,omitempty"`
}

// ReserveCalled requests a new key.
type ReserveCalled struct {
	Call    CallID `json:"call"`
	Service string `json:"service"`
}

// ExecuteCalled requests the execution of a key; a zero Deadline means the service's hard deadline.
type ExecuteCalled struct {
	Call     CallID              `json:"call"`
	Key      string              `json:"key"`
	Service  string              `json:"service"`
	Payload  []byte              `json:"payload"`
	Deadline carobthread.Instant `json:"deadline"`
	// Forwarded is set on calls from a peer, which are never forwarded again.
	Forwarded bool `json:"forwarded,omitempty"`
}

// OutcomeCalled requests the outcome of a key and revokes the key if it was never used. A zero Deadline means
// FallbackTimeout if the call is forwarded.
type OutcomeCalled struct {
	Call      CallID              `json:"call"`
	Key       string              `json:"key"`
	Deadline  carobthread.Instant `json:"deadline"`
	Forwarded bool                `json:"forwarded,omitempty"`
}

// CallerGone reports that the caller no longer waits for the call; the execution continues.
type CallerGone struct {
	Call CallID `json:"call"`
}

// WriteReady requests permission to write the first byte of an attempt's request.
type WriteReady struct {
	Attempt AttemptID `json:"attempt"`
}

// AttemptEnded reports the end of an attempt. StatusNotRun is allowed only if the request certainly did not run and
// will not run.
type AttemptEnded struct {
	Attempt  AttemptID          `json:"attempt"`
	Key      string             `json:"key"`
	Status   Status             `json:"status"`
	Result   []byte             `json:"result,omitempty"`
	Reason   carobthread.Reason `json:"reason,omitempty"`
	Draining bool               `json:"draining,omitempty"`
}

// ForwardEnded reports the answer of the minting host to a forwarded call; Failed is set if there was none.
type ForwardEnded struct {
	Call    CallID  `json:"call"`
	Outcome Outcome `json:"outcome"`
	Failed  bool    `json:"failed,omitempty"`
}

// StopCalled makes the host refuse new work; executions and forwards in progress finish.
type StopCalled struct {
	// AcceptKeys limits the refusal to reservations, so that callers can still use keys that they have reserved.
	AcceptKeys bool `json:"accept-keys,omitempty"`
	// AnswerBy is the time by which every call must be answered, or 0 for no limit.
	AnswerBy carobthread.Instant `json:"answer-by,omitempty"`
}

// Action is an output of the state machine; exactly one of the pointers is set.
type Action struct {
	Reserved *KeyReserved `json:"reserved,omitempty"`
	Send     *SendRun     `json:"send,omitempty"`
	Permit   *WritePermit `json:"permit,omitempty"`
	Forward  *ForwardCall `json:"forward,omitempty"`
	Answer   *AnswerCall  `json:"answer,omitempty"`
}

// KeyReserved answers a ReserveCalled. A non-empty Reason means that the reservation was refused and Key is empty.
type KeyReserved struct {
	Call             CallID              `json:"call"`
	Key              string              `json:"key,omitempty"`
	Expiry           carobthread.Instant `json:"expiry,omitempty"`
	Reason           carobthread.Reason  `json:"reason,omitempty"`
	RetryAfterMicros int64               `json:"retry-after-us,omitempty"`
}

// SendRun requests an attempt: connect, raise WriteReady, write only if the WritePermit allows it, then raise
// AttemptEnded.
type SendRun struct {
	Attempt  AttemptID           `json:"attempt"`
	Key      string              `json:"key"`
	Service  string              `json:"service"`
	Searcher string              `json:"searcher"`
	Payload  []byte              `json:"payload"`
	Deadline carobthread.Instant `json:"deadline"`
}

// WritePermit answers a WriteReady.
type WritePermit struct {
	Attempt AttemptID          `json:"attempt"`
	Allowed bool               `json:"allowed"`
	Reason  carobthread.Reason `json:"reason,omitempty"`
}

// ForwardCall requests that a call is forwarded to the minting host; exactly one of the pointers is set.
type ForwardCall struct {
	Call    CallID         `json:"call"`
	Host    string         `json:"host"`
	Execute *ExecuteCalled `json:"execute,omitempty"`
	Outcome *OutcomeCalled `json:"outcome,omitempty"`
}

// AnswerCall answers an ExecuteCalled or OutcomeCalled.
type AnswerCall struct {
	Call    CallID  `json:"call"`
	Outcome Outcome `json:"outcome"`
}

// StateMachine is the interface through which the server and the schedule explorer drive an executor.
type StateMachine interface {
	// Step applies an event and returns the resulting actions in order.
	Step(event Event) []Action
}
