package explorer

import (
	"bytes"
	"fmt"

	"carobthread"
	"carobthread/executor"
)

// Rule names a rule of single keys.
type Rule string

// The rules.
const (
	RuleDoubleRun   Rule = "double-run"
	RuleFalseNotRun Rule = "false-not-run"
	RuleOtherKey    Rule = "other-key"
	RuleUnstable    Rule = "unstable-outcome"
)

// Violation is a broken rule and the key that it concerns.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Key    string `json:"key"`
	Detail string `json:"detail"`
	// Step is the index of the step after which the rule was broken.
	Step int `json:"step"`
}

// checker keeps what upstreams did and what hosts stated about each key.
type checker struct {
	runs    map[string]int
	owners  map[string]request
	byOwner map[request]int
	notRun  map[string]bool
	settled map[string]executor.Outcome
	first   *Violation
	step    int
	counts  *Counts
}

// request is one wish of a caller; it may use several keys, one after another.
type request struct{ caller, number int }

func newChecker(counts *Counts) *checker {
	return &checker{
		runs:    map[string]int{},
		owners:  map[string]request{},
		byOwner: map[request]int{},
		notRun:  map[string]bool{},
		settled: map[string]executor.Outcome{},
		counts:  counts,
	}
}

func (checker *checker) breach(rule Rule, key, format string, arguments ...any) {
	if checker.first == nil {
		checker.first = &Violation{Rule: rule, Key: key, Detail: fmt.Sprintf(format, arguments...), Step: checker.step}
	}
}

func (checker *checker) reserved(key string, owner request) { checker.owners[key] = owner }

// ran counts one run at an upstream.
func (checker *checker) ran(key string) {
	checker.counts.Runs++
	checker.runs[key]++
	if checker.runs[key] > 1 {
		checker.breach(RuleDoubleRun, key, "the key ran %d times", checker.runs[key])
	}
	owner := checker.owners[key]
	checker.byOwner[owner]++
	if checker.byOwner[owner] > 1 {
		checker.breach(RuleDoubleRun, key, "request %d of caller %d ran %d times", owner.number, owner.caller, checker.byOwner[owner])
	}
	if checker.notRun[key] {
		checker.breach(RuleFalseNotRun, key, "the key ran after it was stated as not run")
	}
}

// answered checks a host's answer about a key; minted marks the answer of the minting incarnation.
func (checker *checker) answered(key string, outcome executor.Outcome, minted bool) {
	checker.counts.answer(outcome.Status)
	if outcome.Key != key {
		checker.breach(RuleOtherKey, key, "the answer names key %s", outcome.Key)
		return
	}
	switch outcome.Status {
	case executor.StatusNotRun:
		checker.notRun[key] = true
		if checker.runs[key] > 0 {
			checker.breach(RuleFalseNotRun, key, "the key had run when it was stated as not run")
		}
	case executor.StatusDone:
		if !bytes.Equal(outcome.Result, resultOf(key)) {
			checker.breach(RuleOtherKey, key, "the result is %q", outcome.Result)
		}
		if checker.runs[key] == 0 {
			checker.breach(RuleOtherKey, key, "the key was stated as done but has not run")
		}
	}
	if minted {
		checker.stable(key, outcome)
	}
}

// stable compares an answer of the minting incarnation with its earlier ones.
func (checker *checker) stable(key string, outcome executor.Outcome) {
	if outcome.Reason == carobthread.ReasonPayloadMismatch || outcome.Status == executor.StatusUnknown && outcome.Reason == carobthread.ReasonKeyExpired {
		return // says nothing about the key's own run
	}
	before, known := checker.settled[key]
	switch {
	case !known:
	case before.Status == executor.StatusUnknown && outcome.Status == executor.StatusDone:
	case before.Status != outcome.Status:
		checker.breach(RuleUnstable, key, "the outcome went from %s to %s", before.Status, outcome.Status)
	}
	if outcome.Status != executor.StatusInProgress {
		checker.settled[key] = outcome
	}
}

func resultOf(key string) []byte { return []byte("result of " + key) }
