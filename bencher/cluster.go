package bencher

import (
	"cmp"
	"slices"
	"time"

	"carobthread"
)

// stop stops a searcher's process. Unless silent is set, requests fail with a reset connection.
func (simulation *simulation) stop(searcher *searcher, silent bool) {
	searcher.stop(silent)
	for _, host := range simulation.hosts {
		host.dropConnections(searcher)
	}
}

// restart restarts a searcher's process; hosts reopen their connections after reconnectTime.
func (simulation *simulation) restart(searcher *searcher, coldSpan time.Duration) {
	searcher.restart(coldSpan)
	for _, host := range simulation.hosts {
		simulation.after(reconnectTime, func() { host.resizePool(searcher, host.pool(searcher.config.Name)) })
	}
}

// isolate cuts a data centre off from the others, or ends the partition if the name is empty.
func (simulation *simulation) isolate(centre string) {
	simulation.isolated = centre
	simulation.isolationChangedAt = simulation.now
}

// suspect sends all hosts a view in which exactly the given hosts are suspect.
func (simulation *simulation) suspect(suspects ...*entryHost) {
	for _, host := range simulation.hosts {
		host.deliver(carobthread.Event{View: &carobthread.ViewChanged{View: simulation.view(host, suspects)}})
	}
}

// suspectUnreachable sends each host a view in which exactly the hosts that it cannot reach are suspect.
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

// configure delivers a new configuration to a host.
func (host *entryHost) configure(config carobthread.Config) {
	host.latestConfig = config
	host.deliver(carobthread.Event{Config: &carobthread.ConfigChanged{Config: config}})
}

func cloneConfig(config *carobthread.Config) carobthread.Config {
	return carobthread.Config{
		Services:  slices.Clone(config.Services),
		Layouts:   slices.Clone(config.Layouts),
		Searchers: slices.Clone(config.Searchers),
	}
}

// replaceSearchers returns a copy of the configuration in which searchers are replaced; replacements maps old names to new
// ones.
func replaceSearchers(config *carobthread.Config, replacements map[string]string) carobthread.Config {
	changed := cloneConfig(config)
	for i := range changed.Layouts {
		shards := make([][]string, len(changed.Layouts[i].Shards))
		for shard, replicas := range changed.Layouts[i].Shards {
			shards[shard] = slices.Clone(replicas)
			for j, name := range replicas {
				if replacements[name] != "" {
					shards[shard][j] = replacements[name]
				}
			}
		}
		changed.Layouts[i].Shards = shards
	}
	for i, searcher := range changed.Searchers {
		if replacements[searcher.Name] != "" {
			changed.Searchers[i].Name = replacements[searcher.Name]
		}
	}
	slices.SortFunc(changed.Searchers, func(one, other carobthread.Searcher) int {
		return cmp.Compare(one.Name, other.Name)
	})
	return changed
}
