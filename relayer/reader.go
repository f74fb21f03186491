package relayer

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/parser"
	"carobthread/tracker"
)

// A reader keeps one watch on the index and one on the list of hosts, and reads
// the objects that the index names with higher numbers. Whether a host is a
// reader follows from its view alone, so a host that loses the role only lets
// its watches end.

const (
	watchTimeout     = 30 * time.Second
	readTimeout      = time.Second // a starting host waits as long for a platform that is down
	platformBackoff  = 500 * time.Millisecond
	platformMost     = 4 * time.Second
	maxParallelReads = 16
	// listedPerSecond bounds the cost of a list that changes with each restart: 6,900 hosts are read once in 23 s.
	// The list lags in any case, and hosts that leave or restart tell so themselves.
	listedPerSecond = 300
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
	// wanted are objects to read; reading counts open reads, and got what they gave.
	wanted  []carobthread.ObjectID
	reading int
	got     [][]byte
	lost    []carobthread.ObjectID
	retryAt carobthread.Instant
	calls   map[CallID]platformCall
	// covered says that the state was as new as the last index, whose revision had not gone back.
	covered         bool
	highestRevision uint64
}

// platformCall is an open read or watch.
type platformCall struct {
	key    string
	watch  *watch
	object carobthread.ObjectID
}

// reset makes the watches read again, since their state is old after a pause.
func (reader *reader) reset() {
	reader.index.revision = 0
	reader.hosts.revision = 0
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
	if len(relayer.reader.lost) > 0 && relayer.now >= relayer.reader.retryAt {
		lost := relayer.reader.lost
		relayer.reader.lost = nil
		relayer.want(lost)
	}
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
	if open.object != "" {
		relayer.reader.got = append(relayer.reader.got, reply.Value.Content)
		relayer.readDone()
		return
	}
	if watch := open.watch; watch != nil {
		watch.open, watch.failures = false, 0
		if reply.Value.Revision == watch.revision {
			if watch == &relayer.reader.index && relayer.reader.covered {
				relayer.confirm(SourcePlatform, relayer.now)
			}
			return
		}
		watch.revision = reply.Value.Revision
	}
	switch open.key {
	case parser.HostsKey:
		relayer.listed(reply.Value.Content)
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
	case open.object != "":
		relayer.reader.lost = append(relayer.reader.lost, open.object)
		relayer.reader.retryAt = relayer.now.Add(relayer.jittered(platformBackoff))
		relayer.readDone()
	case open.watch != nil:
		open.watch.open = false
		span := min(platformBackoff<<min(open.watch.failures, 8), platformMost)
		open.watch.failures++
		open.watch.notUntil = relayer.now.Add(relayer.jittered(span))
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

func (relayer *Relayer) listed(content []byte) {
	relayer.start.hostsKnown = true
	hosts, err := relayer.options.DecodeHosts(content)
	if err != nil {
		relayer.act(Action{Finding: &Finding{Source: parser.HostsKey, Cause: err}})
		return
	}
	span := time.Duration(len(hosts)) * time.Second / listedPerSecond
	relayer.reader.hosts.notUntil = relayer.now.Add(span)
	relayer.track(tracker.Event{List: &tracker.HostsListed{Hosts: hosts}})
}

func (relayer *Relayer) indexRead(starting bool, content []byte) {
	if starting {
		relayer.start.index = content
		relayer.start.indexState = answered
		return
	}
	relayer.want(relayer.missing(content))
}

// missing returns the objects to read for an index, and notes whether the state is current.
func (relayer *Relayer) missing(index []byte) []carobthread.ObjectID {
	found, err := relayer.state.compareIndex(index)
	relayer.noteIndex(found, err)
	return found.wanted
}

func (relayer *Relayer) noteIndex(found indexed, err error) {
	if err != nil {
		relayer.act(Action{Finding: &Finding{Source: parser.IndexKey, Cause: err}})
		return
	}
	// An index that has gone back says nothing about what is current.
	relayer.reader.covered = found.covered && found.revision >= relayer.reader.highestRevision
	relayer.reader.highestRevision = max(relayer.reader.highestRevision, found.revision)
	if relayer.reader.covered {
		relayer.confirm(SourcePlatform, relayer.now)
	}
}

// want reads objects from the platform, a bounded number at a time.
func (relayer *Relayer) want(ids []carobthread.ObjectID) {
	for _, id := range ids {
		if !slices.Contains(relayer.reader.wanted, id) {
			relayer.reader.wanted = append(relayer.reader.wanted, id)
		}
	}
	relayer.readNext()
}

func (relayer *Relayer) readNext() {
	for relayer.reader.reading < maxParallelReads && len(relayer.reader.wanted) > 0 {
		object := relayer.reader.wanted[0]
		relayer.reader.wanted = relayer.reader.wanted[1:]
		relayer.reader.reading++
		key := parser.ObjectKey(object)
		id := relayer.platformCall(platformCall{key: key, object: object})
		relayer.act(Action{Read: &ReadPlatform{Call: id, Key: key, Deadline: relayer.now.Add(readTimeout)}})
	}
}

// readDone offers what was read once all reads have ended, so that a ticket is complete when it is offered.
func (relayer *Relayer) readDone() {
	relayer.reader.reading--
	relayer.readNext()
	if relayer.reader.reading > 0 {
		return
	}
	got := relayer.reader.got
	relayer.reader.got = nil
	activated := relayer.offer(SourcePlatform, got)
	if len(activated) > 0 {
		relayer.noteIndex(relayer.state.recheck())
	}
	if relayer.start.ready && len(activated) > 0 {
		relayer.pushRead(activated)
	}
}
