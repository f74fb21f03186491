package relayer

import (
	"time"

	"carobthread"
	"carobthread/applier"
	"carobthread/assigner"
	"carobthread/tracker"
)

const (
	// farPeriod gives each data centre one exchange a second with another one, since its two readers take turns.
	farPeriod = time.Second
	// comparePeriod bounds the cost of hosts whose states differ for long, as in a conflict.
	comparePeriod = 30 * time.Second
	maxRepairSize = 64 << 10
	maxCompared   = 1500 // entries of one answer, about 40 KB
)

func (relayer *Relayer) advanceExchanges() {
	if relayer.now >= relayer.nextNear {
		relayer.nextNear = max(relayer.nextNear.Add(exchangePeriod), relayer.now.Add(exchangePeriod/2))
		if peer := relayer.tracked.NextPeer(); peer != "" {
			relayer.exchange(peer)
		}
	}
	rank := relayer.rank()
	slot := int64(relayer.now) / int64(farPeriod)
	if rank < 0 || slot == relayer.farSlot || slot%assigner.ReadersPerCentre != int64(rank) {
		return
	}
	relayer.farSlot = slot
	if peer := relayer.nextFar(); peer != "" {
		relayer.exchange(peer)
	}
}

// nextFar takes turns over the other data centres and, from round to round, over their readers.
func (relayer *Relayer) nextFar() string {
	var others []string
	for _, centre := range relayer.tracked.Centres() {
		if centre != relayer.options.Self.DataCentre {
			others = append(others, centre)
		}
	}
	if len(others) == 0 {
		return ""
	}
	centre := others[relayer.farTurn%len(others)]
	round := relayer.farTurn / len(others)
	relayer.farTurn++
	readers := relayer.roles.Readers(centre)
	if len(readers) == 0 {
		return relayer.tracked.Contact(centre)
	}
	return readers[round%len(readers)]
}

func (relayer *Relayer) exchange(peer string) {
	request := relayer.digest()
	request.Gossip = relayer.tracked.Gossip(peer, relayer.audience(peer))
	call(relayer, peer, MethodExchange, request, exchangeTimeout, func(answer *Exchange) {
		if answer != nil {
			relayer.exchanged(peer, *answer)
		}
	})
}

func (relayer *Relayer) digest() Exchange {
	return Exchange{Highest: relayer.state.highest, Root: relayer.state.Root(), FreshMicros: relayer.fresh.Micros()}
}

func (relayer *Relayer) serveExchange(from string, request Exchange) Exchange {
	relayer.received(from, request.Gossip)
	answer := relayer.digest()
	if request.Root == answer.Root {
		relayer.confirm(from, carobthread.FromMicros(request.FreshMicros))
	}
	answer.Gossip = relayer.tracked.Answer(from, relayer.audience(from), request.Gossip)
	// A host without any state fetches it whole.
	if request.Highest != 0 && answer.Highest > request.Highest {
		answer.Objects = Pack(relayer.encoded(relayer.recent.above(request.Highest), maxRepairSize))
	}
	return answer
}

func (relayer *Relayer) exchanged(peer string, answer Exchange) {
	relayer.received(peer, answer.Gossip)
	far := relayer.audience(peer) == tracker.Far
	activated := relayer.offerPacked(peer, answer.Objects)
	if far && len(activated) > 0 {
		relayer.pushEntries(activated)
	}
	own := relayer.digest()
	switch {
	case !relayer.start.ready || answer.Highest == 0:
	case own.Root == answer.Root:
		relayer.confirm(peer, carobthread.FromMicros(answer.FreshMicros))
	case own.Highest > answer.Highest:
		objects := relayer.encoded(relayer.recent.above(answer.Highest), maxRepairSize)
		if len(objects) > 0 {
			call(relayer, peer, MethodPush, Push{Objects: Pack(objects)}, pushTimeout, func(*Pushed) {})
		}
	case relayer.now >= relayer.compareDue:
		relayer.compareDue = relayer.now.Add(comparePeriod)
		relayer.compare(peer)
	}
}

// compare finds the objects that differ when the highest numbers do not tell.
func (relayer *Relayer) compare(peer string) {
	call(relayer, peer, MethodCompare, Compare{Digest: relayer.state.Digest()}, fetchTimeout, func(answer *Compared) {
		if answer != nil {
			relayer.compared(peer, *answer)
		}
	})
}

func (relayer *Relayer) serveCompare(_ string, request Compare) Compared {
	answer := Compared{Buckets: []int{}, Entries: []applier.Entry{}}
	for _, bucket := range relayer.state.Differing(request.Digest) {
		entries := relayer.state.Entries([]int{bucket})
		if len(answer.Buckets) > 0 && len(answer.Entries)+len(entries) > maxCompared {
			break
		}
		answer.Buckets = append(answer.Buckets, bucket)
		answer.Entries = append(answer.Entries, entries...)
	}
	return answer
}

// compared fetches what the peer has newer and pushes what it has older or lacks.
func (relayer *Relayer) compared(peer string, answer Compared) {
	difference := relayer.state.Compare(answer.Buckets, answer.Entries)
	if len(difference.Conflicts) > 0 {
		relayer.apply(applier.Event{Differed: &applier.Differed{Source: peer, Entries: difference.Conflicts}})
	}
	if len(difference.Newer) > 0 {
		newer := make([]Entry, len(difference.Newer))
		for i, id := range difference.Newer {
			newer[i] = Entry{ID: id}
		}
		call(relayer, peer, MethodPush, Push{Objects: Pack(relayer.encoded(newer, maxRepairSize))}, pushTimeout, func(*Pushed) {})
	}
	if len(difference.Missing) > 0 {
		relayer.fetchNamed(peer, difference.Missing)
	}
	if len(difference.Newer)+len(difference.Missing) > 0 {
		relayer.compareDue = relayer.now // go on with the next exchange while there is progress
	}
}

func (relayer *Relayer) fetchNamed(peer string, ids []carobthread.ObjectID) {
	call(relayer, peer, MethodFetch, Fetch{IDs: ids}, fetchTimeout, func(answer *Fetched) {
		if answer == nil {
			return
		}
		activated := relayer.offerPacked(peer, answer.Objects)
		if relayer.audience(peer) == tracker.Far && len(activated) > 0 {
			relayer.pushEntries(activated)
		}
	})
}
