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
		"mark the key used after the write":    {split(usedAfterWrite), explorer.RuleDoubleRun},
		"forget a key refused by a full table": {split(fullTableForgets), explorer.RuleFalseNotRun},
		"unreachable host means not run":       {edit(nil, restate(carobthread.ReasonHostUnreachable)), explorer.RuleFalseNotRun},
		"expired means not run":                {edit(nil, restate(carobthread.ReasonKeyExpired)), explorer.RuleFalseNotRun},
		"timeout means not run":                {edit(nil, restate(carobthread.ReasonTimeout)), explorer.RuleFalseNotRun},
		"permit without checks": {edit(nil, func(action *executor.Action) {
			if action.Permit != nil {
				action.Permit.Allowed = true
			}
		}), explorer.RuleFalseNotRun},
		"restart under the same incarnation": {func(options executor.Options) executor.Machine {
			options.Incarnation = carobthread.Incarnation{Start: 1 << 62}
			options.Secret = []byte("same")
			return executor.New(options)
		}, explorer.RuleDoubleRun},
		"outcome query does not revoke":   {forgetful, explorer.RuleFalseNotRun},
		"results are not matched to keys": {mixer, explorer.RuleOtherKey},
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			report := explorer.Explore(explorer.Options{Schedules: 1500, Seed: 1, Factory: mutant.factory})
			assert.Assert(t, report.First != nil, "not found in %+v", report.Counts)
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
	core    executor.Machine
	before  func(event *executor.Event)
	instead func(event *executor.Event) []executor.Action
	after   func(action *executor.Action)
}

func edit(before func(*executor.Event), after func(*executor.Action)) explorer.Factory {
	return func(options executor.Options) executor.Machine {
		return &editor{core: executor.New(options), before: before, after: after}
	}
}

func (editor *editor) Step(event executor.Event) []executor.Action {
	if editor.before != nil {
		editor.before(&event)
	}
	if editor.instead != nil {
		if actions := editor.instead(&event); actions != nil {
			return actions
		}
	}
	actions := editor.core.Step(event)
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

// splitter sends an Execute to a second core that never saw the key when forgets says so.
type splitter struct {
	cores   [2]executor.Machine
	forgets func(state *splitter, key string) bool
	keys    map[executor.AttemptID]string
	sent    map[string]bool
	written map[string]bool
	refused map[string]bool
}

const secondCore = executor.AttemptID(1 << 32)

func usedAfterWrite(state *splitter, key string) bool { return state.sent[key] && !state.written[key] }

func fullTableForgets(state *splitter, key string) bool { return state.refused[key] }

func split(forgets func(*splitter, string) bool) explorer.Factory {
	return func(options executor.Options) executor.Machine {
		second := options
		second.MaxKeys = 1000
		return &splitter{
			cores: [2]executor.Machine{executor.New(options), executor.New(second)}, forgets: forgets,
			keys: map[executor.AttemptID]string{}, sent: map[string]bool{}, written: map[string]bool{}, refused: map[string]bool{},
		}
	}
}

func (state *splitter) Step(event executor.Event) []executor.Action {
	core := 0
	switch {
	case event.Config != nil || event.View != nil || event.Tick != nil:
		return append(state.feed(1, event), state.feed(0, event)...)
	case event.Execute != nil && state.forgets(state, event.Execute.Key):
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
			state.keys[action.Send.Attempt], state.sent[action.Send.Key] = action.Send.Key, true
		case action.Permit != nil:
			state.written[state.keys[action.Permit.Attempt]] = true
		case action.Answer != nil && action.Answer.Outcome.Reason == carobthread.ReasonKeyTableFull:
			state.refused[action.Answer.Outcome.Key] = true
		}
	}
	return actions
}

// forgetful answers an outcome query of an unused key without telling the core.
func forgetful(options executor.Options) executor.Machine {
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
func mixer(options executor.Options) executor.Machine {
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
