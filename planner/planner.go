package planner

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

const (
	// answerMargin is how long before a route's target latency a partial answer is sent: the target is measured from the
	// caller's first packet, and a new connection takes a round trip before the request. maxMarginRatio bounds the margin
	// to a fraction of short targets.
	answerMargin   = 15 * time.Millisecond
	maxMarginRatio = 0.25
	// hedgeQuantile hedges about one attempt in ten, well within a retry ratio of a fifth.
	hedgeQuantile = 0.9
	// hedgeDelayDivisor divides the soft deadline; the result is the hedge delay while no latencies are known.
	hedgeDelayDivisor = 3
	// evacuationTime is the time in which load moves away from an evacuated data centre. Moving all of it at once would fill
	// the queues of the other data centres' searchers before they have warmed up.
	evacuationTime = time.Second
	// maxStartMillis is the first start, in Unix milliseconds, that an Instant can't represent.
	maxStartMillis = math.MaxInt64 / int64(time.Millisecond)
	microsPerMilli = 1000
)

// ServiceName returns the name of the service for a route and a replica group, or for a route over shards if the group is
// empty.
func ServiceName(route, group string) string {
	if group == "" {
		return route
	}
	return route + "/" + group
}

// SearcherName returns the name of one incarnation of a searcher: after a restart under the same ID it is a different
// searcher.
func SearcherName(registration *carobthread.Registration) string {
	if registration.StartedMillis == 0 {
		return registration.ID
	}
	return fmt.Sprintf("%s@%d", registration.ID, registration.StartedMillis)
}

// EvacuationEnd returns the time from which no attempt is sent to a data centre whose evacuation a host has learned of. age
// is the age that the host's copy of the store had until then and bound the time after the request by which the evacuation
// must be complete, or 0 without one.
//
// Load moves away gradually only if that leaves half of the bound; otherwise all attempts avoid the data centre at once.
func EvacuationEnd(learnedAt carobthread.Instant, age, bound time.Duration) carobthread.Instant {
	if age+evacuationTime < bound/2 {
		return learnedAt.Add(evacuationTime)
	}
	return learnedAt
}

// Input is what a configuration is planned from.
type Input struct {
	Table         *carobthread.RoutingTable
	Registrations []carobthread.Registration
	Evacuations   []carobthread.Evacuation
	RetryBudget   carobthread.RetryBudget
	ColdRule      carobthread.ColdRule
}

// Plan returns the configuration for the input and depends on nothing else; searchers of groups that the table does not name
// are left out.
func Plan(input *Input) carobthread.Config {
	table, registrations := input.Table, input.Registrations
	config := carobthread.Config{RetryBudget: input.RetryBudget}
	evacuations := map[string]*carobthread.Evacuation{}
	for i := range input.Evacuations {
		evacuations[input.Evacuations[i].DataCentre] = &input.Evacuations[i]
	}
	groups := map[string]carobthread.ReplicaGroup{}
	for _, group := range table.Groups {
		groups[group.Name] = group
	}
	searchersByGroup := map[string][]string{}
	for i := range registrations {
		registration := &registrations[i]
		group, known := groups[registration.Group]
		if !known {
			continue
		}
		name := SearcherName(registration)
		searchersByGroup[registration.Group] = append(searchersByGroup[registration.Group], name)
		config.Searchers = append(config.Searchers, carobthread.Searcher{
			Name:        name,
			Address:     registration.Address,
			DataCentre:  registration.DataCentre,
			Slots:       registration.Slots,
			Connections: group.MaxConnections,
			Leaving:     registration.Draining,
			Instance:    registration.ID,
			Cold:        coldState(&group, registration, input.ColdRule),
		})
		if evacuation := evacuations[registration.DataCentre]; evacuation != nil {
			searcher := &config.Searchers[len(config.Searchers)-1]
			searcher.Evacuated, searcher.EvacuationStart, searcher.EvacuationEnd = true, evacuation.LearnedAt, evacuation.CompleteAt
		}
	}
	for i := range table.Routes {
		addRoute(&config, table, &table.Routes[i], searchersByGroup)
	}
	return config
}

// coldState returns what a registration and its group state of the searcher's cold time, or the zero value if a cold searcher
// of the group needs no protection.
func coldState(group *carobthread.ReplicaGroup, registration *carobthread.Registration, rule carobthread.ColdRule) carobthread.ColdState {
	if group.ColdRate <= 0 {
		return carobthread.ColdState{}
	}
	state := carobthread.ColdState{
		Limit:     group.ColdRate*rule.Over + rule.Slack,
		Span:      group.ColdStart,
		Left:      registration.WarmUpLeft,
		Heartbeat: registration.Sequence,
	}
	if registration.StartedMillis > 0 && registration.StartedMillis < maxStartMillis {
		state.Started = carobthread.FromMicros(registration.StartedMillis * microsPerMilli)
	}
	return state
}

func addRoute(config *carobthread.Config, table *carobthread.RoutingTable, route *carobthread.Route, searchersByGroup map[string][]string) {
	if len(route.Shards) > 0 {
		addService(config, table, route, ServiceName(route.Name, ""), route.Shards, searchersByGroup)
		return
	}
	for _, backend := range route.Backends {
		addService(config, table, route, ServiceName(route.Name, backend.Group), []string{backend.Group}, searchersByGroup)
	}
}

func addService(config *carobthread.Config, table *carobthread.RoutingTable, route *carobthread.Route, name string, groups []string, searchersByGroup map[string][]string) {
	generation := uint32(table.Version)
	config.Services = append(config.Services, carobthread.Service{
		Name:          name,
		Kind:          carobthread.KindSearch,
		Preference:    carobthread.LatencyFirst,
		SoftDeadline:  softDeadline(route.TargetLatency),
		HardDeadline:  route.Timeout,
		CoverageFloor: coverageFloor(route),
		FloorRequired: true,
		HedgeQuantile: hedgeQuantile,
		HedgeDelay:    softDeadline(route.TargetLatency) / hedgeDelayDivisor,
		Layout:        generation,
		MaxSearchers:  max(1, route.MaxSearchers),
		Priority:      route.Priority,
		AtMostOnce:    !route.Idempotent,
	})
	layout := carobthread.Layout{Service: name, Generation: generation, Groups: slices.Clone(groups)}
	for _, group := range groups {
		layout.Shards = append(layout.Shards, searchersByGroup[group])
	}
	if len(route.Shards) > 0 {
		layout.Definition = definition(route)
	}
	config.Layouts = append(config.Layouts, layout)
}

// definition returns the hash of all that determines how queries of a route over shards are answered. A new version of the
// routing table mostly changes other routes, and hosts learn of it at different times; queries of this one may be handed from
// one host to another meanwhile.
func definition(route *carobthread.Route) uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%s %t %d %d %g %d %d %g", route.Name, route.Idempotent, route.Timeout, route.TargetLatency,
		route.Priority, route.MaxSearchers, route.TopK, route.MinShardRatio) // the digest never fails
	for _, group := range route.Shards {
		_, _ = digest.WriteString("\x00" + group)
	}
	return digest.Sum64()
}

// softDeadline returns how long after a request's arrival a partial answer is sent.
func softDeadline(target time.Duration) time.Duration {
	return target - min(answerMargin, time.Duration(maxMarginRatio*float64(target)))
}

// coverageFloor returns the least share of shards that makes an answer a success; a route to a single replica group needs
// that group.
func coverageFloor(route *carobthread.Route) float64 {
	if len(route.Shards) == 0 {
		return 1
	}
	return route.MinShardRatio
}
