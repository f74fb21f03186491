package recorder

import (
	"encoding/json"
	"fmt"
	"io"

	"carobthread"
	"carobthread/gatherer"
)

// Recorder passes events to a decider and writes them and the resulting actions to a trace.
//
// Like the decider, it is not safe for concurrent use. After a failed write it
// keeps passing events to the decider but writes nothing more.
type Recorder struct {
	decider  carobthread.Decider
	encoder  *json.Encoder
	writeErr error
}

var _ carobthread.Decider = (*Recorder)(nil)

// New writes the header and returns a recorder for the decider, which must have been created with the same seed and
// options and must not have received an event yet.
func New(out io.Writer, seed uint64, options gatherer.Options, decider carobthread.Decider) *Recorder {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	recorder := &Recorder{decider: decider, encoder: encoder}
	recorder.write(record{Header: &Header{Format: FormatVersion, Seed: seed, Options: options}})
	return recorder
}

// Step passes an event to the decider, returns the resulting actions and records both.
func (recorder *Recorder) Step(event carobthread.Event) []carobthread.Action {
	recorder.write(record{Event: &event})
	actions := recorder.decider.Step(event)
	if len(actions) > 0 {
		recorder.write(record{Actions: actions})
	}
	return actions
}

// Err returns the first write error, after which the trace is incomplete.
func (recorder *Recorder) Err() error { return recorder.writeErr }

func (recorder *Recorder) write(line record) {
	if recorder.writeErr != nil {
		return
	}
	if err := recorder.encoder.Encode(line); err != nil {
		recorder.writeErr = fmt.Errorf("write trace: %w", err)
	}
}
