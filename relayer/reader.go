package relayer

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/parser"
	"carobthread/tracker"
)

// A reader keeps one watch on the top value of the index and one on the list
// of hosts; index.go reads what the top value names. Whether a host is a reader
// follows from its view alone, so a host that loses the role only lets its
// watches end.

const (
	watchTimeout     = 30 * time.Second
	readTimeout      = time.Second // a starting host waits as long for a platform that is down
	platformBackoff  = 500 * time.Millisecond
	platformMost     = 4 * time.Second
	maxParallelReads = 16
	// listedBytesRate paces the watch of the list of hosts. At 6,900 hosts the
	// list has 0.5 MB and changes 0.3 times a second. A host may read 3 KB/s, of
	// which exchanges and tickets take about 2.6 KB/s. Hosts learn of each
	// other's starts and ends by their own exchanges, so the list may be half an
	// hour old.
	listedBytesRate = 256 // bytes per second
	// unpacedList is the size of a list, that of about 100 hosts, up to which each change is read at once.
	unpacedList = 8 << 10
)

// watch is the state of one watched key.
type watch struct {
	open     bool
	revision uint64
	failures int
	notUntil carobthread.Instant
}

type reader struct {
	index, hosts watch
	// wanted are the keys to read, reading counts open reads, and got is what the objects gave. All are offered
	// together when the last read has ended; pending are the keys since then, so that none is read twice.
	wanted   []string
	pending  map[string]bool
	reading  int
	answered bool
	got      [][]byte
	// lost are the keys to read again at retryAt, after a backoff that grows with retries.
	lost    []string
	retryAt carobthread.Instant
	retries int
	// asked holds the hash of each bucket for which it was read last.
	asked map[int]uint32
	calls map[CallID]platformCall
	// highestRevision is that of the highest top value of the index so far.
	highestRevision uint64
	// malformed says that the last top value could not be read.
	malformed bool
}

// platformCall is an open read or watch; queued says that it is a read of the queue of objects and buckets.
type platformCall struct {
	key    string
	watch  *watch
	queued bool
}

// reset makes the watches read again, since their state is old after a pause.
func (reader *reader) reset() {
	reader.index.revision = 0
	reader.hosts.revision = 0
	reader.hosts.notUntil = 0
}

// rank returns the own place among the readers of the data centre, or -1.
func (relayer *Relayer) rank() int {
	return slices.Index(relayer.roles.Readers(relayer.options.Self.DataCentre), relayer.options.Self.Name)
}

func (relayer *Relayer) advanceReader() {
	if relayer.start.hostsKnown && relayer.rank() >= 0 {
		relayer.keepWatch(&relayer.reader.index, parser.IndexKey)
		relayer.keepWatch(&relayer.reader.hosts, parser.HostsKey)
	}
	relayer.retryLost()
}

func (relayer *Relayer) keepWatch(watch *watch, key string) {
	if watch.open || relayer.now < watch.notUntil {
		return
	}
	watch.open = true
	id := relayer.platformCall(platformCall{key: key, watch: watch})
	relayer.act(Action{Watch: &WatchPlatform{
		Call: id, Key: key, Revision: watch.revision, Deadline: relayer.now.Add(watchTimeout),
	}})
}

func (relayer *Relayer) platformCall(open platformCall) CallID {
	if relayer.reader.calls == nil {
		relayer.reader.calls = map[CallID]platformCall{}
	}
	relayer.lastCall++
	relayer.reader.calls[relayer.lastCall] = open
	return relayer.lastCall
}

func (relayer *Relayer) platformReplied(reply PlatformReplied) {
	open, found := relayer.reader.calls[reply.Call]
	if !found {
		return
	}
	delete(relayer.reader.calls, reply.Call)
	if open.queued {
		relayer.queuedRead(open.key, reply.Value.Content)
		return
	}
	if watch := open.watch; watch != nil {
		watch.open, watch.failures = false, 0
		if reply.Value.Revision == watch.revision {
			if watch == &relayer.reader.index {
				relayer.noteCovered()
			}
			return
		}
		watch.revision = reply.Value.Revision
	}
	switch open.key {
	case parser.HostsKey:
		relayer.listed(reply.Value)
	case parser.IndexKey:
		relayer.indexRead(open.watch == nil, reply.Value.Content)
	}
	if open.watch != nil {
		relayer.advanceReader() // watch again without waiting for the next tick
	}
}

func (relayer *Relayer) platformFailed(failed PlatformFailed) {
	open, found := relayer.reader.calls[failed.Call]
	if !found {
		return
	}
	delete(relayer.reader.calls, failed.Call)
	switch {
	case open.queued:
		relayer.lose(open.key)
		relayer.readDone()
	case open.watch != nil:
		open.watch.open = false
		open.watch.notUntil = relayer.now.Add(relayer.backoff(open.watch.failures))
		open.watch.failures++
	case open.key == parser.IndexKey:
		relayer.start.indexFailed(relayer.now)
	case open.key == parser.HostsKey:
		relayer.start.hostsKnown = true
	}
}

// jittered returns a random span between half of the given one and all of it.
func (relayer *Relayer) jittered(span time.Duration) time.Duration {
	return span/2 + time.Duration(relayer.random.Int64N(int64(span/2)+1))
}

// backoff returns the jittered span before a call that has failed that many times before is made again.
func (relayer *Relayer) backoff(failures int) time.Duration {
	return relayer.jittered(min(platformBackoff<<min(failures, 8), platformMost))
}

// ListPause returns how long a reader does not watch the list of hosts after a value of that size.
func ListPause(bytes int) time.Duration {
	if bytes <= unpacedList {
		return 0
	}
	return time.Duration(bytes) * time.Second / listedBytesRate
}

func (relayer *Relayer) listed(value carobthread.Value) {
	relayer.start.hostsKnown = true
	relayer.reader.hosts.revision = value.Revision
	relayer.reader.hosts.notUntil = relayer.now.Add(ListPause(len(value.Content)))
	hosts, err := relayer.options.DecodeHosts(value.Content)
	if err != nil {
		relayer.act(Action{Finding: &Finding{Source: parser.HostsKey, Cause: err}})
		return
	}
	relayer.track(tracker.Event{List: &tracker.HostsListed{Hosts: hosts}})
}

func (relayer *Relayer) indexRead(starting bool, content []byte) {
	if starting {
		relayer.start.index = content
		relayer.start.indexState = answered
		return
	}
	if relayer.topRead(content) {
		relayer.followTop()
	}
}
