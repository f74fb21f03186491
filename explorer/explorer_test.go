package explorer_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/executor"
	"carobthread/explorer"
)

// TestSchedules guards against an executor that runs a request twice or gives a false answer under a sequence of faults. The
// seeds are fixed.
func TestSchedules(t *testing.T) {
	for seed := range uint64(2) {
		report := explorer.Explore(explorer.Options{Schedules: 5000, Seed: seed})
		t.Logf("seed %d: %+v", seed, report.Counts)
		if report.First != nil {
			t.Errorf("seed %d, schedule %d: %+v", seed, report.Trace.Header.Schedule, *report.First)
		}
		// Schedules in which nothing happens would also violate no rule.
		counts := report.Counts
		for _, reached := range []int{counts.Done, counts.NotRun, counts.Unknown, counts.InProgress, counts.Misrouted, counts.Crashes, counts.Pauses} {
			assert.Assert(t, reached > 100)
		}
	}
}

// TestMutants guards against a checker that detects nothing. Each mutant of the executor must violate its rule, and its
// trace must replay with the same violation.
func TestMutants(t *testing.T) {
	mutants := map[string]struct {
		factory explorer.Factory
		rule    explorer.Rule
	}{
		"retry after the first byte": {intercept(func(event *executor.Event) {
			if event.Ended != nil && event.Ended.Status == executor.StatusUnknown {
				ended := *event.Ended
				ended.Status = executor.StatusNotRun
				event.Ended = &ended
			}
		}, nil), explorer.RuleDoubleRun},
		"mark the key used after the write":    {forgetKeys("sent"), explorer.RuleDoubleRun},
		"forget a key refused by a full table": {forgetKeys("refused"), explorer.RuleFalseNotRun},
		"unreachable host means not run":       {intercept(nil, answerNotRun(carobthread.ReasonHostUnreachable)), explorer.RuleFalseNotRun},
		"expired means not run":                {intercept(nil, answerNotRun(carobthread.ReasonKeyExpired)), explorer.RuleFalseNotRun},
		"timeout means not run":                {intercept(nil, answerNotRun(carobthread.ReasonTimeout)), explorer.RuleFalseNotRun},
		"permit without checks": {intercept(nil, func(action *executor.Action) {
			if action.Permit != nil {
				action.Permit.Allowed = true
			}
		}), explorer.RuleFalseNotRun},
		"restart under the same incarnation": {func(options executor.Options) executor.StateMachine {
			options.Incarnation = carobthread.Incarnation{Start: 1 << 62}
			options.Secret = []byte("same")
			return executor.New(options)
		}, explorer.RuleDoubleRun},
		"outcome query does not revoke":   {withoutRevocation, explorer.RuleFalseNotRun},
		"results are not matched to keys": {withoutKeyMatching, explorer.RuleOtherKey},
	}
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			var report explorer.Report
			for seed := uint64(1); report.Counts.Violations(mutant.rule) == 0 && seed <= 10; seed++ {
				report = explorer.Explore(explorer.Options{Schedules: 250, Seed: seed, Factory: mutant.factory})
			}
			t.Logf("%+v", report.Counts)
			assert.Assert(t, report.Counts.Violations(mutant.rule) > 0)
			var file bytes.Buffer
			assert.NilError(t, report.Trace.Write(&file))
			trace, err := explorer.ReadTrace("trace", &file)
			assert.NilError(t, err)
			assert.DeepEqual(t, explorer.Replay(trace, mutant.factory).First, report.First)
			assert.Assert(t, explorer.Replay(trace, explorer.NewExecutor).First == nil)
		})
	}
}

// interceptor changes the events and actions of a correct executor.
type interceptor struct {
	machine     executor.StateMachine
	editEvent   func(event *executor.Event)
	replaceStep func(event *executor.Event) []executor.Action
	editAction  func(action *executor.Action)
}

func intercept(editEvent func(*executor.Event), editAction func(*executor.Action)) explorer.Factory {
	return func(options executor.Options) executor.StateMachine {
		return &interceptor{machine: executor.New(options), editEvent: editEvent, editAction: editAction}
	}
}

func (interceptor *interceptor) Step(event executor.Event) []executor.Action {
	if interceptor.editEvent != nil {
		interceptor.editEvent(&event)
	}
	var actions []executor.Action
	if interceptor.replaceStep != nil {
		actions = interceptor.replaceStep(&event)
	}
	if actions == nil {
		actions = interceptor.machine.Step(event)
	}
	for i := range actions {
		if interceptor.editAction != nil {
			interceptor.editAction(&actions[i])
		}
	}
	return actions
}

func answerNotRun(reason carobthread.Reason) func(*executor.Action) {
	return func(action *executor.Action) {
		if action.Answer != nil && action.Answer.Outcome.Reason == reason {
			action.Answer.Outcome.Status = executor.StatusNotRun
		}
	}
}

// keyForgetter simulates an executor that forgets a key: it sends a later Execute of the key to a second executor, which
// has never seen the key.
type keyForgetter struct {
	machines       [2]executor.StateMachine
	forgottenState string // the state of a key in which the first executor forgets it
	keys           map[executor.AttemptID]string
	keyStates      map[string]string
}

const secondMachineOffset = executor.AttemptID(1 << 32)

func forgetKeys(forgottenState string) explorer.Factory {
	return func(options executor.Options) executor.StateMachine {
		second := options
		second.MaxKeys = 1000
		machines := [2]executor.StateMachine{executor.New(options), executor.New(second)}
		return &keyForgetter{machines: machines, forgottenState: forgottenState, keys: map[executor.AttemptID]string{}, keyStates: map[string]string{}}
	}
}

func (forgetter *keyForgetter) Step(event executor.Event) []executor.Action {
	target := 0
	switch {
	case event.Config != nil || event.View != nil || event.Tick != nil:
		return append(forgetter.feed(1, event), forgetter.feed(0, event)...)
	case event.Execute != nil && forgetter.keyStates[event.Execute.Key] == forgetter.forgottenState:
		target = 1
	case event.Write != nil && event.Write.Attempt >= secondMachineOffset:
		target, event.Write = 1, &executor.WriteReady{Attempt: event.Write.Attempt - secondMachineOffset}
	case event.Ended != nil && event.Ended.Attempt >= secondMachineOffset:
		ended := *event.Ended
		ended.Attempt -= secondMachineOffset
		target, event.Ended = 1, &ended
	}
	return forgetter.feed(target, event)
}

func (forgetter *keyForgetter) feed(target int, event executor.Event) []executor.Action {
	actions := forgetter.machines[target].Step(event)
	for i := range actions {
		action := &actions[i]
		switch {
		case action.Send != nil:
			action.Send.Attempt += secondMachineOffset * executor.AttemptID(target)
			forgetter.keys[action.Send.Attempt], forgetter.keyStates[action.Send.Key] = action.Send.Key, "sent"
		case action.Permit != nil:
			forgetter.keyStates[forgetter.keys[action.Permit.Attempt]] = "written"
		case action.Answer != nil && action.Answer.Outcome.Reason == carobthread.ReasonKeyTableFull:
			forgetter.keyStates[action.Answer.Outcome.Key] = "refused"
		}
	}
	return actions
}

// withoutRevocation answers an outcome query for an unused key without passing it to the executor, so the key is not
// revoked.
func withoutRevocation(options executor.Options) executor.StateMachine {
	used := map[string]bool{}
	return &interceptor{machine: executor.New(options), replaceStep: func(event *executor.Event) []executor.Action {
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

// withoutKeyMatching replaces the key in every result by the key that the executor expects.
func withoutKeyMatching(options executor.Options) executor.StateMachine {
	keys := map[executor.AttemptID]string{}
	return &interceptor{machine: executor.New(options), editEvent: func(event *executor.Event) {
		if event.Ended != nil {
			ended := *event.Ended
			ended.Key = keys[ended.Attempt]
			event.Ended = &ended
		}
	}, editAction: func(action *executor.Action) {
		if action.Send != nil {
			keys[action.Send.Attempt] = action.Send.Key
		}
	}}
}
