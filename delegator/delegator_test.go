package delegator_test

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carobthread"
	"carobthread/delegator"
)

// TestScripts runs the scripts in testdata; each case states the failure that it guards against. The input has one event per
// line, and the output the number of each line with the actions that the event caused.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			run := &script{t: t, now: carobthread.Instant(time.Hour), budget: true}
			run.core = delegator.New(delegator.Options{MayRepeat: func(string) bool { return run.budget }})
			output := strings.Builder{}
			for i, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
				command := datadriven.TestData{Pos: fmt.Sprintf("%s: line %d", data.Pos, i+1)}
				var err error
				command.Cmd, command.CmdArgs, err = datadriven.ParseLine(line)
				assert.NilError(t, err)
				if actions := run.command(&command); actions != "" {
					fmt.Fprintf(&output, "%d%s\n", i+1, actions)
				}
			}
			return output.String()
		})
	})
}

// script runs the commands of one test case against a Delegator.
type script struct {
	t    *testing.T
	core *delegator.Delegator
	now  carobthread.Instant
	// budget is set while the retry budget permits repeated queries.
	budget bool
}

func (run *script) command(data *datadriven.TestData) string {
	run.now = run.now.Add(run.duration(data, "after"))
	id := uint64(run.number(data, "id", 1))
	switch data.Cmd {
	case "config":
		return run.step(delegator.Event{Config: run.config(data)})
	case "view":
		return run.step(delegator.Event{View: run.view(data)})
	case "query":
		return run.step(delegator.Event{Query: &delegator.QueryArrived{
			ID: id, Service: "search", Request: run.text(data, "request", strconv.FormatUint(id, 10)), Size: run.number(data, "size", 0),
			Deadline: run.now.Add(run.duration(data, "deadline", "600ms")), AtMostOnce: data.HasArg("once"),
		}})
	case "accepted":
		return run.step(delegator.Event{Accepted: &delegator.Accepted{ID: id, HedgeDelay: run.duration(data, "hedge")}})
	case "ended":
		return run.step(delegator.Event{Ended: &delegator.Ended{
			ID: id, State: carobthread.RunState(run.text(data, "state", "ran")), Reason: carobthread.Reason(run.text(data, "reason", "")),
		}})
	case "gone":
		return run.step(delegator.Event{Gone: &delegator.Gone{ID: id}})
	case "stop":
		return run.step(delegator.Event{Stop: &carobthread.StopBegun{AnswerBy: run.now.Add(run.duration(data, "in"))}})
	case "budget":
		run.budget = !data.HasArg("used")
		return ""
	case "tick":
		return run.step(delegator.Event{})
	case "reached":
		return run.step(delegator.Event{Reached: &carobthread.DataCentreReached{DataCentre: "west"}})
	case "cut-off":
		return fmt.Sprint(run.core.CutOff(run.now), ";")
	case "stats":
		return fmt.Sprintf(" %+v", run.core.Stats())
	}
	data.Fatalf(run.t, "unknown command %s", data.Cmd)
	return ""
}

func (run *script) text(data *datadriven.TestData, key, fallback string) string {
	data.MaybeScanArgs(run.t, key, &fallback)
	return fallback
}

func (run *script) number(data *datadriven.TestData, key string, fallback int) int {
	data.MaybeScanArgs(run.t, key, &fallback)
	return fallback
}

func (run *script) duration(data *datadriven.TestData, key string, fallback ...string) time.Duration {
	duration, err := time.ParseDuration(run.text(data, key, cmp.Or(append(fallback, "0s")...)))
	assert.NilError(run.t, err)
	return duration
}

// config returns one service with a searcher of each shard in each of the data centres.
func (run *script) config(data *datadriven.TestData) *carobthread.Config {
	config := &carobthread.Config{Services: []carobthread.Service{{
		Name: "search", Kind: carobthread.KindSearch, SoftDeadline: 180 * time.Millisecond, FloorRequired: true,
		MaxSearchers: run.number(data, "searchers", 2),
	}}}
	layout := carobthread.Layout{Service: "search"}
	for shard := range run.number(data, "shards", 4) {
		var names []string
		for _, centre := range strings.Split(run.text(data, "centres", "east+west"), "+") {
			name := fmt.Sprintf("%s-%d", centre, shard)
			config.Searchers = append(config.Searchers, carobthread.Searcher{Name: name, DataCentre: centre})
			names = append(names, name)
		}
		layout.Shards = append(layout.Shards, names)
	}
	config.Layouts = []carobthread.Layout{layout}
	return config
}

// view parses hosts=NAME@DATA-CENTRE:CAPACITY[:STATE]+...; the first one is this host.
func (run *script) view(data *datadriven.TestData) *carobthread.View {
	view := &carobthread.View{}
	for _, text := range strings.Split(run.text(data, "hosts", ""), "+") {
		name, rest, _ := strings.Cut(text, "@")
		fields := strings.Split(rest, ":")
		host := carobthread.Host{Name: name, DataCentre: fields[0], State: carobthread.HostLive}
		if len(fields) > 1 {
			capacity, err := strconv.ParseFloat(fields[1], 64)
			assert.NilError(run.t, err)
			host.Capacity = capacity
		}
		if len(fields) > 2 {
			host.State = carobthread.HostState(fields[2])
		}
		view.Hosts = append(view.Hosts, host)
	}
	view.Self = view.Hosts[0].Name
	return view
}

func (run *script) step(event delegator.Event) string {
	event.At = run.now
	output := strings.Builder{}
	for _, action := range run.core.Step(event) {
		switch {
		case action.Delegate != nil:
			fmt.Fprintf(&output, " delegate %d to %s (%s) left %s target %s;", action.Delegate.ID, action.Delegate.Coordinator, action.Delegate.Reason, action.Delegate.TimeLeft, action.Delegate.TargetLeft)
		case action.Grant != nil:
			fmt.Fprintf(&output, " grant %d;", action.Grant.ID)
		case action.Cancel != nil:
			fmt.Fprintf(&output, " cancel %d at %s;", action.Cancel.ID, action.Cancel.Coordinator)
		case action.Abort != nil:
			fmt.Fprintf(&output, " abort %d;", action.Abort.ID)
		case action.Handle != nil:
			fmt.Fprintf(&output, " handle %d searchers %d repeated %v %s;", action.Handle.ID, action.Handle.MaxSearchers, action.Handle.Repeated, action.Handle.Reason)
		case action.Refuse != nil:
			fmt.Fprintf(&output, " refuse %d %s after %s;", action.Refuse.ID, action.Refuse.Reason, action.Refuse.RetryAfter)
		case action.Answer != nil:
			fmt.Fprintf(&output, " answer %d;", action.Answer.ID)
		case action.Fail != nil:
			fmt.Fprintf(&output, " fail %d %s;", action.Fail.ID, action.Fail.Reason)
		}
	}
	return output.String()
}

// Guards against a query that ends twice or never, that this host handles after a grant without the proof that it has not run,
// or that uses more searchers than permitted together with its coordinator.
func TestQueryEndsOnceWithinItsSearchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &model{t: t, run: &script{core: delegator.New(delegator.Options{}), now: carobthread.Instant(time.Hour)}, queries: map[uint64]*modelQuery{}}
		config := &carobthread.Config{
			Services: []carobthread.Service{{Name: "search", Kind: carobthread.KindSearch, SoftDeadline: 180 * time.Millisecond, FloorRequired: true, MaxSearchers: 2}},
			Layouts:  []carobthread.Layout{{Service: "search", Shards: [][]string{{"a"}, {"b"}}}}, Searchers: []carobthread.Searcher{{Name: "a", DataCentre: "east"}, {Name: "b", DataCentre: "east"}},
		}
		view := &carobthread.View{Self: "small", Hosts: []carobthread.Host{
			{Name: "large-1", DataCentre: "east", State: carobthread.HostLive, Capacity: 0.8},
			{Name: "large-2", DataCentre: "east", State: carobthread.HostLive, Capacity: 0.8},
			{Name: "small", DataCentre: "east", State: carobthread.HostLive, Capacity: 0.2},
		}}
		model.step(delegator.Event{Config: config})
		model.step(delegator.Event{View: view})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			model.run.now = model.run.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			model.event()
		}
		model.run.now = model.run.now.Add(10 * time.Second)
		model.step(delegator.Event{})
		model.run.now = model.run.now.Add(10 * time.Second)
		model.step(delegator.Event{})
		for id, query := range model.queries {
			assert.Check(t, query.ended || query.gone, "query %d has not ended", id)
		}
		assert.Equal(t, model.run.core.Stats().Outstanding, 0)
	})
}

type modelQuery struct{ sent, granted, proven, ended, gone bool }

// model checks the actions of a Delegator against what each query permits.
type model struct {
	t       *rapid.T
	run     *script
	queries map[uint64]*modelQuery
}

func (model *model) event() {
	id := uint64(rapid.IntRange(1, len(model.queries)+1).Draw(model.t, "id"))
	query := model.queries[id]
	if query == nil {
		model.queries[id] = &modelQuery{}
		model.step(delegator.Event{Query: &delegator.QueryArrived{ID: id, Service: "search", Request: strconv.FormatUint(id, 10), Deadline: model.run.now.Add(600 * time.Millisecond)}})
		return
	}
	switch rapid.IntRange(0, 5).Draw(model.t, "kind") {
	case 0, 1:
		model.step(delegator.Event{Accepted: &delegator.Accepted{ID: id, HedgeDelay: 20 * time.Millisecond}})
	case 2:
		model.step(delegator.Event{Ended: &delegator.Ended{ID: id, State: carobthread.Ran}})
	case 3:
		query.proven = true
		model.step(delegator.Event{Ended: &delegator.Ended{ID: id, State: carobthread.NotRun, Reason: carobthread.ReasonOverload}})
	case 4:
		model.step(delegator.Event{Ended: &delegator.Ended{ID: id, State: carobthread.MayHaveRun, Reason: carobthread.ReasonConnectionLost}})
	case 5:
		query.gone = query.gone || !query.ended
		model.step(delegator.Event{Gone: &delegator.Gone{ID: id}})
	}
}

func (model *model) step(event delegator.Event) {
	event.At = model.run.now
	for _, action := range model.run.core.Step(event) {
		switch {
		case action.Delegate != nil:
			query := model.queries[action.Delegate.ID]
			assert.Check(model.t, !query.sent || query.proven, "sent to a second coordinator without a proof of the first")
			query.sent, query.granted, query.proven = true, false, false
		case action.Grant != nil:
			model.queries[action.Grant.ID].granted = true
		case action.Handle != nil:
			query := model.queries[action.Handle.ID]
			model.end(query)
			unproven := query.sent && !query.proven
			assert.Check(model.t, !unproven || !query.granted && action.Handle.Repeated && action.Handle.MaxSearchers == 1, "%+v %+v", action.Handle, query)
		case action.Answer != nil:
			model.end(model.queries[action.Answer.ID])
		case action.Refuse != nil:
			query := model.queries[action.Refuse.ID]
			model.end(query)
			assert.Check(model.t, !query.sent || query.proven, "refused without a proof that it has not run")
		case action.Fail != nil:
			model.end(model.queries[action.Fail.ID])
		}
	}
}

func (model *model) end(query *modelQuery) {
	assert.Check(model.t, !query.ended && !query.gone, "%+v", query)
	query.ended = true
}
