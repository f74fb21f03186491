package gatherer

// The names in a configuration's layouts are resolved to rows. Most layouts stay the same when a searcher changes and keep
// their rows; queries in progress keep the layouts that they refer to.

import (
	"cmp"
	"slices"

	"carobthread"
)

// layoutsUnchanged reports whether the service's layouts are the given ones. Most services keep theirs when a searcher
// changes, and with thousands of routes, building all of them anew takes the time and memory that queries need.
func (gatherer *Gatherer) layoutsUnchanged(service *serviceRow, layouts []*carobthread.Layout) bool {
	return slices.EqualFunc(service.layouts, layouts, func(row *layoutRow, layout *carobthread.Layout) bool {
		return row.generation == layout.Generation && row.definition == layout.Definition && row.grouped == (gatherer.retryBudget.Window > 0) &&
			slices.Equal(row.groups, layout.Groups) && row.hasReplicas(layout.Shards)
	})
}

// hasReplicas reports whether the shards have the replicas with the given names, all of them configured. A searcher that is
// not configured is left out of a layout, so it makes the result false.
func (layout *layoutRow) hasReplicas(shards [][]string) bool {
	if len(layout.shards) != len(shards) {
		return false
	}
	for shard, names := range shards {
		replicas := layout.shards[shard].replicas
		if len(replicas) != len(names) {
			return false
		}
		for i, name := range names {
			searcher := replicas[i].row.searcher
			if !searcher.known || searcher.config.Name != name {
				return false
			}
		}
	}
	return true
}

// resolveLayouts replaces the service's layouts and keeps the rows of replicas and layouts that it had before.
func (gatherer *Gatherer) resolveLayouts(service *serviceRow, layouts []*carobthread.Layout) {
	previous, replicas := service.layouts, service.replicas
	service.layouts = nil
	service.replicas = map[string]*replicaRow{}
	for _, layout := range layouts {
		resolved := gatherer.resolve(service, replicas, layout)
		for _, old := range previous {
			if old.equal(resolved) {
				resolved = old
			}
		}
		service.layouts = append(service.layouts, resolved)
	}
}

// resolve resolves the names of a layout to table rows; a searcher that is not configured is left out.
func (gatherer *Gatherer) resolve(service *serviceRow, previous map[string]*replicaRow, layout *carobthread.Layout) *layoutRow {
	row := &layoutRow{
		generation: layout.Generation, definition: layout.Definition, shards: make([]shardRow, len(layout.Shards)),
		groups: layout.Groups, grouped: gatherer.retryBudget.Window > 0,
	}
	for shard, names := range layout.Shards {
		if shard < len(layout.Groups) && gatherer.retryBudget.Window > 0 {
			row.shards[shard].group = gatherer.group(layout.Groups[shard])
		}
		for _, name := range names {
			searcher := gatherer.searchers[name]
			if searcher == nil || !searcher.known {
				continue
			}
			replica := service.replicas[name]
			if replica == nil {
				replica = previous[name]
			}
			if replica == nil || replica.searcher != searcher {
				replica = &replicaRow{service: service, searcher: searcher}
			}
			service.replicas[name] = replica
			row.shards[shard].replicas = append(row.shards[shard].replicas, shardReplica{row: replica})
		}
	}
	return row
}

// equal reports whether both layouts have the same generation and replicas.
func (layout *layoutRow) equal(other *layoutRow) bool {
	return layout.generation == other.generation && layout.definition == other.definition && slices.EqualFunc(layout.shards, other.shards, func(one, two shardRow) bool {
		return one.group == two.group && slices.EqualFunc(one.replicas, two.replicas, func(one, two shardReplica) bool { return one.row == two.row })
	})
}

// linkShards records for each searcher the shards that it serves, in the order of their services' priorities. It includes
// layouts that only queries in progress still use.
func (gatherer *Gatherer) linkShards() {
	for _, searcher := range gatherer.searcherList {
		searcher.servedShards = searcher.servedShards[:0]
		searcher.serviceCount, searcher.delegableCount = 0, 0
	}
	byPriority := slices.DeleteFunc(slices.Clone(gatherer.serviceList), func(service *serviceRow) bool { return !service.known })
	slices.SortStableFunc(byPriority, func(left, right *serviceRow) int { return cmp.Compare(left.config.Priority, right.config.Priority) })
	for _, service := range byPriority {
		for _, layout := range service.layouts {
			layout.link()
		}
		delegable := service.delegable()
		for _, replica := range service.replicas {
			replica.searcher.serviceCount++
			if delegable {
				replica.searcher.delegableCount++
			}
		}
	}
	for _, layout := range gatherer.retiredLayouts {
		layout.link()
	}
	reserveSlots(byPriority)
}

// reserveSlots sets the slots that each service keeps in reserve for others, for services in the order of their priorities.
func reserveSlots(byPriority []*serviceRow) {
	counts := map[*searcherRow]int{}
	for first := 0; first < len(byPriority); {
		last := first
		for ; last < len(byPriority) && byPriority[last].config.Priority == byPriority[first].config.Priority; last++ {
			for _, replica := range byPriority[last].replicas {
				counts[replica.searcher]++
			}
		}
		for ; first < last; first++ {
			for _, replica := range byPriority[first].replicas {
				replica.reserve = counts[replica.searcher] - 1
			}
		}
	}
}

func (layout *layoutRow) link() {
	for shard := range layout.shards {
		row := &layout.shards[shard]
		for i := range row.replicas {
			searcher := row.replicas[i].row.searcher
			searcher.servedShards = append(searcher.servedShards, row)
		}
	}
}
