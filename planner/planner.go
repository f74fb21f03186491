package planner

import (
	"fmt"
	"slices"
	"time"

	"carobthread"
)

const (
	// targetShare is the part of a route's target after which an incomplete answer goes out; the rest is for the way to the caller.
	targetShare = 0.85
	// hedgeQuantile lets one attempt in ten be hedged, well within a retry ratio of a fifth.
	hedgeQuantile = 0.9
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
		SoftDeadline:  time.Duration(targetShare * float64(route.Target)),
		HardDeadline:  route.Timeout,
		CoverageFloor: floor(route),
		FloorRequired: true,
		HedgeQuantile: hedgeQuantile,
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

// floor returns the share of shards that makes an answer a success; a request for one replica group needs that one.
func floor(route *carobthread.Route) float64 {
	if len(route.Shards) == 0 {
		return 1
	}
	return route.MinShare
}
