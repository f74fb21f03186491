package carobthread

import (
	"fmt"
	"strings"
	"time"
)

// RunState states whether a request has run.
type RunState string

// The run states of a request.
const (
	NotRun     RunState = "not-run"
	MayHaveRun RunState = "may-have-run"
	Ran        RunState = "ran"
)

// Reason is the cause of a refusal, a missing shard or an unknown outcome.
type Reason string

// The reasons reported to callers.
const (
	ReasonUnknownService   Reason = "unknown-service"
	ReasonWrongKind        Reason = "wrong-kind"
	ReasonDeadlinePassed   Reason = "deadline-passed"
	ReasonDeadlineTooShort Reason = "deadline-too-short"
	ReasonTooLarge         Reason = "too-large"
	ReasonMalformedKey     Reason = "malformed-key"
	ReasonKeyExpired       Reason = "key-expired"
	ReasonPayloadMismatch  Reason = "payload-mismatch"
	ReasonKeyTableFull     Reason = "key-table-full"
	ReasonKeyRevoked       Reason = "key-revoked"
	ReasonOverload         Reason = "overload"
	ReasonStopping         Reason = "stopping"
	ReasonNotReady         Reason = "not-ready"
	ReasonNoReplica        Reason = "no-replica"
	ReasonCutOff           Reason = "cut-off"
	ReasonEvacuated        Reason = "evacuated"
	ReasonNoSlot           Reason = "no-slot"
	ReasonTimeout          Reason = "timeout"
	ReasonUpstreamFailed   Reason = "upstream-failed"
	ReasonUpstreamShed     Reason = "upstream-shed"
	ReasonSnapshotMissing  Reason = "snapshot-missing"
	ReasonLayoutMissing    Reason = "layout-missing"
	ReasonHostUnreachable  Reason = "host-unreachable"
	ReasonConnectionLost   Reason = "connection-lost"
	// ReasonMemory is a request for which the host has no memory.
	ReasonMemory Reason = "memory"
	// ReasonSlowCaller is a caller that sends its request too slowly.
	ReasonSlowCaller Reason = "slow-caller"
	// ReasonRetryBudget means that the retry budget permits no further attempt.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonMalformed is a request or message that can't be read.
	ReasonMalformed Reason = "malformed-request"
	// ReasonInternal is an unexpected error of the host.
	ReasonInternal Reason = "internal-error"
)

// StatusError is a reply with an HTTP status that is not final. It is no reply: the request may have run, and what follows on
// the connection is unknown.
type StatusError struct{ Status int }

var _ error = (*StatusError)(nil)

// Error states the status.
func (failure *StatusError) Error() string {
	return fmt.Sprintf("the reply has the invalid status %03d", failure.Status)
}

// Final statuses of HTTP, from the lowest to the highest.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckStatus returns a *StatusError unless the HTTP status is a final one, 200 to 599.
func CheckStatus(status int) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return &StatusError{Status: status}
	}
	return nil
}

// RequestError is the failure of one request; callers may rely on its State.
type RequestError struct {
	State      RunState
	Reason     Reason
	Service    string
	Detail     string
	RetryAfter time.Duration
}

var _ error = (*RequestError)(nil)

// Error formats the failure with its state and reason.
func (failure *RequestError) Error() string {
	text := fmt.Sprintf("service %q: %s: %s", failure.Service, failure.State, failure.Reason)
	if failure.Detail != "" {
		text += ": " + failure.Detail
	}
	return text
}

// Finding is one error in an input file with its position; Line and Column count from 1.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String formats the finding as file:line:column: message.
func (finding Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", finding.File, finding.Line, finding.Column, finding.Message)
}

// Findings holds all findings of one check, reported together as one error.
type Findings []Finding

var _ error = Findings(nil)

// Error formats the findings, one per line.
func (findings Findings) Error() string {
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
