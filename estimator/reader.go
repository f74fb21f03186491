package estimator

import (
	"fmt"
	"time"

	"carobthread"
	"carobthread/assigner"
	"carobthread/parser"
	"carobthread/relayer"
)

// A reader's bytes from the platform do not depend on the number of hosts but
// on that of objects, so they are measured on readers alone that hold the
// target's objects. The list of hosts changes faster at the target than a
// reader may read it, so it is counted as read again after each pause. Bytes
// are those of the values, as those between hosts are those of the frames.

// readerSpan holds 25 tickets at the target's rate.
const readerSpan = 2 * time.Minute

// targetReader adds the platform bytes of one reader, and their sum with the traffic between hosts.
func (run *measurement) targetReader(peers Line) {
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
	list := len(parser.EncodeHosts(knownHosts(targetHosts)))
	paced := float64(list) / relayer.ListPause(list).Seconds()
	starts := float64(list+top) * targetRestarts / targetHosts / secondsOfDay
	run.add(Line{
		Quantity: "platform bytes of tickets", Unit: "B/s of a reader", Figure: tickets,
		Basis: fmt.Sprintf("readers with 32,000 objects; the top value of the index has %d B", top),
	})
	run.add(Line{
		Quantity: "platform bytes of the list of hosts", Unit: "B/s of a reader", Figure: paced,
		Basis: fmt.Sprintf("%d B, read again after each pause of %v", list, relayer.ListPause(list).Round(time.Second)),
	})
	run.add(Line{Quantity: "platform bytes of starts", Unit: "B/s of a host", Figure: starts, Basis: "the list and the top value, once a start"})
	platform := tickets + paced + starts
	run.add(Line{Quantity: "platform bytes of one reader", Unit: "B/s", Figure: platform, Basis: "sum of the three; 18 hosts are readers"})
	run.add(Line{
		Quantity: "bytes of one reader", Unit: "B/s", Figure: peers.Figure + platform, Error: peers.Error,
		Budget: budgetBytes, Basis: "mean bytes between hosts + platform bytes of one reader",
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
