package gatherer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"carobthread"
	"carobthread/gatherer"
)

// TestLoads replays loads on one host whose searchers serve a full and an urgent search; the head of each case names the
// failure that it guards against. Refused callers come back once, after Retry-After, with the time that they have left. A line
// of output gives for one kind of request, in percent of its callers from 4 s to 7 s, how many were answered and how many by
// the target.
func TestLoads(t *testing.T) {
	datadriven.RunTest(t, "testdata/loads.txt", func(t *testing.T, data *datadriven.TestData) string {
		run := &loadRun{
			script:  script{t: t, core: gatherer.New(1, gatherer.Options{}), now: carobthread.Instant(time.Hour)},
			random:  rand.New(rand.NewPCG(2, 0)),
			callers: map[carobthread.QueryID]*caller{},
			busy:    map[string]int{}, queues: map[string][]*carobthread.SendAttempt{}, cancelled: map[carobthread.AttemptID]bool{},
		}
		return run.replay(data)
	})
}

// loadKind is a kind of request with its load and its work per shard.
type loadKind struct {
	service   carobthread.Service
	target    time.Duration
	perSecond int
	work      time.Duration
	offered   int
	latencies []time.Duration
}

type caller struct {
	kind     *loadKind
	started  carobthread.Instant
	counted  bool
	returned bool
}

type loadEvent struct {
	at    carobthread.Instant
	place int
	run   func()
}

// loadRun simulates the callers and the searchers of one host on virtual time.
type loadRun struct {
	script
	random    *rand.Rand
	events    []loadEvent
	slots     int
	kinds     []*loadKind
	callers   map[carobthread.QueryID]*caller
	busy      map[string]int
	queues    map[string][]*carobthread.SendAttempt
	cancelled map[carobthread.AttemptID]bool
}

func (run *loadRun) Len() int { return len(run.events) }
func (run *loadRun) Less(i, j int) bool {
	one, other := &run.events[i], &run.events[j]
	return one.at < other.at || one.at == other.at && one.place < other.place
}
func (run *loadRun) Swap(i, j int)  { run.events[i], run.events[j] = run.events[j], run.events[i] }
func (run *loadRun) Push(event any) { run.events = append(run.events, event.(loadEvent)) }

func (run *loadRun) Pop() any {
	last := run.events[len(run.events)-1]
	run.events = run.events[:len(run.events)-1]
	return last
}

func (run *loadRun) after(delay time.Duration, action func()) {
	run.query++ // Also numbers the events.
	heap.Push(run, loadEvent{at: run.now.Add(delay), place: int(run.query), run: action})
}

// replay runs shards, slots, full=PER-SECOND, urgent=PER-SECOND, burst=KIND, factor, drop=SEARCHERS and faster=FACTOR for the
// work of both kinds. The burst and the loss of searchers last from 4 s to 7 s of 10 s.
func (run *loadRun) replay(data *datadriven.TestData) string {
	run.slots = run.number(data, "slots", 6)
	faster := time.Duration(run.number(data, "faster", 1))
	config := fleet(run.number(data, "shards", 4), run.slots)
	config.RetryBudget = carobthread.RetryBudget{Ratio: 0.2, Slack: 300, Window: 10 * time.Second}
	shards := config.Layouts[0].Shards
	config.Services, config.Layouts = nil, nil
	run.kinds = []*loadKind{
		{service: carobthread.Service{Name: "full", HardDeadline: 2 * time.Second, CoverageFloor: 0.95, Priority: 1}, target: 300 * time.Millisecond, work: 28 * time.Millisecond / faster},
		{service: carobthread.Service{Name: "urgent", HardDeadline: 800 * time.Millisecond, CoverageFloor: 0.85}, target: 80 * time.Millisecond, work: 9200 * time.Microsecond / faster},
	}
	for _, kind := range run.kinds {
		service := &kind.service
		service.Kind, service.Preference, service.SoftDeadline = carobthread.KindSearch, carobthread.LatencyFirst, kind.target-15*time.Millisecond
		service.FloorRequired, service.Layout, service.MaxSearchers, service.HedgeDelay = true, 1, 2, kind.target/4
		layout := carobthread.Layout{Service: service.Name, Generation: 1, Shards: shards}
		for shard := range shards {
			layout.Groups = append(layout.Groups, fmt.Sprint("group-", shard))
		}
		config.Services, config.Layouts = append(config.Services, *service), append(config.Layouts, layout)
		kind.perSecond = run.number(data, service.Name, 0)
		factor := 1
		if run.text(data, "burst", "") == service.Name {
			factor = run.number(data, "factor", 1)
		}
		run.offer(kind, run.now.Add(10*time.Second), run.now, factor)
	}
	reduced := config
	for _, name := range strings.Split(run.text(data, "drop", ""), "+") {
		reduced = withoutSearcher(reduced, name)
	}
	run.stepLoad(carobthread.Event{View: &carobthread.ViewChanged{View: carobthread.View{Self: "a", Hosts: []carobthread.Host{{Name: "a", DataCentre: "dc0", State: carobthread.HostLive}}}}})
	run.stepLoad(carobthread.Event{Config: &carobthread.ConfigChanged{Config: config}})
	run.after(4*time.Second, func() { run.stepLoad(carobthread.Event{Config: &carobthread.ConfigChanged{Config: reduced}}) })
	run.after(7*time.Second, func() { run.stepLoad(carobthread.Event{Config: &carobthread.ConfigChanged{Config: config}}) })
	for end := run.now.Add(12 * time.Second); run.now < end; {
		due := run.core.NextDue()
		if len(run.events) > 0 && run.events[0].at <= due {
			run.now = max(run.now, run.events[0].at)
			heap.Pop(run).(loadEvent).run()
			continue
		}
		run.now = max(run.now, due)
		run.stepLoad(carobthread.Event{Tick: &carobthread.TickArrived{}})
	}
	output := ""
	for _, kind := range run.kinds {
		slices.Sort(kind.latencies)
		inTime := 0
		for inTime < len(kind.latencies) && kind.latencies[inTime] <= kind.target {
			inTime++
		}
		output += fmt.Sprintf("%s: answered %d%%, by the target %d%%\n", kind.service.Name, 100*len(kind.latencies)/kind.offered, 100*inTime/kind.offered)
	}
	return output
}

// offer starts the callers of a kind at random times.
func (run *loadRun) offer(kind *loadKind, end, began carobthread.Instant, factor int) {
	perSecond := kind.perSecond
	inBurst := run.now >= began.Add(4*time.Second) && run.now < began.Add(7*time.Second)
	if inBurst {
		perSecond *= factor
	}
	run.after(time.Duration(run.random.ExpFloat64()*float64(time.Second)/float64(perSecond)), func() {
		if run.now >= end {
			return
		}
		if inBurst {
			kind.offered++
		}
		run.request(&caller{kind: kind, started: run.now, counted: inBurst})
		run.offer(kind, end, began, factor)
	})
}

func (run *loadRun) request(from *caller) {
	run.query++
	run.callers[run.query] = from
	run.stepLoad(carobthread.Event{Query: &carobthread.QueryArrived{
		Query: run.query, Service: from.kind.service.Name, Deadline: from.started.Add(from.kind.service.HardDeadline),
	}})
}

func (run *loadRun) stepLoad(event carobthread.Event) {
	event.At = run.now
	for _, action := range run.core.Step(event) {
		switch {
		case action.Send != nil:
			run.queues[action.Send.Searcher] = append(run.queues[action.Send.Searcher], action.Send)
			run.serve(action.Send.Searcher)
		case action.Cancel != nil:
			run.cancelled[action.Cancel.Attempt] = true
		case action.Answer != nil && !action.Answer.Failed:
			from := run.callers[action.Answer.Query]
			if !from.counted {
				continue
			}
			from.kind.latencies = append(from.kind.latencies, run.now.Sub(from.started))
		case action.Answer != nil && action.Answer.NotRun:
			run.refused(action.Answer.Query, action.Answer.RetryAfterMicros)
		case action.Refuse != nil:
			run.refused(action.Refuse.Query, action.Refuse.RetryAfterMicros)
		}
	}
}

func (run *loadRun) refused(query carobthread.QueryID, retryAfterMicros int64) {
	from := run.callers[query]
	if from.returned {
		return
	}
	from.returned = true
	left := from.started.Add(from.kind.service.HardDeadline).Sub(run.now)
	run.after(min(max(20*time.Millisecond, time.Duration(retryAfterMicros)*time.Microsecond), left/3), func() { run.request(from) })
}

// serve starts the searcher's first requests while it has free slots.
func (run *loadRun) serve(searcher string) {
	for run.busy[searcher] < run.slots && len(run.queues[searcher]) > 0 {
		send := run.queues[searcher][0]
		run.queues[searcher] = run.queues[searcher][1:]
		if run.cancelled[send.Attempt] {
			continue
		}
		run.busy[searcher]++
		work := float64(run.callers[send.Query].kind.work) * (0.8 + 0.4*run.random.Float64())
		run.after(time.Duration(work), func() {
			run.busy[searcher]--
			reply := replyTo(send)
			run.stepLoad(carobthread.Event{Reply: &reply})
			run.serve(searcher)
		})
	}
}
