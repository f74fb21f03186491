package recorder

import (
	"errors"

	"carobthread"
	"carobthread/gatherer"
)

// FormatVersion is the version of the trace format that this package writes and reads.
const FormatVersion = 1

// Header is the first line of a trace file.
type Header struct {
	Format  int              `json:"format"`
	Seed    uint64           `json:"seed"`
	Options gatherer.Options `json:"options"`
}

// Step is an event with the actions that it caused. Line is the event's line.
type Step struct {
	Line    int
	Event   carobthread.Event
	Actions []carobthread.Action
}

// Trace is the content of a trace file.
type Trace struct {
	File   string
	Header Header
	Steps  []Step
}

// record is a line of a trace file; exactly one of the fields is set.
type record struct {
	Header  *Header              `json:"header,omitempty"`
	Event   *carobthread.Event   `json:"event,omitempty"`
	Actions []carobthread.Action `json:"actions,omitempty"`
}

func (line *record) validate() error {
	if countTrue(line.Header != nil, line.Event != nil, line.Actions != nil) != 1 {
		return errors.New("want exactly one of header, event and actions")
	}
	if event := line.Event; event != nil && countTrue(event.Query != nil, event.Reply != nil, event.Gone != nil,
		event.Report != nil, event.Config != nil, event.View != nil, event.Peers != nil, event.Reach != nil, event.Stop != nil,
		event.Grant != nil,
		event.Tick != nil) != 1 {
		return errors.New("an event has exactly one kind")
	}
	for i := range line.Actions {
		action := &line.Actions[i]
		if countTrue(action.Send != nil, action.Cancel != nil, action.Answer != nil, action.Refuse != nil, action.Connect != nil, action.Cold != nil, action.Want != nil) != 1 {
			return errors.New("an action has exactly one kind")
		}
	}
	return nil
}

// countTrue returns the number of conditions that are true.
func countTrue(conditions ...bool) int {
	count := 0
	for _, condition := range conditions {
		if condition {
			count++
		}
	}
	return count
}
