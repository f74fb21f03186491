package applier

import (
	"cmp"
	"slices"
	"time"

	"carobthread"
	"carobthread/parser"
)

// Status describes the state of the configuration to operators; its lists are sorted.
type Status struct {
	Objects []ObjectStatus `json:"objects"`
	// Highest is the highest active ticket number.
	Highest uint64 `json:"highest"`
	Root    uint64 `json:"root"`
	// Source is the source that last confirmed the state as current.
	Source string `json:"source"`
	// Age is the time since the state was last confirmed as current, or -1 if it never was.
	Age         time.Duration  `json:"age-ns"`
	Staged      []StagedStatus `json:"staged"`
	StagedBytes int            `json:"staged-bytes"`
	Refused     []Refusal      `json:"refused"`
	Conflicts   []Conflict     `json:"conflicts"`
}

// ObjectStatus describes one active object with its source and arrival time.
type ObjectStatus struct {
	ID     carobthread.ObjectID `json:"id"`
	Ticket uint64               `json:"ticket"`
	Source string               `json:"source"`
	At     carobthread.Instant  `json:"at"`
}

// StagedStatus describes one staged ticket with its missing objects and the findings reported for it.
type StagedStatus struct {
	Ticket   uint64                 `json:"ticket"`
	Source   string                 `json:"source"`
	Since    carobthread.Instant    `json:"since"`
	Missing  []carobthread.ObjectID `json:"missing"`
	Findings carobthread.Findings   `json:"findings"`
}

// Status returns the status at the given time.
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
		active := applier.active[id]
		status.Objects = append(status.Objects, ObjectStatus{id, active.object.Ticket, active.source, active.arrivedAt})
	}
	for _, ticket := range applier.stagedOrder {
		status.Staged = append(status.Staged, StagedStatus{ticket.number, ticket.source, ticket.since, applier.missing(ticket), ticket.findings})
	}
	return status
}

// Config returns the active configuration in a deterministic order; the caller must not modify it.
func (applier *Applier) Config() carobthread.Config {
	if applier.cachedConfig == nil {
		applier.cachedConfig = applier.buildConfig()
	}
	return *applier.cachedConfig
}

func (applier *Applier) buildConfig() *carobthread.Config {
	config := &carobthread.Config{}
	for _, active := range applier.active {
		switch {
		case active.object.Service != nil:
			config.Services = append(config.Services, *active.object.Service)
		case active.object.Layout != nil:
			config.Layouts = append(config.Layouts, *active.object.Layout)
		default:
			config.Searchers = append(config.Searchers, *active.object.Searcher)
		}
	}
	slices.SortFunc(config.Services, func(left, right carobthread.Service) int { return cmp.Compare(left.Name, right.Name) })
	slices.SortFunc(config.Searchers, func(left, right carobthread.Searcher) int { return cmp.Compare(left.Name, right.Name) })
	slices.SortFunc(config.Layouts, func(left, right carobthread.Layout) int {
		return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(left.Generation, right.Generation))
	})
	return config
}

// MissingObjects returns the sorted ids of the objects that an index lists with a higher number than the active or staged
// one.
func (applier *Applier) MissingObjects(index parser.Index) []carobthread.ObjectID {
	missing := []carobthread.ObjectID{}
	for id, number := range index.TicketNumbers {
		if !applier.holds(id, number) {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}

// Covers reports whether every object of an index is active with at least its number, so that the state is current.
func (applier *Applier) Covers(index parser.Index) bool {
	for id, number := range index.TicketNumbers {
		if applier.activeNumber(id) < number {
			return false
		}
	}
	return true
}
