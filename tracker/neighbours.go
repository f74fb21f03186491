package tracker

import (
	"slices"
	"time"

	"carobthread"
)

// A host exchanges with random members of a small set that changes slowly, since
// a new connection for each exchange would cost more bytes than the exchange.
const (
	neighbourCount = 16
	rotationPeriod = 10 * time.Second
	checkPeriod    = time.Second // the set is used for one exchange a second
	// On average, one in probeGoneEvery exchanges goes to a host that is gone, to detect that a partition has healed.
	probeGoneEvery = 8
)

// neighbours is the set of hosts that this host exchanges with.
type neighbours struct {
	names     []string
	rotatedAt carobthread.Instant
	checkedAt carobthread.Instant
}

// rotate removes the neighbours that are gone and, every rotationPeriod, a random
// one of a full set. It then refills the set with random hosts in scope.
func (neighbours *neighbours) rotate(tracker *Tracker, now carobthread.Instant) {
	if now.Sub(neighbours.checkedAt) < checkPeriod {
		return
	}
	neighbours.checkedAt = now
	neighbours.names = slices.DeleteFunc(neighbours.names, func(name string) bool {
		row := tracker.table.get(name)
		return row == nil || row.record.Health == Gone
	})
	if now.Sub(neighbours.rotatedAt) >= rotationPeriod {
		neighbours.rotatedAt = now
		if len(neighbours.names) >= neighbourCount {
			index := tracker.random.IntN(len(neighbours.names))
			neighbours.names = slices.Delete(neighbours.names, index, index+1)
		}
	}
	if len(neighbours.names) >= neighbourCount {
		return
	}
	candidates := tracker.peersInScope(func(row *hostRow) bool {
		return row.record.Health != Gone && !slices.Contains(neighbours.names, row.record.Name)
	})
	tracker.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	vacancies := min(neighbourCount-len(neighbours.names), len(candidates))
	neighbours.names = append(neighbours.names, candidates[:vacancies]...)
}

// peersInScope returns the names of the other hosts that accept selects, from the local data centre or, after
// MonitorAllDataCentres, from all data centres.
func (tracker *Tracker) peersInScope(accept func(row *hostRow) bool) []string {
	var names []string
	for _, row := range tracker.table.rows {
		inScope := tracker.monitorAllDataCentres || row.record.DataCentre == tracker.self.DataCentre
		isPeer := inScope && row.record.Name != tracker.self.Name
		if isPeer && accept(row) {
			names = append(names, row.record.Name)
		}
	}
	return names
}

// NextPeer returns the host for the next exchange within the data centre (or, after
// MonitorAllDataCentres, in the whole fleet), or "" if there is none.
//
// A neighbour that did not answer its last exchange is retried first, so that a
// suspicion takes two consecutive exchanges instead of two random selections.
func (tracker *Tracker) NextPeer() string {
	for _, name := range tracker.neighbours.names {
		if row := tracker.table.get(name); row != nil && row.record.Health == Healthy && row.consecutiveFailures > 0 {
			return name
		}
	}
	if tracker.random.IntN(probeGoneEvery) == 0 || len(tracker.neighbours.names) == 0 {
		gone := tracker.peersInScope(func(row *hostRow) bool { return row.record.Health == Gone })
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

// RandomHost returns a random known host of a data centre, or "". It is used for a remote data centre without a live reader.
func (tracker *Tracker) RandomHost(centre string) string {
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

// Centres returns the names of the known data centres in ascending order.
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
