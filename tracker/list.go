package tracker

import (
	"time"

	"carobthread"
)

// maxListLag is the assumed upper bound on the lag of the platform's host list.
const maxListLag = time.Minute

// applyList merges the platform's host list into the table. The list lags, so a
// host's own record takes precedence. An entry without an incarnation marks a
// host with a known incarnation as leaving only when the entry changes from live
// to leaving and that incarnation has been known for longer than maxListLag;
// otherwise the entry may describe the previous incarnation.
func (tracker *Tracker) applyList(now carobthread.Instant, hosts []carobthread.Host) {
	firstList := !tracker.listReceived
	tracker.listReceived = true
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = true
		tracker.applyListedHost(now, host, firstList)
	}
	for _, row := range tracker.table.rows {
		if !listed[row.record.Name] {
			row.listing = unlisted
		}
	}
}

func (tracker *Tracker) applyListedHost(now carobthread.Instant, host carobthread.Host, firstList bool) {
	status := listedLive
	if host.State == carobthread.HostLeaving {
		status = listedLeaving
	}
	listedRecord := Record{
		Name: host.Name, DataCentre: host.DataCentre, PeerAddress: host.PeerAddress,
		Incarnation: host.Incarnation, Leaving: status == listedLeaving,
	}
	row := tracker.table.get(host.Name)
	if row == nil {
		tracker.table.put(listedRecord, now)
		tracker.changes.View = true
		if !firstList { // every host reads the list when it starts, so the first list need not be gossiped
			tracker.updates.add(hostPrefix+host.Name, now)
		}
		tracker.table.get(host.Name).listing = status
		return
	}
	becameLeaving := status == listedLeaving && row.listing == listedLive
	row.listing = status
	noIncarnation := listedRecord.Incarnation == carobthread.Incarnation{}
	if noIncarnation && row.record.Incarnation != listedRecord.Incarnation {
		listedRecord.Incarnation = row.record.Incarnation
		listedRecord.Leaving = becameLeaving && now.Sub(row.incarnationSince) > maxListLag
	}
	newIncarnation := row.record.Incarnation.Less(listedRecord.Incarnation)
	leaves := row.record.Incarnation == listedRecord.Incarnation && listedRecord.Leaving && !row.record.Leaving
	if newIncarnation || leaves {
		tracker.mergeRecord(now, SameDataCentre, listedRecord)
	}
}
