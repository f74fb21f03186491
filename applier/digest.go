package applier

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
	"carobthread/parser"
)

// Two hosts find the differences of their states in three messages at most:
//
//  1. one sends its Root; equal roots end the exchange, which is the usual case;
//  2. the other answers with its Digest, and the first sends the Entries of
//     the buckets that differ;
//  3. Compare tells the other which objects to ask for and which to send.
//
// Objects are spread over the buckets by the hash of their id, and a bucket's
// value is the exclusive or of its objects' hashes, so that a change costs the
// same at any number of objects. Staged tickets are not part of it.

// Buckets is the number of buckets of a digest, those of the published index: at 32,000 objects, one change makes
// about 125 entries differ.
const Buckets = parser.Buckets

// Digest is a summary of the state in force; hosts with other numbers of buckets differ in all of them.
type Digest struct {
	Objects int      `json:"objects"`
	Buckets []uint64 `json:"buckets"`
}

// Entry is the number and the hash of one object in force.
type Entry struct {
	ID     carobthread.ObjectID `json:"id"`
	Ticket uint64               `json:"ticket"`
	Hash   uint64               `json:"hash"`
}

// Difference is what two states do not share; the lists are ordered by id.
type Difference struct {
	// Missing are the ids that the peer holds with a higher number.
	Missing []carobthread.ObjectID `json:"missing"`
	// Newer are the ids that this host holds with a higher number.
	Newer []carobthread.ObjectID `json:"newer"`
	// Conflicts are the peer's entries with this host's number and other content.
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
	at, _ := slices.BinarySearch(members, id)
	table.members[bucket] = slices.Insert(members, at, id)
}

func (table *digestTable) remove(id carobthread.ObjectID, hash uint64) {
	bucket := parser.BucketOf(id)
	table.buckets[bucket] ^= hash
	members := table.members[bucket]
	at, _ := slices.BinarySearch(members, id)
	table.members[bucket] = slices.Delete(members, at, at+1)
}

// Root returns one hash over the state in force; states with equal roots are the same.
func (applier *Applier) Root() uint64 {
	content := make([]byte, 0, 8*(Buckets+1))
	content = binary.LittleEndian.AppendUint64(content, uint64(len(applier.held)))
	for _, bucket := range applier.digest.buckets {
		content = binary.LittleEndian.AppendUint64(content, bucket)
	}
	return xxhash.Sum64(content)
}

// Digest returns the bucket hashes of the state in force.
func (applier *Applier) Digest() Digest {
	return Digest{Objects: len(applier.held), Buckets: slices.Clone(applier.digest.buckets[:])}
}

// Differing returns the buckets in which a peer's digest differs, in order; all of them when its size is not the own one.
func (applier *Applier) Differing(peer Digest) []int {
	differing := []int{}
	for bucket, hash := range applier.digest.buckets {
		if len(peer.Buckets) != Buckets || peer.Buckets[bucket] != hash {
			differing = append(differing, bucket)
		}
	}
	return differing
}

// LinesHash returns the hash that a bucket of the published index has when its lines are those of the state in force.
func (applier *Applier) LinesHash(bucket int) uint32 {
	hash := uint32(0)
	for _, id := range applier.digest.members[bucket] {
		hash ^= parser.LineHash(id, applier.held[id].object.Ticket)
	}
	return hash
}

// Entries returns the entries of the named buckets, ordered by bucket and id; numbers that name no bucket are skipped.
func (applier *Applier) Entries(buckets []int) []Entry {
	entries := []Entry{}
	for _, bucket := range buckets {
		if bucket < 0 || bucket >= Buckets {
			continue
		}
		for _, id := range applier.digest.members[bucket] {
			held := applier.held[id]
			entries = append(entries, Entry{ID: id, Ticket: held.object.Ticket, Hash: held.hash})
		}
	}
	return entries
}

// Compare returns the differences from a peer's entries of the named buckets.
func (applier *Applier) Compare(buckets []int, peer []Entry) Difference {
	difference := Difference{}
	listed := make(map[carobthread.ObjectID]bool, len(peer))
	for _, entry := range peer {
		listed[entry.ID] = true
		held := applier.held[entry.ID]
		switch {
		case held == nil || held.object.Ticket < entry.Ticket:
			difference.Missing = append(difference.Missing, entry.ID)
		case held.object.Ticket > entry.Ticket:
			difference.Newer = append(difference.Newer, entry.ID)
		case held.hash != entry.Hash:
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

// Objects returns the encoded values of the named objects that are in force, in the order of the ids.
func (applier *Applier) Objects(ids []carobthread.ObjectID) [][]byte {
	values := make([][]byte, 0, len(ids))
	for _, id := range ids {
		if held := applier.held[id]; held != nil {
			values = append(values, parser.EncodeObject(&parser.Published{Object: held.object, Objects: held.list}))
		}
	}
	return values
}

// IDs returns the ids of all objects in force, ordered; their Objects are a snapshot for a starting host.
func (applier *Applier) IDs() []carobthread.ObjectID {
	ids := make([]carobthread.ObjectID, 0, len(applier.held))
	for id := range applier.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
