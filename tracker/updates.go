package tracker

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"carobthread"
)

// Locality states whether a message's peer is in the same data centre. Transmissions of an update are counted separately
// within the data centre and between data centres.
type Locality int

// The localities.
const (
	SameDataCentre  Locality = iota // a host of the same data centre
	OtherDataCentre                 // a host of another data centre
	localityCount
)

const (
	// Each host transmits an update about log2(hosts) + 2 times, after which the expected share of hosts
	// that random exchanges have missed is below 1/hosts.
	extraTransmissions = 2
	// updateLifetime expires updates for a locality that is never contacted, such as OtherDataCentre on a host that is not a
	// reader.
	updateLifetime = 90 * time.Second
)

// update is a change that is still being transmitted.
type update struct {
	key      string
	queuedAt carobthread.Instant
	sent     [localityCount]int
}

// updates is the queue of changes in order of arrival, with one element per key.
type updates struct {
	queue []*update
	byKey map[string]*update
}

func newUpdates() updates { return updates{byKey: map[string]*update{}} }

// add queues a change, or restarts its transmissions if its key is queued already.
func (updates *updates) add(key string, now carobthread.Instant) {
	if queued, found := updates.byKey[key]; found {
		queued.queuedAt = now
		queued.sent = [localityCount]int{}
		return
	}
	added := &update{key: key, queuedAt: now}
	updates.byKey[key] = added
	updates.queue = append(updates.queue, added)
}

// countDuplicate counts a copy received from another host as a transmission, so that widely known changes end early.
func (updates *updates) countDuplicate(key string, locality Locality) {
	if queued, found := updates.byKey[key]; found {
		queued.sent[locality]++
	}
}

// pick returns the keys of up to limit updates to send to hosts of the locality, the least transmitted first, and counts
// their transmission.
func (updates *updates) pick(locality Locality, limit, hosts int) []string {
	transmissions := bits.Len(uint(hosts)) + extraTransmissions
	var eligible []*update
	for _, queued := range updates.queue {
		if queued.sent[locality] < transmissions {
			eligible = append(eligible, queued)
		}
	}
	slices.SortStableFunc(eligible, func(a, b *update) int { return cmp.Compare(a.sent[locality], b.sent[locality]) })
	keys := make([]string, 0, min(limit, len(eligible)))
	for _, queued := range eligible[:min(limit, len(eligible))] {
		queued.sent[locality]++
		keys = append(keys, queued.key)
	}
	return keys
}

// expire removes the updates that are older than updateLifetime.
func (updates *updates) expire(now carobthread.Instant) {
	updates.queue = slices.DeleteFunc(updates.queue, func(queued *update) bool {
		expired := now.Sub(queued.queuedAt) > updateLifetime
		if expired {
			delete(updates.byKey, queued.key)
		}
		return expired
	})
}
