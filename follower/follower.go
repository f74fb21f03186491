package follower

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobthread"
)

const (
	// returnHold is how long after the store's return removed entries stand, since leases may have run out in its outage.
	returnHold = 2 * time.Second
	// outageSpan is how long after a failed call a removal may stem from the outage.
	outageSpan = 5 * time.Second
	// tombstoneSpan is how long removals are kept for hosts that have missed them.
	tombstoneSpan = time.Minute
)

// entry is the last item of one key.
type entry struct {
	item carobthread.StoreItem
	// changed is the revision of the last change of more than the sequence number.
	changed      uint64
	registration carobthread.Registration
	valid        bool
	// removeAt is when a held removal takes effect, or 0.
	removeAt  carobthread.Instant
	removedAt carobthread.Instant
}

// Follower holds what is known of the store; it is not safe for concurrent use.
type Follower struct {
	decoder   carobthread.ItemDecoder
	table     carobthread.RoutingTable
	tableItem carobthread.StoreItem
	tableFrom string
	entries   map[string]*entry
	// asOf is the revision of the store up to which everything is known; 0 before the first list.
	asOf     uint64
	failedAt carobthread.Instant
	// returnedAt is when the first news since the last failed call came, from the store or from another host.
	returnedAt carobthread.Instant
	// horizon is the lowest revision from which changes can be told completely.
	horizon uint64
}

// New returns a follower that knows nothing.
func New(decoder carobthread.ItemDecoder) *Follower {
	return &Follower{decoder: decoder, entries: map[string]*entry{}}
}

// Change states what an input changed.
type Change struct {
	Table     bool
	Searchers bool
	// Notes tell what became of single searchers, in order.
	Notes []Note
	// Findings are items that could not be decoded.
	Findings []error
}

// Sight names what became of a searcher in the view of this host, as logs do.
type Sight string

// What may become of a searcher.
const (
	SearcherSeen    Sight = "searcher-seen"
	SearcherLeaving Sight = "searcher-leaving"
	SearcherChanged Sight = "searcher-changed"
	SearcherHeld    Sight = "searcher-removal-held"
	SearcherGone    Sight = "searcher-gone"
)

// Note is one change of a searcher with the revision of the store that tells of it.
type Note struct {
	Sight    Sight
	Searcher string
	Group    string
	Revision uint64
}

func (change *Change) note(sight Sight, held *entry) {
	change.Notes = append(change.Notes, Note{
		Sight: sight, Searcher: held.registration.ID, Group: held.registration.Group, Revision: held.changed,
	})
}

// Digest states how much a host knows.
type Digest struct {
	Version uint64 `json:"version"`
	AsOf    uint64 `json:"as-of"`
}

// Delta is what a host with some digest lacks.
type Delta struct {
	Digest
	// Table is the item of the routing table, if the asking host's version is lower.
	Table *carobthread.StoreItem `json:"table,omitempty"`
	// Items are the entries that changed since the asking host's revision, or all entries if Whole is set.
	Items []carobthread.StoreItem `json:"items,omitempty"`
	Whole bool                    `json:"whole,omitempty"`
}

// Digest returns what this host knows.
func (follower *Follower) Digest() Digest {
	return Digest{Version: follower.table.Version, AsOf: follower.asOf}
}

// Table returns the routing table; its version is 0 before one is known.
func (follower *Follower) Table() carobthread.RoutingTable { return follower.table }

// TableSource returns which host or store told the table.
func (follower *Follower) TableSource() string { return follower.tableFrom }

// Registrations returns the searchers' valid entries ordered by ID.
func (follower *Follower) Registrations() []carobthread.Registration {
	var found []carobthread.Registration
	for _, held := range follower.entries {
		if held.valid && !held.item.Removed {
			found = append(found, held.registration)
		}
	}
	slices.SortFunc(found, func(left, right carobthread.Registration) int { return cmp.Compare(left.ID, right.ID) })
	return found
}

// Listed takes a complete list of all items.
func (follower *Follower) Listed(now carobthread.Instant, source string, items []carobthread.StoreItem, asOf uint64) Change {
	follower.noteReturn(now, asOf)
	change := follower.take(now, source, items)
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(follower.entries)) {
		held := follower.entries[key]
		if !listed[key] && !held.item.Removed && held.item.Revision <= asOf {
			follower.remove(now, key, asOf, &change)
		}
	}
	follower.asOf = max(follower.asOf, asOf)
	follower.horizon = max(follower.horizon, asOf)
	return change
}

// Watched takes the changes since the revision that was known.
func (follower *Follower) Watched(now carobthread.Instant, source string, items []carobthread.StoreItem, asOf uint64) Change {
	follower.noteReturn(now, asOf)
	change := follower.take(now, source, items)
	follower.asOf = max(follower.asOf, asOf)
	return change
}

// Failed notes that the store did not answer or refused a call.
func (follower *Follower) Failed(now carobthread.Instant) { follower.failedAt = now }

// noteReturn notes the first news after a failed call; searchers write all the time, so that a store which answers anyone
// has news.
func (follower *Follower) noteReturn(now carobthread.Instant, asOf uint64) {
	if asOf > follower.asOf && follower.returnedAt < follower.failedAt {
		follower.returnedAt = now
	}
}

// holdUntil returns until when a removal that is told now is held, or a time that has passed.
//
// The hold counts from the store's return and not from the news of the removal, which may come late itself: the sum of
// both would exceed the bound on searchers that leave.
func (follower *Follower) holdUntil(now carobthread.Instant) carobthread.Instant {
	switch {
	case follower.failedAt == 0 || now.Sub(follower.failedAt) >= outageSpan:
		return now
	case follower.returnedAt < follower.failedAt:
		return now.Add(returnHold)
	}
	return follower.returnedAt.Add(returnHold)
}

// Missing returns what a host with the given digest lacks.
func (follower *Follower) Missing(asked Digest) Delta {
	delta := Delta{Digest: follower.Digest()}
	if follower.table.Version > asked.Version {
		delta.Table = &follower.tableItem
	}
	if follower.asOf <= asked.AsOf {
		return delta
	}
	delta.Whole = asked.AsOf < follower.horizon
	for _, key := range slices.Sorted(maps.Keys(follower.entries)) {
		held := follower.entries[key]
		switch {
		case held.changed <= asked.AsOf && (!delta.Whole || held.item.Removed):
		case held.removeAt != 0: // the other host holds it for itself if it has missed the store too
			delta.Items = append(delta.Items, carobthread.StoreItem{Key: key, Revision: held.changed, Removed: true})
		default:
			delta.Items = append(delta.Items, held.item)
		}
	}
	return delta
}

// Merged takes what another host told.
func (follower *Follower) Merged(now carobthread.Instant, source string, delta Delta) Change {
	var items []carobthread.StoreItem
	if delta.Table != nil {
		items = append(items, *delta.Table)
	}
	if delta.AsOf <= follower.asOf {
		return follower.take(now, source, items)
	}
	items = append(items, delta.Items...)
	if delta.Whole {
		return follower.Listed(now, source, items, delta.AsOf)
	}
	return follower.Watched(now, source, items, delta.AsOf)
}

// Tick makes held removals take effect and forgets old ones.
func (follower *Follower) Tick(now carobthread.Instant) Change {
	var change Change
	for _, key := range slices.Sorted(maps.Keys(follower.entries)) {
		held := follower.entries[key]
		switch {
		case held.removeAt != 0 && now >= held.removeAt:
			held.drop(now)
			change.Searchers = true
			change.note(SearcherGone, held)
		case held.item.Removed && now.Sub(held.removedAt) >= tombstoneSpan:
			follower.horizon = max(follower.horizon, held.changed)
			delete(follower.entries, key)
		}
	}
	return change
}

// take joins items with what is known.
func (follower *Follower) take(now carobthread.Instant, source string, items []carobthread.StoreItem) Change {
	var change Change
	for _, item := range items {
		table, isTable, err := follower.decoder.Table(item)
		if err != nil {
			change.Findings = append(change.Findings, err)
		}
		if isTable {
			if err == nil && table.Version > follower.table.Version {
				follower.table, follower.tableItem = table, item
				follower.tableFrom = source
				change.Table = true
			}
			continue
		}
		follower.takeEntry(now, item, &change)
	}
	return change
}

func (follower *Follower) takeEntry(now carobthread.Instant, item carobthread.StoreItem, change *Change) {
	registration, isEntry, err := follower.decoder.Registration(item)
	if !isEntry {
		return
	}
	if item.Removed {
		follower.remove(now, item.Key, item.Revision, change)
		return
	}
	held := follower.entries[item.Key]
	if held == nil {
		held = &entry{}
		follower.entries[item.Key] = held
	}
	if item.Revision <= held.item.Revision {
		return
	}
	valid := err == nil
	if err != nil {
		change.Findings = append(change.Findings, err)
	}
	if valid && held.outdates(&registration) {
		return
	}
	differs := held.item.Removed || valid != held.valid || !sameState(held.registration, registration)
	sight := SearcherChanged
	switch {
	case registration.Draining && !held.registration.Draining:
		sight = SearcherLeaving
	case held.item.Removed || held.item.Revision == 0 || registration.Born != held.registration.Born:
		sight = SearcherSeen
	}
	held.item = item
	held.valid = valid
	if valid {
		held.registration = registration
	}
	if differs || held.removeAt != 0 { // other hosts may have been told of a held removal
		held.changed = item.Revision
	}
	held.removeAt = 0
	if differs {
		change.Searchers = true
		change.note(sight, held)
	}
}

// remove takes a searcher out at once, or when the hold ends if the removal may stem from an outage of the store.
func (follower *Follower) remove(now carobthread.Instant, key string, revision uint64, change *Change) {
	held := follower.entries[key]
	if held == nil || held.item.Removed || revision <= held.item.Revision {
		return
	}
	held.item.Revision = revision
	held.changed = revision
	if until := follower.holdUntil(now); until > now {
		if held.removeAt == 0 {
			held.removeAt = until
			change.note(SearcherHeld, held)
		}
		return
	}
	held.drop(now)
	change.Searchers = true
	change.note(SearcherGone, held)
}

// restartSequence is the highest sequence number that counts as a restart where searchers do not state their start.
const restartSequence = 2

// outdates reports whether a heartbeat was sent before the one held: it may be written late, even after the entry was removed.
func (held *entry) outdates(other *carobthread.Registration) bool {
	known := &held.registration
	switch {
	case known.ID == "" || known.Born < other.Born:
		return false
	case known.Born > other.Born:
		return true
	case known.Born == 0 && other.Sequence <= restartSequence:
		return false
	case held.item.Removed || held.removeAt != 0:
		return other.Sequence <= known.Sequence
	}
	return other.Sequence < known.Sequence
}

// sameState reports whether two heartbeats of a searcher differ in nothing but their number and the rest of a cold start.
func sameState(left, right carobthread.Registration) bool {
	left.Sequence, right.Sequence = 0, 0
	if left.Cold > 0 && right.Cold > 0 {
		left.Cold = right.Cold
	}
	return left == right
}

func (held *entry) drop(now carobthread.Instant) {
	held.item.Removed = true
	held.item.Content = nil
	held.removeAt = 0
	held.removedAt = now
}
