package gatherer_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carobthread"
	"carobthread/gatherer"
)

// TestRandomEvents checks the invariants in the package comment under random events in any order, and that a replay produces
// the same actions.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		model := newModel(t, seed)
		model.faultPercent = rapid.IntRange(0, 100).Draw(t, "faults")
		model.step(carobthread.Event{Config: &carobthread.ConfigChanged{Config: model.config}})
		for range rapid.IntRange(300, 1200).Draw(t, "events") {
			model.now = model.now.Add(time.Duration(model.draw(3000)) * time.Microsecond)
			model.event()
		}
		model.now = model.now.Add(time.Minute)
		model.step(carobthread.Event{Tick: &carobthread.TickArrived{}})
		for id, query := range model.queries {
			assert.Assert(t, query.ended, "query %d has no answer", id)
		}
		again := gatherer.New(seed, gatherer.Options{})
		for i, event := range model.events {
			assert.Assert(t, reflect.DeepEqual(again.Step(event), model.actions[i]), "event %d produced different actions on replay", i)
		}
	})
}

type modelQuery struct {
	deadline carobthread.Instant
	sent     int
	ended    bool
}

type modelAttempt struct {
	send     *carobthread.SendAttempt
	inFlight bool
	okReply  *carobthread.ReplyArrived
}

// model tracks the events and actions so far, to check which actions they permit.
type model struct {
	t      *rapid.T
	random *rand.Rand
	core   *gatherer.Gatherer
	now    carobthread.Instant
	config carobthread.Config
	hosts  int
	// faultPercent is the percentage of bad replies among those that may be bad.
	faultPercent int
	queries      map[carobthread.QueryID]*modelQuery
	attempts     []*modelAttempt
	running      map[string]int
	drainedAt    map[string]carobthread.Instant
	sentByKind   map[carobthread.AttemptKind]int
	events       []carobthread.Event
	actions      [][]carobthread.Action
}

func newModel(t *rapid.T, seed uint64) *model {
	// Drawing each number from rapid would make most of them 0.
	random := rand.New(rand.NewPCG(seed, 1))
	return &model{
		t: t, random: random, core: gatherer.New(seed, gatherer.Options{}), now: carobthread.Instant(time.Hour), hosts: 1,
		config: randomConfig(random), queries: map[carobthread.QueryID]*modelQuery{},
		running: map[string]int{}, drainedAt: map[string]carobthread.Instant{}, sentByKind: map[carobthread.AttemptKind]int{},
	}
}

// randomConfig returns two services on the same searchers with two layouts each; some searchers are missing, leaving or have
// a single slot.
func randomConfig(random *rand.Rand) carobthread.Config {
	config := fleet(3, 2)
	shards := config.Layouts[0].Shards
	config.Services = append(config.Services, config.Services[0])
	config.Services[1].Name = "roster"
	config.Layouts = nil
	for i := range config.Services {
		service := &config.Services[i]
		service.SoftDeadline, service.HardDeadline, service.CoverageFloor = 20*time.Millisecond, 40*time.Millisecond, 0.5
		service.MaxInFlight, service.Layout = 12, uint32(1+random.IntN(2))
		second := [][]string{{"s0-0", "s1-1", "s2-2"}, {"s2-0", "s0-1"}, shards[2-i], {"s1-2"}}
		config.Layouts = append(
			config.Layouts,
			carobthread.Layout{Service: service.Name, Generation: 1, Shards: shards},
			carobthread.Layout{Service: service.Name, Generation: 2, Shards: second},
		)
	}
	for i := range config.Searchers {
		config.Searchers[i].Slots = 1 + random.IntN(3)
		config.Searchers[i].Leaving = random.IntN(12) == 0
	}
	return withoutSearcher(config, fmt.Sprintf("s%d-%d", random.IntN(6), random.IntN(3)))
}

func (model *model) draw(maximum int) int { return model.random.IntN(maximum + 1) }

// event generates one event; most replies are in order and successful, so that budgets and latency quantiles fill.
func (model *model) event() {
	switch choice := model.draw(99); {
	case choice < 62:
		model.reply(choice)
	case choice < 82:
		model.query()
	case choice < 90:
		model.step(carobthread.Event{Tick: &carobthread.TickArrived{}})
	case choice < 91 && model.draw(4) == 0:
		late := time.Duration(200+model.draw(800)) * time.Millisecond
		model.now = model.now.Add(late)
		model.step(carobthread.Event{Tick: &carobthread.TickArrived{LateMicros: late.Microseconds()}})
	case choice < 94:
		report := carobthread.ReportArrived{
			Searcher: fmt.Sprintf("s%d-%d", model.draw(2), model.draw(2)), Healthy: model.draw(1) == 0, Draining: model.draw(3) == 0, HeldSnapshots: model.held(),
		}
		if _, known := model.core.Running()[report.Searcher]; known && report.Draining {
			model.drainedAt[report.Searcher] = model.now
		}
		model.step(carobthread.Event{Report: &report})
	case choice < 95:
		model.config = randomConfig(model.random)
		model.step(carobthread.Event{Config: &carobthread.ConfigChanged{Config: model.config}})
	case choice < 97:
		model.view()
	default:
		id := carobthread.QueryID(model.draw(len(model.queries)))
		if query := model.queries[id]; query != nil {
			query.ended = true
		}
		model.step(carobthread.Event{Gone: &carobthread.CallerGone{Query: id}})
	}
}

func (model *model) query() {
	id := carobthread.QueryID(len(model.queries) + 1)
	arrived := carobthread.QueryArrived{Query: id, Service: []string{"matching", "roster", "matching", "none"}[model.draw(3)]}
	deadline := model.now.Add(40 * time.Millisecond)
	if model.draw(9) == 0 {
		arrived.Deadline = model.now.Add(time.Duration(model.draw(20)-2) * time.Millisecond)
		deadline = arrived.Deadline
	}
	model.queries[id] = &modelQuery{deadline: deadline}
	model.step(carobthread.Event{Query: &arrived})
}

func (model *model) view() {
	model.hosts = 1 + model.draw(3)
	view := carobthread.View{Self: "h0"}
	for i := range model.hosts {
		view.Hosts = append(view.Hosts, carobthread.Host{Name: fmt.Sprint("h", i), DataCentre: fmt.Sprint("dc", i), State: carobthread.HostLive})
	}
	model.step(carobthread.Event{View: &carobthread.ViewChanged{View: view}})
}

func (model *model) held() []uint64 { return [][]uint64{{1}, {1, 2}, {2}, nil}[model.draw(3)] }

// reply sends a reply to the oldest or a random attempt: a success, a fault, a duplicate, a late one or one for another query
// or shard.
func (model *model) reply(choice int) {
	if len(model.attempts) == 0 {
		return
	}
	attempt := model.attempts[model.draw(len(model.attempts)-1)]
	if choice < 60 {
		from := 0
		if choice >= 40 {
			from = model.draw(len(model.attempts) - 1)
		}
		if next := slices.IndexFunc(model.attempts[from:], func(attempt *modelAttempt) bool { return attempt.inFlight }); next >= 0 {
			attempt = model.attempts[from+next]
		}
	}
	send := attempt.send
	reply := carobthread.ReplyArrived{
		Query: send.Query, Attempt: send.Attempt, Shard: send.Shard, Layout: send.Layout,
		Snapshot: max(1, send.Snapshot), Status: carobthread.ReplyOK, HeldSnapshots: model.held(),
	}
	switch {
	case choice >= 55 && model.draw(99) < model.faultPercent:
		statuses := []carobthread.ReplyStatus{
			carobthread.ReplyOK, carobthread.ReplySnapshotMissing, carobthread.ReplyLayoutMissing,
			carobthread.ReplyShed, carobthread.ReplyDraining, carobthread.ReplyFailed,
		}
		reply.Status = statuses[model.draw(len(statuses)-1)]
		reply.Snapshot = uint64(model.draw(2))
		reply.Layout = uint32(1 + model.draw(1))
	case choice >= 52 && choice < 55:
		reply.Query += carobthread.QueryID(model.draw(2))
		reply.Shard = uint32(model.draw(3))
	}
	if model.faultPercent > 50 && slices.Contains([]string{"s1-0", "s1-1", "s1-2", "s2-0"}, send.Searcher) {
		// All replicas of one shard fail, so that without the cap they would all be ejected.
		reply.Status = carobthread.ReplyFailed
	}
	if attempt.inFlight && reply.Query == send.Query && reply.Shard == send.Shard && model.now < model.queries[send.Query].deadline {
		model.end(attempt)
		if reply.Status == carobthread.ReplyOK {
			attempt.okReply = &reply
		}
		if reply.Status == carobthread.ReplyDraining {
			model.drainedAt[send.Searcher] = model.now
		}
	}
	model.step(carobthread.Event{Reply: &reply})
}

func (model *model) end(attempt *modelAttempt) {
	assert.Assert(model.t, attempt.inFlight, "attempt %d ended twice", attempt.send.Attempt)
	attempt.inFlight = false
	model.running[attempt.send.Searcher]--
}

func (model *model) step(event carobthread.Event) {
	event.At = model.now
	actions := model.core.Step(event)
	model.events = append(model.events, event)
	model.actions = append(model.actions, actions)
	for _, action := range actions {
		switch {
		case action.Send != nil:
			model.sent(action.Send)
		case action.Cancel != nil:
			model.end(model.attempts[action.Cancel.Attempt-1])
		case action.Answer != nil:
			model.answered(action.Answer)
		case action.Refuse != nil:
			query := model.queries[action.Refuse.Query]
			assert.Assert(model.t, !query.ended && query.sent == 0, "query refused after it ended or sent an attempt")
			query.ended = true
		case action.Connect != nil:
			assert.Assert(model.t, action.Connect.Count <= max(1, 30/model.hosts), "more connections than this host's share")
		}
	}
	model.checkTables()
}

func (model *model) sent(send *carobthread.SendAttempt) {
	query := model.queries[send.Query]
	assert.Assert(model.t, !query.ended, "attempt sent for a query that has ended")
	assert.Assert(model.t, model.now < query.deadline && send.Deadline == query.deadline, "attempt sent at or after the deadline, or with another deadline")
	searcher, known := model.config.Searcher(send.Searcher)
	assert.Assert(model.t, known && !searcher.Leaving, "attempt sent to a searcher that is unknown or leaving")
	drainedAt, ever := model.drainedAt[send.Searcher]
	assert.Assert(model.t, !ever || model.now.Sub(drainedAt) >= 5*time.Second, "attempt sent to a draining searcher")
	model.running[send.Searcher]++
	assert.Assert(model.t, model.running[send.Searcher] <= searcher.Slots, "more attempts in flight than slots")
	query.sent++
	model.attempts = append(model.attempts, &modelAttempt{send: send, inFlight: true})
	assert.Equal(model.t, int(send.Attempt), len(model.attempts))
	model.sentByKind[send.Kind]++
	first, hedges := model.sentByKind[carobthread.AttemptFirst], model.sentByKind[carobthread.AttemptHedge]
	extra := len(model.attempts) - first
	assert.Assert(model.t, 20*hedges <= first && 10*extra <= first, "%d hedges and %d extra attempts exceed the share of %d first attempts", hedges, extra, first)
}

func (model *model) answered(answer *carobthread.AnswerQuery) {
	query := model.queries[answer.Query]
	assert.Assert(model.t, !query.ended, "query ended twice")
	query.ended = true
	covered := map[uint32]bool{}
	for _, id := range answer.Merge {
		reply := model.attempts[id-1].okReply
		assert.Assert(model.t, reply != nil && reply.Query == answer.Query, "merged attempt has no successful reply to the query")
		assert.Assert(model.t, reply.Snapshot == answer.Snapshot && reply.Layout == answer.Layout, "merged reply is from another snapshot or layout")
		covered[reply.Shard] = true
	}
	assert.Equal(model.t, len(covered), len(answer.Merge))
	assert.Equal(model.t, len(covered), int(answer.Coverage.Answered))
	for _, missing := range answer.Coverage.Missing {
		assert.Assert(model.t, !covered[missing.Shard] && missing.Reason != "" && missing.Shard < answer.Coverage.Total)
		covered[missing.Shard] = true
	}
	assert.Equal(model.t, len(covered), int(answer.Coverage.Total))
	assert.Equal(model.t, int(answer.Coverage.Total), int(2+answer.Layout))
	assert.Equal(model.t, int(answer.Attempts), query.sent)
}

// checkTables compares the gatherer's counts of attempts in flight with those that follow from the actions, also for
// searchers that have left the configuration, and checks the ejection cap.
func (model *model) checkTables() {
	counted := model.core.Running()
	for name, running := range model.running {
		assert.Equal(model.t, counted[name], running, name)
	}
	assert.Equal(model.t, model.core.EjectionsAboveCap(), 0)
}
