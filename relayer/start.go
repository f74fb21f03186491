package relayer

import (
	"time"

	"carobthread"
	"carobthread/applier"
	"carobthread/parser"
	"carobthread/tracker"
)

// A starting host reads the platform's index and list of hosts, joins the
// membership through a peer, and fetches the configuration from a ready one.
// It takes the higher number of each object, and is ready when it has what
// both know, or what one knows if the other does not answer.

const (
	startRetry = 500 * time.Millisecond
	// peerPatience is how long a host that is no reader waits for a ready peer before it reads all objects itself.
	peerPatience = 3 * time.Second
	// maxStartReads bounds the platform calls of one start; readers and exchanges bring the rest.
	maxStartReads = 64
	maxFetchSize  = 256 << 10
)

type indexState int

const (
	unasked indexState = iota
	asked
	answered
	unanswered
)

type start struct {
	ready      bool
	begun      bool
	beganAt    carobthread.Instant
	nextTry    carobthread.Instant
	turn       int
	index      []byte
	indexState indexState
	indexRetry carobthread.Instant
	peerTried  bool // a peer has failed to answer, or there is none
	peerAlive  bool // a peer has answered, though it may not be ready
	hostsKnown bool // the platform's list has been read, or it cannot be
	fetching   bool
	fetched    bool
	reads      int  // platform calls that complete a fetched state
	completed  bool // the objects that the index names beyond the fetched state are being read
}

func (start *start) indexFailed(now carobthread.Instant) {
	start.indexState = unanswered
	start.indexRetry = now.Add(startRetry)
}

func (relayer *Relayer) advanceStart() {
	start := &relayer.start
	if start.ready {
		return
	}
	if !start.begun {
		start.begun = true
		start.beganAt = relayer.now
		relayer.readKey(parser.HostsKey)
	}
	retry := start.indexState == unanswered && relayer.now >= start.indexRetry
	if start.indexState == unasked || retry && !start.fetched {
		start.indexState = asked
		relayer.readKey(parser.IndexKey)
	}
	if !start.fetched && !start.fetching && relayer.now >= start.nextTry {
		start.nextTry = relayer.now.Add(relayer.jittered(startRetry))
		relayer.join()
	}
	relayer.completeStart()
}

func (relayer *Relayer) readKey(key string) {
	id := relayer.platformCall(platformCall{key: key})
	relayer.act(Action{Read: &ReadPlatform{Call: id, Key: key, Deadline: relayer.now.Add(readTimeout)}})
}

// completeStart reads what the index names beyond the peers' state, and ends the start.
func (relayer *Relayer) completeStart() {
	start := &relayer.start
	if start.indexState == answered && !start.completed && (start.fetched || relayer.mayReadAll()) {
		start.completed = true
		if relayer.topRead(start.index) && relayer.startAllows(len(relayer.newest())+len(relayer.state.differing())) {
			relayer.followTop()
		}
		start.index = nil
	}
	idle := relayer.idle()
	bothKnown := start.completed && idle
	onlyPeer := start.fetched && start.indexState == unanswered
	start.ready = relayer.state.Len() > 0 && (bothKnown || onlyPeer)
}

// startAllows counts the reads that complete a fetched state, and reports whether they are within the bound of a start.
func (relayer *Relayer) startAllows(reads int) bool {
	start := &relayer.start
	if start.ready || !start.fetched || relayer.rank() >= 0 {
		return true
	}
	start.reads += reads
	return start.reads <= maxStartReads
}

// mayReadAll reports whether the own host reads the whole state from the platform: as a reader, or without any peer.
func (relayer *Relayer) mayReadAll() bool {
	waited := relayer.now.Sub(relayer.start.beganAt) >= peerPatience
	if !relayer.start.hostsKnown {
		return false // with its own host alone in the view, every host would be a reader
	}
	if relayer.rank() >= 0 {
		// A reader asks its peers first too, since their state may be newer and costs the platform nothing.
		return relayer.start.peerTried || relayer.start.peerAlive || waited
	}
	return waited && !relayer.start.peerAlive
}

// join asks a reader and a random host in turn, since only readers are ready when all hosts start at once.
func (relayer *Relayer) join() {
	start := &relayer.start
	start.turn++
	peer := relayer.tracked.NextPeer()
	if readers := relayer.roles.Readers(relayer.options.Self.DataCentre); start.turn%2 == 0 && len(readers) > 0 {
		peer = readers[relayer.random.IntN(len(readers))]
	}
	if peer == "" || peer == relayer.options.Self.Name {
		peer = relayer.anyFar()
	}
	if contacts := relayer.options.Contacts; peer == "" && len(contacts) > 0 {
		peer = contacts[relayer.random.IntN(len(contacts))]
	}
	if peer == "" {
		start.peerTried = true
		return
	}
	start.fetching = true
	request := Join{Gossip: relayer.tracked.Gossip(peer, relayer.audience(peer))}
	call(relayer, peer, MethodJoin, request, exchangeTimeout, func(answer *Joined) {
		start.fetching = false
		if answer == nil {
			start.peerTried = true
			return
		}
		start.peerAlive = true
		relayer.received(peer, answer.Gossip)
		if answer.Ready {
			relayer.fetch(peer, 0)
		}
	})
}

func (relayer *Relayer) anyFar() string {
	centres := relayer.tracked.Centres()
	centre := centres[relayer.random.IntN(len(centres))]
	if centre == relayer.options.Self.DataCentre {
		return ""
	}
	return relayer.tracked.Contact(centre)
}

func (relayer *Relayer) serveJoin(from string, request Join) Joined {
	relayer.received(from, request.Gossip)
	snapshot := relayer.tracked.Snapshot()
	// A snapshot that the joining host compared would start rumours of every host that it lacks.
	return Joined{Gossip: tracker.Gossip{Records: snapshot.Records, Marks: snapshot.Marks}, Ready: relayer.start.ready}
}

func (relayer *Relayer) fetch(peer string, cursor int) {
	start := &relayer.start
	start.fetching = true
	call(relayer, peer, MethodFetch, Fetch{Cursor: cursor}, fetchTimeout, func(answer *Fetched) {
		start.fetching = false
		if answer == nil {
			return
		}
		relayer.offerPacked(peer, answer.Objects)
		if answer.Next > cursor {
			relayer.fetch(peer, answer.Next)
			return
		}
		start.fetched = true
		relayer.completeStart()
	})
}

func (relayer *Relayer) serveFetch(_ string, request Fetch) Fetched {
	var answer Fetched
	if len(request.IDs) > 0 {
		entries := make([]Entry, len(request.IDs))
		for i, id := range request.IDs {
			entries[i] = Entry{ID: id}
		}
		answer.Objects = Pack(relayer.encoded(entries, maxFetchSize))
		return answer
	}
	var objects [][]byte
	size := 0
	for bucket := max(0, request.Cursor); bucket < applier.Buckets; bucket++ {
		for _, entry := range relayer.state.Entries([]int{bucket}) {
			content := relayer.state.Objects([]carobthread.ObjectID{entry.ID})
			objects = append(objects, content...)
			size += len(content[0])
		}
		if size >= maxFetchSize && bucket+1 < applier.Buckets {
			answer.Next = bucket + 1
			break
		}
	}
	answer.Objects = Pack(objects)
	return answer
}
