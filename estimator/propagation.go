package estimator

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/relayer"
	"carobthread/tracker"
)

// publishedTicket is a published ticket with the delay until each host activated it.
type publishedTicket struct {
	number         uint64
	objects        []carobthread.ObjectID
	at             carobthread.Instant
	activatedAfter map[string]time.Duration
}

// leavingSearcher is a searcher that a host observed as leaving, with the delay until each host learnt of it.
type leavingSearcher struct {
	searcher   string
	at         carobthread.Instant
	knownAfter map[string]time.Duration
}

// PropagationDelays summarizes how long something took to reach the hosts that were running throughout.
type PropagationDelays struct {
	Samples int
	// Missed counts the hosts that were not reached.
	Missed        int
	P50, P99, Max time.Duration
}

// recordPublished starts tracking the propagation of a ticket.
func (fleet *Fleet) recordPublished(ticket *carobthread.Ticket) {
	entry := &publishedTicket{number: ticket.Number, at: fleet.now, activatedAfter: map[string]time.Duration{}}
	for i := range ticket.Objects {
		entry.objects = append(entry.objects, ticket.Objects[i].ID)
	}
	fleet.tickets = append(fleet.tickets, entry)
}

// recordActivation checks that ticket numbers only increase and that tickets are applied all or nothing, and records
// the tickets that are now active.
func (fleet *Fleet) recordActivation(node *node, entries []relayer.Entry) {
	for _, entry := range entries {
		if current := node.ticketNumbers[entry.ID]; entry.Number <= current {
			fleet.addViolation("%s: %s went from ticket %d to %d", node.host.Name, entry.ID, current, entry.Number)
		}
		node.ticketNumbers[entry.ID] = entry.Number
	}
	for _, ticket := range fleet.tickets {
		if _, done := ticket.activatedAfter[node.host.Name]; done {
			continue
		}
		higher, equal := 0, 0
		for _, id := range ticket.objects {
			switch {
			case node.ticketNumbers[id] > ticket.number:
				higher++
			case node.ticketNumbers[id] == ticket.number:
				equal++
			}
		}
		if higher+equal == len(ticket.objects) {
			ticket.activatedAfter[node.host.Name] = fleet.now.Sub(ticket.at)
		} else if equal > 0 {
			fleet.addViolation("%s: ticket %d is partly applied", node.host.Name, ticket.number)
		}
	}
}

// recordLeaving records which leaving searchers a host now knows of.
func (fleet *Fleet) recordLeaving(node *node, marks []tracker.SearcherMark) {
	for _, entry := range fleet.leavingSearchers {
		known := slices.ContainsFunc(marks, func(mark tracker.SearcherMark) bool { return mark.Searcher == entry.searcher && mark.Leaving })
		if _, done := entry.knownAfter[node.host.Name]; known && !done {
			entry.knownAfter[node.host.Name] = fleet.now.Sub(entry.at)
		}
	}
}

// Propagation summarizes the delays of tickets to the hosts that were ready before the ticket and are running.
func (fleet *Fleet) Propagation() PropagationDelays {
	var spans []time.Duration
	missed := 0
	for _, ticket := range fleet.tickets {
		for _, node := range fleet.nodes {
			if !node.alive || node.readyAt == 0 || node.readyAt > ticket.at {
				continue
			}
			if span, done := ticket.activatedAfter[node.host.Name]; done {
				spans = append(spans, span)
			} else {
				missed++
			}
		}
	}
	return summarize(spans, missed)
}

// LeavingPropagation summarizes the delays of leaving marks to the hosts that started before the mark and are running.
func (fleet *Fleet) LeavingPropagation() PropagationDelays {
	var spans []time.Duration
	missed := 0
	for _, entry := range fleet.leavingSearchers {
		for _, node := range fleet.nodes {
			if !node.alive || node.startedAt > entry.at {
				continue
			}
			if span, done := entry.knownAfter[node.host.Name]; done {
				spans = append(spans, span)
			} else {
				missed++
			}
		}
	}
	return summarize(spans, missed)
}

// DiscardTickets excludes the tickets published so far from Propagation. Diverged still detects a missed ticket.
func (fleet *Fleet) DiscardTickets() { fleet.tickets = nil }

// Diverged returns the running hosts whose objects differ from the latest published ones.
func (fleet *Fleet) Diverged() []string {
	var names []string
	for _, node := range fleet.nodes {
		if !node.alive {
			continue
		}
		for id, number := range fleet.platform.index.TicketNumbers {
			if node.ticketNumbers[id] != number {
				names = append(names, node.host.Name)
				break
			}
		}
	}
	return names
}

// Recovery returns the time from a host's last start until it was ready, or -1 if it is not ready.
func (fleet *Fleet) Recovery(name string) time.Duration {
	node := fleet.nodesByName[name]
	if node.readyAt == 0 {
		return -1
	}
	return node.readyAt.Sub(node.startedAt)
}

// WrongMembershipViews returns the running hosts whose view of the live hosts is wrong.
func (fleet *Fleet) WrongMembershipViews() []string {
	var names []string
	for _, node := range fleet.nodes {
		if node.alive && fleet.hasWrongView(node) {
			names = append(names, node.host.Name)
		}
	}
	return names
}

// hasWrongView reports whether a node sees a dead host or an old incarnation as live, or misses a running host.
func (fleet *Fleet) hasWrongView(node *node) bool {
	live := 0
	for _, host := range node.core.View().Hosts {
		other := fleet.nodesByName[host.Name]
		if host.State == carobthread.HostLive {
			live++
			if !other.alive || other.host.Incarnation != host.Incarnation {
				return true
			}
		}
	}
	running := 0
	for _, other := range fleet.nodes {
		if other.alive {
			running++
		}
	}
	return live != running
}

func summarize(spans []time.Duration, missed int) PropagationDelays {
	delays := PropagationDelays{Samples: len(spans), Missed: missed}
	if len(spans) == 0 {
		return delays
	}
	slices.Sort(spans)
	at := func(share float64) time.Duration { return spans[min(int(share*float64(len(spans))), len(spans)-1)] }
	delays.P50, delays.P99, delays.Max = at(0.5), at(0.99), spans[len(spans)-1]
	return delays
}

// Hosts returns the hosts of the fleet ordered by name.
func (fleet *Fleet) Hosts() []carobthread.Host {
	hosts := make([]carobthread.Host, len(fleet.nodes))
	for i, node := range fleet.nodes {
		hosts[i] = node.host
	}
	return hosts
}

// NotReady returns the running hosts that are not ready yet.
func (fleet *Fleet) NotReady() []string {
	var names []string
	for _, node := range fleet.nodes {
		if node.alive && node.readyAt == 0 {
			names = append(names, node.host.Name)
		}
	}
	return names
}
