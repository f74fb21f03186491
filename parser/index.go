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

// The index is split, since a reader reads it at each ticket: at 32,000
// objects its lines take 800 KB, while the top value takes under 4 KB. Lines are
// spread over buckets by the hash of the object id. A publisher writes the
// objects, then the buckets, then the top value. Invariants:
//   - A number in a bucket never falls.
//   - The revision of the top value is at least that of every bucket value
//     that it names, so a bucket with a higher revision is newer than the top
//     value and holds at least its numbers.

// Buckets is the number of buckets of the index and of the digest of a state: at 32,000 objects a bucket has about 125.
const Buckets = 256

// Bounds of the recent lines of a top value, which each reader reads at each ticket.
const (
	// leastRecent lines are several tickets, so that a reader that falls behind by a few needs no bucket.
	leastRecent = 16
	// maxTopSize bounds further lines; at a site of about 80 objects the top value holds all of them, so that a start
	// needs no bucket.
	maxTopSize = 3584 // bytes
)

// Index is the ticket numbers of objects, those of one bucket or of all; Revision rises with each change of a bucket.
type Index struct {
	Revision uint64
	Numbers  map[carobthread.ObjectID]uint64
}

// Top is the top value of the index; Revision rises with each published ticket.
type Top struct {
	Revision uint64
	// Buckets holds the Hash of each bucket that has objects.
	Buckets map[int]uint32
	// Recent holds lines with the highest numbers. In the usual case they are
	// all that is new, so that a reader need not read a bucket.
	Recent map[carobthread.ObjectID]uint64
}

// BucketOf returns the bucket of an object.
func BucketOf(id carobthread.ObjectID) int { return int(xxhash.Sum64String(string(id)) % Buckets) }

// BucketKey returns the platform key of a bucket of the index.
func BucketKey(bucket int) string { return fmt.Sprintf("%s%03d", BucketPrefix, bucket) }

// BucketOfKey returns the bucket with that platform key, or false for another key.
func BucketOfKey(key string) (int, bool) {
	digits, found := strings.CutPrefix(key, BucketPrefix)
	bucket, err := strconv.Atoi(digits)
	return bucket, found && err == nil && bucket >= 0 && bucket < Buckets && BucketKey(bucket) == key
}

// BucketsOf returns the buckets of a ticket's objects, ascending.
func BucketsOf(ticket *carobthread.Ticket) []int {
	buckets := map[int]bool{}
	for i := range ticket.Objects {
		buckets[BucketOf(ticket.Objects[i].ID)] = true
	}
	return slices.Sorted(maps.Keys(buckets))
}

// LineHash returns the hash of one line. A bucket's hash is the exclusive or of those of its lines, so that a host
// can compare its state with a bucket that it has not read. Two contents share one with a chance of 1 in 2^32.
func LineHash(id carobthread.ObjectID, number uint64) uint32 {
	return uint32(xxhash.Sum64String(line(id, number)))
}

// Hash returns the hash of a bucket's lines.
func (index *Index) Hash() uint32 {
	hash := uint32(0)
	for id, number := range index.Numbers {
		hash ^= LineHash(id, number)
	}
	return hash
}

// Add puts a ticket's objects of a bucket into its lines; top is the revision of the top value that is to be replaced.
func (index *Index) Add(ticket *carobthread.Ticket, bucket int, top uint64) {
	index.Revision = max(index.Revision, top) + 1
	for i := range ticket.Objects {
		if id := ticket.Objects[i].ID; BucketOf(id) == bucket {
			index.Numbers[id] = max(index.Numbers[id], ticket.Number)
		}
	}
}

// Add puts a ticket into the top value, with the present values of the ticket's buckets.
func (top *Top) Add(ticket *carobthread.Ticket, buckets map[int]Index) {
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

// trim drops the recent lines with the lowest numbers that exceed the bounds.
func (top *Top) trim() {
	ids := orderedIDs(top.Recent)
	slices.SortStableFunc(ids, func(left, right carobthread.ObjectID) int {
		return cmp.Compare(top.Recent[right], top.Recent[left])
	})
	size := len(EncodeTop(&Top{Revision: top.Revision, Buckets: top.Buckets}))
	for i, id := range ids {
		size += len(line(id, top.Recent[id]))
		if i >= leastRecent && size > maxTopSize {
			delete(top.Recent, id)
		}
	}
}

func orderedIDs(numbers map[carobthread.ObjectID]uint64) []carobthread.ObjectID {
	return slices.Sorted(maps.Keys(numbers))
}

// EncodeIndex returns the canonical value of a bucket, ordered by object id.
func EncodeIndex(index *Index) []byte {
	writer := &writer{}
	writer.section(indexSection)
	writer.key("revision", strconv.FormatUint(index.Revision, 10))
	writer.section(objectsSection)
	writer.lines(index.Numbers)
	return []byte(writer.String())
}

// lines writes no spaces, since each reader reads them at each ticket.
func (writer *writer) lines(numbers map[carobthread.ObjectID]uint64) {
	for _, id := range orderedIDs(numbers) {
		writer.WriteString(line(id, numbers[id]) + "\n")
	}
}

func line(id carobthread.ObjectID, number uint64) string {
	return string(id) + "=" + strconv.FormatUint(number, 10)
}

// EncodeTop returns the canonical top value of the index, ordered by bucket and object id.
func EncodeTop(top *Top) []byte {
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

// hashBase is the base of the hashes in the top value; base 36 needs 7 characters for 32 bits.
const hashBase = 36

// bucketName returns the key of a bucket within the top value; keys begin with a letter.
func bucketName(bucket int) string { return fmt.Sprintf("b%03d", bucket) }

// DecodeIndex reads the value of a bucket; file names its origin in findings.
func DecodeIndex(file string, content []byte) (Index, carobthread.Findings) {
	doc := scan(file, content)
	index := Index{Numbers: map[carobthread.ObjectID]uint64{}}
	doc.demand(indexSection, objectsSection)
	for _, current := range doc.sections {
		switch current.name {
		case indexSection:
			doc.read(current, required("revision", integer(&index.Revision, 0, maxNumber)))
		case objectsSection:
			doc.numbers(current, index.Numbers)
		default:
			doc.report(current.at, "unknown section [%s]", current.name)
		}
	}
	return index, ordered(doc.findings)
}

// DecodeTop reads the top value of the index; file names its origin in findings.
func DecodeTop(file string, content []byte) (Top, carobthread.Findings) {
	doc := scan(file, content)
	top := NewTop()
	doc.demand(indexSection, bucketsSection, recentSection)
	for _, current := range doc.sections {
		switch current.name {
		case indexSection:
			doc.read(current, required("revision", integer(&top.Revision, 0, maxNumber)))
		case bucketsSection:
			doc.hashes(current, top.Buckets)
		case recentSection:
			doc.numbers(current, top.Recent)
		default:
			doc.report(current.at, "unknown section [%s]", current.name)
		}
	}
	return top, ordered(doc.findings)
}

// NewTop returns the top value of an index without objects.
func NewTop() Top {
	return Top{Buckets: map[int]uint32{}, Recent: map[carobthread.ObjectID]uint64{}}
}

func (doc *document) numbers(current *section, numbers map[carobthread.ObjectID]uint64) {
	for _, held := range current.entries {
		if err := checkID(held.name); err != nil {
			doc.report(held.at, "%v", err)
			continue
		}
		var number uint64
		doc.convert(held, integer(&number, 1, maxNumber))
		numbers[carobthread.ObjectID(held.name)] = number
	}
}

func (doc *document) hashes(current *section, hashes map[int]uint32) {
	for _, held := range current.entries {
		bucket, err := strconv.Atoi(held.name[1:])
		if err != nil || bucket < 0 || bucket >= Buckets || bucketName(bucket) != held.name {
			doc.report(held.at, "%q is not a bucket of the index", held.name)
			continue
		}
		hash, err := strconv.ParseUint(held.value.Value(), hashBase, 32)
		if err != nil {
			doc.report(held.valueAt, "%q is not the hash of a bucket", held.value.Value())
			continue
		}
		hashes[bucket] = uint32(hash)
	}
}
