package follower

// The store may come back from an older copy of its items. It then begins a new era, in which it
// issues revisions again, so revisions are compared only within one era. What this host knows
// from earlier eras stays valid until the new era says otherwise: versions, start times and
// sequence numbers order it, and what the copy lacks is kept for removalHold.

import (
	"time"

	"carobthread"
)

// maxEraAgeMicros bounds the age that a peer states to an hour, which is far beyond any hold.
const maxEraAgeMicros = 3_600_000_000

// Covers reports whether a host with this digest has at least the changes that one with the other digest has.
func (digest Digest) Covers(other Digest) bool {
	if digest.Era != other.Era {
		return digest.Era > other.Era
	}
	return digest.AsOf >= other.AsOf
}

// beginEra begins a new era that started at the given time, or at an unknown time if that is 0. The complete list of the era's
// items must follow.
func (follower *Follower) beginEra(era uint64, startedAt carobthread.Instant) {
	follower.era, follower.eraStartedAt = era, startedAt
	follower.asOf, follower.compactedRevision = 0, 0
	follower.forgetRevisions()
}

// forgetRevisions makes any item of the new era the latest one of its key.
func (follower *Follower) forgetRevisions() {
	for _, stored := range follower.entries {
		stored.item.Revision, stored.changedRevision = 0, 0
	}
	for _, stored := range follower.evacuations {
		stored.item.Revision = 0
	}
}

// enterEra begins the era of a complete list from the store if it is new. The hold of what the list lacks counts from now, the
// time of the store's return as far as this host knows.
func (follower *Follower) enterEra(now carobthread.Instant, era uint64) {
	switch {
	case era <= follower.era:
	case follower.asOf == 0:
		follower.beginEra(era, 0)
	default:
		follower.beginEra(era, now)
	}
}

// eraAge returns how long ago the era began, or 0 if that is unknown.
func (delta *Delta) eraAge() time.Duration {
	return time.Duration(min(max(0, delta.EraAgeMicros), maxEraAgeMicros)) * time.Microsecond
}

// enterEraOf begins the era of a peer's delta if it is new, with what the peer knows from earlier eras and still holds.
func (follower *Follower) enterEraOf(now carobthread.Instant, source string, delta *Delta) Change {
	if delta.Era <= follower.era {
		return Change{}
	}
	if age := delta.eraAge(); age > 0 {
		follower.beginEra(delta.Era, now.Add(-age))
	} else {
		follower.enterEra(now, delta.Era)
	}
	var held []carobthread.StoreItem
	for _, item := range delta.Held {
		if _, known := follower.evacuations[item.Key]; !known {
			item.Revision = 1
			held = append(held, item)
		}
	}
	change := follower.applyItems(now, source, held)
	follower.forgetRevisions()
	return change
}

// inTransition reports whether the searchers and the operator still have time to write again what a new era's copy lacks.
func (follower *Follower) inTransition(now carobthread.Instant) bool {
	return follower.eraStartedAt != 0 && now < follower.eraStartedAt.Add(removalHold)
}

// eraAgeMicros returns how long ago the era began, or 0 if that is unknown.
func (follower *Follower) eraAgeMicros(now carobthread.Instant) int64 {
	if follower.eraStartedAt == 0 {
		return 0
	}
	return max(1, now.Sub(follower.eraStartedAt).Microseconds())
}

// departedBefore reports whether a heartbeat in a new era's copy is of a searcher whose departure is known. The copy may have a
// higher sequence number than this host, which does not learn of each heartbeat; one that is there writes another one soon.
func (follower *Follower) departedBefore(stored *entry, copied *carobthread.Registration) bool {
	departed := stored.item.Removed || stored.removeAt != 0 && !stored.unlisted
	return follower.isFromEarlierEra(stored) && departed && copied.StartedMillis == stored.registration.StartedMillis &&
		(copied.StartedMillis != 0 || copied.Sequence > maxRestartSequence)
}

// isFromEarlierEra reports whether nothing of the entry's key is known in the current era yet.
func (follower *Follower) isFromEarlierEra(stored *entry) bool {
	return follower.era > 0 && stored.item.Revision == 0
}

// keepNewer keeps what is known from an earlier era although the new era's copy has an older heartbeat or state; what the
// searcher writes from now on replaces it. A departure counts as changed after the copy, for hosts that know only the copy.
func (follower *Follower) keepNewer(now carobthread.Instant, stored *entry, item *carobthread.StoreItem, copied *carobthread.Registration) {
	if !follower.isFromEarlierEra(stored) {
		return
	}
	stored.item.Revision, stored.changedRevision = item.Revision, item.Revision
	if stored.item.Removed {
		stored.item.Revision = max(follower.asOf, item.Revision)
		stored.changedRevision = stored.item.Revision + 1
		stored.departed, stored.removedAt = true, now
	}
	if copied.Sequence > stored.registration.Sequence && copied.StartedMillis == stored.registration.StartedMillis {
		stored.registration, stored.item.Content = *copied, item.Content
	}
}

// departure returns the tombstone of a departed searcher that the era's copy lists. It is sent with every change, since a host
// that has restarted and has listed the copy itself takes the searcher for one that is there.
func (stored *entry) departure() carobthread.StoreItem {
	item := stored.item
	item.Revision = stored.changedRevision
	return item
}

// closeTransition ends the transition to a new era with its first complete list: later heartbeats are of this era.
func (follower *Follower) closeTransition(asOf uint64) {
	for _, stored := range follower.entries {
		if follower.isFromEarlierEra(stored) {
			stored.item.Revision = asOf
		}
	}
}
