package gatherer

import (
	"math/rand/v2"
	"slices"

	"carobthread"
)

// Options selects the policy; the zero value is the policy in force.
type Options struct {
	// RandomReplica picks replicas at random, sends no second attempts and waits for all shards.
	RandomReplica bool `json:"random-replica,omitempty"`
}

// Gatherer is the state machine of the query path; it is not safe for concurrent use.
type Gatherer struct {
	options     Options
	random      *rand.Rand
	nextAttempt carobthread.AttemptID
	services    map[string]*serviceRow
	searchers   map[string]*searcherRow
	queries     map[carobthread.QueryID]*queryRow
	order       []carobthread.QueryID
	attempts    map[carobthread.AttemptID]*attemptRow
	actions     []carobthread.Action
}

var _ carobthread.Decider = (*Gatherer)(nil)

// New returns a gatherer without configuration; the seed fixes its random choices.
func New(seed uint64, options Options) *Gatherer {
	return &Gatherer{
		options:   options,
		random:    rand.New(rand.NewPCG(seed, 0)),
		services:  map[string]*serviceRow{},
		searchers: map[string]*searcherRow{},
		queries:   map[carobthread.QueryID]*queryRow{},
		attempts:  map[carobthread.AttemptID]*attemptRow{},
	}
}

// Step takes one event and returns the actions it calls for, in order.
func (gatherer *Gatherer) Step(event carobthread.Event) []carobthread.Action {
	gatherer.actions = nil
	switch {
	case event.Query != nil:
		gatherer.arrive(event.At, event.Query)
	case event.Reply != nil:
		gatherer.reply(event.At, event.Reply)
	case event.Gone != nil:
		gatherer.abandon(event.Gone.Query)
	case event.Report != nil:
		gatherer.report(event.Report)
	case event.Config != nil:
		gatherer.configure(&event.Config.Config)
	case event.Tick != nil:
		gatherer.tick(event.At)
	}
	return gatherer.actions
}

func (gatherer *Gatherer) configure(config *carobthread.Config) {
	searchers := make(map[string]*searcherRow, len(config.Searchers))
	for _, searcher := range config.Searchers {
		row := gatherer.searchers[searcher.Name]
		if row == nil {
			row = &searcherRow{age: -1}
		}
		row.config = searcher
		searchers[searcher.Name] = row
	}
	gatherer.searchers = searchers
	gatherer.services = make(map[string]*serviceRow, len(config.Services))
	for _, service := range config.Services {
		gatherer.services[service.Name] = &serviceRow{config: service}
	}
	for _, layout := range config.Layouts {
		if service := gatherer.services[layout.Service]; service != nil {
			service.layouts = append(service.layouts, layout)
		}
	}
}

func (gatherer *Gatherer) arrive(now carobthread.Instant, arrived *carobthread.QueryArrived) {
	service := gatherer.services[arrived.Service]
	if service == nil {
		gatherer.refuse(arrived, carobthread.ReasonUnknownService)
		return
	}
	if service.config.Kind != carobthread.KindSearch {
		gatherer.refuse(arrived, carobthread.ReasonWrongKind)
		return
	}
	if service.config.MaxRequestSize > 0 && arrived.Size > service.config.MaxRequestSize {
		gatherer.refuse(arrived, carobthread.ReasonTooLarge)
		return
	}
	deadline := now.Add(service.config.HardDeadline)
	if arrived.Deadline != 0 && arrived.Deadline < deadline {
		deadline = arrived.Deadline
	}
	if deadline <= now {
		gatherer.refuse(arrived, carobthread.ReasonDeadlinePassed)
		return
	}
	layout := service.layout(service.config.Layout)
	if layout == nil {
		gatherer.refuse(arrived, carobthread.ReasonNotReady)
		return
	}
	query := &queryRow{
		id:       arrived.Query,
		service:  service,
		layout:   layout,
		arrived:  now,
		soft:     now.Add(service.config.SoftDeadline),
		deadline: deadline,
		shards:   make([]shardState, len(layout.Shards)),
		age:      -1,
	}
	query.snapshot = gatherer.chooseSnapshot(layout)
	gatherer.queries[query.id] = query
	gatherer.order = append(gatherer.order, query.id)
	for shard := range query.shards {
		gatherer.send(now, query, uint32(shard), carobthread.AttemptFirst)
	}
	gatherer.finishIfDone(query)
}

// chooseSnapshot returns the snapshot that covers the most shards, the newest one on a tie, or 0 if none is known.
func (gatherer *Gatherer) chooseSnapshot(layout *carobthread.Layout) uint64 {
	covered := map[uint64]int{}
	for _, replicas := range layout.Shards {
		seen := map[uint64]bool{}
		for _, name := range replicas {
			searcher := gatherer.searchers[name]
			if searcher == nil || searcher.draining || searcher.config.Leaving {
				continue
			}
			for _, snapshot := range searcher.held {
				if !seen[snapshot] {
					seen[snapshot] = true
					covered[snapshot]++
				}
			}
		}
	}
	var best uint64
	for snapshot, shards := range covered {
		if shards > covered[best] || shards == covered[best] && snapshot > best {
			best = snapshot
		}
	}
	return best
}

func (gatherer *Gatherer) send(now carobthread.Instant, query *queryRow, shard uint32, kind carobthread.AttemptKind) {
	state := &query.shards[shard]
	searcher := gatherer.chooseReplica(query, shard)
	if searcher == nil {
		if state.reason == "" {
			state.reason = carobthread.ReasonNoReplica
		}
		return
	}
	gatherer.nextAttempt++
	attempt := &attemptRow{
		id:       gatherer.nextAttempt,
		query:    query.id,
		shard:    shard,
		searcher: searcher,
		sentAt:   now,
		kind:     kind,
	}
	gatherer.attempts[attempt.id] = attempt
	state.attempts = append(state.attempts, attempt.id)
	state.sent++
	query.sent++
	searcher.inFlight++
	gatherer.actions = append(gatherer.actions, carobthread.Action{Send: &carobthread.SendAttempt{
		Query:    query.id,
		Attempt:  attempt.id,
		Kind:     kind,
		Service:  query.service.config.Name,
		Shard:    shard,
		Searcher: searcher.config.Name,
		Snapshot: query.snapshot,
		Layout:   query.layout.Generation,
		Deadline: query.deadline,
	}})
}

// chooseReplica takes the less loaded of two random usable replicas.
func (gatherer *Gatherer) chooseReplica(query *queryRow, shard uint32) *searcherRow {
	usable := []*searcherRow{}
	for _, name := range query.layout.Shards[shard] {
		searcher := gatherer.searchers[name]
		if searcher == nil || searcher.draining || searcher.config.Leaving {
			continue
		}
		if searcher.inFlight >= max(1, searcher.config.Slots) && !gatherer.options.RandomReplica {
			continue
		}
		usable = append(usable, searcher)
	}
	if len(usable) == 0 {
		return nil
	}
	first := usable[gatherer.random.IntN(len(usable))]
	if gatherer.options.RandomReplica {
		return first
	}
	second := usable[gatherer.random.IntN(len(usable))]
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}

func (gatherer *Gatherer) reply(now carobthread.Instant, reply *carobthread.ReplyArrived) {
	attempt := gatherer.attempts[reply.Attempt]
	if attempt == nil || attempt.query != reply.Query || attempt.shard != reply.Shard {
		return
	}
	delete(gatherer.attempts, reply.Attempt)
	searcher := attempt.searcher
	searcher.inFlight--
	searcher.draining = reply.Draining || reply.Status == carobthread.ReplyDraining
	if len(reply.HeldSnapshots) > 0 {
		searcher.held = reply.HeldSnapshots
	}
	query := gatherer.queries[attempt.query]
	if query == nil {
		return
	}
	state := &query.shards[attempt.shard]
	state.attempts = slices.DeleteFunc(state.attempts, func(id carobthread.AttemptID) bool { return id == reply.Attempt })
	if state.reply != 0 {
		return
	}
	if reply.Status == carobthread.ReplyOK && query.snapshot == 0 {
		query.snapshot = reply.Snapshot
	}
	if reply.Status == carobthread.ReplyOK && reply.Snapshot == query.snapshot && reply.Layout == query.layout.Generation {
		state.reply = reply.Attempt
		query.answered++
		query.age = max(query.age, reply.SnapshotAgeMicros)
		gatherer.cancelAttempts(query, state)
	} else {
		state.reason = reasonOf(reply)
		if !gatherer.options.RandomReplica && now < query.deadline && state.sent < 3 {
			gatherer.send(now, query, attempt.shard, carobthread.AttemptRetry)
		}
	}
	gatherer.finishIfDone(query)
}

func reasonOf(reply *carobthread.ReplyArrived) carobthread.Reason {
	switch reply.Status {
	case carobthread.ReplyOK, carobthread.ReplySnapshotMissing:
		return carobthread.ReasonSnapshotMissing
	case carobthread.ReplyLayoutMissing:
		return carobthread.ReasonLayoutMissing
	case carobthread.ReplyShed, carobthread.ReplyDraining:
		return carobthread.ReasonUpstreamShed
	default:
		return carobthread.ReasonUpstreamFailed
	}
}

func (gatherer *Gatherer) report(report *carobthread.ReportArrived) {
	searcher := gatherer.searchers[report.Searcher]
	if searcher == nil {
		return
	}
	searcher.draining = report.Draining
	searcher.held = report.HeldSnapshots
}

func (gatherer *Gatherer) tick(now carobthread.Instant) {
	for _, id := range slices.Clone(gatherer.order) {
		query := gatherer.queries[id]
		if query == nil {
			continue
		}
		total := len(query.shards)
		floor := query.answered*1000 >= int(query.service.config.CoverageFloor*1000)*total
		latencyFirst := query.service.config.Preference == carobthread.LatencyFirst
		if now >= query.deadline || latencyFirst && floor && now >= query.soft {
			gatherer.answer(query)
		}
	}
	gatherer.order = slices.DeleteFunc(gatherer.order, func(id carobthread.QueryID) bool {
		return gatherer.queries[id] == nil
	})
}

func (gatherer *Gatherer) finishIfDone(query *queryRow) {
	for i := range query.shards {
		if query.shards[i].reply == 0 && len(query.shards[i].attempts) > 0 {
			return
		}
	}
	gatherer.answer(query)
}

func (gatherer *Gatherer) answer(query *queryRow) {
	answer := &carobthread.AnswerQuery{
		Query:             query.id,
		Service:           query.service.config.Name,
		Coverage:          carobthread.Coverage{Answered: uint32(query.answered), Total: uint32(len(query.shards))},
		Snapshot:          query.snapshot,
		Layout:            query.layout.Generation,
		SnapshotAgeMicros: query.age,
		Attempts:          query.sent,
	}
	for shard := range query.shards {
		state := &query.shards[shard]
		if state.reply != 0 {
			answer.Merge = append(answer.Merge, state.reply)
			continue
		}
		reason := state.reason
		if len(state.attempts) > 0 {
			reason = carobthread.ReasonTimeout
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, carobthread.MissingShard{Shard: uint32(shard), Reason: reason})
		gatherer.cancelAttempts(query, state)
	}
	delete(gatherer.queries, query.id)
	gatherer.actions = append(gatherer.actions, carobthread.Action{Answer: answer})
}

func (gatherer *Gatherer) cancelAttempts(query *queryRow, state *shardState) {
	for _, id := range state.attempts {
		attempt := gatherer.attempts[id]
		attempt.searcher.inFlight--
		delete(gatherer.attempts, id)
		gatherer.actions = append(gatherer.actions, carobthread.Action{Cancel: &carobthread.CancelAttempt{Query: query.id, Attempt: id}})
	}
	state.attempts = nil
}

func (gatherer *Gatherer) abandon(id carobthread.QueryID) {
	query := gatherer.queries[id]
	if query == nil {
		return
	}
	for shard := range query.shards {
		gatherer.cancelAttempts(query, &query.shards[shard])
	}
	delete(gatherer.queries, id)
}

func (gatherer *Gatherer) refuse(arrived *carobthread.QueryArrived, reason carobthread.Reason) {
	gatherer.actions = append(gatherer.actions, carobthread.Action{Refuse: &carobthread.RefuseQuery{
		Query:   arrived.Query,
		Service: arrived.Service,
		Reason:  reason,
	}})
}
