package carobthread

import (
	"fmt"
	"slices"
	"time"
)

// QueryID identifies a query on one entry host.
type QueryID uint64

// AttemptID identifies an attempt at one shard on one entry host.
type AttemptID uint64

// ReplyStatus states how an attempt ended.
type ReplyStatus string

// The statuses of an ended attempt.
const (
	ReplyOK              ReplyStatus = "ok"
	ReplySnapshotMissing ReplyStatus = "snapshot-missing"
	ReplyLayoutMissing   ReplyStatus = "layout-missing"
	ReplyShed            ReplyStatus = "shed"
	ReplyDraining        ReplyStatus = "draining"
	ReplyFailed          ReplyStatus = "failed"
	// ReplyNotSent means that no byte of the attempt was written, because no connection was available.
	ReplyNotSent ReplyStatus = "not-sent"
	// ReplyMisdirected means that another process now has the searcher's address; it did not run the attempt.
	ReplyMisdirected ReplyStatus = "misdirected"
)

// NotRun reports whether the status proves that the attempt did not and will not run.
func (status ReplyStatus) NotRun() bool {
	switch status {
	case ReplySnapshotMissing, ReplyLayoutMissing, ReplyShed, ReplyDraining, ReplyNotSent, ReplyMisdirected:
		return true
	}
	return false
}

// Event is one input to the query path's core; exactly one of the pointers is set.
type Event struct {
	At     Instant              `json:"at"`
	Query  *QueryArrived        `json:"query,omitempty"`
	Reply  *ReplyArrived        `json:"reply,omitempty"`
	Gone   *CallerGone          `json:"gone,omitempty"`
	Grant  *GrantArrived        `json:"grant,omitempty"`
	Report *ReportArrived       `json:"report,omitempty"`
	Config *ConfigChanged       `json:"config,omitempty"`
	View   *ViewChanged         `json:"view,omitempty"`
	Peers  *ObservationsArrived `json:"peers,omitempty"`
	Reach  *DataCentreReached   `json:"reach,omitempty"`
	Stop   *StopBegun           `json:"stop,omitempty"`
	Tick   *TickArrived         `json:"tick,omitempty"`
}

// QueryArrived is a caller's query; a zero Deadline means the service's hard deadline.
type QueryArrived struct {
	Query    QueryID `json:"query"`
	Service  string  `json:"service"`
	Deadline Instant `json:"deadline"`
	Size     int     `json:"size"`
	QueryLimits
}

// QueryLimits are the limits of a query that two hosts may have received; the zero value sets none.
type QueryLimits struct {
	// SoftDeadline is an earlier soft deadline than the service's, or 0.
	SoftDeadline Instant `json:"soft-deadline,omitempty"`
	// Definition is the only Layout.Definition that the query may be answered from, or 0 for any.
	Definition uint64 `json:"definition,omitempty"`
	// MaxSearchers is a smaller maximum number of searchers per shard than the service's, or 0.
	MaxSearchers int `json:"max-searchers,omitempty"`
	// Withheld is set if no second searcher of a shard may be sent to before GrantArrived.
	Withheld bool `json:"withheld,omitempty"`
	// Repeated is set if another host may have sent the query to the shards, so that first attempts count as extra ones.
	Repeated bool `json:"repeated,omitempty"`
}

// WantGrant asks the process to obtain the grant for a query that can't go on without a second searcher.
type WantGrant struct {
	Query QueryID `json:"query"`
}

// GrantArrived permits a query whose second searchers were withheld to use them.
type GrantArrived struct {
	Query QueryID `json:"query"`
}

// ReplyArrived is the end of an attempt as reported by the searcher or the connection.
type ReplyArrived struct {
	Query         QueryID     `json:"query"`
	Attempt       AttemptID   `json:"attempt"`
	Shard         uint32      `json:"shard"`
	Snapshot      uint64      `json:"snapshot"`
	Layout        uint32      `json:"layout"`
	Status        ReplyStatus `json:"status"`
	Draining      bool        `json:"draining,omitempty"`
	HeldSnapshots []uint64    `json:"held-snapshots,omitempty"`
	// SnapshotAgeMicros is the age of the snapshot at the searcher in microseconds.
	SnapshotAgeMicros int64 `json:"snapshot-age-us,omitempty"`
	// Searcher names the sender of a reply to a cancelled attempt, which still proves that the searcher responds.
	Searcher string `json:"searcher,omitempty"`
	// Backpressure is what the searcher asks of its callers, or nil if the reply can't state it.
	Backpressure *Backpressure `json:"backpressure,omitempty"`
}

// CallerGone reports that no caller waits for the query any more.
type CallerGone struct {
	Query QueryID `json:"query"`
}

// ReportArrived is a searcher's own report of its health and load, which may be out of date or wrong.
type ReportArrived struct {
	Searcher          string   `json:"searcher"`
	Healthy           bool     `json:"healthy"`
	Draining          bool     `json:"draining"`
	Running           int      `json:"running"`
	Queued            int      `json:"queued"`
	HeldSnapshots     []uint64 `json:"held-snapshots,omitempty"`
	SnapshotAgeMicros int64    `json:"snapshot-age-us,omitempty"`
	// Slowness is how long work takes on the searcher's machine now, in percent of the usual time, or 0 if not stated.
	Slowness int `json:"slowness,omitempty"`
}

// ConfigChanged replaces the complete active configuration.
type ConfigChanged struct {
	Config Config `json:"config"`
}

// ViewChanged replaces the view of live entry hosts.
type ViewChanged struct {
	View View `json:"view"`
}

// DataCentreReached reports that a host in a data centre has answered this host.
type DataCentreReached struct {
	DataCentre string `json:"data-centre"`
}

// StopBegun reports that the host stops gracefully and that every query must be answered by the given time.
type StopBegun struct {
	AnswerBy Instant `json:"answer-by"`
}

// ObservationsArrived carries recent observations of searchers by other hosts of the data centre.
type ObservationsArrived struct {
	Observations []Observation `json:"observations"`
}

// Observation summarizes the attempts of one or more hosts at one searcher during a short period.
type Observation struct {
	Searcher string `json:"searcher"`
	// Answered counts the attempts that were answered, Failed those that failed or were refused.
	Answered int `json:"answered,omitempty"`
	Failed   int `json:"failed,omitempty"`
	// Late counts the attempts that were abandoned as late since the searcher's last reply.
	Late int `json:"late,omitempty"`
	// FirstLateMicros and LastLateMicros are the ages of the first and the last late attempt in microseconds,
	// LastReplyMicros is the age of the last reply, or 0 without one.
	FirstLateMicros int64 `json:"first-late-us,omitempty"`
	LastLateMicros  int64 `json:"last-late-us,omitempty"`
	LastReplyMicros int64 `json:"last-reply-us,omitempty"`
}

// Add merges another host's observation of the same searcher at the same time.
func (observation *Observation) Add(other Observation) {
	observation.Answered += other.Answered
	observation.Failed += other.Failed
	if other.Late > 0 {
		if observation.Late == 0 {
			observation.LastLateMicros = other.LastLateMicros
		}
		observation.FirstLateMicros = max(observation.FirstLateMicros, other.FirstLateMicros)
		observation.LastLateMicros = min(observation.LastLateMicros, other.LastLateMicros)
		observation.Late += other.Late
	}
	if other.LastReplyMicros != 0 && (observation.LastReplyMicros == 0 || other.LastReplyMicros < observation.LastReplyMicros) {
		observation.LastReplyMicros = other.LastReplyMicros
	}
}

// Aged returns the observation with its ages increased by the elapsed time.
func (observation Observation) Aged(elapsed time.Duration) Observation {
	if observation.Late > 0 {
		observation.FirstLateMicros += elapsed.Microseconds()
		observation.LastLateMicros += elapsed.Microseconds()
	}
	if observation.LastReplyMicros != 0 {
		observation.LastReplyMicros += elapsed.Microseconds()
	}
	return observation
}

// TickArrived reports the passage of time; LateMicros is the delay of the tick after its due time in microseconds.
type TickArrived struct {
	LateMicros int64 `json:"late-us,omitempty"`
}

// Action is one output from the query path's core; exactly one of the pointers is set.
type Action struct {
	Send    *SendAttempt    `json:"send,omitempty"`
	Cancel  *CancelAttempt  `json:"cancel,omitempty"`
	Answer  *AnswerQuery    `json:"answer,omitempty"`
	Refuse  *RefuseQuery    `json:"refuse,omitempty"`
	Connect *SetConnections `json:"connect,omitempty"`
	Want    *WantGrant      `json:"want,omitempty"`
	Cold    *ColdChanged    `json:"cold,omitempty"`
}

// AttemptKind states why an attempt was sent.
type AttemptKind string

// The kinds of attempts; all but the first count as extra load.
const (
	AttemptFirst AttemptKind = "first"
	AttemptHedge AttemptKind = "hedge"
	AttemptRetry AttemptKind = "retry"
	AttemptMove  AttemptKind = "move"
)

// SendAttempt asks the process to send one shard request; Snapshot 0 requests the searcher's newest snapshot.
type SendAttempt struct {
	Query    QueryID     `json:"query"`
	Attempt  AttemptID   `json:"attempt"`
	Kind     AttemptKind `json:"kind"`
	Service  string      `json:"service"`
	Shard    uint32      `json:"shard"`
	Searcher string      `json:"searcher"`
	Snapshot uint64      `json:"snapshot"`
	Layout   uint32      `json:"layout"`
	Deadline Instant     `json:"deadline"`
	// Inputs explain the choice to operators; they are not part of a recorded decision.
	Inputs ChoiceInputs `json:"-"`
}

// ChoiceInputs holds the values that determined the searcher of an attempt.
type ChoiceInputs struct {
	// Class is the rank of the searcher among the replicas of its shard.
	Class string
	// InFlight counts this host's attempts at the searcher before this one, and Limit bounds them.
	InFlight int
	Limit    int
	// Estimate is the expected latency of the searcher, EstimateAge the time since the last latency sample.
	Estimate    time.Duration
	EstimateAge time.Duration
	// Waited is how long the attempt waited for a slot.
	Waited time.Duration
}

// CancelAttempt asks the process to cancel an attempt whose reply is no longer needed.
type CancelAttempt struct {
	Query   QueryID   `json:"query"`
	Attempt AttemptID `json:"attempt"`
	// MayFinish is set if the searcher has free slots, so that the attempt may run to its end, which keeps its connection open.
	MayFinish bool `json:"-"`
}

// MissingShard is a shard that is not part of an answer, with the reason.
type MissingShard struct {
	Shard  uint32 `json:"shard"`
	Reason Reason `json:"reason"`
}

// Coverage states how many shards of the layout an answer covers.
type Coverage struct {
	Answered uint32         `json:"answered"`
	Total    uint32         `json:"total"`
	Missing  []MissingShard `json:"missing,omitempty"`
}

// BlockCause is why a shard that is missing from an answer got no further attempt.
type BlockCause uint8

// The causes for which a missing shard got no further attempt.
const (
	// BlockedNotChecked means that no time was set after which the last attempt would have counted as late.
	BlockedNotChecked BlockCause = iota
	// BlockedNotDue means that the last attempt did not count as late yet.
	BlockedNotDue
	// BlockedQueued means that an attempt was waiting for a slot.
	BlockedQueued
	// BlockedAtMostOnce means that the request may run at most once.
	BlockedAtMostOnce
	// BlockedSearcherLimit means that the request had been sent to as many searchers of the shard as permitted.
	BlockedSearcherLimit
	// BlockedNotGranted means that the host which delegated the request had not granted a second searcher.
	BlockedNotGranted
	// BlockedInFlightLimit means that as many attempts as permitted were in flight to the shard.
	BlockedInFlightLimit
	// BlockedAttemptLimit means that as many attempts as permitted had been sent to the shard.
	BlockedAttemptLimit
	// BlockedDeadline means that a further attempt would not have been replied to by the deadline.
	BlockedDeadline
	// BlockedPaused means that hedging was paused after a searcher had shed load.
	BlockedPaused
	// BlockedNoReplica means that no other replica could be used.
	BlockedNoReplica
	// BlockedNoSlot means that the other replicas had no free slot for this host, or their rate limit was used up.
	BlockedNoSlot
	// BlockedBudget means that the retry budget was used up.
	BlockedBudget
)

// blockCauseNames returns the names of the causes in logs and metrics.
func blockCauseNames() []string {
	return []string{
		"not-checked", "not-due", "queued", "at-most-once", "searcher-limit", "not-granted", "in-flight-limit", "attempt-limit",
		"deadline", "hedging-paused", "no-replica", "no-slot", "budget",
	}
}

// String returns the name of the cause.
func (cause BlockCause) String() string { return blockCauseNames()[cause] }

// MarshalText encodes the cause by its name.
func (cause BlockCause) MarshalText() ([]byte, error) { return []byte(cause.String()), nil }

// UnmarshalText decodes the name of a cause.
func (cause *BlockCause) UnmarshalText(text []byte) error {
	index := slices.Index(blockCauseNames(), string(text))
	if index < 0 {
		return fmt.Errorf("unknown cause %q", text)
	}
	*cause = BlockCause(index)
	return nil
}

// BlockedShard states why a shard that is missing from an answer got no further attempt.
type BlockedShard struct {
	Shard uint32     `json:"shard"`
	Cause BlockCause `json:"cause"`
	// Class is the rank of the best replica for a further attempt, if the cause depends on it.
	Class string `json:"class,omitempty"`
	// Sent counts the attempts sent to the shard, InFlight those of them without a reply.
	Sent     int `json:"sent"`
	InFlight int `json:"in-flight"`
}

// AnswerQuery asks the process to merge the replies of the named attempts and answer the caller.
type AnswerQuery struct {
	Query    QueryID  `json:"query"`
	Service  string   `json:"service"`
	Coverage Coverage `json:"coverage"`
	Snapshot uint64   `json:"snapshot"`
	Layout   uint32   `json:"layout"`
	// SnapshotAgeMicros is the greatest snapshot age stated by a merged reply, or -1 if none states one.
	SnapshotAgeMicros int64       `json:"snapshot-age-us"`
	Merge             []AttemptID `json:"merge"`
	Attempts          uint32      `json:"attempts"`
	// Failed is set if the coverage is below the service's required floor.
	Failed bool `json:"failed,omitempty"`
	// NotRun is set for a failed answer if no attempt has run or can still run.
	NotRun bool `json:"not-run,omitempty"`
	// RetryAfterMicros is the delay in microseconds after which a retry of a failed query is likely to succeed.
	RetryAfterMicros int64 `json:"retry-after-us,omitempty"`
	// Blocked explains the missing shards to operators; it is not part of a recorded decision.
	Blocked []BlockedShard `json:"-"`
}

// RefuseQuery asks the process to refuse a query, which has not run.
type RefuseQuery struct {
	Query            QueryID `json:"query"`
	Service          string  `json:"service"`
	Reason           Reason  `json:"reason"`
	RetryAfterMicros int64   `json:"retry-after-us,omitempty"`
	// Inputs explain the refusal to operators; they are not part of a recorded decision.
	Inputs RefusalInputs `json:"-"`
}

// RefusalInputs holds the values that determined a refusal; values that did not matter are zero.
type RefusalInputs struct {
	// Waiting counts the service's attempts that wait for a slot.
	Waiting int
	// Ahead counts the attempts that would be sent before those of the refused query at the shard that decided.
	Ahead int
	// WaitEstimate is the estimated time until the required shards can be reached before the deadline.
	WaitEstimate time.Duration
	// Reachable and Required count shards.
	Reachable int
	Required  int
	// CutOff names the data centres that do not respond.
	CutOff []string
}

// SetConnections asks the process to keep Count connections to a searcher open.
type SetConnections struct {
	Searcher string `json:"searcher"`
	Count    int    `json:"count"`
}

// ColdChanged reports that a searcher has become cold, or warm if the time left is 0, as far as this host knows.
type ColdChanged struct {
	Searcher   string `json:"searcher"`
	LeftMicros int64  `json:"left-us"`
	// Share is the number of requests that this host may send the searcher in any Window, or 0 for none.
	Share        int   `json:"share,omitempty"`
	WindowMicros int64 `json:"window-us,omitempty"`
}

// Decider is the core of the query path.
type Decider interface {
	// Step processes one event and returns the resulting actions in the order of execution.
	Step(event Event) []Action
}

// Scheduled is a Decider that reports when it needs the next tick.
type Scheduled interface {
	Decider
	// NextDue returns the time at which the next step is due without any other event.
	NextDue() Instant
}
