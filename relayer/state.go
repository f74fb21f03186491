package relayer

import (
	"maps"
	"slices"

	"carobthread"
	"carobthread/applier"
	"carobthread/parser"
)

// Entry is the id and the ticket number of an active object.
type Entry struct {
	ID     carobthread.ObjectID
	Number uint64
}

// state is the active configuration, with the ticket numbers and index buckets that exchanges and the reader track.
//
// A bucket of the index is covered when every object of its lines is active with
// at least the line's ticket number. Numbers in the state never fall, so a bucket
// stays covered until the top value names different content for it.
type state struct {
	*applier.Applier
	highest uint64
	top     parser.IndexTop
	// covered holds, for each bucket, the last hash named by a top value for which the bucket was covered.
	covered map[int]uint32
	// pending are the buckets that were read and are not covered yet.
	pending map[int]pendingBucket
}

// pendingBucket is the content of a bucket and the hash that the top value named for it.
type pendingBucket struct {
	lines    parser.Index
	expected uint32
}

// differing returns the buckets of the top value that are not known to be covered, in ascending order.
func (state *state) differing() []int {
	var differing []int
	for _, bucket := range slices.Sorted(maps.Keys(state.top.Buckets)) {
		expected := state.top.Buckets[bucket]
		if hash, found := state.covered[bucket]; found && hash == expected {
			continue
		}
		if state.IndexBucketHash(bucket) == expected {
			state.markCovered(bucket, expected)
			continue
		}
		differing = append(differing, bucket)
	}
	return differing
}

func (state *state) markCovered(bucket int, hash uint32) {
	if state.covered == nil {
		state.covered = map[int]uint32{}
	}
	state.covered[bucket] = hash
	delete(state.pending, bucket)
}

// receiveBucket stores the lines of a bucket as pending. It reports false for lines older than the top value.
func (state *state) receiveBucket(bucket int, lines parser.Index) bool {
	expected := state.top.Buckets[bucket]
	// A bucket with a higher revision than the top value is newer, and its ticket numbers are not lower.
	if lines.Hash() != expected && lines.Revision <= state.top.Revision {
		return false
	}
	if state.pending == nil {
		state.pending = map[int]pendingBucket{}
	}
	state.pending[bucket] = pendingBucket{lines: lines, expected: expected}
	return true
}

// recheckPending marks pending buckets as covered where they are, and returns the objects that the others still need.
func (state *state) recheckPending() []carobthread.ObjectID {
	var missing []carobthread.ObjectID
	for _, bucket := range slices.Sorted(maps.Keys(state.pending)) {
		waiting := state.pending[bucket]
		if state.Covers(waiting.lines) {
			state.markCovered(bucket, waiting.expected)
			continue
		}
		missing = append(missing, state.MissingObjects(waiting.lines)...)
	}
	return missing
}

// entries returns the changed objects of a step with their ticket numbers, and raises the highest number.
func (state *state) entries(changed *applier.Changed) []Entry {
	entries := make([]Entry, len(changed.Objects))
	for i, id := range changed.Objects {
		entries[i] = Entry{ID: id, Number: state.TicketNumber(id)}
		state.highest = max(state.highest, entries[i].Number)
	}
	return entries
}
