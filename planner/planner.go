package planner

import (
	"fmt"
	"slices"
	"time"

	"carobthread"
)

const (
	// answerMargin is how long before a route's target an incomplete answer goes out: the target counts from the caller's
	// first packet, and a new connection takes a round trip before the request. marginShare bounds it for short targets.
	answerMargin = 15 * time.Millisecond
	marginShare  = 0.25
	// hedgeQuantile lets one attempt in ten be hedged, well within a retry ratio of a fifth.
	hedgeQuantile = 0.9
	// hedgeShare is the part of the time to an answer after which attempts are hedged while no latencies are known.
	hedgeShare = 3
)

// ServiceName returns the name of the service that serves a route with one replica group, or with all shards for an empty group.
func ServiceName(route, group string) string {
	if group == "" {
		return route
	}
	return route + "/" + group
}

// SearcherName returns the name of one start of a searcher: a later start under the same ID is another searcher.
func SearcherName(entry *carobthread.Registration) string {
	if entry.Born == 0 {
		return entry.ID
	}
	return fmt.Sprintf("%s@%d", entry.ID, entry.Born)
}

// Plan returns the configuration; it depends on the arguments alone.
func Plan(table *carobthread.RoutingTable, entries []carobthread.Registration, budget carobthread.RetryBudget) carobthread.Config {
	config := carobthread.Config{RetryBudget: budget}
	connections := map[string]int{}
	for _, group := range table.Groups {
		connections[group.Name] = group.MaxConnections
	}
	members := map[string][]string{}
	for i := range entries {
		entry := &entries[i]
		limit, named := connections[entry.Group]
		if !named {
			continue
		}
		name := SearcherName(entry)
		members[entry.Group] = append(members[entry.Group], name)
		config.Searchers = append(config.Searchers, carobthread.Searcher{
			Name:        name,
			Address:     entry.Address,
			DataCentre:  entry.DataCentre,
			Slots:       entry.Slots,
			Connections: limit,
			Leaving:     entry.Draining,
			Instance:    entry.ID,
		})
	}
	for i := range table.Routes {
		addRoute(&config, table, &table.Routes[i], members)
	}
	return config
}

func addRoute(config *carobthread.Config, table *carobthread.RoutingTable, route *carobthread.Route, members map[string][]string) {
	if len(route.Shards) > 0 {
		addService(config, table, route, ServiceName(route.Name, ""), route.Shards, members)
		return
	}
	for _, backend := range route.Backends {
		addService(config, table, route, ServiceName(route.Name, backend.Group), []string{backend.Group}, members)
	}
}

func addService(config *carobthread.Config, table *carobthread.RoutingTable, route *carobthread.Route, name string, groups []string, members map[string][]string) {
	generation := uint32(table.Version)
	config.Services = append(config.Services, carobthread.Service{
		Name:          name,
		Kind:          carobthread.KindSearch,
		Preference:    carobthread.LatencyFirst,
		SoftDeadline:  softDeadline(route.Target),
		HardDeadline:  route.Timeout,
		CoverageFloor: floor(route),
		FloorRequired: true,
		HedgeQuantile: hedgeQuantile,
		HedgeDelay:    softDeadline(route.Target) / hedgeShare,
		Layout:        generation,
		MaxAttempts:   max(1, route.MaxAttempts),
		Rank:          route.Rank,
		Once:          !route.Idempotent,
	})
	layout := carobthread.Layout{Service: name, Generation: generation, Groups: slices.Clone(groups)}
	for _, group := range groups {
		layout.Shards = append(layout.Shards, members[group])
	}
	config.Layouts = append(config.Layouts, layout)
}

// softDeadline returns when an incomplete answer goes out.
func softDeadline(target time.Duration) time.Duration {
	return target - min(answerMargin, time.Duration(marginShare*float64(target)))
}

// floor returns the share of shards that makes an answer a success; a request for one replica group needs that one.
func floor(route *carobthread.Route) float64 {
	if len(route.Shards) == 0 {
		return 1
	}
	return route.MinShare
}
