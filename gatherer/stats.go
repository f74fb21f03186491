package gatherer

import (
	"maps"

	"carobthread"
)

// Stats counts what the gatherer has done since its start; all but the last three fields only grow.
type Stats struct {
	// FirstAttempts, Hedges, Retries and Moves count attempts sent by kind; all but the first kind are extra load.
	FirstAttempts uint64 `json:"first-attempts"`
	Hedges        uint64 `json:"hedges"`
	Retries       uint64 `json:"retries"`
	Moves         uint64 `json:"moves"`
	// Cancelled counts attempts that were cancelled, and Expired those of them whose query reached its deadline.
	Cancelled uint64 `json:"cancelled"`
	Expired   uint64 `json:"expired"`
	// Answers counts queries answered, and CompleteAnswers those of them with every shard.
	Answers         uint64 `json:"answers"`
	CompleteAnswers uint64 `json:"complete-answers"`
	// Refusals counts queries refused as not run, by reason.
	Refusals         map[carobthread.Reason]uint64 `json:"refusals"`
	DuplicateQueries uint64                        `json:"duplicate-queries"`
	CallersGone      uint64                        `json:"callers-gone"`
	// LateReplies came for an attempt that was cancelled, DuplicateReplies for one that had replied, MisroutedReplies for an attempt of another query or shard or one never sent.
	LateReplies      uint64 `json:"late-replies"`
	DuplicateReplies uint64 `json:"duplicate-replies"`
	MisroutedReplies uint64 `json:"misrouted-replies"`
	// MismatchedReplies came from another snapshot or layout than the query's.
	MismatchedReplies uint64 `json:"mismatched-replies"`
	Sheds             uint64 `json:"sheds"`
	// QueriesMoved counts moves of a whole query to another snapshot or layout.
	QueriesMoved uint64 `json:"queries-moved"`
	Ejections    uint64 `json:"ejections"`
	// EjectionsCapped counts ejections that the cap turned into mere avoidance.
	EjectionsCapped uint64 `json:"ejections-capped"`
	Pauses          uint64 `json:"pauses"`
	// BudgetRefused counts hedges and retries that the budget did not pay for at once.
	BudgetRefused uint64 `json:"budget-refused"`
	// Waited counts attempts that waited for a free slot, and QueueFull those that found the queue full.
	Waited    uint64 `json:"waited"`
	QueueFull uint64 `json:"queue-full"`

	QueriesInProgress int `json:"queries-in-progress"`
	AttemptsInFlight  int `json:"attempts-in-flight"`
	AttemptsWaiting   int `json:"attempts-waiting"`
}

// Extra returns the number of attempts sent beyond the first of each shard.
func (stats *Stats) Extra() uint64 { return stats.Hedges + stats.Retries + stats.Moves }

// Stats returns a copy of the counts.
func (gatherer *Gatherer) Stats() Stats {
	stats := gatherer.stats
	stats.Refusals = maps.Clone(stats.Refusals)
	stats.QueriesInProgress = len(gatherer.queries)
	stats.AttemptsInFlight = len(gatherer.attempts)
	for _, row := range gatherer.waitingRows {
		stats.AttemptsWaiting += len(row.waiting)
	}
	return stats
}

func (stats *Stats) countSend(kind carobthread.AttemptKind) {
	switch kind {
	case carobthread.AttemptFirst:
		stats.FirstAttempts++
	case carobthread.AttemptHedge:
		stats.Hedges++
	case carobthread.AttemptRetry:
		stats.Retries++
	case carobthread.AttemptMove:
		stats.Moves++
	}
}

// answeredRing remembers the last attempts that replied, to tell a duplicate reply from a late one.
type answeredRing struct {
	ids []carobthread.AttemptID
}

// ringSize is a power of two; a duplicate later than this many attempts counts as late.
const ringSize = 8192

func (ring *answeredRing) add(id carobthread.AttemptID) {
	if ring.ids == nil {
		ring.ids = make([]carobthread.AttemptID, ringSize)
	}
	ring.ids[id%ringSize] = id
}

func (ring *answeredRing) has(id carobthread.AttemptID) bool {
	return ring.ids != nil && ring.ids[id%ringSize] == id
}
