package gatherer

import "carobthread/limiter"

// Running returns the number of attempts in flight to each searcher by name.
func (gatherer *Gatherer) Running() map[string]int {
	running := map[string]int{}
	for name, searcher := range gatherer.searchers {
		running[name] = searcher.limit.Running()
	}
	return running
}

// EjectionsAboveCap counts the shards with more ejected replicas than the cap permits.
func (gatherer *Gatherer) EjectionsAboveCap() int {
	above := 0
	for _, service := range gatherer.serviceList {
		for _, layout := range service.layouts {
			for shard := range layout.shards {
				row := &layout.shards[shard]
				if gatherer.ejectedCount(row) > limiter.MaxEjected(len(row.replicas)) {
					above++
				}
			}
		}
	}
	return above
}

// Groups returns the number of replica groups in the table.
func (gatherer *Gatherer) Groups() int { return len(gatherer.groups) }
