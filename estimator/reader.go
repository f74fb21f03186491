package estimator

import (
	"fmt"
	"time"

	"carobthread"
	"carobthread/assigner"
	"carobthread/parser"
	"carobthread/relayer"
)

// The bytes that a reader reads from the platform depend on the number of
// objects, not on the number of hosts, so they are measured on a fleet of
// readers only, with as many objects as the target. At the target size the host
// list changes faster than a reader may read it, so it is counted as read once
// after each pause. Platform bytes are the bytes of values, and bytes between
// hosts are the bytes of frames.

// readerMeasureTime covers 25 tickets at the target's rate.
const readerMeasureTime = 2 * time.Minute

// addReaderBytes adds the platform bytes of one reader, and their sum with the traffic between hosts.
func (run *measurement) addReaderBytes(hostTraffic Projection) {
	fleet := NewFleet(FleetOptions{Hosts: assigner.ReadersPerCentre, Centres: 1, Searchers: targetObjects, Seed: run.options.Seed})
	fleet.Run(warmUpTime)
	before := fleet.platform.ticket
	fleet.generateLoad(targetTicketsPerDay, 0, readerMeasureTime)
	fleet.Run(settleTime) // lets the last ticket propagate
	bytesPerTicket := float64(fleet.platform.bytes) / float64(fleet.platform.ticket-before) / assigner.ReadersPerCentre
	tickets := bytesPerTicket * targetTicketsPerDay / secondsPerDay
	run.report.Violations = append(run.report.Violations, fleet.Violations()...)
	if hosts := append(fleet.NotReady(), fleet.Diverged()...); len(hosts) > 0 {
		run.report.Violations = append(run.report.Violations, fmt.Sprintf("readers not ready or without the latest objects: %v", hosts))
	}
	top := len(fleet.platform.values[indexKey].Content)
	list := len(parser.EncodeHosts(knownHosts(targetHosts)))
	rereads := float64(list) / relayer.HostListReadDelay(list).Seconds()
	starts := float64(list+top) * targetRestartsPerDay / targetHosts / secondsPerDay
	run.add(Projection{
		Quantity: "platform bytes of tickets", Unit: "B/s of a reader", Figure: tickets,
		Basis: fmt.Sprintf("readers with 32,000 objects; the top value of the index has %d B", top),
	})
	run.add(Projection{
		Quantity: "platform bytes of the list of hosts", Unit: "B/s of a reader", Figure: rereads,
		Basis: fmt.Sprintf("%d B, read again after each pause of %v", list, relayer.HostListReadDelay(list).Round(time.Second)),
	})
	run.add(Projection{Quantity: "platform bytes of starts", Unit: "B/s of a host", Figure: starts, Basis: "the list and the top value, once a start"})
	platform := tickets + rereads + starts
	run.add(Projection{Quantity: "platform bytes of one reader", Unit: "B/s", Figure: platform, Basis: "sum of the three; 18 hosts are readers"})
	run.add(Projection{
		Quantity: "bytes of one reader", Unit: "B/s", Figure: hostTraffic.Figure + platform, Error: hostTraffic.Error,
		Budget: budgetBytesPerSecond, Basis: "mean bytes between hosts + platform bytes of one reader",
	})
}

// knownHosts returns live hosts spread evenly over the target's data centres.
func knownHosts(count int) []carobthread.Host {
	hosts := make([]carobthread.Host, count)
	for i := range hosts {
		hosts[i] = carobthread.Host{
			Name: fmt.Sprintf("host-%04d", i), DataCentre: fmt.Sprintf("dc%d", i%targetDataCentres+1),
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:7400", i%targetDataCentres, i/250, i%250+1), State: carobthread.HostLive,
		}
	}
	return hosts
}
