package executor

import "carobthread"

// CallID names one call of a caller or peer on one host.
type CallID uint64

// AttemptID names one attempt at an upstream on one host.
type AttemptID uint64

// Status states what is known about a key.
type Status string

// The statuses of a key.
const (
	StatusDone       Status = "done"
	StatusNotRun     Status = "not-run"
	StatusUnknown    Status = "unknown"
	StatusInProgress Status = "in-progress"
)

// Outcome is what is known about the key that it names.
type Outcome struct {
	Key              string             `json:"key"`
	Status           Status             `json:"status"`
	Result           []byte             `json:"result,omitempty"`
	Reason           carobthread.Reason `json:"reason,omitempty"`
	RetryAfterMicros int64              `json:"retry-after-us,omitempty"`
}

// Event is one input; exactly one of the pointers is set.
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
	Tick    *carobthread.Ticked        `json:"tick,omitempty"`
}

// ReserveCalled asks for a new key.
type ReserveCalled struct {
	Call    CallID `json:"call"`
	Service string `json:"service"`
}

// ExecuteCalled asks to run a key; a zero Deadline takes the service's hard deadline.
type ExecuteCalled struct {
	Call     CallID              `json:"call"`
	Key      string              `json:"key"`
	Service  string              `json:"service"`
	Payload  []byte              `json:"payload"`
	Deadline carobthread.Instant `json:"deadline"`
	// Forwarded marks a peer's call, which is never forwarded again.
	Forwarded bool `json:"forwarded,omitempty"`
}

// OutcomeCalled asks what is known about a key and revokes a key that was never used.
type OutcomeCalled struct {
	Call      CallID              `json:"call"`
	Key       string              `json:"key"`
	Deadline  carobthread.Instant `json:"deadline"`
	Forwarded bool                `json:"forwarded,omitempty"`
}

// CallerGone says that nobody waits for the call any more; the run goes on.
type CallerGone struct {
	Call CallID `json:"call"`
}

// WriteReady asks for the permit of an attempt whose next step is to write its first byte.
type WriteReady struct {
	Attempt AttemptID `json:"attempt"`
}

// AttemptEnded is the end of an attempt; StatusNotRun is only for requests that certainly did not and will not run.
type AttemptEnded struct {
	Attempt  AttemptID          `json:"attempt"`
	Key      string             `json:"key"`
	Status   Status             `json:"status"`
	Result   []byte             `json:"result,omitempty"`
	Reason   carobthread.Reason `json:"reason,omitempty"`
	Draining bool               `json:"draining,omitempty"`
}

// ForwardEnded is the answer of the minting host, or Failed without one.
type ForwardEnded struct {
	Call    CallID  `json:"call"`
	Outcome Outcome `json:"outcome"`
	Failed  bool    `json:"failed,omitempty"`
}

// StopCalled refuses new work from now on; runs and forwards in progress finish.
type StopCalled struct {
	// AcceptKeys refuses reservations only, so that callers can use the keys that they hold.
	AcceptKeys bool `json:"accept-keys,omitempty"`
}

// Action is one output; exactly one of the pointers is set.
type Action struct {
	Reserved *KeyReserved `json:"reserved,omitempty"`
	Send     *SendRun     `json:"send,omitempty"`
	Permit   *WritePermit `json:"permit,omitempty"`
	Forward  *ForwardCall `json:"forward,omitempty"`
	Answer   *AnswerCall  `json:"answer,omitempty"`
}

// KeyReserved answers a ReserveCalled; a set Reason is a refusal without a key.
type KeyReserved struct {
	Call             CallID              `json:"call"`
	Key              string              `json:"key,omitempty"`
	Expiry           carobthread.Instant `json:"expiry,omitempty"`
	Reason           carobthread.Reason  `json:"reason,omitempty"`
	RetryAfterMicros int64               `json:"retry-after-us,omitempty"`
}

// SendRun asks for one attempt: connect, send WriteReady, write only with the permit, then send AttemptEnded.
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

// ForwardCall asks to pass a call to the minting host; exactly one of the pointers is set.
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

// Machine is the form of the core that shells and the schedule explorer drive.
type Machine interface {
	// Step takes one event and returns the actions it calls for, in order.
	Step(event Event) []Action
}
