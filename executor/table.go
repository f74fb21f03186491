package executor

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"

	"carobthread"
)

// rowBytes is charged for a used key beside its payload and result; it covers the row, its key text and its index entries.
const rowBytes = 512

// maxWaiters bounds the calls that join one running key; further calls are told that it is in progress.
const maxWaiters = 16

// keyRow is one used or revoked key of this incarnation.
type keyRow struct {
	key      Key
	text     string
	digest   [sha256.Size]byte
	bound    bool // digest is set; a key revoked by an outcome query has none
	service  *serviceRow
	payload  []byte
	deadline carobthread.Instant
	charge   int
	waiters  []CallID
	tried    []string
	attempt  *attemptRow
	outcome  Outcome
}

func (row *keyRow) running() bool { return row.outcome.Status == StatusInProgress }

// attemptRow is one attempt at an upstream.
type attemptRow struct {
	id        AttemptID
	row       *keyRow
	searcher  *searcherRow
	permitted bool
	ended     bool
}

// forwardRow is one call that waits for the minting host.
type forwardRow struct {
	call     CallID
	key      string
	deadline carobthread.Instant
}

// searcherRow is what this host knows of one searcher.
type searcherRow struct {
	config    carobthread.Searcher
	inFlight  int
	draining  bool
	drainSeen carobthread.Instant
}

func (searcher *searcherRow) drain(now carobthread.Instant) {
	searcher.draining = true
	searcher.drainSeen = now
}

func (searcher *searcherRow) usable() bool { return !searcher.draining && !searcher.config.Leaving }

// serviceRow is one service and the searchers of shard 0 of its layout.
type serviceRow struct {
	config   carobthread.Service
	replicas []string
}

// keyTable holds the used keys by sequence number, bounded in entries and bytes.
type keyTable struct {
	maxKeys  int
	maxBytes int
	bytes    int
	rows     map[uint64]*keyRow
	expiries expiryHeap
	// forgotten is the highest sequence number of a dropped key that ran or may have run.
	forgotten uint64
	// floor is the highest sequence number refused because of a full table; unused keys up to it are revoked.
	floor uint64
}

func newKeyTable(maxKeys, maxBytes int) *keyTable {
	return &keyTable{maxKeys: maxKeys, maxBytes: maxBytes, rows: map[uint64]*keyRow{}}
}

// insert adds the row if it fits with its charge; a key that does not fit is revoked by the floor.
func (table *keyTable) insert(row *keyRow, charge int) bool {
	if len(table.rows) >= table.maxKeys || table.bytes+charge > table.maxBytes {
		table.floor = max(table.floor, row.key.Sequence)
		return false
	}
	row.charge = charge
	table.bytes += charge
	table.rows[row.key.Sequence] = row
	heap.Push(&table.expiries, row)
	return true
}

func (table *keyTable) recharge(row *keyRow, charge int) {
	table.bytes += charge - row.charge
	row.charge = charge
}

// expire drops settled rows whose expiry has passed and returns them; running rows stay until they settle.
func (table *keyTable) expire(now carobthread.Instant) []*keyRow {
	var dropped, kept []*keyRow
	for len(table.expiries) > 0 && table.expiries[0].key.Expiry <= now {
		row := heap.Pop(&table.expiries).(*keyRow)
		if row.running() {
			kept = append(kept, row)
			continue
		}
		if row.outcome.Status != StatusNotRun {
			table.forgotten = max(table.forgotten, row.key.Sequence)
		}
		delete(table.rows, row.key.Sequence)
		table.bytes -= row.charge
		dropped = append(dropped, row)
	}
	for _, row := range kept {
		heap.Push(&table.expiries, row)
	}
	return dropped
}

// expiryHeap orders rows by expiry and then by sequence number.
type expiryHeap []*keyRow

var _ heap.Interface = (*expiryHeap)(nil)

func (rows expiryHeap) Len() int { return len(rows) }

func (rows expiryHeap) Less(i, j int) bool {
	if rows[i].key.Expiry != rows[j].key.Expiry {
		return rows[i].key.Expiry < rows[j].key.Expiry
	}
	return rows[i].key.Sequence < rows[j].key.Sequence
}

func (rows expiryHeap) Swap(i, j int) { rows[i], rows[j] = rows[j], rows[i] }

// Push is called by the package heap.
func (rows *expiryHeap) Push(row any) { *rows = append(*rows, row.(*keyRow)) }

// Pop is called by the package heap.
func (rows *expiryHeap) Pop() any {
	last := len(*rows) - 1
	row := (*rows)[last]
	(*rows)[last] = nil
	*rows = (*rows)[:last]
	return row
}

// digestOf binds a service and a payload; the length keeps the two apart.
func digestOf(service string, payload []byte) [sha256.Size]byte {
	hash := sha256.New()
	_ = binary.Write(hash, binary.BigEndian, uint64(len(service))) // a hash never fails to write
	hash.Write([]byte(service))
	hash.Write(payload)
	return [sha256.Size]byte(hash.Sum(nil))
}
