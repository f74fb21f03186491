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
	call(relayer, peer, MethodExchange, request, exchangeTimeout, func(response *Exchange) {
		if response != nil {
			relayer.receiveExchange(peer, *response)
		}
	})
}

func (relayer *Relayer) digest() Exchange {
	return Exchange{Highest: relayer.state.highest, Root: relayer.state.Root(), FreshMicros: relayer.confirmedAt.Micros()}
}

func (relayer *Relayer) serveExchange(from string, request Exchange) Exchange {
	relayer.receiveGossip(from, request.Gossip)
	response := relayer.digest()
	if request.Root == response.Root {
		relayer.confirm(from, carobthread.FromMicros(request.FreshMicros))
	}
	response.Gossip = relayer.membership.GossipResponse(from, relayer.locality(from), request.Gossip)
	// A host without any state fetches the whole state instead.
	if request.Highest != 0 && response.Highest > request.Highest {
		response.Objects = Pack(relayer.encodedObjects(relayer.recent.above(request.Highest), maxRepairSize))
	}
	return response
}

func (relayer *Relayer) receiveExchange(peer string, response Exchange) {
	relayer.receiveGossip(peer, response.Gossip)
	remote := relayer.locality(peer) == tracker.OtherDataCentre
	activated := relayer.offerPacked(peer, response.Objects)
	if remote && len(activated) > 0 {
		relayer.pushEntries(activated)
	}
	own := relayer.digest()
	switch {
	case !relayer.start.ready || response.Highest == 0:
	case own.Root == response.Root:
		relayer.confirm(peer, carobthread.FromMicros(response.FreshMicros))
	case own.Highest > response.Highest:
		objects := relayer.encodedObjects(relayer.recent.above(response.Highest), maxRepairSize)
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
	call(relayer, peer, MethodCompare, CompareRequest{Digest: relayer.state.Digest()}, fetchTimeout, func(response *CompareResponse) {
		if response != nil {
			relayer.receiveComparison(peer, *response)
		}
	})
}

func (relayer *Relayer) serveCompare(_ string, request CompareRequest) CompareResponse {
	response := CompareResponse{Buckets: []int{}, Entries: []applier.Entry{}}
	for _, bucket := range relayer.state.DifferingBuckets(request.Digest) {
		entries := relayer.state.Entries([]int{bucket})
		if len(response.Buckets) > 0 && len(response.Entries)+len(entries) > maxComparedEntries {
			break
		}
		response.Buckets = append(response.Buckets, bucket)
		response.Entries = append(response.Entries, entries...)
	}
	return response
}

// receiveComparison fetches the objects that are newer at the peer and pushes those that are older or missing there.
func (relayer *Relayer) receiveComparison(peer string, response CompareResponse) {
	difference := relayer.state.Compare(response.Buckets, response.Entries)
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
	call(relayer, peer, MethodFetch, FetchRequest{IDs: ids}, fetchTimeout, func(response *FetchResponse) {
		if response == nil {
			return
		}
		activated := relayer.offerPacked(peer, response.Objects)
		if relayer.locality(peer) == tracker.OtherDataCentre && len(activated) > 0 {
			relayer.pushEntries(activated)
		}
	})
}
