package bencher

import (
	"slices"
	"time"

	"carobthread"
)

// Invariant names a rule that must hold under every fault.
type Invariant string

// The invariants, each of which counts its violations.
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
	// drainBound is the time after which a draining searcher must get no new work.
	drainBound = 3 * time.Second
	// answerGrace is how long after its deadline a query may stay open.
	answerGrace = time.Second
)

type checkedQuery struct {
	service  string
	deadline carobthread.Instant
	attempts []carobthread.AttemptID
}

type checkedAttempt struct {
	query    carobthread.QueryID
	shard    uint32
	layout   uint32
	searcher string
	flying   bool
	reply    *carobthread.ReplyArrived
}

// checker follows the events and actions of one host and counts broken invariants.
type checker struct {
	host     *entryHost
	execute  bool
	queries  map[carobthread.QueryID]*checkedQuery
	attempts map[carobthread.AttemptID]*checkedAttempt
	inFlight map[string]int
	broken   map[Invariant]int
}

func newChecker(host *entryHost, execute bool) *checker {
	return &checker{
		host:     host,
		execute:  execute,
		queries:  map[carobthread.QueryID]*checkedQuery{},
		attempts: map[carobthread.AttemptID]*checkedAttempt{},
		inFlight: map[string]int{},
		broken:   map[Invariant]int{},
	}
}

func (checker *checker) count(invariant Invariant, violated bool) {
	if violated {
		checker.broken[invariant]++
	}
}

// event notes an input of the core before the core sees it.
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
	if attempt == nil || !attempt.flying || attempt.query != reply.Query || attempt.shard != reply.Shard {
		return
	}
	attempt.reply = reply
	checker.land(reply.Attempt, attempt)
}

// land ends the flight of an attempt.
func (checker *checker) land(id carobthread.AttemptID, attempt *checkedAttempt) {
	attempt.flying = false
	checker.inFlight[attempt.searcher]--
	if checker.queries[attempt.query] == nil {
		delete(checker.attempts, id)
	}
}

// endQuery forgets a query and all its attempts but those in flight.
func (checker *checker) endQuery(id carobthread.QueryID) {
	query := checker.queries[id]
	if query == nil {
		return
	}
	delete(checker.queries, id)
	for _, attempt := range query.attempts {
		if known := checker.attempts[attempt]; known != nil && !known.flying {
			delete(checker.attempts, attempt)
		}
	}
}

// action checks an output of the core.
func (checker *checker) action(now carobthread.Instant, action *carobthread.Action) {
	switch {
	case action.Send != nil:
		checker.send(now, action.Send)
	case action.Cancel != nil:
		if attempt := checker.attempts[action.Cancel.Attempt]; attempt != nil && attempt.flying {
			checker.land(action.Cancel.Attempt, attempt)
		}
	case action.Answer != nil:
		checker.answer(action.Answer)
		checker.endQuery(action.Answer.Query)
	case action.Refuse != nil:
		query := checker.queries[action.Refuse.Query]
		checker.count(UnexpectedAnswer, query == nil)
		checker.count(RefusedAfterSend, query != nil && len(query.attempts) > 0)
		checker.endQuery(action.Refuse.Query)
	}
}

func (checker *checker) send(now carobthread.Instant, send *carobthread.SendAttempt) {
	query := checker.queries[send.Query]
	if query == nil {
		checker.count(LateAttempt, true)
		query = &checkedQuery{}
	}
	checker.count(LateAttempt, now >= query.deadline || send.Deadline > query.deadline)
	checker.count(RepeatedExecute, checker.execute && !checker.allNotRun(query))
	checker.count(WrongReplica, !slices.Contains(checker.replicas(send), send.Searcher))
	checker.count(ReusedAttempt, checker.attempts[send.Attempt] != nil)
	query.attempts = append(query.attempts, send.Attempt)
	checker.attempts[send.Attempt] = &checkedAttempt{
		query:    send.Query,
		shard:    send.Shard,
		layout:   send.Layout,
		searcher: send.Searcher,
		flying:   true,
	}
	checker.inFlight[send.Searcher]++
	searcher := checker.host.simulation.searcherNamed[send.Searcher]
	checker.count(OverSlots, checker.inFlight[send.Searcher] > searcher.config.Slots)
	late := searcher.draining && now > searcher.drainedAt.Add(drainBound)
	checker.count(DrainingWork, late && checker.host.simulation.reachable(checker.host, searcher))
}

func (checker *checker) replicas(send *carobthread.SendAttempt) []string {
	layout, known := checker.host.config.Layout(send.Service, send.Layout)
	if !known || int(send.Shard) >= len(layout.Shards) {
		return nil
	}
	return layout.Shards[send.Shard]
}

// allNotRun reports whether every earlier attempt ended with an explicit statement that it was not run.
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
		checker.count(UnexpectedAnswer, true)
		return
	}
	merged := map[uint32]bool{}
	age := int64(-1)
	for _, id := range answer.Merge {
		attempt := checker.attempts[id]
		if attempt == nil || attempt.query != answer.Query || attempt.reply == nil || attempt.reply.Status != carobthread.ReplyOK {
			checker.count(MisroutedReply, true)
			continue
		}
		checker.count(MixedSnapshot, attempt.reply.Snapshot != answer.Snapshot)
		checker.count(MixedLayout, attempt.reply.Layout != answer.Layout || attempt.layout != answer.Layout)
		checker.count(WrongCoverage, merged[attempt.shard])
		merged[attempt.shard] = true
		age = max(age, attempt.reply.SnapshotAgeMicros)
	}
	checker.count(WrongAge, answer.SnapshotAgeMicros != age)
	checker.count(WrongCoverage, !checker.coverageExact(answer, query, merged))
}

// coverageExact compares the stated coverage with the merged replies and the layout.
func (checker *checker) coverageExact(answer *carobthread.AnswerQuery, query *checkedQuery, merged map[uint32]bool) bool {
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

// finish counts queries that have stayed open for too long after their deadline.
func (checker *checker) finish(now carobthread.Instant) {
	for _, query := range checker.queries {
		checker.count(Unanswered, now > query.deadline.Add(answerGrace))
	}
}
