package relayer

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/parser"
	"carobthread/tracker"
)

// A reader keeps one watch on the top value of the index and one on the host
// list; index.go reads the keys that the top value names. Whether a host is a
// reader depends only on its view, so a host that loses the role just does not
// renew its watches.

const (
	watchTimeout       = 30 * time.Second
	readTimeout        = time.Second // also how long a starting host waits for a platform that is down
	platformBackoff    = 500 * time.Millisecond
	platformBackoffMax = 4 * time.Second
	maxParallelReads   = 16
	// listReadRate limits the rate at which the host list is read. At 6,900 hosts
	// the list has 0.5 MB and changes 0.3 times a second. A host may read 3 KB/s,
	// of which exchanges and tickets take about 2.6 KB/s. The list may be half an
	// hour old, since exchanges tell hosts of each other's starts and ends.
	listReadRate = 256 // bytes per second
	// maxUndelayedList is the size of the list, that of about 100 hosts, up to which each change is read at once.
	maxUndelayedList = 8 << 10
)

// watch is the state of the watch on one key. A new one starts at notBefore or later.
type watch struct {
	pending   bool
	revision  uint64
	failures  int
	notBefore carobthread.Instant
}

// reader is the state of the platform reads and watches.
type reader struct {
	index, hosts watch
	// queuedKeys are the keys still to read, readsInProgress counts the reads that have started and not ended, and objects
	// are the contents read so far, which are offered together when the last read has ended. requestedKeys are all keys
	// queued since the last offer, so that none is read twice. platformAnswered is set if a read since the last offer
	// succeeded.
	queuedKeys       []string
	requestedKeys    map[string]bool
	readsInProgress  int
	platformAnswered bool
	objects          [][]byte
	// retryKeys are the keys to read again at retryAt, after a backoff that grows with retries.
	retryKeys []string
	retryAt   carobthread.Instant
	retries   int
	// requestedHash holds, for each bucket, the hash named by the top value when the bucket was last requested.
	requestedHash map[int]uint32
	calls         map[CallID]platformCall
	// highestRevision is the highest revision of a top value so far.
	highestRevision uint64
	// topMalformed is set if the last top value could not be decoded.
	topMalformed bool
}

// platformCall is a pending read or watch. queued is set for a read of an object or bucket from queuedKeys.
type platformCall struct {
	key    string
	watch  *watch
	queued bool
}

// reset makes the next watches return the current values, since the known ones are old after a pause.
func (reader *reader) reset() {
	reader.index.revision = 0
	reader.hosts.revision = 0
	reader.hosts.notBefore = 0
}

// rank returns the index of this host among the readers of its data centre, or -1 if it is not a reader.
func (relayer *Relayer) rank() int {
	return slices.Index(relayer.roles.Readers(relayer.options.Self.DataCentre), relayer.options.Self.Name)
}

func (relayer *Relayer) advanceReader() {
	if relayer.start.hostsKnown && relayer.rank() >= 0 {
		relayer.ensureWatch(&relayer.reader.index, parser.IndexKey)
		relayer.ensureWatch(&relayer.reader.hosts, parser.HostsKey)
	}
	relayer.retryReads()
}

// ensureWatch starts a watch unless one is pending or must wait.
func (relayer *Relayer) ensureWatch(watch *watch, key string) {
	if watch.pending || relayer.now < watch.notBefore {
		return
	}
	watch.pending = true
	id := relayer.platformCall(platformCall{key: key, watch: watch})
	relayer.emit(Action{Watch: &WatchPlatform{
		Call: id, Key: key, Revision: watch.revision, Deadline: relayer.now.Add(watchTimeout),
	}})
}

// platformCall registers a read or watch and returns its id.
func (relayer *Relayer) platformCall(call platformCall) CallID {
	if relayer.reader.calls == nil {
		relayer.reader.calls = map[CallID]platformCall{}
	}
	relayer.lastCall++
	relayer.reader.calls[relayer.lastCall] = call
	return relayer.lastCall
}

func (relayer *Relayer) platformReplied(reply PlatformReplied) {
	pending, found := relayer.reader.calls[reply.Call]
	if !found {
		return
	}
	delete(relayer.reader.calls, reply.Call)
	if pending.queued {
		relayer.receiveQueuedRead(pending.key, reply.Value.Content)
		return
	}
	if watch := pending.watch; watch != nil {
		watch.pending, watch.failures = false, 0
		if reply.Value.Revision == watch.revision {
			if watch == &relayer.reader.index {
				relayer.confirmIfCovered()
			}
			return
		}
		watch.revision = reply.Value.Revision
	}
	switch pending.key {
	case parser.HostsKey:
		relayer.receiveHosts(reply.Value)
	case parser.IndexKey:
		relayer.receiveIndex(pending.watch == nil, reply.Value.Content)
	}
	if pending.watch != nil {
		relayer.advanceReader() // renew the watch without waiting for the next tick
	}
}

func (relayer *Relayer) platformFailed(failed PlatformFailed) {
	pending, found := relayer.reader.calls[failed.Call]
	if !found {
		return
	}
	delete(relayer.reader.calls, failed.Call)
	switch {
	case pending.queued:
		relayer.scheduleRetry(pending.key)
		relayer.finishRead()
	case pending.watch != nil:
		pending.watch.pending = false
		pending.watch.notBefore = relayer.now.Add(relayer.backoff(pending.watch.failures))
		pending.watch.failures++
	case pending.key == parser.IndexKey:
		relayer.start.scheduleIndexRetry(relayer.now)
	case pending.key == parser.HostsKey:
		relayer.start.hostsKnown = true
	}
}

// jittered returns a random duration from half of the given one to all of it.
func (relayer *Relayer) jittered(span time.Duration) time.Duration {
	return span/2 + time.Duration(relayer.random.Int64N(int64(span/2)+1))
}

// backoff returns the jittered delay before a failed call is retried, after the given number of earlier failures.
func (relayer *Relayer) backoff(failures int) time.Duration {
	return relayer.jittered(min(platformBackoff<<min(failures, 8), platformBackoffMax))
}

// HostListReadDelay returns how long a reader waits before it watches the host list again after reading a list of that size.
func HostListReadDelay(bytes int) time.Duration {
	if bytes <= maxUndelayedList {
		return 0
	}
	return time.Duration(bytes) * time.Second / listReadRate
}

func (relayer *Relayer) receiveHosts(value carobthread.Value) {
	relayer.start.hostsKnown = true
	relayer.reader.hosts.revision = value.Revision
	relayer.reader.hosts.notBefore = relayer.now.Add(HostListReadDelay(len(value.Content)))
	hosts, err := relayer.options.DecodeHosts(value.Content)
	if err != nil {
		relayer.emit(Action{Finding: &Finding{Source: parser.HostsKey, Cause: err}})
		return
	}
	relayer.stepTracker(tracker.Event{List: &tracker.HostsListed{Hosts: hosts}})
}

func (relayer *Relayer) receiveIndex(starting bool, content []byte) {
	if starting {
		relayer.start.topValue = content
		relayer.start.indexState = indexReceived
		return
	}
	if relayer.receiveTop(content) {
		relayer.followTop()
	}
}
