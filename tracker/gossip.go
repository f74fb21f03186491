package tracker

import (
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

// Limits per message, so that a host's traffic grows neither with the number of hosts nor with a burst of changes.
const (
	maxUpdates     = 8
	maxRepairItems = 24 // about twice the mean size of a bucket
	hostsPerBucket = 12
)

// Prefixes of the keys in the update queue.
const (
	hostPrefix     = "host/"
	searcherPrefix = "searcher/"
)

// Gossip is the membership part of an exchange: updates and one step of anti-entropy.
type Gossip struct {
	Records []Record       `json:"records,omitempty"`
	Marks   []SearcherMark `json:"marks,omitempty"`
	// Bucket is the index of one bucket of the sender's table, Of the number of buckets, and Sum the sum of the hashes of the
	// bucket's records and marks.
	Bucket uint32 `json:"bucket"`
	Of     uint32 `json:"of"`
	Sum    uint64 `json:"sum"`
	// Repair is set when Records and Marks are the whole content of the bucket, because the two hosts' sums differed.
	Repair bool `json:"repair,omitempty"`
}

// Gossip returns the membership part of a request to a host: pending updates and the sum of the next bucket.
func (tracker *Tracker) Gossip(target string, locality Locality) Gossip {
	gossip := tracker.updatesFor(target, locality)
	gossip.Of = tracker.buckets()
	gossip.Bucket = tracker.nextBucket % gossip.Of
	tracker.nextBucket++
	gossip.Sum = tracker.bucketSum(gossip.Bucket, gossip.Of)
	return gossip
}

// GossipResponse returns the membership part of the response to a request: the whole bucket that the request names, if the
// two hosts' sums of it differ and it fits into one message, or else pending updates. The request must have been passed to
// Step before.
func (tracker *Tracker) GossipResponse(source string, locality Locality, request Gossip) Gossip {
	response := tracker.updatesFor(source, locality)
	if request.Of == 0 || bits.OnesCount32(request.Of) != 1 || request.Bucket >= request.Of {
		return response
	}
	if tracker.bucketSum(request.Bucket, request.Of) == request.Sum {
		return response
	}
	repair := tracker.bucketContent(request.Bucket, request.Of)
	if len(repair.Records)+len(repair.Marks) <= maxRepairItems {
		return repair
	}
	return response
}

// Snapshot returns all records and marks, for a joining host.
func (tracker *Tracker) Snapshot() Gossip { return tracker.bucketContent(0, 1) }

func (tracker *Tracker) updatesFor(target string, locality Locality) Gossip {
	var gossip Gossip
	// A suspected or gone host must receive its own record to refute it.
	if row := tracker.table.get(target); row != nil && row.record.Health != Healthy {
		gossip.Records = append(gossip.Records, row.record)
	}
	for _, key := range tracker.updates.pick(locality, maxUpdates, len(tracker.table.rows)) {
		name, isHost := strings.CutPrefix(key, hostPrefix)
		if row := tracker.table.get(name); isHost && row != nil && (name != target || row.record.Health == Healthy) {
			gossip.Records = append(gossip.Records, row.record)
		}
		if mark, found := tracker.marks[strings.TrimPrefix(key, searcherPrefix)]; found && !isHost {
			gossip.Marks = append(gossip.Marks, mark)
		}
	}
	return gossip
}

// buckets returns the number of buckets, a power of two so that hosts whose tables differ slightly use the same number.
func (tracker *Tracker) buckets() uint32 {
	return 1 << bits.Len(uint(len(tracker.table.rows)/hostsPerBucket))
}

func (tracker *Tracker) bucketSum(bucket, of uint32) uint64 {
	var sum uint64
	for _, row := range tracker.table.rows {
		if uint32(row.bucket)%of == bucket {
			sum += row.sum
		}
	}
	for name, mark := range tracker.marks {
		if uint32(xxhash.Sum64String(name))%of == bucket {
			sum += mark.sum()
		}
	}
	return sum
}

func (tracker *Tracker) bucketContent(bucket, of uint32) Gossip {
	content := Gossip{Bucket: bucket, Of: of, Repair: true}
	for _, row := range tracker.table.rows {
		if uint32(row.bucket)%of == bucket {
			content.Records = append(content.Records, row.record)
		}
	}
	for _, name := range tracker.markNames() {
		if uint32(xxhash.Sum64String(name))%of == bucket {
			content.Marks = append(content.Marks, tracker.marks[name])
		}
	}
	return content
}

// mergeGossip merges the gossip of another host and reports whether it changed anything.
func (tracker *Tracker) mergeGossip(now carobthread.Instant, locality Locality, gossip Gossip) bool {
	changed := false
	for _, record := range gossip.Records {
		changed = tracker.mergeRecord(now, locality, record) || changed
	}
	for _, mark := range gossip.Marks {
		changed = tracker.mergeMark(now, locality, mark) || changed
	}
	if gossip.Repair {
		tracker.queueMissing(now, gossip)
	}
	return changed
}

// queueMissing queues updates for the records and marks that a repair lacks.
func (tracker *Tracker) queueMissing(now carobthread.Instant, gossip Gossip) {
	if gossip.Of == 0 || gossip.Bucket >= gossip.Of {
		return
	}
	senderHas := map[string]bool{}
	for _, record := range gossip.Records {
		senderHas[hostPrefix+record.Name] = true
	}
	for _, mark := range gossip.Marks {
		senderHas[searcherPrefix+mark.Searcher] = true
	}
	own := tracker.bucketContent(gossip.Bucket, gossip.Of)
	for _, record := range own.Records {
		if !senderHas[hostPrefix+record.Name] {
			tracker.updates.add(hostPrefix+record.Name, now)
		}
	}
	for _, mark := range own.Marks {
		if !senderHas[searcherPrefix+mark.Searcher] {
			tracker.updates.add(searcherPrefix+mark.Searcher, now)
		}
	}
}
