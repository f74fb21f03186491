package gatherer

import "carobthread/limiter"

// Load is what the tables say of one searcher.
type Load struct {
	Running, Limit, Slots int
}

// Loads returns the load of every searcher by name.
func (gatherer *Gatherer) Loads() map[string]Load {
	loads := map[string]Load{}
	for name, searcher := range gatherer.searchers {
		loads[name] = Load{searcher.limit.Running(), searcher.limit.Limit(), searcher.limit.Slots()}
	}
	return loads
}

// EjectionsAboveCap counts the shards with more ejected replicas than the cap permits.
func (gatherer *Gatherer) EjectionsAboveCap() int {
	above := 0
	for _, service := range gatherer.serviceList {
		for _, layout := range service.layouts {
			for shard := range layout.shards {
				row := &layout.shards[shard]
				if gatherer.ejectedIn(row) > limiter.MaxEjected(len(row.replicas)) {
					above++
				}
			}
		}
	}
	return above
}
