package relayer

import (
	"time"

	"carobthread"
	"carobthread/applier"
	"carobthread/parser"
	"carobthread/tracker"
)

// A starting host reads the platform's index and host list, joins the membership
// through a peer, and fetches the configuration from a peer that is ready. Of
// each object it keeps the higher ticket number. It is ready when it has merged
// the platform's and the peer's state, or has one if the other is unavailable.

const (
	startRetryPeriod = 500 * time.Millisecond
	// peerWait is how long a host waits for a peer before it may read the whole state from the platform.
	peerWait = 3 * time.Second
	// maxStartReads limits the platform reads of a starting host that is not a reader; pushes and exchanges deliver the
	// rest.
	maxStartReads = 64
	maxFetchSize  = 256 << 10
)

// indexState is the progress of reading the index at the start.
type indexState int

const (
	indexNotRequested indexState = iota
	indexRequested
	indexReceived
	indexUnavailable
)

// start is the state of the start procedure.
type start struct {
	ready         bool
	started       bool
	startedAt     carobthread.Instant
	nextJoin      carobthread.Instant
	joinAttempts  int
	topValue      []byte
	indexState    indexState
	indexRetryAt  carobthread.Instant
	peerFailed    bool // a peer has not answered, or none is known
	peerAnswered  bool // a peer has answered, ready or not
	hostsKnown    bool // the platform's host list has been read, or the read failed
	fetching      bool // a join or a fetch is in progress
	fetched       bool
	reads         int  // platform reads that complete a fetched state
	indexFollowed bool // the reads of objects that the fetched state lacks have started
}

func (start *start) scheduleIndexRetry(now carobthread.Instant) {
	start.indexState = indexUnavailable
	start.indexRetryAt = now.Add(startRetryPeriod)
}

func (relayer *Relayer) advanceStart() {
	start := &relayer.start
	if start.ready {
		return
	}
	if !start.started {
		start.started = true
		start.startedAt = relayer.now
		relayer.readKey(parser.HostsKey)
	}
	retry := start.indexState == indexUnavailable && relayer.now >= start.indexRetryAt
	if start.indexState == indexNotRequested || retry && !start.fetched {
		start.indexState = indexRequested
		relayer.readKey(parser.IndexKey)
	}
	if !start.fetched && !start.fetching && relayer.now >= start.nextJoin {
		start.nextJoin = relayer.now.Add(relayer.jittered(startRetryPeriod))
		relayer.join()
	}
	relayer.completeStart()
}

func (relayer *Relayer) readKey(key string) {
	id := relayer.platformCall(platformCall{key: key})
	relayer.emit(Action{Read: &ReadPlatform{Call: id, Key: key, Deadline: relayer.now.Add(readTimeout)}})
}

// completeStart reads the objects of the index that the peer's state lacks, and sets ready when the state is complete.
func (relayer *Relayer) completeStart() {
	start := &relayer.start
	if start.indexState == indexReceived && !start.indexFollowed && (start.fetched || relayer.shouldReadAll()) {
		start.indexFollowed = true
		if relayer.receiveTop(start.topValue) && relayer.withinStartLimit(len(relayer.missingRecent())+len(relayer.state.differing())) {
			relayer.followTop()
		}
		start.topValue = nil
	}
	idle := relayer.idle()
	indexAndPeersRead := start.indexFollowed && idle
	peerOnly := start.fetched && start.indexState == indexUnavailable
	start.ready = relayer.state.Len() > 0 && (indexAndPeersRead || peerOnly)
}

// withinStartLimit counts platform reads towards maxStartReads and reports whether the total is within it. Only a
// starting host that has fetched a peer's state and is not a reader is limited.
func (relayer *Relayer) withinStartLimit(reads int) bool {
	start := &relayer.start
	if start.ready || !start.fetched || relayer.rank() >= 0 {
		return true
	}
	start.reads += reads
	return start.reads <= maxStartReads
}

// shouldReadAll reports whether this host reads the whole state from the platform: as a reader, or if no peer answers.
func (relayer *Relayer) shouldReadAll() bool {
	waited := relayer.now.Sub(relayer.start.startedAt) >= peerWait
	if !relayer.start.hostsKnown {
		return false // while a host's view holds only itself, it counts as a reader
	}
	if relayer.rank() >= 0 {
		// A reader asks a peer first too, since the peer's state may be newer and costs no platform reads.
		return relayer.start.peerFailed || relayer.start.peerAnswered || waited
	}
	return waited && !relayer.start.peerAnswered
}

// join sends a join request to a neighbour and to a random reader in turn, since only readers are ready when all hosts
// start at once.
func (relayer *Relayer) join() {
	start := &relayer.start
	start.joinAttempts++
	peer := relayer.membership.NextPeer()
	if readers := relayer.roles.Readers(relayer.options.Self.DataCentre); start.joinAttempts%2 == 0 && len(readers) > 0 {
		peer = readers[relayer.random.IntN(len(readers))]
	}
	if peer == "" || peer == relayer.options.Self.Name {
		peer = relayer.randomRemoteHost()
	}
	if contacts := relayer.options.Contacts; peer == "" && len(contacts) > 0 {
		peer = contacts[relayer.random.IntN(len(contacts))]
	}
	if peer == "" {
		start.peerFailed = true
		return
	}
	start.fetching = true
	request := JoinRequest{Gossip: relayer.membership.Gossip(peer, relayer.locality(peer))}
	call(relayer, peer, MethodJoin, request, exchangeTimeout, func(response *JoinResponse) {
		start.fetching = false
		if response == nil {
			start.peerFailed = true
			return
		}
		start.peerAnswered = true
		relayer.receiveGossip(peer, response.Gossip)
		if response.Ready {
			relayer.fetch(peer, 0)
		}
	})
}

// randomRemoteHost returns a random host of a random data centre, or "" if that is the local one.
func (relayer *Relayer) randomRemoteHost() string {
	centres := relayer.membership.Centres()
	centre := centres[relayer.random.IntN(len(centres))]
	if centre == relayer.options.Self.DataCentre {
		return ""
	}
	return relayer.membership.RandomHost(centre)
}

func (relayer *Relayer) serveJoin(from string, request JoinRequest) JoinResponse {
	relayer.receiveGossip(from, request.Gossip)
	snapshot := relayer.membership.Snapshot()
	// Bucket, Of and Repair are left out. With them, the joining host would queue updates for all of its own records and
	// marks that the snapshot lacks.
	return JoinResponse{Gossip: tracker.Gossip{Records: snapshot.Records, Marks: snapshot.Marks}, Ready: relayer.start.ready}
}

// fetch fetches the state of a peer from a cursor on, in as many requests as it takes.
func (relayer *Relayer) fetch(peer string, cursor int) {
	start := &relayer.start
	start.fetching = true
	call(relayer, peer, MethodFetch, FetchRequest{Cursor: cursor}, fetchTimeout, func(response *FetchResponse) {
		start.fetching = false
		if response == nil {
			return
		}
		relayer.offerPacked(peer, response.Objects)
		if response.Next > cursor {
			relayer.fetch(peer, response.Next)
			return
		}
		start.fetched = true
		relayer.completeStart()
	})
}

func (relayer *Relayer) serveFetch(_ string, request FetchRequest) FetchResponse {
	var response FetchResponse
	if len(request.IDs) > 0 {
		entries := make([]Entry, len(request.IDs))
		for i, id := range request.IDs {
			entries[i] = Entry{ID: id}
		}
		response.Objects = Pack(relayer.encodedObjects(entries, maxFetchSize))
		return response
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
			response.Next = bucket + 1
			break
		}
	}
	response.Objects = Pack(objects)
	return response
}
