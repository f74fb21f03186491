package bencher

import (
	"cmp"
	"slices"
	"time"

	"carobthread"
)

// stop ends a searcher's process; without silence its connections close at once.
func (simulation *simulation) stop(searcher *searcher, silent bool) {
	searcher.stop(silent)
	for _, host := range simulation.hosts {
		host.dropConnections(searcher)
	}
}

// restart starts a searcher's process again; hosts reopen their connections a little later.
func (simulation *simulation) restart(searcher *searcher, coldSpan time.Duration) {
	searcher.restart(coldSpan)
	for _, host := range simulation.hosts {
		simulation.after(reconnectTime, func() { host.adjust(searcher, host.pool(searcher.config.Name)) })
	}
}

// isolate cuts a data centre off from the others, or ends the partition for an empty name.
func (simulation *simulation) isolate(centre string) {
	simulation.isolated = centre
	simulation.isolatedAt = simulation.now
}

// suspect tells all hosts which hosts nobody hears from.
func (simulation *simulation) suspect(suspects ...*entryHost) {
	for _, host := range simulation.hosts {
		host.deliver(carobthread.Event{View: &carobthread.ViewChanged{View: simulation.view(host, suspects)}})
	}
}

// suspectUnreachable tells each host which hosts it cannot reach.
func (simulation *simulation) suspectUnreachable() {
	for _, host := range simulation.hosts {
		suspects := []*entryHost{}
		for _, other := range simulation.hosts {
			if (host.dataCentre == simulation.isolated) != (other.dataCentre == simulation.isolated) {
				suspects = append(suspects, other)
			}
		}
		host.deliver(carobthread.Event{View: &carobthread.ViewChanged{View: simulation.view(host, suspects)}})
	}
}

// configure gives a host a new configuration.
func (host *entryHost) configure(config carobthread.Config) {
	host.latest = config
	host.deliver(carobthread.Event{Config: &carobthread.ConfigChanged{Config: config}})
}

func cloneConfig(config *carobthread.Config) carobthread.Config {
	return carobthread.Config{
		Services:  slices.Clone(config.Services),
		Layouts:   slices.Clone(config.Layouts),
		Searchers: slices.Clone(config.Searchers),
	}
}

// replaceSearchers returns the configuration with other searchers in the places of the named ones.
func replaceSearchers(config *carobthread.Config, replaced map[string]string) carobthread.Config {
	changed := cloneConfig(config)
	for i := range changed.Layouts {
		shards := make([][]string, len(changed.Layouts[i].Shards))
		for shard, replicas := range changed.Layouts[i].Shards {
			shards[shard] = slices.Clone(replicas)
			for j, name := range replicas {
				if replaced[name] != "" {
					shards[shard][j] = replaced[name]
				}
			}
		}
		changed.Layouts[i].Shards = shards
	}
	for i, searcher := range changed.Searchers {
		if replaced[searcher.Name] != "" {
			changed.Searchers[i].Name = replaced[searcher.Name]
		}
	}
	slices.SortFunc(changed.Searchers, func(one, other carobthread.Searcher) int {
		return cmp.Compare(one.Name, other.Name)
	})
	return changed
}
