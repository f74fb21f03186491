package explorer_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/executor"
	"carobthread/explorer"
)

// TestSchedules guards the rules of single keys under every mix of faults that the fixed seeds reach.
func TestSchedules(t *testing.T) {
	for seed := range uint64(2) {
		report := explorer.Explore(explorer.Options{Schedules: 5000, Seed: seed})
		t.Logf("seed %d: %+v", seed, report.Counts)
		if report.First != nil {
			t.Errorf("seed %d, schedule %d: %+v", seed, report.Trace.Header.Schedule, *report.First)
		}
		// Schedules that reach nothing would also break no rule.
		counts := report.Counts
		for _, reached := range []int{counts.Done, counts.NotRun, counts.Unknown, counts.InProgress, counts.Misrouted, counts.Crashes, counts.Pauses} {
			assert.Assert(t, reached > 100)
		}
	}
}

// TestMutants guards against a checker that cannot fail: each broken core must be found, and its trace must replay.
func TestMutants(t *testing.T) {
	mutants := map[string]struct {
		factory explorer.Factory
		rule    explorer.Rule
	}{
		"retry after the first byte": {edit(func(event *executor.Event) {
			if event.Ended != nil && event.Ended.Status == executor.StatusUnknown {
				ended := *event.Ended
				ended.Status = executor.StatusNotRun
				event.Ended = &ended
			}
		}, nil), explorer.RuleDoubleRun},
		"mark the key used after the write":    {split("sent"), explorer.RuleDoubleRun},
		"forget a key refused by a full table": {split("refused"), explorer.RuleFalseNotRun},
		"unreachable host means not run":       {edit(nil, restate(carobthread.ReasonHostUnreachable)), explorer.RuleFalseNotRun},
		"expired means not run":                {edit(nil, restate(carobthread.ReasonKeyExpired)), explorer.RuleFalseNotRun},
		"timeout means not run":                {edit(nil, restate(carobthread.ReasonTimeout)), explorer.RuleFalseNotRun},
		"permit without checks": {edit(nil, func(action *executor.Action) {
			if action.Permit != nil {
				action.Permit.Allowed = true
			}
		}), explorer.RuleFalseNotRun},
		"restart under the same incarnation": {func(options executor.Options) executor.StateMachine {
			options.Incarnation = carobthread.Incarnation{Start: 1 << 62}
			options.Secret = []byte("same")
			return executor.New(options)
		}, explorer.RuleDoubleRun},
		"outcome query does not revoke":   {forgetful, explorer.RuleFalseNotRun},
		"results are not matched to keys": {mixer, explorer.RuleOtherKey},
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			var report explorer.Report
			for seed := uint64(1); report.Counts.Of(mutant.rule) == 0 && seed <= 10; seed++ {
				report = explorer.Explore(explorer.Options{Schedules: 250, Seed: seed, Factory: mutant.factory})
			}
			t.Logf("%+v", report.Counts)
			assert.Assert(t, report.Counts.Of(mutant.rule) > 0)
			var file bytes.Buffer
			assert.NilError(t, report.Trace.Write(&file))
			trace, err := explorer.ReadTrace("trace", &file)
			assert.NilError(t, err)
			assert.DeepEqual(t, explorer.Replay(trace, mutant.factory).First, report.First)
			assert.Assert(t, explorer.Replay(trace, explorer.Real).First == nil)
		})
	}
}

// editor changes the events and actions of a correct core.
type editor struct {
	core    executor.StateMachine
	before  func(event *executor.Event)
	instead func(event *executor.Event) []executor.Action
	after   func(action *executor.Action)
}

func edit(before func(*executor.Event), after func(*executor.Action)) explorer.Factory {
	return func(options executor.Options) executor.StateMachine {
		return &editor{core: executor.New(options), before: before, after: after}
	}
}

func (editor *editor) Step(event executor.Event) []executor.Action {
	if editor.before != nil {
		editor.before(&event)
	}
	var actions []executor.Action
	if editor.instead != nil {
		actions = editor.instead(&event)
	}
	if actions == nil {
		actions = editor.core.Step(event)
	}
	for i := range actions {
		if editor.after != nil {
			editor.after(&actions[i])
		}
	}
	return actions
}

func restate(reason carobthread.Reason) func(*executor.Action) {
	return func(action *executor.Action) {
		if action.Answer != nil && action.Answer.Outcome.Reason == reason {
			action.Answer.Outcome.Status = executor.StatusNotRun
		}
	}
}

// splitter sends an Execute of a forgotten key to a second core that never saw the key.
type splitter struct {
	cores   [2]executor.StateMachine
	forgets string // the state of a key in which the first core forgets it
	keys    map[executor.AttemptID]string
	states  map[string]string
}

const secondCore = executor.AttemptID(1 << 32)

func split(forgets string) explorer.Factory {
	return func(options executor.Options) executor.StateMachine {
		second := options
		second.MaxKeys = 1000
		cores := [2]executor.StateMachine{executor.New(options), executor.New(second)}
		return &splitter{cores: cores, forgets: forgets, keys: map[executor.AttemptID]string{}, states: map[string]string{}}
	}
}

func (state *splitter) Step(event executor.Event) []executor.Action {
	core := 0
	switch {
	case event.Config != nil || event.View != nil || event.Tick != nil:
		return append(state.feed(1, event), state.feed(0, event)...)
	case event.Execute != nil && state.states[event.Execute.Key] == state.forgets:
		core = 1
	case event.Write != nil && event.Write.Attempt >= secondCore:
		core, event.Write = 1, &executor.WriteReady{Attempt: event.Write.Attempt - secondCore}
	case event.Ended != nil && event.Ended.Attempt >= secondCore:
		ended := *event.Ended
		ended.Attempt -= secondCore
		core, event.Ended = 1, &ended
	}
	return state.feed(core, event)
}

func (state *splitter) feed(core int, event executor.Event) []executor.Action {
	actions := state.cores[core].Step(event)
	for i := range actions {
		action := &actions[i]
		switch {
		case action.Send != nil:
			action.Send.Attempt += secondCore * executor.AttemptID(core)
			state.keys[action.Send.Attempt], state.states[action.Send.Key] = action.Send.Key, "sent"
		case action.Permit != nil:
			state.states[state.keys[action.Permit.Attempt]] = "written"
		case action.Answer != nil && action.Answer.Outcome.Reason == carobthread.ReasonKeyTableFull:
			state.states[action.Answer.Outcome.Key] = "refused"
		}
	}
	return actions
}

// forgetful answers an outcome query of an unused key without telling the core.
func forgetful(options executor.Options) executor.StateMachine {
	used := map[string]bool{}
	return &editor{core: executor.New(options), instead: func(event *executor.Event) []executor.Action {
		if event.Execute != nil {
			used[event.Execute.Key] = true
		}
		if event.Outcome == nil || used[event.Outcome.Key] {
			return nil
		}
		if key, err := executor.ParseKey(event.Outcome.Key); err != nil || key.Host != options.Host {
			return nil
		}
		outcome := executor.Outcome{Key: event.Outcome.Key, Status: executor.StatusNotRun}
		return []executor.Action{{Answer: &executor.AnswerCall{Call: event.Outcome.Call, Outcome: outcome}}}
	}}
}

// mixer makes every result name the key that the core expects.
func mixer(options executor.Options) executor.StateMachine {
	keys := map[executor.AttemptID]string{}
	return &editor{core: executor.New(options), before: func(event *executor.Event) {
		if event.Ended != nil {
			ended := *event.Ended
			ended.Key = keys[ended.Attempt]
			event.Ended = &ended
		}
	}, after: func(action *executor.Action) {
		if action.Send != nil {
			keys[action.Send.Attempt] = action.Send.Key
		}
	}}
}
