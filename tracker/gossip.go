package tracker

import (
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

// Bounds of one message, so that a host's traffic does not grow with the fleet or with a burst of changes.
const (
	maxRumours     = 8
	maxRepairs     = 24 // about twice the mean size of a bucket
	hostsPerBucket = 12
)

const (
	hostPrefix     = "host/"
	searcherPrefix = "searcher/"
)

// Gossip is the membership part of an exchange.
type Gossip struct {
	Records []Record `json:"records,omitempty"`
	Marks   []Mark   `json:"marks,omitempty"`
	// Bucket names one part of the table by index and number of parts; Sum is the hash of its content.
	Bucket uint32 `json:"bucket"`
	Of     uint32 `json:"of"`
	Sum    uint64 `json:"sum"`
	// Repair says that the records and marks hold all of the bucket, whose sums differed.
	Repair bool `json:"repair,omitempty"`
}

// Gossip returns the membership part of a request to a host: rumours and the sum of the next bucket.
func (tracker *Tracker) Gossip(target string, audience Audience) Gossip {
	gossip := tracker.rumoursFor(target, audience)
	gossip.Of = tracker.buckets()
	gossip.Bucket = tracker.nextBucket % gossip.Of
	tracker.nextBucket++
	gossip.Sum = tracker.bucketSum(gossip.Bucket, gossip.Of)
	return gossip
}

// Answer returns the membership part of the response to a request with the given part, which has been received before.
func (tracker *Tracker) Answer(source string, audience Audience, asked Gossip) Gossip {
	answer := tracker.rumoursFor(source, audience)
	if asked.Of == 0 || bits.OnesCount32(asked.Of) != 1 || asked.Bucket >= asked.Of {
		return answer
	}
	if tracker.bucketSum(asked.Bucket, asked.Of) == asked.Sum {
		return answer
	}
	repair := tracker.bucketContent(asked.Bucket, asked.Of)
	if len(repair.Records)+len(repair.Marks) <= maxRepairs {
		return repair
	}
	return answer
}

// Snapshot returns every record and mark, for a host that starts.
func (tracker *Tracker) Snapshot() Gossip { return tracker.bucketContent(0, 1) }

func (tracker *Tracker) rumoursFor(target string, audience Audience) Gossip {
	var gossip Gossip
	// A host that is taken for silent has to hear of it to refute it.
	if row := tracker.table.get(target); row != nil && row.record.Health != Healthy {
		gossip.Records = append(gossip.Records, row.record)
	}
	for _, key := range tracker.rumours.pick(audience, maxRumours, len(tracker.table.rows)) {
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

// buckets returns a power of two, so that hosts whose tables differ slightly use the same number.
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

// receive joins what another host told and reports whether anything was new.
func (tracker *Tracker) receive(now carobthread.Instant, audience Audience, gossip Gossip) bool {
	changed := false
	for _, record := range gossip.Records {
		changed = tracker.learn(now, audience, record) || changed
	}
	for _, mark := range gossip.Marks {
		changed = tracker.learnMark(now, audience, mark) || changed
	}
	if gossip.Repair {
		tracker.spreadMissing(now, gossip)
	}
	return changed
}

// spreadMissing starts rumours of what the sender of a repair lacks.
func (tracker *Tracker) spreadMissing(now carobthread.Instant, gossip Gossip) {
	if gossip.Of == 0 || gossip.Bucket >= gossip.Of {
		return
	}
	told := map[string]bool{}
	for _, record := range gossip.Records {
		told[hostPrefix+record.Name] = true
	}
	for _, mark := range gossip.Marks {
		told[searcherPrefix+mark.Searcher] = true
	}
	own := tracker.bucketContent(gossip.Bucket, gossip.Of)
	for _, record := range own.Records {
		if !told[hostPrefix+record.Name] {
			tracker.rumours.add(hostPrefix+record.Name, now)
		}
	}
	for _, mark := range own.Marks {
		if !told[searcherPrefix+mark.Searcher] {
			tracker.rumours.add(searcherPrefix+mark.Searcher, now)
		}
	}
}
