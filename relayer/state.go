package relayer

import (
	"carobthread"
	"carobthread/applier"
	"carobthread/parser"
)

// Entry is an active object's id and ticket number.
type Entry struct {
	ID     carobthread.ObjectID
	Number uint64
}

// state is the configuration in force with what the exchange needs to know of it at any time.
type state struct {
	*applier.Applier
	highest uint64
}

// missing returns the objects to read for an index, and whether the state is as new as the index says.
func (state *state) missing(index []byte) (ids []carobthread.ObjectID, revision uint64, covered bool, err error) {
	decoded, findings := parser.DecodeIndex(parser.IndexKey, index)
	if len(findings) > 0 {
		return nil, 0, false, findings
	}
	return state.Wanted(decoded), decoded.Revision, state.Covers(decoded), nil
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
