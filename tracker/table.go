package tracker

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

// entry is one known host.
type entry struct {
	record  Record
	bucket  uint64 // hash of the name, cut to the number of buckets in use
	sum     uint64
	listing listing
	// misses counts own exchanges in a row that the host did not answer.
	misses int
	// since is when the record got its health here, on this host's clock.
	since carobthread.Instant
	// born is when the record's incarnation became known here.
	born carobthread.Instant
}

// listing is what the platform's list said last.
type listing uint8

const (
	unlisted listing = iota
	listedLive
	listedLeaving
)

// table holds the hosts ordered by name.
type table struct {
	rows []*entry
}

func (table *table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(table.rows, name, func(row *entry, name string) int {
		return strings.Compare(row.record.Name, name)
	})
}

func (table *table) get(name string) *entry {
	if place, found := table.find(name); found {
		return table.rows[place]
	}
	return nil
}

// put stores the record in the row of its host.
func (table *table) put(record Record, now carobthread.Instant) {
	place, found := table.find(record.Name)
	if !found {
		table.rows = slices.Insert(table.rows, place, &entry{bucket: xxhash.Sum64String(record.Name)})
	}
	row := table.rows[place]
	if !found || row.record.Health != record.Health || row.record.Incarnation != record.Incarnation {
		row.since = now
		row.misses = 0
	}
	if !found || row.record.Incarnation != record.Incarnation {
		row.born = now
	}
	row.record = record
	row.sum = record.sum()
}

func (table *table) remove(drop func(row *entry) bool) bool {
	before := len(table.rows)
	table.rows = slices.DeleteFunc(table.rows, drop)
	return len(table.rows) != before
}

// answering counts the hosts of a data centre that are not gone.
func (table *table) answering(centre string) int {
	count := 0
	for _, row := range table.rows {
		if row.record.DataCentre == centre && row.record.Health != Gone {
			count++
		}
	}
	return count
}
