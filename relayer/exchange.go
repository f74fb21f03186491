package relayer

import (
	"time"

	"carobthread"
	"carobthread/applier"
	"carobthread/assigner"
	"carobthread/tracker"
)

const (
	// remoteExchangePeriod gives each data centre one exchange a second with a remote one, since its two readers take
	// turns.
	remoteExchangePeriod = time.Second
	// comparePeriod limits the cost of hosts whose states differ for long, as after a conflict.
	comparePeriod      = 30 * time.Second
	maxRepairSize      = 64 << 10
	maxComparedEntries = 1500 // entries of one response, about 40 KB
)

// advanceExchanges starts the exchanges that are due: one with a local peer and, on a reader, one with a remote peer.
func (relayer *Relayer) advanceExchanges() {
	if relayer.now >= relayer.nextLocalExchange {
		relayer.nextLocalExchange = max(relayer.nextLocalExchange.Add(exchangePeriod), relayer.now.Add(exchangePeriod/2))
		if peer := relayer.membership.NextPeer(); peer != "" {
			relayer.exchange(peer)
		}
	}
	rank := relayer.rank()
	slot := int64(relayer.now) / int64(remoteExchangePeriod)
	if rank < 0 || slot == relayer.lastRemoteSlot || slot%assigner.ReadersPerCentre != int64(rank) {
		return
	}
	relayer.lastRemoteSlot = slot
	if peer := relayer.nextRemotePeer(); peer != "" {
		relayer.exchange(peer)
	}
}

// nextRemotePeer cycles through the other data centres and, from one cycle to the next, through their readers.
func (relayer *Relayer) nextRemotePeer() string {
	var centres []string
	for _, centre := range relayer.membership.Centres() {
		if centre != relayer.options.Self.DataCentre {
			centres = append(centres, centre)
		}
	}
	if len(centres) == 0 {
		return ""
	}
	centre := centres[relayer.remoteTurn%len(centres)]
	round := relayer.remoteTurn / len(centres)
	relayer.remoteTurn++
	readers := relayer.roles.Readers(centre)
	if len(readers) == 0 {
		return relayer.membership.RandomHost(centre)
	}
	return readers[round%len(readers)]
}

func (relayer *Relayer) exchange(peer string) {
	request := relayer.digest()
	request.Gossip = relayer.membership.Gossip(peer, relayer.locality(peer))
	call(relayer, peer, MethodExchange, request, exchangeTimeout, func(answer *Exchange) {
		if answer != nil {
			relayer.receiveExchange(peer, *answer)
		}
	})
}

func (relayer *Relayer) digest() Exchange {
	return Exchange{Highest: relayer.state.highest, Root: relayer.state.Root(), FreshMicros: relayer.confirmedAt.Micros()}
}

func (relayer *Relayer) serveExchange(from string, request Exchange) Exchange {
	relayer.receiveGossip(from, request.Gossip)
	answer := relayer.digest()
	if request.Root == answer.Root {
		relayer.confirm(from, carobthread.FromMicros(request.FreshMicros))
	}
	answer.Gossip = relayer.membership.GossipResponse(from, relayer.locality(from), request.Gossip)
	// A host without any state fetches the whole state instead.
	if request.Highest != 0 && answer.Highest > request.Highest {
		answer.Objects = Pack(relayer.encodedObjects(relayer.recent.above(request.Highest), maxRepairSize))
	}
	return answer
}

func (relayer *Relayer) receiveExchange(peer string, answer Exchange) {
	relayer.receiveGossip(peer, answer.Gossip)
	remote := relayer.locality(peer) == tracker.OtherDataCentre
	activated := relayer.offerPacked(peer, answer.Objects)
	if remote && len(activated) > 0 {
		relayer.pushEntries(activated)
	}
	own := relayer.digest()
	switch {
	case !relayer.start.ready || answer.Highest == 0:
	case own.Root == answer.Root:
		relayer.confirm(peer, carobthread.FromMicros(answer.FreshMicros))
	case own.Highest > answer.Highest:
		objects := relayer.encodedObjects(relayer.recent.above(answer.Highest), maxRepairSize)
		if len(objects) > 0 {
			call(relayer, peer, MethodPush, PushRequest{Objects: Pack(objects)}, pushTimeout, func(*PushResponse) {})
		}
	case relayer.now >= relayer.nextCompare:
		relayer.nextCompare = relayer.now.Add(comparePeriod)
		relayer.compare(peer)
	}
}

// compare compares the buckets of the two states when the highest ticket numbers do not show which objects differ.
func (relayer *Relayer) compare(peer string) {
	call(relayer, peer, MethodCompare, CompareRequest{Digest: relayer.state.Digest()}, fetchTimeout, func(answer *CompareResponse) {
		if answer != nil {
			relayer.receiveComparison(peer, *answer)
		}
	})
}

func (relayer *Relayer) serveCompare(_ string, request CompareRequest) CompareResponse {
	answer := CompareResponse{Buckets: []int{}, Entries: []applier.Entry{}}
	for _, bucket := range relayer.state.DifferingBuckets(request.Digest) {
		entries := relayer.state.Entries([]int{bucket})
		if len(answer.Buckets) > 0 && len(answer.Entries)+len(entries) > maxComparedEntries {
			break
		}
		answer.Buckets = append(answer.Buckets, bucket)
		answer.Entries = append(answer.Entries, entries...)
	}
	return answer
}

// receiveComparison fetches the objects that are newer at the peer and pushes those that are older or missing there.
func (relayer *Relayer) receiveComparison(peer string, answer CompareResponse) {
	difference := relayer.state.Compare(answer.Buckets, answer.Entries)
	if len(difference.Conflicts) > 0 {
		relayer.stepState(applier.Event{Differed: &applier.ContentDiffered{Source: peer, Entries: difference.Conflicts}})
	}
	if len(difference.Newer) > 0 {
		newer := make([]Entry, len(difference.Newer))
		for i, id := range difference.Newer {
			newer[i] = Entry{ID: id}
		}
		call(relayer, peer, MethodPush, PushRequest{Objects: Pack(relayer.encodedObjects(newer, maxRepairSize))}, pushTimeout, func(*PushResponse) {})
	}
	if len(difference.Missing) > 0 {
		relayer.fetchObjects(peer, difference.Missing)
	}
	if len(difference.Newer)+len(difference.Missing) > 0 {
		relayer.nextCompare = relayer.now // compare again at the next exchange while there is progress
	}
}

func (relayer *Relayer) fetchObjects(peer string, ids []carobthread.ObjectID) {
	call(relayer, peer, MethodFetch, FetchRequest{IDs: ids}, fetchTimeout, func(answer *FetchResponse) {
		if answer == nil {
			return
		}
		activated := relayer.offerPacked(peer, answer.Objects)
		if relayer.locality(peer) == tracker.OtherDataCentre && len(activated) > 0 {
			relayer.pushEntries(activated)
		}
	})
}
