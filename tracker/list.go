package tracker

import (
	"time"

	"carobthread"
)

// listLag is the most that the platform's list is taken to lag.
const listLag = time.Minute

// list joins the platform's list. The list lags, so what a host says of itself
// counts more: an entry without an incarnation marks a heard host as leaving
// only when the list turns from live to leaving, and only if the host's
// incarnation is older than the lag, since it may speak of the one before.
func (tracker *Tracker) list(now carobthread.Instant, hosts []carobthread.Host) {
	first := !tracker.listRead
	tracker.listRead = true
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = true
		tracker.listHost(now, host, first)
	}
	for _, row := range tracker.table.rows {
		if !listed[row.record.Name] {
			row.listing = unlisted
		}
	}
}

func (tracker *Tracker) listHost(now carobthread.Instant, host carobthread.Host, first bool) {
	next := listedLive
	if host.State == carobthread.HostLeaving {
		next = listedLeaving
	}
	stated := Record{
		Name: host.Name, DataCentre: host.DataCentre, PeerAddress: host.PeerAddress,
		Incarnation: host.Incarnation, Leaving: next == listedLeaving,
	}
	row := tracker.table.get(host.Name)
	if row == nil {
		tracker.table.put(stated, now)
		tracker.changes.View = true
		if !first { // each host reads the list when it starts, so its first content is no news
			tracker.rumours.add(hostPrefix+host.Name, now)
		}
		tracker.table.get(host.Name).listing = next
		return
	}
	turned := next == listedLeaving && row.listing == listedLive
	row.listing = next
	unnamed := stated.Incarnation == carobthread.Incarnation{}
	if unnamed && row.record.Incarnation != stated.Incarnation {
		stated.Incarnation = row.record.Incarnation
		stated.Leaving = turned && now.Sub(row.born) > listLag
	}
	replaced := row.record.Incarnation.Less(stated.Incarnation)
	leaves := row.record.Incarnation == stated.Incarnation && stated.Leaving && !row.record.Leaving
	if replaced || leaves {
		tracker.learn(now, Near, stated)
	}
}
