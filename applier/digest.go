package applier

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
	"carobthread/parser"
)

// Two hosts find the differences between their states in at most three
// messages:
//
//  1. the first host sends its Root; equal roots, the usual case, end the
//     exchange;
//  2. the second host replies with its Digest, and the first sends the Entries
//     of the buckets that differ;
//  3. the second host calls Compare to find which objects to request and which
//     to send.
//
// Objects are assigned to buckets by the hash of their id. The hash of a bucket
// is the XOR of the hashes of its objects, so that the cost of an update does
// not depend on the number of objects. Staged tickets are not included.

// Buckets is the number of buckets of a digest and equals that of the published index: with 32,000 objects, one change
// makes a bucket of about 125 entries differ.
const Buckets = parser.Buckets

// Digest summarizes the active configuration; digests with different numbers of buckets differ in all of them.
type Digest struct {
	Objects int      `json:"objects"`
	Buckets []uint64 `json:"buckets"`
}

// Entry is the ticket number and the hash of one active object.
type Entry struct {
	ID     carobthread.ObjectID `json:"id"`
	Ticket uint64               `json:"ticket"`
	Hash   uint64               `json:"hash"`
}

// Difference is the difference between two states; the lists are sorted by id.
type Difference struct {
	// Missing are the ids of the objects for which the peer has a higher number.
	Missing []carobthread.ObjectID `json:"missing"`
	// Newer are the ids of the objects for which this host has a higher number.
	Newer []carobthread.ObjectID `json:"newer"`
	// Conflicts are the peer's entries with the same number as this host's but different content.
	Conflicts []Entry `json:"conflicts"`
}

type digestTable struct {
	buckets [Buckets]uint64
	members [Buckets][]carobthread.ObjectID
}

func (table *digestTable) add(id carobthread.ObjectID, hash uint64) {
	bucket := parser.BucketOf(id)
	table.buckets[bucket] ^= hash
	members := table.members[bucket]
	position, _ := slices.BinarySearch(members, id)
	table.members[bucket] = slices.Insert(members, position, id)
}

func (table *digestTable) remove(id carobthread.ObjectID, hash uint64) {
	bucket := parser.BucketOf(id)
	table.buckets[bucket] ^= hash
	members := table.members[bucket]
	position, _ := slices.BinarySearch(members, id)
	table.members[bucket] = slices.Delete(members, position, position+1)
}

// Root returns a hash of the active configuration; states with equal roots are taken to be the same.
func (applier *Applier) Root() uint64 {
	content := make([]byte, 0, 8*(Buckets+1))
	content = binary.LittleEndian.AppendUint64(content, uint64(len(applier.active)))
	for _, bucket := range applier.digest.buckets {
		content = binary.LittleEndian.AppendUint64(content, bucket)
	}
	return xxhash.Sum64(content)
}

// Digest returns the bucket hashes of the active configuration.
func (applier *Applier) Digest() Digest {
	return Digest{Objects: len(applier.active), Buckets: slices.Clone(applier.digest.buckets[:])}
}

// DifferingBuckets returns the buckets whose hash differs in a peer's digest, in ascending order; all of them if the peer's
// digest has a different number of buckets.
func (applier *Applier) DifferingBuckets(peer Digest) []int {
	differing := []int{}
	for bucket, hash := range applier.digest.buckets {
		if len(peer.Buckets) != Buckets || peer.Buckets[bucket] != hash {
			differing = append(differing, bucket)
		}
	}
	return differing
}

// IndexBucketHash returns the hash of a bucket of the published index whose lines match the active configuration.
func (applier *Applier) IndexBucketHash(bucket int) uint32 {
	hash := uint32(0)
	for _, id := range applier.digest.members[bucket] {
		hash ^= parser.LineHash(id, applier.active[id].object.Ticket)
	}
	return hash
}

// Entries returns the entries of the given buckets, in the given order and by id; invalid bucket numbers are skipped.
func (applier *Applier) Entries(buckets []int) []Entry {
	entries := []Entry{}
	for _, bucket := range buckets {
		if bucket < 0 || bucket >= Buckets {
			continue
		}
		for _, id := range applier.digest.members[bucket] {
			active := applier.active[id]
			entries = append(entries, Entry{ID: id, Ticket: active.object.Ticket, Hash: active.hash})
		}
	}
	return entries
}

// Compare returns the differences between this host's and a peer's entries of the given buckets.
func (applier *Applier) Compare(buckets []int, peer []Entry) Difference {
	difference := Difference{}
	listed := make(map[carobthread.ObjectID]bool, len(peer))
	for _, entry := range peer {
		listed[entry.ID] = true
		active := applier.active[entry.ID]
		switch {
		case active == nil || active.object.Ticket < entry.Ticket:
			difference.Missing = append(difference.Missing, entry.ID)
		case active.object.Ticket > entry.Ticket:
			difference.Newer = append(difference.Newer, entry.ID)
		case active.hash != entry.Hash:
			difference.Conflicts = append(difference.Conflicts, entry)
		}
	}
	for _, entry := range applier.Entries(buckets) {
		if !listed[entry.ID] {
			difference.Newer = append(difference.Newer, entry.ID)
		}
	}
	slices.Sort(difference.Missing)
	slices.Sort(difference.Newer)
	slices.SortFunc(difference.Conflicts, func(left, right Entry) int {
		return strings.Compare(string(left.ID), string(right.ID))
	})
	return difference
}

// Objects returns the encoded values of those of the given objects that are active, in the order of the ids.
func (applier *Applier) Objects(ids []carobthread.ObjectID) [][]byte {
	values := make([][]byte, 0, len(ids))
	for _, id := range ids {
		if active := applier.active[id]; active != nil {
			values = append(values, parser.EncodeObject(&parser.PublishedObject{Object: active.object, Objects: active.list}))
		}
	}
	return values
}

// IDs returns the sorted ids of all active objects; the Objects of these ids are a snapshot for a starting host.
func (applier *Applier) IDs() []carobthread.ObjectID {
	ids := make([]carobthread.ObjectID, 0, len(applier.active))
	for id := range applier.active {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
