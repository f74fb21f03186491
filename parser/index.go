package parser

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

// The index maps each object ID to the number of the last ticket that changed
// the object, one line per object. It is split into a top value and buckets
// because every reader reads it at each ticket: with 32,000 objects all lines
// take 800 KB, while the top value takes less than 4 KB. A line belongs to the
// bucket given by the hash of its object ID. A publisher writes the objects
// first, then the buckets, then the top value. Invariants:
//   - A ticket number in a bucket never decreases.
//   - The revision of the top value is at least that of every bucket that it
//     lists. A bucket with a higher revision is therefore newer than the top
//     value, and its ticket numbers are at least those known to the top value.

// Buckets is the number of buckets of the index and of a state digest; with 32,000 objects a bucket has about 125.
const Buckets = 256

// Bounds of the recent lines in the top value, which every reader reads at each ticket.
const (
	// minRecent lines cover several tickets, so that a reader that is a few tickets behind need not read a bucket.
	minRecent = 16
	// maxTopSize bounds the size of the top value beyond minRecent lines. At a site with about 80 objects the top value
	// holds all lines, so that a starting reader need not read a bucket.
	maxTopSize = 3584 // bytes
)

// Index maps objects to ticket numbers, for one bucket or for all; Revision increases with each change of a bucket.
type Index struct {
	Revision      uint64
	TicketNumbers map[carobthread.ObjectID]uint64
}

// IndexTop is the top value of the index; Revision increases with each published ticket.
type IndexTop struct {
	Revision uint64
	// Buckets holds the Index.Hash of each bucket that has objects.
	Buckets map[int]uint32
	// Recent holds the lines with the highest ticket numbers. They usually
	// include every change since the reader's last read, so that it need not
	// read a bucket.
	Recent map[carobthread.ObjectID]uint64
}

// BucketOf returns the bucket of an object.
func BucketOf(id carobthread.ObjectID) int { return int(xxhash.Sum64String(string(id)) % Buckets) }

// BucketKey returns the platform key of a bucket of the index.
func BucketKey(bucket int) string { return fmt.Sprintf("%s%03d", BucketPrefix, bucket) }

// BucketOfKey returns the bucket stored under a platform key; the second result is false if the key is not a bucket's.
func BucketOfKey(key string) (int, bool) {
	digits, found := strings.CutPrefix(key, BucketPrefix)
	bucket, err := strconv.Atoi(digits)
	return bucket, found && err == nil && bucket >= 0 && bucket < Buckets && BucketKey(bucket) == key
}

// BucketsOf returns the buckets of a ticket's objects in ascending order.
func BucketsOf(ticket *carobthread.Ticket) []int {
	buckets := map[int]bool{}
	for i := range ticket.Objects {
		buckets[BucketOf(ticket.Objects[i].ID)] = true
	}
	return slices.Sorted(maps.Keys(buckets))
}

// LineHash returns the hash of one line. The hash of a bucket is the exclusive or of the hashes of its lines, so that a
// host can compare its state with a bucket that it has not read. Two different bucket contents collide with a
// probability of 1 in 2^32.
func LineHash(id carobthread.ObjectID, number uint64) uint32 {
	return uint32(xxhash.Sum64String(indexLine(id, number)))
}

// Hash returns the hash of a bucket's lines.
func (index *Index) Hash() uint32 {
	hash := uint32(0)
	for id, number := range index.TicketNumbers {
		hash ^= LineHash(id, number)
	}
	return hash
}

// Add records a ticket's objects in the bucket that index holds; top is the revision of the top value to be replaced.
func (index *Index) Add(ticket *carobthread.Ticket, bucket int, top uint64) {
	index.Revision = max(index.Revision, top) + 1
	for i := range ticket.Objects {
		if id := ticket.Objects[i].ID; BucketOf(id) == bucket {
			index.TicketNumbers[id] = max(index.TicketNumbers[id], ticket.Number)
		}
	}
}

// Add records a ticket in the top value; buckets holds the updated buckets of the ticket's objects.
func (top *IndexTop) Add(ticket *carobthread.Ticket, buckets map[int]Index) {
	top.Revision++
	for bucket, index := range buckets {
		top.Buckets[bucket] = index.Hash()
		top.Revision = max(top.Revision, index.Revision)
	}
	for i := range ticket.Objects {
		id := ticket.Objects[i].ID
		top.Recent[id] = max(top.Recent[id], ticket.Number)
	}
	top.trim()
}

// trim removes recent lines beyond maxTopSize, lowest ticket numbers first, but keeps at least minRecent lines.
func (top *IndexTop) trim() {
	ids := orderedIDs(top.Recent)
	slices.SortStableFunc(ids, func(left, right carobthread.ObjectID) int {
		return cmp.Compare(top.Recent[right], top.Recent[left])
	})
	size := len(EncodeIndexTop(&IndexTop{Revision: top.Revision, Buckets: top.Buckets}))
	for i, id := range ids {
		size += len(indexLine(id, top.Recent[id]))
		if i >= minRecent && size > maxTopSize {
			delete(top.Recent, id)
		}
	}
}

func orderedIDs(numbers map[carobthread.ObjectID]uint64) []carobthread.ObjectID {
	return slices.Sorted(maps.Keys(numbers))
}

// EncodeIndex returns the canonical encoding of a bucket, ordered by object ID.
func EncodeIndex(index *Index) []byte {
	writer := &writer{}
	writer.section(indexSection)
	writer.key("revision", strconv.FormatUint(index.Revision, 10))
	writer.section(objectsSection)
	writer.lines(index.TicketNumbers)
	return []byte(writer.String())
}

// lines writes index lines without spaces to keep them short, since every reader reads them at each ticket.
func (writer *writer) lines(numbers map[carobthread.ObjectID]uint64) {
	for _, id := range orderedIDs(numbers) {
		writer.WriteString(indexLine(id, numbers[id]) + "\n")
	}
}

func indexLine(id carobthread.ObjectID, number uint64) string {
	return string(id) + "=" + strconv.FormatUint(number, 10)
}

// EncodeIndexTop returns the canonical encoding of the top value, ordered by bucket and object ID.
func EncodeIndexTop(top *IndexTop) []byte {
	writer := &writer{}
	writer.section(indexSection)
	writer.key("revision", strconv.FormatUint(top.Revision, 10))
	writer.section(bucketsSection)
	for _, bucket := range slices.Sorted(maps.Keys(top.Buckets)) {
		writer.WriteString(bucketName(bucket) + "=" + strconv.FormatUint(uint64(top.Buckets[bucket]), hashBase) + "\n")
	}
	writer.section(recentSection)
	writer.lines(top.Recent)
	return []byte(writer.String())
}

// hashBase is the number base of the hashes in the top value; in base 36 a 32-bit hash takes at most 7 characters.
const hashBase = 36

// bucketName returns the key of a bucket within the top value; the prefix is needed because keys begin with a letter.
func bucketName(bucket int) string { return fmt.Sprintf("b%03d", bucket) }

// DecodeIndex decodes the value of a bucket; file identifies the source in findings.
func DecodeIndex(file string, content []byte) (Index, carobthread.Findings) {
	doc := scan(file, content)
	index := Index{TicketNumbers: map[carobthread.ObjectID]uint64{}}
	doc.requireSections(indexSection, objectsSection)
	for _, current := range doc.sections {
		switch current.name {
		case indexSection:
			doc.read(current, required("revision", integer(&index.Revision, 0, maxNumber)))
		case objectsSection:
			doc.numbers(current, index.TicketNumbers)
		default:
			doc.report(current.pos, "unknown section [%s]", current.name)
		}
	}
	return index, sortFindings(doc.findings)
}

// DecodeIndexTop decodes the top value of the index; file identifies the source in findings.
func DecodeIndexTop(file string, content []byte) (IndexTop, carobthread.Findings) {
	doc := scan(file, content)
	top := NewIndexTop()
	doc.requireSections(indexSection, bucketsSection, recentSection)
	for _, current := range doc.sections {
		switch current.name {
		case indexSection:
			doc.read(current, required("revision", integer(&top.Revision, 0, maxNumber)))
		case bucketsSection:
			doc.hashes(current, top.Buckets)
		case recentSection:
			doc.numbers(current, top.Recent)
		default:
			doc.report(current.pos, "unknown section [%s]", current.name)
		}
	}
	return top, sortFindings(doc.findings)
}

// NewIndexTop returns the top value of an empty index.
func NewIndexTop() IndexTop {
	return IndexTop{Buckets: map[int]uint32{}, Recent: map[carobthread.ObjectID]uint64{}}
}

func (doc *document) numbers(current *section, numbers map[carobthread.ObjectID]uint64) {
	for _, keyEntry := range current.entries {
		if err := checkID(keyEntry.name); err != nil {
			doc.report(keyEntry.pos, "%v", err)
			continue
		}
		var number uint64
		doc.convert(keyEntry, integer(&number, 1, maxNumber))
		numbers[carobthread.ObjectID(keyEntry.name)] = number
	}
}

func (doc *document) hashes(current *section, hashes map[int]uint32) {
	for _, keyEntry := range current.entries {
		bucket, err := strconv.Atoi(keyEntry.name[1:])
		if err != nil || bucket < 0 || bucket >= Buckets || bucketName(bucket) != keyEntry.name {
			doc.report(keyEntry.pos, "%q is not a bucket of the index", keyEntry.name)
			continue
		}
		hash, err := strconv.ParseUint(keyEntry.value.Value(), hashBase, 32)
		if err != nil {
			doc.report(keyEntry.valuePos, "%q is not the hash of a bucket", keyEntry.value.Value())
			continue
		}
		hashes[bucket] = uint32(hash)
	}
}
