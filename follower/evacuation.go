package follower

import (
	"cmp"
	"maps"
	"slices"

	"carobthread"
)

// evacuation is the latest item of one request to evacuate a data centre, or the tombstone of its withdrawal.
type evacuation struct {
	item       carobthread.StoreItem
	dataCentre string
	learnedAt  carobthread.Instant
	// removeAt is when a request that a new era's copy lacks ends, or 0 without one.
	removeAt  carobthread.Instant
	removedAt carobthread.Instant
}

// EvacuationChange is a request to evacuate a data centre, or its withdrawal if Restored is set.
type EvacuationChange struct {
	DataCentre string
	Revision   uint64
	Restored   bool
}

// Evacuations returns the requests in force, ordered by data centre; CompleteAt is not set.
func (follower *Follower) Evacuations() []carobthread.Evacuation {
	var evacuations []carobthread.Evacuation
	for _, stored := range follower.evacuations {
		if !stored.item.Removed {
			evacuations = append(evacuations, carobthread.Evacuation{
				DataCentre: stored.dataCentre, Revision: stored.item.Revision, LearnedAt: stored.learnedAt,
			})
		}
	}
	slices.SortFunc(evacuations, func(left, right carobthread.Evacuation) int { return cmp.Compare(left.DataCentre, right.DataCentre) })
	return evacuations
}

// applyEvacuation merges a request or a tombstone and reports whether the item is one.
func (follower *Follower) applyEvacuation(now carobthread.Instant, item carobthread.StoreItem, change *Change) bool {
	dataCentre, isEvacuation, err := follower.decoder.Evacuation(item)
	switch {
	case !isEvacuation:
		return false
	case err != nil:
		change.DecodeErrors = append(change.DecodeErrors, err)
		return true
	}
	stored := follower.evacuations[item.Key]
	if stored == nil {
		stored = &evacuation{item: carobthread.StoreItem{Key: item.Key, Removed: true}, dataCentre: dataCentre, removedAt: now}
		follower.evacuations[item.Key] = stored
	}
	if item.Revision <= stored.item.Revision {
		return true
	}
	if item.Removed {
		stored.withdraw(now, item.Revision, change)
		return true
	}
	if stored.item.Removed {
		stored.learnedAt = now
		change.Evacuations = append(change.Evacuations, EvacuationChange{DataCentre: dataCentre, Revision: item.Revision})
	}
	stored.item = carobthread.StoreItem{Key: item.Key, Revision: item.Revision, Created: item.Created}
	stored.removeAt = 0
	return true
}

// withdraw ends a request. The tombstone is kept for hosts that miss the withdrawal, also if this host has missed the request.
func (stored *evacuation) withdraw(now carobthread.Instant, revision uint64, change *Change) {
	inForce := !stored.item.Removed
	stored.item = carobthread.StoreItem{Key: stored.item.Key, Revision: revision, Removed: true}
	stored.removeAt, stored.removedAt = 0, now
	if inForce {
		change.Evacuations = append(change.Evacuations, EvacuationChange{DataCentre: stored.dataCentre, Revision: revision, Restored: true})
	}
}

// withdrawUnlisted ends the requests that a complete list of the given revision lacks. One that a new era's copy lacks ends
// once the operator has had the time to write it again.
func (follower *Follower) withdrawUnlisted(now carobthread.Instant, listed map[string]bool, asOf uint64, change *Change) {
	for _, key := range slices.Sorted(maps.Keys(follower.evacuations)) {
		stored := follower.evacuations[key]
		switch {
		case listed[key] || stored.item.Removed || stored.item.Revision > asOf:
		case follower.inTransition(now):
			stored.item.Revision = asOf
			stored.removeAt = follower.eraStartedAt.Add(removalHold)
		default:
			stored.withdraw(now, asOf, change)
		}
	}
}

// addEvacuations adds the requests and tombstones with a later revision to a delta; to a whole one, all requests.
func (follower *Follower) addEvacuations(delta *Delta, revision uint64) {
	for _, key := range slices.Sorted(maps.Keys(follower.evacuations)) {
		stored := follower.evacuations[key]
		switch {
		case stored.removeAt != 0:
		case stored.item.Revision > revision || delta.Whole && !stored.item.Removed:
			delta.Items = append(delta.Items, stored.item)
		}
	}
}

// addHeldEvacuations adds the requests that this era's copy lacks to a delta, even to one without changes: a host that has
// restarted and has listed the copy itself does not have them.
func (follower *Follower) addHeldEvacuations(now carobthread.Instant, delta *Delta, peerEra uint64) {
	if follower.era == 0 || peerEra > follower.era {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(follower.evacuations)) {
		if stored := follower.evacuations[key]; stored.removeAt != 0 {
			delta.Held = append(delta.Held, stored.item)
		}
	}
	if peerEra < follower.era || len(delta.Held) > 0 {
		delta.EraAgeMicros = follower.eraAgeMicros(now)
	}
}

// adoptEvacuations holds the requests that a peer of the same era holds and that this host has never known.
func (follower *Follower) adoptEvacuations(now carobthread.Instant, delta *Delta) (change Change) {
	if delta.Era != follower.era || len(delta.Held) == 0 {
		return change
	}
	if follower.eraStartedAt == 0 {
		follower.eraStartedAt = now.Add(-delta.eraAge())
	}
	if !follower.inTransition(now) {
		return change
	}
	for _, item := range delta.Held {
		dataCentre, isEvacuation, err := follower.decoder.Evacuation(item)
		if !isEvacuation || err != nil || follower.evacuations[item.Key] != nil {
			continue
		}
		follower.evacuations[item.Key] = &evacuation{
			item: carobthread.StoreItem{Key: item.Key}, dataCentre: dataCentre, learnedAt: now, removeAt: follower.eraStartedAt.Add(removalHold),
		}
		change.Evacuations = append(change.Evacuations, EvacuationChange{DataCentre: dataCentre})
	}
	return change
}

// tickEvacuations ends the held requests that are due and deletes the tombstones that have been kept for tombstoneTTL.
func (follower *Follower) tickEvacuations(now, syncedAt carobthread.Instant, change *Change) {
	for _, key := range slices.Sorted(maps.Keys(follower.evacuations)) {
		stored := follower.evacuations[key]
		switch {
		case stored.removeAt != 0 && syncedAt >= stored.removeAt:
			stored.withdraw(now, stored.item.Revision, change)
		case stored.item.Removed && now.Sub(stored.removedAt) >= tombstoneTTL:
			follower.compactedRevision = max(follower.compactedRevision, stored.item.Revision)
			delete(follower.evacuations, key)
		}
	}
}
