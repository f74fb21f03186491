package gatherer

// A data centre that a partition cuts off fails all of its searchers at once. Ejection alone
// learns this one searcher at a time and its cap keeps some of them in use, so attempts are
// also counted by data centre: many bad outcomes in a row, without a reply of any searcher
// there, make the whole data centre silent. Its searchers are then a last resort.

import (
	"time"

	"carobthread"
)

const (
	// silentAfter bad outcomes in a row make a data centre silent; a lost searcher alone reaches this
	// only if no other searcher of its data centre replies in between.
	silentAfter  = 6
	firstSilence = 500 * time.Millisecond
	maxSilence   = 4 * time.Second
)

// centreRow is what this host has seen of one data centre.
type centreRow struct {
	bad     int
	until   carobthread.Instant
	silence time.Duration
}

// reply notes that a searcher of the data centre has replied.
func (centre *centreRow) reply() {
	centre.bad = 0
	centre.until = 0
	centre.silence = 0
}

// miss counts an attempt that failed or is very late.
func (centre *centreRow) miss(now carobthread.Instant) {
	centre.bad++
	if centre.bad < silentAfter || now < centre.until {
		return
	}
	centre.silence = min(max(firstSilence, 2*centre.silence), maxSilence)
	centre.until = now.Add(centre.silence)
}

// suspect reports whether the data centre is halfway to silence.
func (centre *centreRow) suspect() bool { return centre.bad >= silentAfter/2 }

// silent reports whether the data centre counts as cut off.
func (centre *centreRow) silent(now carobthread.Instant) bool { return now < centre.until }

// centre returns the row of a data centre and makes it if it is new.
func (gatherer *Gatherer) centre(name string) *centreRow {
	row := gatherer.centres[name]
	if row == nil {
		row = &centreRow{}
		gatherer.centres[name] = row
	}
	return row
}
