package relayer

import (
	"slices"

	"carobthread"
	"carobthread/parser"
)

// The top value of the index names the content of each bucket by a hash that a
// host can compute from its state. A reader first reads the objects of the top
// value's recent lines, and then only the buckets that still differ from its
// state, and their objects. The values of the platform may come from different
// moments. Invariants:
//   - What is read only offers objects, and the state refuses lower numbers.
//   - The state counts as current only when it covers every bucket that the
//     highest top value so far names.
//   - A key without a value, and a bucket or object that is older than the
//     value that named it, is read again after a backoff.

// topRead takes a new top value and reports whether it can be followed.
func (relayer *Relayer) topRead(content []byte) bool {
	top, findings := parser.DecodeTop(parser.IndexKey, content)
	relayer.reader.malformed = len(findings) > 0
	if relayer.reader.malformed {
		relayer.act(Action{Finding: &Finding{Source: parser.IndexKey, Cause: findings}})
		return false
	}
	relayer.state.top = top
	relayer.reader.asked = map[int]uint32{}
	relayer.reader.retries = 0
	relayer.noteCovered()
	return true
}

// noteCovered notes whether the state is as new as the platform.
func (relayer *Relayer) noteCovered() {
	reader := &relayer.reader
	if reader.malformed || relayer.state.top.Revision == 0 {
		return
	}
	relayer.state.recheck()
	// A top value that has gone back says nothing about what is current.
	covered := len(relayer.state.differing()) == 0 && relayer.state.top.Revision >= reader.highestRevision
	reader.highestRevision = max(reader.highestRevision, relayer.state.top.Revision)
	if covered {
		relayer.confirm(SourcePlatform, relayer.now)
	}
}

// followTop reads the objects of the recent lines, or the differing buckets when there is none to read.
func (relayer *Relayer) followTop() {
	relayer.want(objectKeys(relayer.newest()))
	if relayer.idle() {
		relayer.wantBuckets()
	}
}

// newest returns the objects of the top value's recent lines that the state lacks.
func (relayer *Relayer) newest() []carobthread.ObjectID {
	return relayer.state.Wanted(parser.Index{Numbers: relayer.state.top.Recent})
}

// wantBuckets reads the differing buckets, each once for a hash that a top value names.
func (relayer *Relayer) wantBuckets() {
	var keys []string
	for _, bucket := range relayer.state.differing() {
		named := relayer.state.top.Buckets[bucket]
		if asked, found := relayer.reader.asked[bucket]; !found || asked != named {
			relayer.reader.asked[bucket] = named
			keys = append(keys, parser.BucketKey(bucket))
		}
	}
	relayer.want(keys)
}

func objectKeys(ids []carobthread.ObjectID) []string {
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = parser.ObjectKey(id)
	}
	return keys
}

// queuedRead takes an object or the lines of a bucket.
func (relayer *Relayer) queuedRead(key string, content []byte) {
	relayer.reader.answered = true
	if bucket, found := parser.BucketOfKey(key); found {
		relayer.bucketRead(bucket, content)
	} else {
		relayer.reader.got = append(relayer.reader.got, content)
	}
	relayer.readDone()
}

func (relayer *Relayer) bucketRead(bucket int, content []byte) {
	key := parser.BucketKey(bucket)
	lines, findings := parser.DecodeIndex(key, content)
	if len(findings) > 0 {
		relayer.act(Action{Finding: &Finding{Source: key, Cause: findings}})
		relayer.lose(key)
		return
	}
	wanted := relayer.state.Wanted(lines)
	if !relayer.startAllows(len(wanted)) {
		return
	}
	if !relayer.state.bucketRead(bucket, lines) {
		relayer.lose(key)
	}
	relayer.queue(objectKeys(wanted))
}

// want reads keys from the platform, a bounded number at a time.
func (relayer *Relayer) want(keys []string) {
	relayer.queue(keys)
	relayer.readNext()
}

func (relayer *Relayer) queue(keys []string) {
	reader := &relayer.reader
	if reader.pending == nil {
		reader.pending = map[string]bool{}
	}
	for _, key := range keys {
		if !reader.pending[key] {
			reader.pending[key] = true
			reader.wanted = append(reader.wanted, key)
		}
	}
}

// idle reports whether nothing is being read for the index.
func (relayer *Relayer) idle() bool {
	return relayer.reader.reading == 0 && len(relayer.reader.wanted) == 0
}

func (relayer *Relayer) readNext() {
	for relayer.reader.reading < maxParallelReads && len(relayer.reader.wanted) > 0 {
		key := relayer.reader.wanted[0]
		relayer.reader.wanted = relayer.reader.wanted[1:]
		relayer.reader.reading++
		id := relayer.platformCall(platformCall{key: key, queued: true})
		relayer.act(Action{Read: &ReadPlatform{Call: id, Key: key, Deadline: relayer.now.Add(readTimeout)}})
	}
}

// lose notes a key that is to be read again.
func (relayer *Relayer) lose(key string) {
	reader := &relayer.reader
	delete(reader.pending, key)
	if len(reader.lost) == 0 {
		reader.retryAt = relayer.now.Add(relayer.backoff(reader.retries))
		reader.retries++
	}
	if !slices.Contains(reader.lost, key) {
		reader.lost = append(reader.lost, key)
	}
}

// retryLost reads the lost keys again once the backoff has passed, but for buckets that are covered meanwhile.
func (relayer *Relayer) retryLost() {
	if len(relayer.reader.lost) == 0 || relayer.now < relayer.reader.retryAt {
		return
	}
	lost := relayer.reader.lost
	relayer.reader.lost = nil
	differing := relayer.state.differing()
	relayer.want(slices.DeleteFunc(lost, func(key string) bool {
		bucket, found := parser.BucketOfKey(key)
		return found && !slices.Contains(differing, bucket)
	}))
}

// readDone offers what was read once all reads have ended, so that a ticket is complete when it is offered.
func (relayer *Relayer) readDone() {
	relayer.reader.reading--
	relayer.readNext()
	if relayer.reader.reading > 0 {
		return
	}
	got, answered := relayer.reader.got, relayer.reader.answered
	relayer.reader.got, relayer.reader.answered, relayer.reader.pending = nil, false, nil
	activated := relayer.offer(SourcePlatform, got)
	if len(activated) > 0 {
		relayer.reader.retries = 0
	}
	for _, key := range objectKeys(relayer.state.recheck()) {
		relayer.lose(key) // the object's value is older than its line
	}
	if answered { // without an answer the platform has confirmed nothing
		relayer.noteCovered()
	}
	relayer.wantBuckets()
	if relayer.start.ready && len(activated) > 0 {
		relayer.pushRead(activated)
	}
}
