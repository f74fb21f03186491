package relayer

import (
	"maps"
	"slices"

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
// A bucket of the index is covered when every object of its lines is in force
// with at least its number. The state never goes back, so a bucket stays
// covered until the top value names another content of it.
type state struct {
	*applier.Applier
	highest uint64
	top     parser.Top
	// covered holds, for each bucket, the last hash named by a top value whose lines are in force.
	covered map[int]uint32
	// open are the buckets that were read and whose lines are not all in force yet.
	open map[int]openBucket
}

// openBucket is the content of a bucket and the hash under which the top value named it.
type openBucket struct {
	lines parser.Index
	named uint32
}

// differing returns the buckets of the top value that are not known to be covered, ascending.
func (state *state) differing() []int {
	var differing []int
	for _, bucket := range slices.Sorted(maps.Keys(state.top.Buckets)) {
		named := state.top.Buckets[bucket]
		if held, found := state.covered[bucket]; found && held == named {
			continue
		}
		if state.LinesHash(bucket) == named {
			state.cover(bucket, named)
			continue
		}
		differing = append(differing, bucket)
	}
	return differing
}

func (state *state) cover(bucket int, hash uint32) {
	if state.covered == nil {
		state.covered = map[int]uint32{}
	}
	state.covered[bucket] = hash
	delete(state.open, bucket)
}

// bucketRead takes the lines of a bucket, and reports whether they are at least those that the top value names.
func (state *state) bucketRead(bucket int, lines parser.Index) bool {
	named := state.top.Buckets[bucket]
	// A bucket above the top value's revision is newer, and its numbers have not fallen.
	if lines.Hash() != named && lines.Revision <= state.top.Revision {
		return false
	}
	if state.open == nil {
		state.open = map[int]openBucket{}
	}
	state.open[bucket] = openBucket{lines: lines, named: named}
	return true
}

// recheck closes the open buckets whose objects are in force, and returns the objects that the others still lack.
func (state *state) recheck() []carobthread.ObjectID {
	var lacking []carobthread.ObjectID
	for _, bucket := range slices.Sorted(maps.Keys(state.open)) {
		held := state.open[bucket]
		if state.Covers(held.lines) {
			state.cover(bucket, held.named)
			continue
		}
		lacking = append(lacking, state.Wanted(held.lines)...)
	}
	return lacking
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
