package carobthread

import "time"

// QueryID names a query on one entry host.
type QueryID uint64

// AttemptID names one attempt at one shard on one entry host.
type AttemptID uint64

// ReplyStatus states how an attempt ended.
type ReplyStatus string

// The ends of an attempt.
const (
	ReplyOK              ReplyStatus = "ok"
	ReplySnapshotMissing ReplyStatus = "snapshot-missing"
	ReplyLayoutMissing   ReplyStatus = "layout-missing"
	ReplyShed            ReplyStatus = "shed"
	ReplyDraining        ReplyStatus = "draining"
	ReplyFailed          ReplyStatus = "failed"
	// ReplyNotSent says that no byte of the attempt was written, because no connection could be had.
	ReplyNotSent ReplyStatus = "not-sent"
	// ReplyMisdirected says that another process has the searcher's address, which did not run the attempt.
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

// Event is one input of the query path's core; exactly one of the pointers is set.
type Event struct {
	At     Instant        `json:"at"`
	Query  *QueryArrived  `json:"query,omitempty"`
	Reply  *ReplyArrived  `json:"reply,omitempty"`
	Gone   *CallerGone    `json:"gone,omitempty"`
	Report *ReportArrived `json:"report,omitempty"`
	Config *ConfigChanged `json:"config,omitempty"`
	View   *ViewChanged   `json:"view,omitempty"`
	Peers  *PeersObserved `json:"peers,omitempty"`
	Reach  *CentreReached `json:"reach,omitempty"`
	Tick   *Ticked        `json:"tick,omitempty"`
}

// QueryArrived is a caller's query; a zero Deadline takes the service's hard deadline.
type QueryArrived struct {
	Query    QueryID `json:"query"`
	Service  string  `json:"service"`
	Deadline Instant `json:"deadline"`
	Size     int     `json:"size"`
}

// ReplyArrived is the end of an attempt as the searcher or the connection states it.
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
	// Searcher names the sender of a reply to an attempt that was cancelled, which still shows that it answers.
	Searcher string `json:"searcher,omitempty"`
}

// CallerGone says that nobody waits for the query any more.
type CallerGone struct {
	Query QueryID `json:"query"`
}

// ReportArrived is a searcher's own statement of its health and load, which may lag or mislead.
type ReportArrived struct {
	Searcher          string   `json:"searcher"`
	Healthy           bool     `json:"healthy"`
	Draining          bool     `json:"draining"`
	Running           int      `json:"running"`
	Queued            int      `json:"queued"`
	HeldSnapshots     []uint64 `json:"held-snapshots,omitempty"`
	SnapshotAgeMicros int64    `json:"snapshot-age-us,omitempty"`
}

// ConfigChanged replaces the whole configuration in force.
type ConfigChanged struct {
	Config Config `json:"config"`
}

// ViewChanged replaces the view of live entry hosts.
type ViewChanged struct {
	View View `json:"view"`
}

// CentreReached says that another host of a data centre has answered this one.
type CentreReached struct {
	DataCentre string `json:"data-centre"`
}

// PeersObserved tells what other hosts of the data centre have lately seen of searchers.
type PeersObserved struct {
	Observations []Observation `json:"observations"`
}

// Observation is what one or several hosts have seen of one searcher in a short span.
type Observation struct {
	Searcher string `json:"searcher"`
	// Answered counts the attempts that were answered, Failed those that were failed or refused.
	Answered int `json:"answered,omitempty"`
	Failed   int `json:"failed,omitempty"`
	// Late counts the attempts that were given up as late since the searcher last replied.
	Late int `json:"late,omitempty"`
	// FirstLateMicros and LastLateMicros are the ages of the first and the last of these, LastReplyMicros that of the last
	// reply, or 0 without one.
	FirstLateMicros int64 `json:"first-late-us,omitempty"`
	LastLateMicros  int64 `json:"last-late-us,omitempty"`
	LastReplyMicros int64 `json:"last-reply-us,omitempty"`
}

// Add joins what another host has seen of the same searcher at the same time.
func (seen *Observation) Add(other Observation) {
	seen.Answered += other.Answered
	seen.Failed += other.Failed
	if other.Late > 0 {
		if seen.Late == 0 {
			seen.LastLateMicros = other.LastLateMicros
		}
		seen.FirstLateMicros = max(seen.FirstLateMicros, other.FirstLateMicros)
		seen.LastLateMicros = min(seen.LastLateMicros, other.LastLateMicros)
		seen.Late += other.Late
	}
	if other.LastReplyMicros != 0 && (seen.LastReplyMicros == 0 || other.LastReplyMicros < seen.LastReplyMicros) {
		seen.LastReplyMicros = other.LastReplyMicros
	}
}

// Aged returns the observation as it stands after that time.
func (seen Observation) Aged(by time.Duration) Observation {
	if seen.Late > 0 {
		seen.FirstLateMicros += by.Microseconds()
		seen.LastLateMicros += by.Microseconds()
	}
	if seen.LastReplyMicros != 0 {
		seen.LastReplyMicros += by.Microseconds()
	}
	return seen
}

// Ticked passes time; LateMicros is how far the tick came after it was due, in microseconds.
type Ticked struct {
	LateMicros int64 `json:"late-us,omitempty"`
}

// Action is one output of the query path's core; exactly one of the pointers is set.
type Action struct {
	Send    *SendAttempt    `json:"send,omitempty"`
	Cancel  *CancelAttempt  `json:"cancel,omitempty"`
	Answer  *AnswerQuery    `json:"answer,omitempty"`
	Refuse  *RefuseQuery    `json:"refuse,omitempty"`
	Connect *SetConnections `json:"connect,omitempty"`
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

// SendAttempt asks the process to send one shard request; Snapshot 0 asks for the newest one held.
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
	// Inputs explain the choice to operators; they are no part of a recorded decision.
	Inputs ChoiceInputs `json:"-"`
}

// ChoiceInputs are what decided on the searcher of an attempt.
type ChoiceInputs struct {
	// Class is the rank of the searcher among the replicas of its shard.
	Class string
	// InFlight counts this host's attempts at the searcher before this one, and Limit bounds them.
	InFlight int
	Limit    int
	// Estimate is the latency expected of the searcher, EstimateAge the time since its last sample.
	Estimate    time.Duration
	EstimateAge time.Duration
}

// CancelAttempt asks the process to cancel an attempt whose reply no longer matters.
type CancelAttempt struct {
	Query   QueryID   `json:"query"`
	Attempt AttemptID `json:"attempt"`
	// Idle says that the searcher has slots to spare, so that the attempt may end by itself, which keeps its connection.
	Idle bool `json:"-"`
}

// MissingShard names a shard that is not part of an answer and the reason.
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

// AnswerQuery asks the process to merge the replies of the named attempts and answer the caller.
type AnswerQuery struct {
	Query    QueryID  `json:"query"`
	Service  string   `json:"service"`
	Coverage Coverage `json:"coverage"`
	Snapshot uint64   `json:"snapshot"`
	Layout   uint32   `json:"layout"`
	// SnapshotAgeMicros is the greatest age stated by a merged reply, or -1 without one.
	SnapshotAgeMicros int64       `json:"snapshot-age-us"`
	Merge             []AttemptID `json:"merge"`
	Attempts          uint32      `json:"attempts"`
	// Failed says that the coverage is below the service's required floor.
	Failed bool `json:"failed,omitempty"`
	// NotRun says of a failed answer that no attempt has run or can run.
	NotRun bool `json:"not-run,omitempty"`
	// RetryAfterMicros is when a failed query is likely to be answered.
	RetryAfterMicros int64 `json:"retry-after-us,omitempty"`
}

// RefuseQuery asks the process to refuse a query as not run.
type RefuseQuery struct {
	Query            QueryID `json:"query"`
	Service          string  `json:"service"`
	Reason           Reason  `json:"reason"`
	RetryAfterMicros int64   `json:"retry-after-us,omitempty"`
	// Inputs explain the refusal to operators; they are no part of a recorded decision.
	Inputs RefusalInputs `json:"-"`
}

// RefusalInputs are what decided on a refusal; zero where it did not matter.
type RefusalInputs struct {
	// Waiting counts the service's attempts that wait for a slot.
	Waiting int
	// WaitEstimate is how long until the required shards can be reached in time.
	WaitEstimate time.Duration
	// Reachable and Required count shards.
	Reachable int
	Required  int
	// CutOff names the data centres that answer nothing.
	CutOff []string
}

// SetConnections asks the process to keep this many connections open to a searcher.
type SetConnections struct {
	Searcher string `json:"searcher"`
	Count    int    `json:"count"`
}

// Decider is the core of the query path.
type Decider interface {
	// Step takes one event and returns the actions it calls for, in order.
	Step(event Event) []Action
}

// Scheduled is a Decider that states when it needs the next tick.
type Scheduled interface {
	Decider
	// NextDue returns when time alone calls for the next step.
	NextDue() Instant
}
