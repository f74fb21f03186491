package relayer

import (
	"time"

	"carobthread"
	"carobthread/assigner"
	"carobthread/tracker"
)

const (
	// farPeriod gives each data centre one exchange a second with another one, since its two readers take turns.
	farPeriod = time.Second
	// comparePeriod bounds the cost of hosts whose states differ for long, as when one refuses a ticket.
	comparePeriod = 5 * time.Second
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
	digest := Exchange{Highest: relayer.state.Highest(), FreshMicros: relayer.fresh.Micros()}
	for _, sum := range relayer.state.Sums() {
		digest.Sum += sum
	}
	return digest
}

func (relayer *Relayer) serveExchange(from string, request Exchange) Exchange {
	relayer.received(from, request.Gossip)
	relayer.freshen(request.FreshMicros)
	answer := relayer.digest()
	answer.Gossip = relayer.tracked.Answer(from, relayer.audience(from), request.Gossip)
	// A host without any state fetches it whole.
	if request.Highest != 0 && answer.Highest > request.Highest {
		answer.Objects = relayer.encoded(relayer.recent.above(request.Highest), maxRepairSize)
	}
	return answer
}

func (relayer *Relayer) exchanged(peer string, answer Exchange) {
	relayer.received(peer, answer.Gossip)
	relayer.freshen(answer.FreshMicros)
	far := relayer.audience(peer) == tracker.Far
	activated := relayer.offer(peer, answer.Objects)
	if far && len(activated) > 0 {
		relayer.pushEntries(activated)
	}
	own := relayer.digest()
	switch {
	case !relayer.start.ready || answer.Highest == 0 || own.Sum == answer.Sum:
	case own.Highest > answer.Highest:
		objects := relayer.encoded(relayer.recent.above(answer.Highest), maxRepairSize)
		if len(objects) > 0 {
			call(relayer, peer, MethodPush, Push{Objects: objects}, pushTimeout, func(*Pushed) {})
		}
	case relayer.now >= relayer.compareDue:
		relayer.compareDue = relayer.now.Add(comparePeriod)
		relayer.compare(peer)
	}
}

// compare finds the objects that differ when the highest numbers do not tell.
func (relayer *Relayer) compare(peer string) {
	call(relayer, peer, MethodCompare, Compare{Sums: relayer.state.Sums()}, fetchTimeout, func(answer *Compared) {
		if answer != nil {
			relayer.compared(peer, *answer)
		}
	})
}

func (relayer *Relayer) serveCompare(_ string, request Compare) Compared {
	answer := Compared{Buckets: []int{}, Entries: []Entry{}}
	sums := relayer.state.Sums()
	if len(request.Sums) != len(sums) {
		return answer
	}
	for index, sum := range sums {
		if sum == request.Sums[index] {
			continue
		}
		entries := relayer.state.Bucket(index)
		if len(answer.Buckets) > 0 && len(answer.Entries)+len(entries) > maxCompared {
			break
		}
		answer.Buckets = append(answer.Buckets, index)
		answer.Entries = append(answer.Entries, entries...)
	}
	return answer
}

// compared fetches what the peer has newer and pushes what it has older or lacks.
func (relayer *Relayer) compared(peer string, answer Compared) {
	theirs := make(map[carobthread.ObjectID]uint64, len(answer.Entries))
	for _, entry := range answer.Entries {
		theirs[entry.ID] = entry.Number
	}
	own := map[carobthread.ObjectID]uint64{}
	var newer []Entry
	for _, bucket := range answer.Buckets {
		if bucket < 0 || bucket >= len(relayer.state.Sums()) {
			return
		}
		for _, entry := range relayer.state.Bucket(bucket) {
			own[entry.ID] = entry.Number
			if entry.Number > theirs[entry.ID] {
				newer = append(newer, entry)
			}
		}
	}
	var older []carobthread.ObjectID
	for _, entry := range answer.Entries {
		if entry.Number > own[entry.ID] {
			older = append(older, entry.ID)
		}
	}
	if len(newer) > 0 {
		call(relayer, peer, MethodPush, Push{Objects: relayer.encoded(newer, maxRepairSize)}, pushTimeout, func(*Pushed) {})
	}
	if len(older) > 0 {
		relayer.fetchNamed(peer, older)
	}
	if len(newer)+len(older) > 0 {
		relayer.compareDue = relayer.now // go on with the next exchange while there is progress
	}
}

func (relayer *Relayer) fetchNamed(peer string, ids []carobthread.ObjectID) {
	call(relayer, peer, MethodFetch, Fetch{IDs: ids}, fetchTimeout, func(answer *Fetched) {
		if answer == nil {
			return
		}
		activated := relayer.offer(peer, answer.Objects)
		if relayer.audience(peer) == tracker.Far && len(activated) > 0 {
			relayer.pushEntries(activated)
		}
	})
}

func (relayer *Relayer) freshen(micros int64) {
	seen := carobthread.FromMicros(micros)
	// A time ahead of the own clock would make the state look fresh for as long as the clocks differ.
	relayer.fresh = max(relayer.fresh, min(seen, relayer.now))
}
