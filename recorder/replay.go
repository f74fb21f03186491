package recorder

import (
	"encoding/json"
	"fmt"

	"carobthread"
	"carobthread/gatherer"
)

// maxDifferences bounds the differences of one replay, since the first one often causes all others.
const maxDifferences = 20

// Difference is an event whose actions are not the recorded ones; Line is the event's line.
type Difference struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Place    int    `json:"place"`
	Expected string `json:"expected"`
	Got      string `json:"got"`
}

// String formats the difference as file:line:column: message.
func (difference Difference) String() string {
	return fmt.Sprintf("%s:%d:1: action %d: expected %s, got %s",
		difference.File, difference.Line, difference.Place, difference.Expected, difference.Got)
}

// Replay passes the events of a trace to a new core and returns the differences, up to a bound.
func Replay(trace *Trace) ([]Difference, error) {
	core := gatherer.New(trace.Header.Seed, trace.Header.Options)
	differences := []Difference{}
	for i := range trace.Steps {
		step := &trace.Steps[i]
		difference, err := compare(step.Actions, core.Step(step.Event))
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

// compare returns the first action that differs, as text, or nil.
func compare(expected, got []carobthread.Action) (*Difference, error) {
	for i := range max(len(expected), len(got)) {
		want, err := actionText(expected, i)
		if err != nil {
			return nil, err
		}
		have, err := actionText(got, i)
		if err != nil {
			return nil, err
		}
		if want != have {
			return &Difference{Place: i + 1, Expected: want, Got: have}, nil
		}
	}
	return nil, nil
}

// actionText returns an action as JSON, in which a nil and an empty slice are equal to a reader of the trace.
func actionText(actions []carobthread.Action, place int) (string, error) {
	if place >= len(actions) {
		return "none", nil
	}
	text, err := json.Marshal(actions[place])
	if err != nil {
		return "", fmt.Errorf("encode action: %w", err)
	}
	return string(text), nil
}
