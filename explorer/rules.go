package explorer

import (
	"bytes"
	"fmt"

	"carobthread"
	"carobthread/executor"
)

// Rule names an invariant of a single key.
type Rule string

// The rules that are checked after each step.
const (
	RuleDoubleRun   Rule = "double-run"
	RuleFalseNotRun Rule = "false-not-run"
	RuleOtherKey    Rule = "other-key"
	RuleUnstable    Rule = "unstable-outcome"
)

// Violation describes a violated rule and the key for which it was violated.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Key    string `json:"key"`
	Detail string `json:"detail"`
	// Step is the index of the step that violated the rule.
	Step int `json:"step"`
}

// checker records the runs at upstreams and the answers of hosts for each key and checks the rules.
type checker struct {
	runsByKey      map[string]int
	requestOf      map[string]request
	runsByRequest  map[request]int
	reportedNotRun map[string]bool
	lastOutcomes   map[string]executor.Outcome
	firstViolation *Violation
	step           int
	counts         *Counts
}

// request identifies a logical request of a caller, which may use several keys one after another.
type request struct{ caller, number int }

func newChecker(counts *Counts) *checker {
	return &checker{
		runsByKey:      map[string]int{},
		requestOf:      map[string]request{},
		runsByRequest:  map[request]int{},
		reportedNotRun: map[string]bool{},
		lastOutcomes:   map[string]executor.Outcome{},
		counts:         counts,
	}
}

func (checker *checker) recordViolation(rule Rule, key, format string, arguments ...any) {
	if checker.firstViolation == nil {
		checker.firstViolation = &Violation{Rule: rule, Key: key, Detail: fmt.Sprintf(format, arguments...), Step: checker.step}
	}
}

func (checker *checker) recordReservation(key string, owner request) { checker.requestOf[key] = owner }

// recordRun counts a run at an upstream and checks that neither the key nor its request ran before.
func (checker *checker) recordRun(key string) {
	checker.counts.Runs++
	checker.runsByKey[key]++
	if checker.runsByKey[key] > 1 {
		checker.recordViolation(RuleDoubleRun, key, "the key ran %d times", checker.runsByKey[key])
	}
	owner := checker.requestOf[key]
	checker.runsByRequest[owner]++
	if checker.runsByRequest[owner] > 1 {
		checker.recordViolation(RuleDoubleRun, key, "request %d of caller %d ran %d times", owner.number, owner.caller, checker.runsByRequest[owner])
	}
	if checker.reportedNotRun[key] {
		checker.recordViolation(RuleFalseNotRun, key, "the key ran after it was reported as not run")
	}
}

// checkAnswer checks a host's answer for a key; fromMinter is set if the minting incarnation gave the answer.
func (checker *checker) checkAnswer(key string, outcome executor.Outcome, fromMinter bool) {
	checker.counts.countAnswer(outcome.Status)
	if outcome.Key != key {
		checker.recordViolation(RuleOtherKey, key, "the answer is for key %s", outcome.Key)
		return
	}
	switch outcome.Status {
	case executor.StatusNotRun:
		checker.reportedNotRun[key] = true
		if checker.runsByKey[key] > 0 {
			checker.recordViolation(RuleFalseNotRun, key, "the key was reported as not run after it had run")
		}
	case executor.StatusDone:
		if !bytes.Equal(outcome.Result, expectedResult(key)) {
			checker.recordViolation(RuleOtherKey, key, "unexpected result %q", outcome.Result)
		}
		if checker.runsByKey[key] == 0 {
			checker.recordViolation(RuleOtherKey, key, "the key was reported as done but has not run")
		}
	}
	if fromMinter {
		checker.checkStable(key, outcome)
	}
}

// checkStable compares an answer of the minting incarnation with its previous one.
func (checker *checker) checkStable(key string, outcome executor.Outcome) {
	if outcome.Reason == carobthread.ReasonPayloadMismatch || outcome.Status == executor.StatusUnknown && outcome.Reason == carobthread.ReasonKeyExpired {
		return // does not state whether the key ran
	}
	previous, known := checker.lastOutcomes[key]
	switch {
	case !known:
	case previous.Status == executor.StatusUnknown && outcome.Status == executor.StatusDone:
	case previous.Status != outcome.Status:
		checker.recordViolation(RuleUnstable, key, "the outcome changed from %s to %s", previous.Status, outcome.Status)
	}
	if outcome.Status != executor.StatusInProgress {
		checker.lastOutcomes[key] = outcome
	}
}

func expectedResult(key string) []byte { return []byte("result of " + key) }
