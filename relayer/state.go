package relayer

import (
	"bytes"

	"carobthread"
	"carobthread/applier"
	"carobthread/parser"
)

// Entry is an active object's id and ticket number.
type Entry struct {
	ID     carobthread.ObjectID
	Number uint64
}

// state is the configuration in force with what the exchange and the reader need to know of it.
//
// Decoding the whole index of 32,000 objects takes a quarter of a second, so a
// reader decodes only the lines that differ from the last index that the state
// covered. The state never goes back, so it still covers the lines left out.
type state struct {
	*applier.Applier
	highest uint64
	// covered is the last index whose objects were all in force.
	covered []byte
	// latest is the last index, and changed its lines that are not in the covered one.
	latest, changed []byte
}

// indexed is what an index says beside the state in force.
type indexed struct {
	wanted   []carobthread.ObjectID
	revision uint64
	covered  bool
}

// compareIndex takes a new index.
func (state *state) compareIndex(index []byte) (indexed, error) {
	state.latest = index
	state.changed = index
	if state.covered != nil {
		state.changed = changedLines(state.covered, index)
	}
	return state.recheck()
}

// recheck compares the last index again.
func (state *state) recheck() (indexed, error) {
	decoded, findings := parser.DecodeIndex(parser.IndexKey, state.changed)
	if len(findings) > 0 {
		return indexed{}, findings
	}
	covered := state.Covers(decoded)
	if covered {
		state.covered = state.latest
	}
	return indexed{wanted: state.Wanted(decoded), revision: decoded.Revision, covered: covered}, nil
}

// changedLines returns the index without the object lines that the known one has at the same place of the order.
// In an index out of order it leaves out fewer lines.
func changedLines(known, index []byte) []byte {
	_, knownObjects, _ := bytes.Cut(known, []byte("[objects]\n"))
	head, objects, found := bytes.Cut(index, []byte("[objects]\n"))
	if !found {
		return index
	}
	changed := append(bytes.Clone(head), "[objects]\n"...)
	old, rest, _ := bytes.Cut(knownObjects, []byte("\n"))
	for len(objects) > 0 {
		var line []byte
		line, objects, _ = bytes.Cut(objects, []byte("\n"))
		for len(old) > 0 && bytes.Compare(lineID(old), lineID(line)) < 0 {
			old, rest, _ = bytes.Cut(rest, []byte("\n"))
		}
		if !bytes.Equal(old, line) {
			changed = append(append(changed, line...), '\n')
		}
	}
	return changed
}

func lineID(line []byte) []byte {
	id, _, _ := bytes.Cut(line, []byte("="))
	return id
}

// entries returns the changed objects of a step with their numbers.
func (state *state) entries(changed *applier.Changed) []Entry {
	entries := make([]Entry, len(changed.Objects))
	for i, id := range changed.Objects {
		entries[i] = Entry{ID: id, Number: state.Number(id)}
		state.highest = max(state.highest, entries[i].Number)
	}
	return entries
}
