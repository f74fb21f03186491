package recorder

import (
	"encoding/json"
	"fmt"

	"carobthread"
	"carobthread/gatherer"
)

// maxDifferences limits the differences reported for a replay, since the first one often causes all others.
const maxDifferences = 20

// Difference describes the first action of an event that differs from the recorded one. Line is the event's line
// in the file, and ActionNumber counts the actions of the event from 1.
type Difference struct {
	File         string `json:"file"`
	Line         int    `json:"line"`
	ActionNumber int    `json:"place"`
	Expected     string `json:"expected"`
	Got          string `json:"got"`
}

// String formats the difference as file:line:column: message.
func (difference Difference) String() string {
	return fmt.Sprintf("%s:%d:1: action %d: expected %s, got %s",
		difference.File, difference.Line, difference.ActionNumber, difference.Expected, difference.Got)
}

// Replay passes the events of a trace to a new gatherer and returns the differences, up to maxDifferences of them.
func Replay(trace *Trace) ([]Difference, error) {
	decider := gatherer.New(trace.Header.Seed, trace.Header.Options)
	differences := []Difference{}
	for i := range trace.Steps {
		step := &trace.Steps[i]
		difference, err := compare(step.Actions, decider.Step(step.Event))
		if err != nil {
			return nil, fmt.Errorf("replay %s: line %d: %w", trace.File, step.Line, err)
		}
		if difference == nil {
			continue
		}
		difference.File = trace.File
		difference.Line = step.Line
		differences = append(differences, *difference)
		if len(differences) == maxDifferences {
			break
		}
	}
	return differences, nil
}

// compare returns the first action that differs, or nil if all actions are equal.
func compare(expected, got []carobthread.Action) (*Difference, error) {
	for i := range max(len(expected), len(got)) {
		expectedText, err := actionText(expected, i)
		if err != nil {
			return nil, err
		}
		gotText, err := actionText(got, i)
		if err != nil {
			return nil, err
		}
		if expectedText != gotText {
			return &Difference{ActionNumber: i + 1, Expected: expectedText, Got: gotText}, nil
		}
	}
	return nil, nil
}

// actionText returns an action as JSON. Actions are compared in this form because a reader of the trace cannot tell a
// nil slice from an empty one.
func actionText(actions []carobthread.Action, index int) (string, error) {
	if index >= len(actions) {
		return "none", nil
	}
	text, err := json.Marshal(actions[index])
	if err != nil {
		return "", fmt.Errorf("encode action: %w", err)
	}
	return string(text), nil
}
