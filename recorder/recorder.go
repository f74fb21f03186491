package recorder

import (
	"encoding/json"
	"fmt"
	"io"

	"carobthread"
	"carobthread/gatherer"
)

// Recorder passes events to a core and writes them and their actions to a trace.
//
// It is as little safe for concurrent use as the core. After a failed write it
// keeps passing events and writes nothing more.
type Recorder struct {
	decider carobthread.Decider
	encoder *json.Encoder
	failure error
}

var _ carobthread.Decider = (*Recorder)(nil)

// New writes the header and returns a recorder of the core, which must have been made with the same seed and options
// and must not have taken an event yet.
func New(out io.Writer, seed uint64, options gatherer.Options, decider carobthread.Decider) *Recorder {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	recorder := &Recorder{decider: decider, encoder: encoder}
	recorder.write(record{Header: &Header{Format: FormatVersion, Seed: seed, Options: options}})
	return recorder
}

// Step takes one event, returns the core's actions and records both.
func (recorder *Recorder) Step(event carobthread.Event) []carobthread.Action {
	recorder.write(record{Event: &event})
	actions := recorder.decider.Step(event)
	if len(actions) > 0 {
		recorder.write(record{Actions: actions})
	}
	return actions
}

// Err returns the first failure of a write, after which the trace is incomplete.
func (recorder *Recorder) Err() error { return recorder.failure }

func (recorder *Recorder) write(line record) {
	if recorder.failure != nil {
		return
	}
	if err := recorder.encoder.Encode(line); err != nil {
		recorder.failure = fmt.Errorf("record trace: %w", err)
	}
}
