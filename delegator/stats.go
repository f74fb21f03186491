package delegator

import (
	"maps"
	"slices"
	"strings"

	"carobthread"
)

// Stats are the counters since the start and the coordinators of this host.
type Stats struct {
	// Delegated counts the queries sent to coordinators, once for each coordinator.
	Delegated uint64 `json:"delegated"`
	// Undelegated counts the queries for which no coordinator was available.
	Undelegated uint64 `json:"undelegated"`
	Granted     uint64 `json:"granted"`
	// Answered counts the queries that ended with a coordinator's outcome, Failed those that ended without one after a grant or
	// at their deadline.
	Answered    uint64 `json:"answered"`
	Failed      uint64 `json:"failed"`
	CallersGone uint64 `json:"callers-gone"`
	// Refused counts the refusals of coordinators by reason, Fallbacks the queries that this host handled itself after that.
	Refused   map[carobthread.Reason]uint64 `json:"refused"`
	Fallbacks map[carobthread.Reason]uint64 `json:"fallbacks"`
	// Outstanding is the number of queries in progress at coordinators.
	Outstanding int `json:"outstanding"`
	// Coordinators are the coordinators of this host in the order of their names.
	Coordinators []CoordinatorStatus `json:"coordinators,omitempty"`
}

// CoordinatorStatus is the state of one coordinator as this host sees it.
type CoordinatorStatus struct {
	Host        string  `json:"host"`
	DataCentre  string  `json:"data-centre"`
	Capacity    float64 `json:"capacity"`
	Outstanding int     `json:"outstanding"`
	// AcceptMicros is the usual time until it accepts a query, in microseconds, or 0 while none is known.
	AcceptMicros int64 `json:"accept-us"`
	Available    bool  `json:"available"`
}

// Stats returns a copy of the counters and the current state.
func (delegator *Delegator) Stats() Stats {
	stats := delegator.stats
	stats.Refused, stats.Fallbacks = maps.Clone(stats.Refused), maps.Clone(stats.Fallbacks)
	stats.Outstanding = len(delegator.queries)
	for _, target := range delegator.coordinators {
		stats.Coordinators = append(stats.Coordinators, CoordinatorStatus{
			Host: target.host.Name, DataCentre: target.host.DataCentre, Capacity: target.host.Capacity, Outstanding: target.outstanding,
			AcceptMicros: target.acceptMean.Microseconds(), Available: target.available(delegator.now),
		})
	}
	slices.SortFunc(stats.Coordinators, func(left, right CoordinatorStatus) int { return strings.Compare(left.Host, right.Host) })
	return stats
}
