package bencher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/bencher"
	"carobthread/gatherer"
)

// TestInvariantsUnderPairsOfFaults guards against violated invariants of answers, coverage, limits and drains when two
// faults occur together.
func TestInvariantsUnderPairsOfFaults(t *testing.T) {
	faults := bencher.Faults()
	runs := []bencher.Run{}
	for _, name := range []string{"kerala-matching", "kerala-payments"} {
		scenario, known := bencher.FindScenario(name)
		assert.Assert(t, known)
		scenario = scenario.Short()
		scenario.Rate = 150
		for i := range faults {
			pair := []bencher.Fault{faults[i], faults[(i+5)%len(faults)]}
			runs = append(runs, bencher.Run{Scenario: scenario, Faults: pair, Policy: bencher.Policies()[0], Seed: uint64(i)})
		}
	}
	for _, result := range bencher.ExecuteAll(runs) {
		assert.Equal(t, result.BrokenTotal, 0, "%s, fault %s, seed %d: %v", result.Scenario, result.Fault, result.Seed, result.Broken)
		assert.Assert(t, result.Answers > 0)
	}
}

// TestShortCheck guards against extra load or latency beyond the bounds in small scenarios.
func TestShortCheck(t *testing.T) {
	bounds, err := bencher.DefaultBounds()
	assert.NilError(t, err)
	selection := bencher.Selection{
		Scenarios: []string{"kerala-matching", "greece-results"},
		Faults:    []string{"none", "straggler", "shed", "config-stale"},
		Seeds:     []uint64{1},
	}
	checked, err := bencher.Check(selection, bounds)
	assert.NilError(t, err)
	assert.Assert(t, checked.Comparisons > 0)
	for _, breach := range checked.Breaches {
		t.Error(breach)
	}
}

// TestCheckReportsBreach guards against a check that passes whatever was measured, and checks the command that reproduces a
// breach.
func TestCheckReportsBreach(t *testing.T) {
	bounds, err := bencher.ParseBounds([]byte("[check]\nseeds = 7\n[impossible]\nscenarios = kerala-payments\nfaults = shed\np99-ms = 1\n"))
	assert.NilError(t, err)
	checked, err := bencher.Check(bencher.Selection{Scenarios: []string{"kerala-payments"}, Faults: []string{"shed"}}, bounds)
	assert.NilError(t, err)
	assert.Equal(t, len(checked.Breaches), 1)
	assert.Equal(t, checked.Breaches[0].Command, "go run ./cmd/carobctl bench --check --scenario kerala-payments --fault shed --seed 7")
}

// TestParseBoundsRejectsInvalid guards against a misspelt or missing entry that silently disables a bound.
func TestParseBoundsRejectsInvalid(t *testing.T) {
	for text, message := range map[string]string{
		"[check]\nseeds = 1\n[a]\nscenarios = nowhere\nfaults = none\np99-ms = 1\n": `unknown scenario "nowhere"`,
		"[check]\nseeds = 1\n[a]\nscenarios = all\nfaults = flood\np99-ms = 1\n":    `unknown fault "flood"`,
		"[check]\nseeds = 1\n[a]\nscenarios = all\nfaults = none\np98-ms = 1\n":     `unknown key "p98-ms"`,
		"[check]\nseeds = 1\n[a]\nscenarios = all\nfaults = none\n":                 "a limit are required",
		"[a]\nscenarios = all\nfaults = none\np99-ms = 1\n":                         "no seeds",
	} {
		_, err := bencher.ParseBounds([]byte(text))
		assert.ErrorContains(t, err, message)
	}
}

// faultyCore corrupts the actions of a correct core.
type faultyCore struct {
	carobthread.Decider
	corrupt func(action *carobthread.Action)
}

func (core faultyCore) Step(event carobthread.Event) []carobthread.Action {
	actions := core.Decider.Step(event)
	for i := range actions {
		core.corrupt(&actions[i])
	}
	return actions
}

// TestCheckerDetectsWrongActions guards against a checker that misses violations of an invariant.
func TestCheckerDetectsWrongActions(t *testing.T) {
	corruptions := map[bencher.Invariant]func(action *carobthread.Action){
		bencher.WrongCoverage: func(action *carobthread.Action) {
			if action.Answer != nil {
				action.Answer.Coverage.Answered++
			}
		},
		bencher.MixedSnapshot: func(action *carobthread.Action) {
			if action.Answer != nil {
				action.Answer.Snapshot++
			}
		},
		bencher.MixedLayout: func(action *carobthread.Action) {
			if action.Answer != nil {
				action.Answer.Layout++
			}
		},
		bencher.WrongAge: func(action *carobthread.Action) {
			if action.Answer != nil {
				action.Answer.SnapshotAgeMicros++
			}
		},
		bencher.MisroutedReply: func(action *carobthread.Action) {
			if action.Answer != nil {
				action.Answer.Merge[0] += 1000
			}
		},
		bencher.LateAttempt: func(action *carobthread.Action) {
			if action.Send != nil {
				action.Send.Deadline = action.Send.Deadline.Add(time.Second)
			}
		},
		bencher.WrongReplica: func(action *carobthread.Action) {
			if action.Send != nil {
				action.Send.Shard = (action.Send.Shard + 1) % 3
			}
		},
		bencher.UnexpectedAnswer: func(action *carobthread.Action) {
			if action.Answer != nil {
				action.Answer.Query += 1000
			}
		},
		bencher.Unanswered: func(action *carobthread.Action) {
			action.Answer = nil
		},
		bencher.RefusedAfterSend: func(action *carobthread.Action) {
			if action.Answer != nil {
				action.Refuse = &carobthread.RefuseQuery{Query: action.Answer.Query}
				action.Answer = nil
			}
		},
		bencher.ReusedAttempt: func(action *carobthread.Action) {
			if action.Send != nil {
				action.Send.Attempt = 1
			}
		},
	}
	scenario, _ := bencher.FindScenario("kerala-matching")
	for invariant, corrupt := range corruptions {
		run := bencher.Run{Scenario: scenario.Sample(), Policy: bencher.Policies()[0], Seed: 1}
		run.WrapDecider = func(_ uint64, _ gatherer.Options, decider carobthread.Decider) carobthread.Decider {
			return faultyCore{decider, corrupt}
		}
		assert.Assert(t, run.Execute().Broken[invariant] > 0, "%s", invariant)
	}
}

// TestCheckerDetectsBaselineViolations guards against a checker that misses the violations that the baselines commit by
// design.
func TestCheckerDetectsBaselineViolations(t *testing.T) {
	for _, expected := range []struct {
		scenario  string
		fault     string
		policy    int
		invariant bencher.Invariant
	}{
		{"kerala-matching", "drain", 1, bencher.OverSlots},
		{"kerala-matching", "drain", 1, bencher.DrainingWork},
		{"kerala-payments", "config-stale", 2, bencher.RepeatedExecute},
	} {
		selection := bencher.Selection{Scenarios: []string{expected.scenario}, Faults: []string{expected.fault}}
		runs, err := selection.Runs(bencher.Policies()[expected.policy : expected.policy+1])
		assert.NilError(t, err)
		assert.Assert(t, runs[0].Execute().Broken[expected.invariant] > 0, "%s", expected.invariant)
	}
}

// TestBaselineWaitsForAll guards against a wait-for-all baseline that looks fast because it answers without its slow shards.
func TestBaselineWaitsForAll(t *testing.T) {
	selection := bencher.Selection{Scenarios: []string{"target-fan-out"}, Faults: []string{"straggler"}}
	runs, err := selection.Runs(bencher.Policies()[1:2])
	assert.NilError(t, err)
	assert.Equal(t, runs[0].Execute().CompleteShare, 1.0)
}
