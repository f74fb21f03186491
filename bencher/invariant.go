package bencher

import (
	"slices"
	"time"

	"carobthread"
)

// Invariant names a rule that must hold under every fault.
type Invariant string

// The invariants; violations are counted for each of them.
const (
	MixedSnapshot    Invariant = "mixed-snapshot"
	MixedLayout      Invariant = "mixed-layout"
	WrongCoverage    Invariant = "wrong-coverage"
	WrongAge         Invariant = "wrong-age"
	MisroutedReply   Invariant = "misrouted-reply"
	WrongReplica     Invariant = "wrong-replica"
	ReusedAttempt    Invariant = "reused-attempt"
	LateAttempt      Invariant = "late-attempt"
	OverSlots        Invariant = "over-slots"
	RefusedAfterSend Invariant = "refused-after-send"
	DrainingWork     Invariant = "draining-work"
	UnexpectedAnswer Invariant = "unexpected-answer"
	Unanswered       Invariant = "unanswered"
	RepeatedExecute  Invariant = "repeated-execute"
)

// Invariants returns all invariants in the order of the report.
func Invariants() []Invariant {
	return []Invariant{
		MixedSnapshot, MixedLayout, WrongCoverage, WrongAge, MisroutedReply, WrongReplica, ReusedAttempt, LateAttempt,
		OverSlots, RefusedAfterSend, DrainingWork, UnexpectedAnswer, Unanswered, RepeatedExecute,
	}
}

const (
	// drainBound is the time from the start of a drain after which the searcher must get no new work.
	drainBound = 3 * time.Second
	// answerGrace is how long after its deadline a query may remain unanswered.
	answerGrace = time.Second
)

type checkedQuery struct {
	service  string
	deadline carobthread.Instant
	attempts []carobthread.AttemptID
}

type checkedAttempt struct {
	query       carobthread.QueryID
	shard       uint32
	layout      uint32
	searcher    string
	outstanding bool
	reply       *carobthread.ReplyArrived
}

// checker follows the events and actions of one host and counts violated invariants.
type checker struct {
	host       *entryHost
	execute    bool
	queries    map[carobthread.QueryID]*checkedQuery
	attempts   map[carobthread.AttemptID]*checkedAttempt
	inFlight   map[string]int
	violations map[Invariant]int
}

func newChecker(host *entryHost, execute bool) *checker {
	return &checker{
		host:       host,
		execute:    execute,
		queries:    map[carobthread.QueryID]*checkedQuery{},
		attempts:   map[carobthread.AttemptID]*checkedAttempt{},
		inFlight:   map[string]int{},
		violations: map[Invariant]int{},
	}
}

// countViolation counts a violation of the invariant if violated is true.
func (checker *checker) countViolation(invariant Invariant, violated bool) {
	if violated {
		checker.violations[invariant]++
	}
}

// event records an event before it is passed to the core.
func (checker *checker) event(now carobthread.Instant, event *carobthread.Event) {
	switch {
	case event.Query != nil:
		deadline := event.Query.Deadline
		if service, known := checker.host.config.Service(event.Query.Service); known {
			deadline = min(deadline, now.Add(service.HardDeadline))
		}
		checker.queries[event.Query.Query] = &checkedQuery{service: event.Query.Service, deadline: deadline}
	case event.Gone != nil:
		checker.endQuery(event.Gone.Query)
	case event.Reply != nil:
		checker.reply(event.Reply)
	}
}

func (checker *checker) reply(reply *carobthread.ReplyArrived) {
	attempt := checker.attempts[reply.Attempt]
	if attempt == nil || !attempt.outstanding || attempt.query != reply.Query || attempt.shard != reply.Shard {
		return
	}
	attempt.reply = reply
	checker.endAttempt(reply.Attempt, attempt)
}

// endAttempt marks an attempt as no longer in flight.
func (checker *checker) endAttempt(id carobthread.AttemptID, attempt *checkedAttempt) {
	attempt.outstanding = false
	checker.inFlight[attempt.searcher]--
	if checker.queries[attempt.query] == nil {
		delete(checker.attempts, id)
	}
}

// endQuery removes a query and all its attempts except those in flight.
func (checker *checker) endQuery(id carobthread.QueryID) {
	query := checker.queries[id]
	if query == nil {
		return
	}
	delete(checker.queries, id)
	for _, attemptID := range query.attempts {
		if attempt := checker.attempts[attemptID]; attempt != nil && !attempt.outstanding {
			delete(checker.attempts, attemptID)
		}
	}
}

// action checks an action of the core.
func (checker *checker) action(now carobthread.Instant, action *carobthread.Action) {
	switch {
	case action.Send != nil:
		checker.send(now, action.Send)
	case action.Cancel != nil:
		if attempt := checker.attempts[action.Cancel.Attempt]; attempt != nil && attempt.outstanding {
			checker.endAttempt(action.Cancel.Attempt, attempt)
		}
	case action.Answer != nil:
		checker.answer(action.Answer)
		checker.endQuery(action.Answer.Query)
	case action.Refuse != nil:
		query := checker.queries[action.Refuse.Query]
		checker.countViolation(UnexpectedAnswer, query == nil)
		checker.countViolation(RefusedAfterSend, query != nil && len(query.attempts) > 0)
		checker.endQuery(action.Refuse.Query)
	}
}

func (checker *checker) send(now carobthread.Instant, send *carobthread.SendAttempt) {
	query := checker.queries[send.Query]
	if query == nil {
		checker.countViolation(LateAttempt, true)
		query = &checkedQuery{}
	}
	checker.countViolation(LateAttempt, now >= query.deadline || send.Deadline > query.deadline)
	checker.countViolation(RepeatedExecute, checker.execute && !checker.allNotRun(query))
	checker.countViolation(WrongReplica, !slices.Contains(checker.replicas(send), send.Searcher))
	checker.countViolation(ReusedAttempt, checker.attempts[send.Attempt] != nil)
	query.attempts = append(query.attempts, send.Attempt)
	checker.attempts[send.Attempt] = &checkedAttempt{
		query:       send.Query,
		shard:       send.Shard,
		layout:      send.Layout,
		searcher:    send.Searcher,
		outstanding: true,
	}
	checker.inFlight[send.Searcher]++
	searcher := checker.host.simulation.searchersByName[send.Searcher]
	checker.countViolation(OverSlots, checker.inFlight[send.Searcher] > searcher.config.Slots)
	pastDrainBound := searcher.draining && now > searcher.drainedAt.Add(drainBound)
	checker.countViolation(DrainingWork, pastDrainBound && checker.host.simulation.reachable(checker.host, searcher))
}

func (checker *checker) replicas(send *carobthread.SendAttempt) []string {
	layout, known := checker.host.config.Layout(send.Service, send.Layout)
	if !known || int(send.Shard) >= len(layout.Shards) {
		return nil
	}
	return layout.Shards[send.Shard]
}

// allNotRun reports whether every earlier attempt ended with a reply that confirms that it did not run.
func (checker *checker) allNotRun(query *checkedQuery) bool {
	for _, id := range query.attempts {
		attempt := checker.attempts[id]
		if attempt.reply == nil || mayHaveRun(attempt.reply.Status) {
			return false
		}
	}
	return true
}

func mayHaveRun(status carobthread.ReplyStatus) bool {
	return status == carobthread.ReplyOK || status == carobthread.ReplyFailed
}

func (checker *checker) answer(answer *carobthread.AnswerQuery) {
	query := checker.queries[answer.Query]
	if query == nil {
		checker.countViolation(UnexpectedAnswer, true)
		return
	}
	merged := map[uint32]bool{}
	age := int64(-1)
	for _, id := range answer.Merge {
		attempt := checker.attempts[id]
		if attempt == nil || attempt.query != answer.Query || attempt.reply == nil || attempt.reply.Status != carobthread.ReplyOK {
			checker.countViolation(MisroutedReply, true)
			continue
		}
		checker.countViolation(MixedSnapshot, attempt.reply.Snapshot != answer.Snapshot)
		checker.countViolation(MixedLayout, attempt.reply.Layout != answer.Layout || attempt.layout != answer.Layout)
		checker.countViolation(WrongCoverage, merged[attempt.shard])
		merged[attempt.shard] = true
		age = max(age, attempt.reply.SnapshotAgeMicros)
	}
	checker.countViolation(WrongAge, answer.SnapshotAgeMicros != age)
	checker.countViolation(WrongCoverage, !checker.coverageCorrect(answer, query, merged))
}

// coverageCorrect reports whether the coverage of an answer agrees with the merged replies and the layout.
func (checker *checker) coverageCorrect(answer *carobthread.AnswerQuery, query *checkedQuery, merged map[uint32]bool) bool {
	layout, known := checker.host.config.Layout(answer.Service, answer.Layout)
	if !known || answer.Service != query.service {
		return false
	}
	coverage := &answer.Coverage
	if int(coverage.Total) != len(layout.Shards) || int(coverage.Answered) != len(merged) || int(answer.Attempts) != len(query.attempts) {
		return false
	}
	missing := map[uint32]bool{}
	for _, shard := range coverage.Missing {
		if merged[shard.Shard] || missing[shard.Shard] || shard.Shard >= coverage.Total || shard.Reason == "" {
			return false
		}
		missing[shard.Shard] = true
	}
	return len(merged)+len(missing) == len(layout.Shards)
}

// finish counts queries that have remained unanswered for too long after their deadline.
func (checker *checker) finish(now carobthread.Instant) {
	for _, query := range checker.queries {
		checker.countViolation(Unanswered, now > query.deadline.Add(answerGrace))
	}
}
