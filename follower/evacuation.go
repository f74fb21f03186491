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
	removedAt  carobthread.Instant
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
	return true
}

// withdraw ends a request. The tombstone is kept for hosts that miss the withdrawal, also if this host has missed the request.
func (stored *evacuation) withdraw(now carobthread.Instant, revision uint64, change *Change) {
	inForce := !stored.item.Removed
	stored.item = carobthread.StoreItem{Key: stored.item.Key, Revision: revision, Removed: true}
	stored.removedAt = now
	if inForce {
		change.Evacuations = append(change.Evacuations, EvacuationChange{DataCentre: stored.dataCentre, Revision: revision, Restored: true})
	}
}

// withdrawUnlisted ends the requests that a complete list of the given revision lacks.
func (follower *Follower) withdrawUnlisted(now carobthread.Instant, listed map[string]bool, asOf uint64, change *Change) {
	for _, key := range slices.Sorted(maps.Keys(follower.evacuations)) {
		if stored := follower.evacuations[key]; !listed[key] && !stored.item.Removed && stored.item.Revision <= asOf {
			stored.withdraw(now, asOf, change)
		}
	}
}

// evacuationsSince returns the requests and tombstones with a later revision; with whole set, all requests as well.
func (follower *Follower) evacuationsSince(revision uint64, whole bool) []carobthread.StoreItem {
	var items []carobthread.StoreItem
	for _, key := range slices.Sorted(maps.Keys(follower.evacuations)) {
		if stored := follower.evacuations[key]; stored.item.Revision > revision || whole && !stored.item.Removed {
			items = append(items, stored.item)
		}
	}
	return items
}

// expireWithdrawals deletes the tombstones that have been kept for tombstoneTTL.
func (follower *Follower) expireWithdrawals(now carobthread.Instant) {
	maps.DeleteFunc(follower.evacuations, func(_ string, stored *evacuation) bool {
		expired := stored.item.Removed && now.Sub(stored.removedAt) >= tombstoneTTL
		if expired {
			follower.compactedRevision = max(follower.compactedRevision, stored.item.Revision)
		}
		return expired
	})
}
