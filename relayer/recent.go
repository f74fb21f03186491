package relayer

import (
	"cmp"
	"slices"
)

// recentEntries bounds the memory of changes: a host that missed more compares buckets.
const recentEntries = 4096

// recent holds the entries that became active last.
type recent struct{ entries []Entry }

func (recent *recent) add(entries []Entry) {
	recent.entries = append(recent.entries, entries...)
	if over := len(recent.entries) - recentEntries; over > 0 {
		recent.entries = slices.Delete(recent.entries, 0, over)
	}
}

// above returns the entries of tickets above a number, lower numbers first.
func (recent *recent) above(number uint64) []Entry {
	var found []Entry
	for _, entry := range recent.entries {
		if entry.Number > number {
			found = append(found, entry)
		}
	}
	slices.SortStableFunc(found, func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
	return found
}
