package follower

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobthread"
)

const (
	// removalHold is how long removed entries are kept after the store's recovery, since leases may have expired during the
	// outage.
	removalHold = 2 * time.Second
	// outageWindow is how long after a failed call of the store a removal may still be caused by the outage.
	outageWindow = 5 * time.Second
	// tombstoneTTL is how long removals are kept for hosts that missed them.
	tombstoneTTL = time.Minute
	// coldTolerance is how much later the end of a searcher's cold time must be than known before for a change; heartbeats of the
	// same cold time arrive with different delays.
	coldTolerance = 500 * time.Millisecond
)

// entry is the latest item of one key.
type entry struct {
	item carobthread.StoreItem
	// changedRevision is the revision of the last change of anything but the sequence number and the remaining warm-up time.
	changedRevision uint64
	registration    carobthread.Registration
	valid           bool
	// removeAt is when a held removal takes effect, or 0 without one.
	removeAt  carobthread.Instant
	removedAt carobthread.Instant
	// unlisted is set if the entry is held or was removed only because a new era's copy lacks it, departed if the searcher's
	// departure is known and a new era's copy lists it.
	unlisted bool
	departed bool
	// coldUntil is the latest end of the searcher's cold time that has been reported as a change, or 0.
	coldUntil carobthread.Instant
}

// Follower holds this host's copy of the store; it is not safe for concurrent use.
type Follower struct {
	decoder     carobthread.ItemDecoder
	table       carobthread.RoutingTable
	tableItem   carobthread.StoreItem
	tableSource string
	entries     map[string]*entry
	evacuations map[string]*evacuation
	// era is the store's era of asOf and of all revisions; eraStartedAt is when it began, or 0 if that is unknown.
	era          uint64
	eraStartedAt carobthread.Instant
	// asOf is the store's revision up to which all changes are known, or 0 before the first list.
	asOf uint64
	// failedAt is when the last failed call of the store was recorded, or 0 without one.
	failedAt carobthread.Instant
	// recoveredAt is when the first newer revision since the last failed call was learned, from the store or another host.
	recoveredAt carobthread.Instant
	// compactedRevision is the lowest revision since which all changes are still known.
	compactedRevision uint64
}

// New returns an empty follower.
func New(decoder carobthread.ItemDecoder) *Follower {
	return &Follower{decoder: decoder, entries: map[string]*entry{}, evacuations: map[string]*evacuation{}}
}

// Change describes what an input changed.
type Change struct {
	Table     bool
	Searchers bool
	// SearcherChanges are the changes of single searchers, in order.
	SearcherChanges []SearcherChange
	// Evacuations are the requests to evacuate data centres and their withdrawals, in order.
	Evacuations []EvacuationChange
	// Era is set if a new era of the store has begun.
	Era bool
	// DecodeErrors are the errors of items that could not be decoded.
	DecodeErrors []error
}

// SearcherEvent is the kind of a change of a searcher in this host's copy; logs use it as the event.
type SearcherEvent string

// The kinds of changes of a searcher.
const (
	SearcherSeen        SearcherEvent = "searcher-seen"
	SearcherLeaving     SearcherEvent = "searcher-leaving"
	SearcherChanged     SearcherEvent = "searcher-changed"
	SearcherRemovalHeld SearcherEvent = "searcher-removal-held"
	SearcherGone        SearcherEvent = "searcher-gone"
)

// SearcherChange is one change of a searcher with the store's revision of the change.
type SearcherChange struct {
	Event    SearcherEvent
	Searcher string
	Group    string
	Revision uint64
}

func (change *Change) addSearcherChange(event SearcherEvent, stored *entry) {
	change.SearcherChanges = append(change.SearcherChanges, SearcherChange{
		Event: event, Searcher: stored.registration.ID, Group: stored.registration.Group, Revision: stored.changedRevision,
	})
}

// Digest states which version of the routing table and which revision of the store a host knows, and the era of that
// revision.
type Digest struct {
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
	AsOf    uint64 `json:"as-of"`
}

// Delta holds what a host with a given digest lacks.
type Delta struct {
	Digest
	// Table is the item of the routing table if the requesting host's version is lower.
	Table *carobthread.StoreItem `json:"table,omitempty"`
	// Items are the entries that changed since the requesting host's revision, or all entries if Whole is set.
	Items []carobthread.StoreItem `json:"items,omitempty"`
	Whole bool                    `json:"whole,omitempty"`
	// Held are items of earlier eras that the era's copy lacks and that the sending host still holds; a host that enters the
	// era holds them too. EraAgeMicros is how long ago the era began, or 0 if that is unknown.
	Held         []carobthread.StoreItem `json:"held,omitempty"`
	EraAgeMicros int64                   `json:"era-age-us,omitempty"`
}

// Digest returns the digest of this host's copy.
func (follower *Follower) Digest() Digest {
	return Digest{Version: follower.table.Version, Era: follower.era, AsOf: follower.asOf}
}

// Table returns the routing table; its version is 0 until one is known.
func (follower *Follower) Table() carobthread.RoutingTable { return follower.table }

// TableSource returns the source of the routing table: the store or a host.
func (follower *Follower) TableSource() string { return follower.tableSource }

// Registrations returns the valid registrations of the searchers, ordered by ID.
func (follower *Follower) Registrations() []carobthread.Registration {
	var registrations []carobthread.Registration
	for _, stored := range follower.entries {
		if stored.valid && !stored.item.Removed {
			registrations = append(registrations, stored.registration)
		}
	}
	slices.SortFunc(registrations, func(left, right carobthread.Registration) int { return cmp.Compare(left.ID, right.ID) })
	return registrations
}

// ApplyList applies a complete list of all items, unless it is of an older era.
func (follower *Follower) ApplyList(now carobthread.Instant, source string, list carobthread.StoreItems) Change {
	if list.Era < follower.era {
		return Change{}
	}
	newEra := list.Era > follower.era
	follower.enterEra(now, list.Era)
	change := follower.applyList(now, source, list.Items, list.AsOf)
	change.Era = newEra
	return change
}

// applyList applies a complete list of the current era.
func (follower *Follower) applyList(now carobthread.Instant, source string, items []carobthread.StoreItem, asOf uint64) Change {
	follower.recordRecovery(now, asOf)
	follower.asOf = max(follower.asOf, asOf)
	change := follower.applyItems(now, source, items)
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(follower.entries)) {
		stored := follower.entries[key]
		if !listed[key] && !stored.item.Removed && stored.item.Revision <= asOf {
			stored.unlisted = stored.unlisted || follower.inTransition(now) && stored.removeAt == 0
			follower.remove(now, key, asOf, &change)
		}
	}
	follower.withdrawUnlisted(now, listed, asOf, &change)
	follower.closeTransition(asOf)
	follower.compactedRevision = max(follower.compactedRevision, asOf)
	return change
}

// ApplyChanges applies the changes since the known revision, unless they are of another era.
func (follower *Follower) ApplyChanges(now carobthread.Instant, source string, changes carobthread.StoreItems) Change {
	if changes.Era != follower.era {
		return Change{}
	}
	return follower.applyChanges(now, source, changes.Items, changes.AsOf)
}

func (follower *Follower) applyChanges(now carobthread.Instant, source string, items []carobthread.StoreItem, asOf uint64) Change {
	follower.recordRecovery(now, asOf)
	change := follower.applyItems(now, source, items)
	follower.asOf = max(follower.asOf, asOf)
	return change
}

// RecordFailure records that the store did not answer or refused a call.
func (follower *Follower) RecordFailure(now carobthread.Instant) { follower.failedAt = now }

// recordRecovery records when the first newer revision after a failed call was learned. Searchers write continuously, so a
// store that answers any host has a newer revision.
func (follower *Follower) recordRecovery(now carobthread.Instant, asOf uint64) {
	if asOf > follower.asOf && follower.recoveredAt < follower.failedAt {
		follower.recoveredAt = now
	}
}

// holdRemovalUntil returns until when a removal that is learned now is held, which may be a time in the past.
//
// The hold is counted from the store's recovery and not from when the removal is learned, which may itself be late: the
// sum of the two delays would exceed the bound for leaving searchers.
//
// In a new era it is also held until the searchers have had the same time since the era's start.
func (follower *Follower) holdRemovalUntil(now carobthread.Instant) carobthread.Instant {
	if follower.inTransition(now) {
		return max(follower.holdForOutageUntil(now), follower.eraStartedAt.Add(removalHold))
	}
	return follower.holdForOutageUntil(now)
}

func (follower *Follower) holdForOutageUntil(now carobthread.Instant) carobthread.Instant {
	switch {
	case follower.failedAt == 0 || now.Sub(follower.failedAt) >= outageWindow:
		return now
	case follower.recoveredAt < follower.failedAt:
		return now.Add(removalHold)
	}
	return follower.recoveredAt.Add(removalHold)
}

// DeltaFor returns what a host with the given digest lacks.
func (follower *Follower) DeltaFor(now carobthread.Instant, peerDigest Digest) Delta {
	delta := Delta{Digest: follower.Digest()}
	if follower.table.Version > peerDigest.Version {
		delta.Table = &follower.tableItem
	}
	follower.addHeldEvacuations(now, &delta, peerDigest.Era)
	if peerDigest.Covers(delta.Digest) {
		return delta
	}
	if peerDigest.Era < follower.era {
		peerDigest.AsOf = 0
		delta.Whole = true
	}
	delta.Whole = delta.Whole || peerDigest.AsOf < follower.compactedRevision
	for _, key := range slices.Sorted(maps.Keys(follower.entries)) {
		stored := follower.entries[key]
		switch {
		case stored.departed:
			delta.Items = append(delta.Items, stored.departure())
		case stored.changedRevision <= peerDigest.AsOf && (!delta.Whole || stored.item.Removed):
		case stored.removeAt != 0 && delta.Whole && follower.era > 0:
			delta.Held = append(delta.Held, stored.item)
		case stored.removeAt != 0: // the other host holds the removal itself if it also lost the store
			delta.Items = append(delta.Items, carobthread.StoreItem{Key: key, Revision: stored.changedRevision, Content: stored.item.Content, Removed: true})
		default:
			delta.Items = append(delta.Items, stored.item)
		}
	}
	follower.addEvacuations(&delta, peerDigest.AsOf)
	return delta
}

// ApplyDelta applies a delta from another host.
func (follower *Follower) ApplyDelta(now carobthread.Instant, source string, delta Delta) Change {
	var items []carobthread.StoreItem
	if delta.Table != nil {
		items = append(items, *delta.Table)
	}
	change := follower.adoptEvacuations(now, &delta)
	switch {
	case follower.Digest().Covers(delta.Digest), delta.Era != follower.era && !delta.Whole:
		change.add(follower.applyItems(now, source, items))
	case delta.Whole:
		change.Era = delta.Era > follower.era
		change.add(follower.enterEraOf(now, source, &delta))
		change.add(follower.applyList(now, source, append(items, delta.Items...), delta.AsOf))
	default:
		change.add(follower.applyChanges(now, source, append(items, delta.Items...), delta.AsOf))
	}
	return change
}

// add adds the effects of a later input.
func (change *Change) add(later Change) {
	change.Table = change.Table || later.Table
	change.Searchers = change.Searchers || later.Searchers
	change.SearcherChanges = append(change.SearcherChanges, later.SearcherChanges...)
	change.Evacuations = append(change.Evacuations, later.Evacuations...)
	change.DecodeErrors = append(change.DecodeErrors, later.DecodeErrors...)
}

// Tick applies held removals that are due and deletes expired tombstones. What a new era's copy lacks is removed only once
// this host's copy of the store, whose age is given, is from after the end of the hold: what was written again in time must
// be known by then.
func (follower *Follower) Tick(now carobthread.Instant, copyAge time.Duration) Change {
	var change Change
	syncedAt := now.Add(-copyAge)
	for _, key := range slices.Sorted(maps.Keys(follower.entries)) {
		stored := follower.entries[key]
		switch {
		case stored.removeAt != 0 && stored.unlisted && syncedAt < stored.removeAt:
		case stored.removeAt != 0 && now >= stored.removeAt:
			stored.markRemoved(now)
			change.Searchers = true
			change.addSearcherChange(SearcherGone, stored)
		case stored.item.Removed && now.Sub(stored.removedAt) >= tombstoneTTL:
			follower.compactedRevision = max(follower.compactedRevision, stored.changedRevision)
			delete(follower.entries, key)
		}
	}
	follower.tickEvacuations(now, syncedAt, &change)
	return change
}

// applyItems merges items into this host's copy.
func (follower *Follower) applyItems(now carobthread.Instant, source string, items []carobthread.StoreItem) Change {
	var change Change
	for _, item := range items {
		table, isTable, err := follower.decoder.Table(item)
		if err != nil {
			change.DecodeErrors = append(change.DecodeErrors, err)
		}
		if isTable {
			if err == nil && table.Version > follower.table.Version {
				follower.table, follower.tableItem = table, item
				follower.tableSource = source
				change.Table = true
			}
			continue
		}
		if !follower.applyEvacuation(now, item, &change) {
			follower.applyEntry(now, item, &change)
		}
	}
	return change
}

func (follower *Follower) applyEntry(now carobthread.Instant, item carobthread.StoreItem, change *Change) {
	registration, isEntry, err := follower.decoder.Registration(item)
	if !isEntry {
		return
	}
	if item.Removed {
		follower.remove(now, item.Key, item.Revision, change)
		follower.rememberRemoved(now, &item)
		return
	}
	stored := follower.entries[item.Key]
	if stored == nil {
		stored = &entry{}
		follower.entries[item.Key] = stored
	}
	if item.Revision <= stored.item.Revision {
		return
	}
	valid := err == nil
	if err != nil {
		change.DecodeErrors = append(change.DecodeErrors, err)
	}
	if valid && (stored.supersedes(&registration) || follower.departedBefore(stored, &registration)) {
		follower.keepNewer(now, stored, &item, &registration)
		return
	}
	end := coldUntil(now, &registration)
	differs := stored.item.Removed || end > stored.coldUntil.Add(coldTolerance) || valid != stored.valid || !sameState(stored.registration, registration)
	event := SearcherChanged
	switch {
	case registration.Draining && !stored.registration.Draining:
		event = SearcherLeaving
	case stored.item.Removed || stored.item.Revision == 0 || registration.StartedMillis != stored.registration.StartedMillis:
		event = SearcherSeen
	}
	recreated := item.Created > stored.item.Revision || follower.isFromEarlierEra(stored)
	stored.item = item
	stored.valid = valid
	if valid {
		stored.registration = registration
	}
	// Other hosts may know of a removal that this one held, or that it missed because the item was written again before its
	// next read.
	if differs || stored.removeAt != 0 || recreated {
		stored.changedRevision = item.Revision
	}
	stored.removeAt, stored.unlisted, stored.departed = 0, false, false
	if differs {
		stored.coldUntil = end
		change.Searchers = true
		change.addSearcherChange(event, stored)
	}
}

// rememberRemoved keeps the tombstone of a searcher that is unknown, for hosts that know it and have missed the removal, with
// the last heartbeat if the tombstone carries it.
func (follower *Follower) rememberRemoved(now carobthread.Instant, item *carobthread.StoreItem) {
	if follower.entries[item.Key] != nil {
		return
	}
	stored := &entry{item: *item, changedRevision: item.Revision, removedAt: now}
	live := *item
	live.Removed = false
	if registration, _, err := follower.decoder.Registration(live); err == nil {
		stored.registration = registration
	}
	follower.entries[item.Key] = stored
}

// coldUntil returns the latest end of the cold time that a registration received now states, or 0 if it states none.
func coldUntil(now carobthread.Instant, registration *carobthread.Registration) carobthread.Instant {
	if registration.WarmUpLeft == 0 {
		return 0
	}
	return now.Add(registration.WarmUpLeft)
}

// remove removes a searcher at once, or at the end of the hold if the removal may be caused by an outage of the store.
func (follower *Follower) remove(now carobthread.Instant, key string, revision uint64, change *Change) {
	stored := follower.entries[key]
	if stored == nil || stored.item.Removed || revision <= stored.item.Revision {
		return
	}
	stored.item.Revision = revision
	stored.changedRevision = revision
	if until := follower.holdRemovalUntil(now); until > now {
		if stored.removeAt == 0 {
			stored.removeAt = until
			change.addSearcherChange(SearcherRemovalHeld, stored)
		}
		return
	}
	stored.markRemoved(now)
	change.Searchers = true
	change.addSearcherChange(SearcherGone, stored)
}

// maxRestartSequence is the highest sequence number that counts as a restart of a searcher that does not state its start
// time.
const maxRestartSequence = 2

// supersedes reports whether the stored heartbeat is newer than another one, which may be written late, even after the entry
// was removed.
func (stored *entry) supersedes(other *carobthread.Registration) bool {
	latest := &stored.registration
	switch {
	case latest.ID == "" || latest.StartedMillis < other.StartedMillis:
		return false
	case latest.StartedMillis > other.StartedMillis:
		return true
	case latest.StartedMillis == 0 && other.Sequence <= maxRestartSequence:
		return false
	case (stored.item.Removed || stored.removeAt != 0) && !stored.unlisted:
		return other.Sequence <= latest.Sequence
	}
	return other.Sequence < latest.Sequence
}

// sameState reports whether two heartbeats of a searcher differ at most in the sequence number and the remaining warm-up
// time.
func sameState(left, right carobthread.Registration) bool {
	left.Sequence, right.Sequence = 0, 0
	if left.WarmUpLeft > 0 && right.WarmUpLeft > 0 {
		left.WarmUpLeft = right.WarmUpLeft
	}
	return left == right
}

func (stored *entry) markRemoved(now carobthread.Instant) {
	stored.item.Removed = true // the content stays, so that a host that restarts recognizes an old heartbeat in a later era
	stored.removeAt = 0
	stored.removedAt = now
}
