package relayer

import (
	"slices"

	"carobthread"
	"carobthread/parser"
)

// The top value of the index names the content of each bucket by a hash that a
// host can compute from its state. A reader first reads the objects of the top
// value's recent lines, and then only the buckets that still differ from its
// state, and their objects. The platform's values are not a consistent snapshot:
// they may come from different times. Invariants:
//   - Objects that are read are only offered to the state, which refuses lower
//     ticket numbers.
//   - The state counts as current only when it covers every bucket that the
//     highest top value so far names.
//   - A key without a value, and a bucket or object that is older than the value
//     that named it, is read again after a backoff.

// receiveTop stores a new top value and reports whether it could be decoded.
func (relayer *Relayer) receiveTop(content []byte) bool {
	top, findings := parser.DecodeIndexTop(parser.IndexKey, content)
	relayer.reader.topMalformed = len(findings) > 0
	if relayer.reader.topMalformed {
		relayer.emit(Action{Finding: &Finding{Source: parser.IndexKey, Cause: findings}})
		return false
	}
	relayer.state.top = top
	relayer.reader.requestedHash = map[int]uint32{}
	relayer.reader.retries = 0
	relayer.confirmIfCovered()
	return true
}

// confirmIfCovered confirms the state as current if it covers the highest top value so far.
func (relayer *Relayer) confirmIfCovered() {
	reader := &relayer.reader
	if reader.topMalformed || relayer.state.top.Revision == 0 {
		return
	}
	relayer.state.recheckPending()
	// A top value with a lower revision than an earlier one does not show what is current.
	covered := len(relayer.state.differing()) == 0 && relayer.state.top.Revision >= reader.highestRevision
	reader.highestRevision = max(reader.highestRevision, relayer.state.top.Revision)
	if covered {
		relayer.confirm(SourcePlatform, relayer.now)
	}
}

// followTop reads the missing objects of the recent lines or, if nothing is being read, the differing buckets.
func (relayer *Relayer) followTop() {
	relayer.readKeys(objectKeys(relayer.missingRecent()))
	if relayer.idle() {
		relayer.readDifferingBuckets()
	}
}

// missingRecent returns the objects of the top value's recent lines that the state lacks.
func (relayer *Relayer) missingRecent() []carobthread.ObjectID {
	return relayer.state.MissingObjects(parser.Index{TicketNumbers: relayer.state.top.Recent})
}

// readDifferingBuckets reads the differing buckets, each once for a hash that a top value names.
func (relayer *Relayer) readDifferingBuckets() {
	var keys []string
	for _, bucket := range relayer.state.differing() {
		expected := relayer.state.top.Buckets[bucket]
		if requestedHash, found := relayer.reader.requestedHash[bucket]; !found || requestedHash != expected {
			relayer.reader.requestedHash[bucket] = expected
			keys = append(keys, parser.BucketKey(bucket))
		}
	}
	relayer.readKeys(keys)
}

func objectKeys(ids []carobthread.ObjectID) []string {
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = parser.ObjectKey(id)
	}
	return keys
}

// receiveQueuedRead handles the content of an object or bucket.
func (relayer *Relayer) receiveQueuedRead(key string, content []byte) {
	relayer.reader.platformAnswered = true
	if bucket, found := parser.BucketOfKey(key); found {
		relayer.receiveBucket(bucket, content)
	} else {
		relayer.reader.objects = append(relayer.reader.objects, content)
	}
	relayer.finishRead()
}

// receiveBucket handles the lines of a bucket and queues reads of the objects that the state lacks.
func (relayer *Relayer) receiveBucket(bucket int, content []byte) {
	key := parser.BucketKey(bucket)
	lines, findings := parser.DecodeIndex(key, content)
	if len(findings) > 0 {
		relayer.emit(Action{Finding: &Finding{Source: key, Cause: findings}})
		relayer.scheduleRetry(key)
		return
	}
	missing := relayer.state.MissingObjects(lines)
	if !relayer.withinStartLimit(len(missing)) {
		return
	}
	if !relayer.state.receiveBucket(bucket, lines) {
		relayer.scheduleRetry(key)
	}
	relayer.queueKeys(objectKeys(missing))
}

// readKeys reads keys from the platform, at most maxParallelReads at a time.
func (relayer *Relayer) readKeys(keys []string) {
	relayer.queueKeys(keys)
	relayer.startQueuedReads()
}

// queueKeys queues the keys that have not been requested since the last offer.
func (relayer *Relayer) queueKeys(keys []string) {
	reader := &relayer.reader
	if reader.requestedKeys == nil {
		reader.requestedKeys = map[string]bool{}
	}
	for _, key := range keys {
		if !reader.requestedKeys[key] {
			reader.requestedKeys[key] = true
			reader.queuedKeys = append(reader.queuedKeys, key)
		}
	}
}

// idle reports whether no read of an object or bucket is queued or in progress.
func (relayer *Relayer) idle() bool {
	return relayer.reader.readsInProgress == 0 && len(relayer.reader.queuedKeys) == 0
}

func (relayer *Relayer) startQueuedReads() {
	for relayer.reader.readsInProgress < maxParallelReads && len(relayer.reader.queuedKeys) > 0 {
		key := relayer.reader.queuedKeys[0]
		relayer.reader.queuedKeys = relayer.reader.queuedKeys[1:]
		relayer.reader.readsInProgress++
		id := relayer.platformCall(platformCall{key: key, queued: true})
		relayer.emit(Action{Read: &ReadPlatform{Call: id, Key: key, Deadline: relayer.now.Add(readTimeout)}})
	}
}

// scheduleRetry schedules another read of a key after the backoff.
func (relayer *Relayer) scheduleRetry(key string) {
	reader := &relayer.reader
	delete(reader.requestedKeys, key)
	if len(reader.retryKeys) == 0 {
		reader.retryAt = relayer.now.Add(relayer.backoff(reader.retries))
		reader.retries++
	}
	if !slices.Contains(reader.retryKeys, key) {
		reader.retryKeys = append(reader.retryKeys, key)
	}
}

// retryReads reads the keys to retry once the backoff has passed, except for buckets that are covered by then.
func (relayer *Relayer) retryReads() {
	if len(relayer.reader.retryKeys) == 0 || relayer.now < relayer.reader.retryAt {
		return
	}
	retryKeys := relayer.reader.retryKeys
	relayer.reader.retryKeys = nil
	differing := relayer.state.differing()
	relayer.readKeys(slices.DeleteFunc(retryKeys, func(key string) bool {
		bucket, found := parser.BucketOfKey(key)
		return found && !slices.Contains(differing, bucket)
	}))
}

// finishRead ends a read. When the last one ends, it offers all objects together, so that a ticket is offered complete.
func (relayer *Relayer) finishRead() {
	relayer.reader.readsInProgress--
	relayer.startQueuedReads()
	if relayer.reader.readsInProgress > 0 {
		return
	}
	objects, platformAnswered := relayer.reader.objects, relayer.reader.platformAnswered
	relayer.reader.objects, relayer.reader.platformAnswered, relayer.reader.requestedKeys = nil, false, nil
	activated := relayer.offer(SourcePlatform, objects)
	if len(activated) > 0 {
		relayer.reader.retries = 0
	}
	for _, key := range objectKeys(relayer.state.recheckPending()) {
		relayer.scheduleRetry(key) // the object's value is older than its index line
	}
	if platformAnswered { // if every read failed, the platform has confirmed nothing
		relayer.confirmIfCovered()
	}
	relayer.readDifferingBuckets()
	if relayer.start.ready && len(activated) > 0 {
		relayer.pushPlatformObjects(activated)
	}
}
