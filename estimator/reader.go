package estimator

import (
	"fmt"
	"time"

	"carobthread"
	"carobthread/assigner"
)

// A reader's bytes from the platform do not depend on the number of hosts but
// on that of objects, so they are measured on readers alone that hold the
// target's objects. Bytes are those of the values, as those between hosts are
// those of the frames.

// readerSpan holds 25 tickets at the target's rate.
const readerSpan = 2 * time.Minute

// targetReader adds the platform bytes of one reader for tickets.
func (run *measurement) targetReader() {
	fleet := NewFleet(Settings{Hosts: assigner.ReadersPerCentre, Centres: 1, Searchers: targetObjects, Seed: run.options.Seed})
	fleet.Run(warmUp)
	before := fleet.platform.ticket
	fleet.drive(targetTickets, 0, readerSpan)
	fleet.Run(settleSpan) // the last ticket of the span
	perTicket := float64(fleet.platform.bytes) / float64(fleet.platform.ticket-before) / assigner.ReadersPerCentre
	tickets := perTicket * targetTickets / secondsOfDay
	run.report.Violations = append(run.report.Violations, fleet.Violations()...)
	if hosts := append(fleet.NotReady(), fleet.Diverged()...); len(hosts) > 0 {
		run.report.Violations = append(run.report.Violations, fmt.Sprintf("readers without the target's objects: %v", hosts))
	}
	top := len(fleet.platform.values[indexKey].Content)
	run.add(Line{
		Quantity: "platform bytes of one reader", Unit: "B/s", Figure: tickets,
		Basis: fmt.Sprintf("readers with 32,000 objects; the top value of the index has %d B", top),
	})
}

// knownHosts returns hosts spread over the target's data centres.
func knownHosts(count int) []carobthread.Host {
	hosts := make([]carobthread.Host, count)
	for i := range hosts {
		hosts[i] = carobthread.Host{
			Name: fmt.Sprintf("host-%04d", i), DataCentre: fmt.Sprintf("dc%d", i%targetCentres+1),
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:7400", i%targetCentres, i/250, i%250+1), State: carobthread.HostLive,
		}
	}
	return hosts
}
