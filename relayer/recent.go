package relayer

import (
	"cmp"
	"slices"
)

// maxRecentEntries limits the memory for recent changes. A host that missed more of them compares buckets.
const maxRecentEntries = 4096

// recent holds the entries that became active last, oldest first.
type recent struct{ entries []Entry }

func (recent *recent) add(entries []Entry) {
	recent.entries = append(recent.entries, entries...)
	if excess := len(recent.entries) - maxRecentEntries; excess > 0 {
		recent.entries = slices.Delete(recent.entries, 0, excess)
	}
}

// above returns the entries with ticket numbers above the given one, in ascending order.
func (recent *recent) above(number uint64) []Entry {
	var newer []Entry
	for _, entry := range recent.entries {
		if entry.Number > number {
			newer = append(newer, entry)
		}
	}
	slices.SortStableFunc(newer, func(a, b Entry) int { return cmp.Compare(a.Number, b.Number) })
	return newer
}
