package estimator

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/relayer"
	"carobthread/tracker"
)

// published is a ticket with the times at which hosts activated it.
type published struct {
	number  uint64
	objects []carobthread.ObjectID
	at      carobthread.Instant
	reached map[string]time.Duration
}

// marked is a searcher that was seen leaving, with the times at which hosts learnt of it.
type marked struct {
	searcher string
	at       carobthread.Instant
	seen     map[string]time.Duration
}

// Spread is how fast something reached the hosts that were running all the while.
type Spread struct {
	Samples int
	// Missed counts hosts that it did not reach.
	Missed        int
	P50, P99, Max time.Duration
}

func (fleet *Fleet) expect(ticket *carobthread.Ticket) {
	entry := &published{number: ticket.Number, at: fleet.now, reached: map[string]time.Duration{}}
	for i := range ticket.Objects {
		entry.objects = append(entry.objects, ticket.Objects[i].ID)
	}
	fleet.tickets = append(fleet.tickets, entry)
}

// activated checks that numbers rise and that tickets are active whole, and notes the time.
func (fleet *Fleet) activated(node *node, entries []relayer.Entry) {
	for _, entry := range entries {
		if held := node.numbers[entry.ID]; entry.Number <= held {
			fleet.violate("%s: %s went from ticket %d to %d", node.host.Name, entry.ID, held, entry.Number)
		}
		node.numbers[entry.ID] = entry.Number
	}
	for _, ticket := range fleet.tickets {
		if _, done := ticket.reached[node.host.Name]; done {
			continue
		}
		higher, equal := 0, 0
		for _, id := range ticket.objects {
			switch {
			case node.numbers[id] > ticket.number:
				higher++
			case node.numbers[id] == ticket.number:
				equal++
			}
		}
		if higher+equal == len(ticket.objects) {
			ticket.reached[node.host.Name] = fleet.now.Sub(ticket.at)
		} else if equal > 0 {
			fleet.violate("%s: ticket %d is half applied", node.host.Name, ticket.number)
		}
	}
}

func (fleet *Fleet) markSeen(node *node, marks []tracker.Mark) {
	for _, entry := range fleet.marks {
		known := slices.ContainsFunc(marks, func(mark tracker.Mark) bool { return mark.Searcher == entry.searcher && mark.Leaving })
		if _, done := entry.seen[node.host.Name]; known && !done {
			entry.seen[node.host.Name] = fleet.now.Sub(entry.at)
		}
	}
}

// Propagation returns how fast tickets reached the hosts that were ready before them and still run.
func (fleet *Fleet) Propagation() Spread {
	var spans []time.Duration
	missed := 0
	for _, ticket := range fleet.tickets {
		for _, node := range fleet.nodes {
			if !node.alive || node.readyAt == 0 || node.readyAt > ticket.at {
				continue
			}
			if span, done := ticket.reached[node.host.Name]; done {
				spans = append(spans, span)
			} else {
				missed++
			}
		}
	}
	return summarize(spans, missed)
}

// LeavingSpread returns how fast the marks of leaving searchers reached the running hosts.
func (fleet *Fleet) LeavingSpread() Spread {
	var spans []time.Duration
	missed := 0
	for _, entry := range fleet.marks {
		for _, node := range fleet.nodes {
			if !node.alive || node.began > entry.at {
				continue
			}
			if span, done := entry.seen[node.host.Name]; done {
				spans = append(spans, span)
			} else {
				missed++
			}
		}
	}
	return summarize(spans, missed)
}

// ForgetTickets drops the tickets so far from the figures; a missed one stays to be found by Diverged.
func (fleet *Fleet) ForgetTickets() { fleet.tickets = nil }

// Diverged returns the hosts whose objects differ from what was published last.
func (fleet *Fleet) Diverged() []string {
	var names []string
	for _, node := range fleet.nodes {
		if !node.alive {
			continue
		}
		for id, number := range fleet.platform.index.Numbers {
			if node.numbers[id] != number {
				names = append(names, node.host.Name)
				break
			}
		}
	}
	return names
}

// Recovery returns the time from a host's last start to its readiness, or -1.
func (fleet *Fleet) Recovery(name string) time.Duration {
	node := fleet.byName[name]
	if node.readyAt == 0 {
		return -1
	}
	return node.readyAt.Sub(node.began)
}

// WrongViews returns the hosts that see another one's liveness wrongly.
func (fleet *Fleet) WrongViews() []string {
	var names []string
	for _, node := range fleet.nodes {
		if node.alive && fleet.seesWrong(node) {
			names = append(names, node.host.Name)
		}
	}
	return names
}

func (fleet *Fleet) seesWrong(node *node) bool {
	live := 0
	for _, host := range node.core.View().Hosts {
		other := fleet.byName[host.Name]
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

func summarize(spans []time.Duration, missed int) Spread {
	spread := Spread{Samples: len(spans), Missed: missed}
	if len(spans) == 0 {
		return spread
	}
	slices.Sort(spans)
	at := func(share float64) time.Duration { return spans[min(int(share*float64(len(spans))), len(spans)-1)] }
	spread.P50, spread.P99, spread.Max = at(0.5), at(0.99), spans[len(spans)-1]
	return spread
}

// Hosts returns the hosts of the fleet in order of name.
func (fleet *Fleet) Hosts() []carobthread.Host {
	hosts := make([]carobthread.Host, len(fleet.nodes))
	for i, node := range fleet.nodes {
		hosts[i] = node.host
	}
	return hosts
}

// NotReady returns the running hosts that have no state yet.
func (fleet *Fleet) NotReady() []string {
	var names []string
	for _, node := range fleet.nodes {
		if node.alive && node.readyAt == 0 {
			names = append(names, node.host.Name)
		}
	}
	return names
}
