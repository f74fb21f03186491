package applier

import (
	"cmp"
	"slices"
	"time"

	"carobthread"
	"carobthread/parser"
)

// Status is the state of the configuration for operators; lists are ordered.
type Status struct {
	Objects []ObjectStatus `json:"objects"`
	// Highest is the highest ticket number in force.
	Highest uint64 `json:"highest"`
	Root    uint64 `json:"root"`
	// Source is the one that last confirmed the state.
	Source string `json:"source"`
	// Age is the time since the state was last known to be current, or -1 when it never was.
	Age         time.Duration  `json:"age-ns"`
	Staged      []StagedStatus `json:"staged"`
	StagedBytes int            `json:"staged-bytes"`
	Refused     []Refusal      `json:"refused"`
	Conflicts   []Conflict     `json:"conflicts"`
}

// ObjectStatus is one object in force with the source that it came from and the time of its arrival.
type ObjectStatus struct {
	ID     carobthread.ObjectID `json:"id"`
	Ticket uint64               `json:"ticket"`
	Source string               `json:"source"`
	At     carobthread.Instant  `json:"at"`
}

// StagedStatus is one ticket that waits, the objects that it waits for and the findings that hold it back.
type StagedStatus struct {
	Ticket   uint64                 `json:"ticket"`
	Source   string                 `json:"source"`
	Since    carobthread.Instant    `json:"since"`
	Missing  []carobthread.ObjectID `json:"missing"`
	Findings carobthread.Findings   `json:"findings"`
}

// Status returns the status data at the given time.
func (applier *Applier) Status(now carobthread.Instant) Status {
	status := Status{
		Highest:     applier.highest,
		Root:        applier.Root(),
		Source:      applier.confirmed.Source,
		Age:         -1,
		StagedBytes: applier.stagedBytes,
		Refused:     slices.Clone(applier.refusals),
		Conflicts:   slices.Clone(applier.conflicts),
	}
	if applier.confirmed.Current > 0 {
		status.Age = now.Sub(applier.confirmed.Current)
	}
	for _, id := range applier.IDs() {
		held := applier.held[id]
		status.Objects = append(status.Objects, ObjectStatus{id, held.object.Ticket, held.source, held.at})
	}
	for _, ticket := range applier.order {
		status.Staged = append(status.Staged, StagedStatus{ticket.number, ticket.source, ticket.since, applier.missing(ticket), ticket.findings})
	}
	return status
}

// Config returns the state in force in a fixed order; the caller must not change it.
func (applier *Applier) Config() carobthread.Config {
	if applier.config == nil {
		applier.config = applier.assemble()
	}
	return *applier.config
}

func (applier *Applier) assemble() *carobthread.Config {
	config := &carobthread.Config{}
	for _, held := range applier.held {
		switch {
		case held.object.Service != nil:
			config.Services = append(config.Services, *held.object.Service)
		case held.object.Layout != nil:
			config.Layouts = append(config.Layouts, *held.object.Layout)
		default:
			config.Searchers = append(config.Searchers, *held.object.Searcher)
		}
	}
	slices.SortFunc(config.Services, func(left, right carobthread.Service) int { return cmp.Compare(left.Name, right.Name) })
	slices.SortFunc(config.Searchers, func(left, right carobthread.Searcher) int { return cmp.Compare(left.Name, right.Name) })
	slices.SortFunc(config.Layouts, func(left, right carobthread.Layout) int {
		return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.Generation, right.Generation))
	})
	return config
}

// Wanted returns the ids that an index states with a higher number than is in force or staged, ordered.
func (applier *Applier) Wanted(index parser.Index) []carobthread.ObjectID {
	wanted := []carobthread.ObjectID{}
	for id, number := range index.Numbers {
		if !applier.holds(id, number) {
			wanted = append(wanted, id)
		}
	}
	slices.Sort(wanted)
	return wanted
}

// Covers reports whether every object of an index is in force with at least its number, so that the state is current.
func (applier *Applier) Covers(index parser.Index) bool {
	for id, number := range index.Numbers {
		if applier.number(id) < number {
			return false
		}
	}
	return true
}
