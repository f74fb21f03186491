package tracker

import (
	"slices"
	"time"

	"carobthread"
)

// A host exchanges with random members of a small set that changes slowly, since
// a new link for each exchange would cost more bytes than the exchange.
const (
	neighbourCount = 16
	rotateSpan     = 10 * time.Second
	checkSpan      = time.Second // the set is used once a second
	// One exchange in probeGoneEvery goes to a host that is gone, to find the end of a partition.
	probeGoneEvery = 8
)

type neighbours struct {
	names   []string
	rotated carobthread.Instant
	checked carobthread.Instant
}

// rotate drops one neighbour after rotateSpan, and those that are gone, and fills the set from the own data centre.
func (neighbours *neighbours) rotate(tracker *Tracker, now carobthread.Instant) {
	if now.Sub(neighbours.checked) < checkSpan {
		return
	}
	neighbours.checked = now
	neighbours.names = slices.DeleteFunc(neighbours.names, func(name string) bool {
		row := tracker.table.get(name)
		return row == nil || row.record.Health == Gone
	})
	if now.Sub(neighbours.rotated) >= rotateSpan {
		neighbours.rotated = now
		if len(neighbours.names) >= neighbourCount {
			place := tracker.random.IntN(len(neighbours.names))
			neighbours.names = slices.Delete(neighbours.names, place, place+1)
		}
	}
	if len(neighbours.names) >= neighbourCount {
		return
	}
	candidates := tracker.inCentre(func(row *entry) bool {
		return row.record.Health != Gone && !slices.Contains(neighbours.names, row.record.Name)
	})
	tracker.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	missing := min(neighbourCount-len(neighbours.names), len(candidates))
	neighbours.names = append(neighbours.names, candidates[:missing]...)
}

// inCentre returns the other hosts of the own data centre, or of the whole fleet, that the filter accepts.
func (tracker *Tracker) inCentre(accept func(row *entry) bool) []string {
	var names []string
	for _, row := range tracker.table.rows {
		near := tracker.wholeFleet || row.record.DataCentre == tracker.self.DataCentre
		other := near && row.record.Name != tracker.self.Name
		if other && accept(row) {
			names = append(names, row.record.Name)
		}
	}
	return names
}

// NextPeer returns the host for the next exchange within the data centre, or "" if there is none.
//
// A host that failed to answer once is asked again first, so that a suspicion needs two exchanges and not two turns.
func (tracker *Tracker) NextPeer() string {
	for _, name := range tracker.neighbours.names {
		if row := tracker.table.get(name); row != nil && row.record.Health == Healthy && row.misses > 0 {
			return name
		}
	}
	if tracker.random.IntN(probeGoneEvery) == 0 || len(tracker.neighbours.names) == 0 {
		gone := tracker.inCentre(func(row *entry) bool { return row.record.Health == Gone })
		if len(gone) > 0 {
			return gone[tracker.random.IntN(len(gone))]
		}
	}
	if len(tracker.neighbours.names) == 0 {
		return ""
	}
	return tracker.neighbours.names[tracker.random.IntN(len(tracker.neighbours.names))]
}

// DataCentre returns the data centre of a known host, or "".
func (tracker *Tracker) DataCentre(host string) string {
	if row := tracker.table.get(host); row != nil {
		return row.record.DataCentre
	}
	return ""
}

// Contact returns a random known host of another data centre, for when it has no live reader.
func (tracker *Tracker) Contact(centre string) string {
	var names []string
	for _, row := range tracker.table.rows {
		if row.record.DataCentre == centre {
			names = append(names, row.record.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[tracker.random.IntN(len(names))]
}

// Centres returns the names of the known data centres in order.
func (tracker *Tracker) Centres() []string {
	var names []string
	for _, row := range tracker.table.rows {
		if !slices.Contains(names, row.record.DataCentre) {
			names = append(names, row.record.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// Centre returns the data centre of a known host, or "".
func (tracker *Tracker) Centre(host string) string {
	if row := tracker.table.get(host); row != nil {
		return row.record.DataCentre
	}
	return ""
}
