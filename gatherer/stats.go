package gatherer

import (
	"maps"

	"carobthread"
)

// Stats holds the gatherer's counters since its start; the fields from QueriesInProgress on are gauges.
type Stats struct {
	// FirstAttempts, Hedges, Retries and Moves count the attempts sent by kind; all but first attempts are extra load.
	FirstAttempts uint64 `json:"first-attempts"`
	Hedges        uint64 `json:"hedges"`
	Retries       uint64 `json:"retries"`
	Moves         uint64 `json:"moves"`
	// Cancelled counts the attempts cancelled, and Expired those of them that were cancelled at their query's deadline.
	Cancelled uint64 `json:"cancelled"`
	Expired   uint64 `json:"expired"`
	// Answers counts the queries answered, and CompleteAnswers those of them that cover every shard.
	Answers         uint64 `json:"answers"`
	CompleteAnswers uint64 `json:"complete-answers"`
	// Refusals counts queries refused as not run, by reason.
	Refusals         map[carobthread.Reason]uint64 `json:"refusals"`
	DuplicateQueries uint64                        `json:"duplicate-queries"`
	CallersGone      uint64                        `json:"callers-gone"`
	// LateReplies counts replies to cancelled attempts or after the query's deadline, DuplicateReplies replies to attempts
	// that already had one, and MisroutedReplies replies that name another query or shard than their attempt's, or an attempt
	// that was never sent.
	LateReplies      uint64 `json:"late-replies"`
	DuplicateReplies uint64 `json:"duplicate-replies"`
	MisroutedReplies uint64 `json:"misrouted-replies"`
	// MismatchedReplies counts replies from another snapshot or layout than the query's current one.
	MismatchedReplies uint64 `json:"mismatched-replies"`
	Sheds             uint64 `json:"sheds"`
	// QueriesMoved counts moves of a whole query to another snapshot or layout.
	QueriesMoved uint64 `json:"queries-moved"`
	Ejections    uint64 `json:"ejections"`
	// EjectionsCapped counts the times that a searcher was only avoided because the cap did not permit its ejection.
	EjectionsCapped uint64 `json:"ejections-capped"`
	Pauses          uint64 `json:"pauses"`
	// BudgetRefused counts the times that the budget refused a hedge, a retry or a move, or that no slot was free for a hedge.
	BudgetRefused uint64 `json:"budget-refused"`
	// Waited counts the attempts queued for a free slot, and QueueFull those that found the queue full.
	Waited    uint64 `json:"waited"`
	QueueFull uint64 `json:"queue-full"`
	// QueueTurns counts the waiting attempts sent before more urgent ones because their service was served least recently, and
	// QueueLate those that were sent although their replies were not expected by the target.
	QueueTurns uint64 `json:"queue-turns"`
	QueueLate  uint64 `json:"queue-late"`
	// QueueShed counts the queries given up as not run to make room in a full queue.
	QueueShed uint64 `json:"queue-shed"`
	// Predicted counts the choices of a replica by its expected completion.
	Predicted uint64 `json:"predicted"`
	// BlockedShards counts the shards missing from answers by the cause for which they got no further attempt.
	BlockedShards map[carobthread.BlockCause]uint64 `json:"blocked-shards"`

	QueriesInProgress int `json:"queries-in-progress"`
	AttemptsInFlight  int `json:"attempts-in-flight"`
	AttemptsWaiting   int `json:"attempts-waiting"`
	// SearchersEvacuated is the number of searchers that are sent nothing because their data centre is evacuated.
	SearchersEvacuated int `json:"searchers-evacuated"`
	// ColdSearchers counts the searchers that are cold.
	ColdSearchers int `json:"cold-searchers"`
	// QueueBelief and SlownessBelief are how far the searchers' reports of their queues and of their machines have come true,
	// from 0 to 1.
	QueueBelief    float64 `json:"queue-belief"`
	SlownessBelief float64 `json:"slowness-belief"`
}

// Extra returns the number of attempts sent beyond the first of each shard.
func (stats *Stats) Extra() uint64 { return stats.Hedges + stats.Retries + stats.Moves }

// Stats returns a copy of the counters and the current values of the gauges.
func (gatherer *Gatherer) Stats() Stats {
	stats := gatherer.stats
	stats.Refusals = maps.Clone(stats.Refusals)
	stats.BlockedShards = maps.Clone(stats.BlockedShards)
	stats.QueriesInProgress = len(gatherer.queries)
	stats.AttemptsInFlight = len(gatherer.attempts)
	stats.ColdSearchers = len(gatherer.coldSearchers)
	stats.QueueBelief, stats.SlownessBelief = gatherer.belief.Queue.Weight(), gatherer.belief.Slowness.Weight()
	for _, row := range gatherer.waitingShards {
		stats.AttemptsWaiting += len(row.waiting)
	}
	for _, searcher := range gatherer.searcherList {
		if searcher.known && searcher.evacuated {
			stats.SearchersEvacuated++
		}
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

// repliedRing holds the last attempts that were replied to, to distinguish a duplicate reply from a late one.
type repliedRing struct {
	ids []carobthread.AttemptID
}

// ringSize is a power of two; a duplicate that comes more than this many attempts later is counted as late.
const ringSize = 8192

func (ring *repliedRing) add(id carobthread.AttemptID) {
	if ring.ids == nil {
		ring.ids = make([]carobthread.AttemptID, ringSize)
	}
	ring.ids[id%ringSize] = id
}

func (ring *repliedRing) has(id carobthread.AttemptID) bool {
	return ring.ids != nil && ring.ids[id%ringSize] == id
}
