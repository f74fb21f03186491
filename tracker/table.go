package tracker

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

// hostRow is the row of one known host.
type hostRow struct {
	record  Record
	bucket  uint64 // hash of the name, whose lower 32 bits modulo the number of buckets in use give the bucket
	sum     uint64 // hash of the record
	listing listing
	// consecutiveFailures counts the exchanges in a row that this host sent and the other did not answer.
	consecutiveFailures int
	// healthSince is when this table recorded the current health, on this host's clock. A pause of this process moves it to
	// the end of the grace period for suspected hosts.
	healthSince carobthread.Instant
	// incarnationSince is when this table recorded the current incarnation.
	incarnationSince carobthread.Instant
}

// listing is a host's state in the platform's last list.
type listing uint8

const (
	unlisted listing = iota
	listedLive
	listedLeaving
)

// table holds the known hosts ordered by name.
type table struct {
	rows []*hostRow
}

func (table *table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(table.rows, name, func(row *hostRow, name string) int {
		return strings.Compare(row.record.Name, name)
	})
}

func (table *table) get(name string) *hostRow {
	if index, found := table.find(name); found {
		return table.rows[index]
	}
	return nil
}

// put stores the record in the row of its host, which it adds if there is none.
func (table *table) put(record Record, now carobthread.Instant) {
	index, found := table.find(record.Name)
	if !found {
		table.rows = slices.Insert(table.rows, index, &hostRow{bucket: xxhash.Sum64String(record.Name)})
	}
	row := table.rows[index]
	if !found || row.record.Health != record.Health || row.record.Incarnation != record.Incarnation {
		row.healthSince = now
		row.consecutiveFailures = 0
	}
	if !found || row.record.Incarnation != record.Incarnation {
		row.incarnationSince = now
	}
	row.record = record
	row.sum = record.sum()
}

// remove deletes the rows that drop selects and reports whether there were any.
func (table *table) remove(drop func(row *hostRow) bool) bool {
	before := len(table.rows)
	table.rows = slices.DeleteFunc(table.rows, drop)
	return len(table.rows) != before
}

// countNotGone returns the number of hosts of a data centre that are not gone.
func (table *table) countNotGone(centre string) int {
	count := 0
	for _, row := range table.rows {
		if row.record.DataCentre == centre && row.record.Health != Gone {
			count++
		}
	}
	return count
}
