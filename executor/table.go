package executor

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"

	"carobthread"
	"carobthread/stopper"
)

// entryOverheadBytes is charged for each used key in addition to its payload and result. It covers the entry, its key
// text and its index entries.
const entryOverheadBytes = 512

// maxWaiters limits the calls that wait for the same running key; further calls are answered with in-progress.
const maxWaiters = 16

// keyEntry is a used or revoked key of this incarnation.
type keyEntry struct {
	key            Key
	text           string
	digest         [sha256.Size]byte
	hasDigest      bool // digest is set; a key revoked by an outcome query has no digest
	service        *serviceState
	payload        []byte
	started        carobthread.Instant
	deadline       carobthread.Instant
	charge         int // bytes counted for the entry in the table
	waiters        []CallID
	triedSearchers []string
	attempt        *attemptState
	outcome        Outcome
}

func (entry *keyEntry) running() bool { return entry.outcome.Status == StatusInProgress }

// attemptState is the state of an attempt at an upstream.
type attemptState struct {
	id        AttemptID
	entry     *keyEntry
	searcher  *searcherState
	permitted bool
	ended     bool
}

// forwardEntry is a forwarded call that waits for the minting host's answer.
type forwardEntry struct {
	call     CallID
	key      string
	deadline carobthread.Instant
}

// searcherState is what this host knows about a searcher.
type searcherState struct {
	config        carobthread.Searcher
	inFlight      int
	draining      bool
	drainReported carobthread.Instant
}

func (searcher *searcherState) markDraining(now carobthread.Instant) {
	searcher.draining = true
	searcher.drainReported = now
}

func (searcher *searcherState) usable() bool { return !searcher.draining && !searcher.config.Leaving }

// serviceState is a service and the searchers of shard 0 of its layout.
type serviceState struct {
	config   carobthread.Service
	replicas []string
	// history holds how long recent executions took; it outlasts changes of the configuration.
	history *stopper.History
}

// keyTable holds the used keys by sequence number, with limits on the number of entries and bytes.
type keyTable struct {
	maxKeys  int
	maxBytes int
	bytes    int
	entries  map[uint64]*keyEntry
	expiries expiryHeap
	// highestExpired is the highest sequence number of an expired and dropped key that ran or may have run.
	highestExpired uint64
	// highestRefused is the highest sequence number refused because the table was full; all unused keys up to it are revoked.
	highestRefused uint64
}

func newKeyTable(maxKeys, maxBytes int) *keyTable {
	return &keyTable{maxKeys: maxKeys, maxBytes: maxBytes, entries: map[uint64]*keyEntry{}}
}

// insert adds the entry if it fits with the charged bytes. A key that does not fit is revoked through highestRefused.
func (table *keyTable) insert(entry *keyEntry, charge int) bool {
	if len(table.entries) >= table.maxKeys || table.bytes+charge > table.maxBytes {
		table.highestRefused = max(table.highestRefused, entry.key.Sequence)
		return false
	}
	entry.charge = charge
	table.bytes += charge
	table.entries[entry.key.Sequence] = entry
	heap.Push(&table.expiries, entry)
	return true
}

func (table *keyTable) updateCharge(entry *keyEntry, charge int) {
	table.bytes += charge - entry.charge
	entry.charge = charge
}

// expire drops the settled entries whose expiry has passed and returns them. Running entries stay until they settle.
func (table *keyTable) expire(now carobthread.Instant) []*keyEntry {
	var dropped, unsettled []*keyEntry
	for len(table.expiries) > 0 && table.expiries[0].key.Expiry <= now {
		entry := heap.Pop(&table.expiries).(*keyEntry)
		if entry.running() {
			unsettled = append(unsettled, entry)
			continue
		}
		if entry.outcome.Status != StatusNotRun {
			table.highestExpired = max(table.highestExpired, entry.key.Sequence)
		}
		delete(table.entries, entry.key.Sequence)
		table.bytes -= entry.charge
		dropped = append(dropped, entry)
	}
	for _, entry := range unsettled {
		heap.Push(&table.expiries, entry)
	}
	return dropped
}

// expiryHeap orders entries by expiry and then by sequence number.
type expiryHeap []*keyEntry

var _ heap.Interface = (*expiryHeap)(nil)

func (entries expiryHeap) Len() int { return len(entries) }

func (entries expiryHeap) Less(i, j int) bool {
	if entries[i].key.Expiry != entries[j].key.Expiry {
		return entries[i].key.Expiry < entries[j].key.Expiry
	}
	return entries[i].key.Sequence < entries[j].key.Sequence
}

func (entries expiryHeap) Swap(i, j int) { entries[i], entries[j] = entries[j], entries[i] }

// Push implements heap.Interface.
func (entries *expiryHeap) Push(entry any) { *entries = append(*entries, entry.(*keyEntry)) }

// Pop implements heap.Interface.
func (entries *expiryHeap) Pop() any {
	last := len(*entries) - 1
	entry := (*entries)[last]
	(*entries)[last] = nil
	*entries = (*entries)[:last]
	return entry
}

// digestOf returns a digest of a service name and payload. The length prefix of the name ensures that different pairs with
// the same concatenation have different digests.
func digestOf(service string, payload []byte) [sha256.Size]byte {
	hash := sha256.New()
	_ = binary.Write(hash, binary.BigEndian, uint64(len(service))) // a hash never fails to write
	hash.Write([]byte(service))
	hash.Write(payload)
	return [sha256.Size]byte(hash.Sum(nil))
}
