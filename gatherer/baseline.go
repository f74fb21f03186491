package gatherer

// The baselines are the policies that the benchmark compares with the current one.

import "carobthread"

// chooseBaseline returns a random configured replica, or with OriginalPolicy the less loaded of two random ones with a free
// slot.
func (gatherer *Gatherer) chooseBaseline(row *shardRow) (int, replicaClass) {
	gatherer.classes = gatherer.classes[:0]
	count := 0
	for i := range row.replicas {
		class := gatherer.classifyBaseline(row.replicas[i].row.searcher)
		gatherer.classes = append(gatherer.classes, class)
		if class == classLocal {
			count++
		}
	}
	if count == 0 {
		return -1, classGone
	}
	first := gatherer.nth(classLocal, gatherer.random.IntN(count))
	if gatherer.options.RandomReplica {
		return first, classLocal
	}
	second := gatherer.nth(classLocal, gatherer.random.IntN(count))
	if row.replicas[second].row.searcher.limit.Running() < row.replicas[first].row.searcher.limit.Running() {
		return second, classLocal
	}
	return first, classLocal
}

func (gatherer *Gatherer) classifyBaseline(searcher *searcherRow) replicaClass {
	if gatherer.options.RandomReplica {
		if searcher.known && !searcher.config.Leaving {
			return classLocal
		}
		return classGone
	}
	if !searcher.usable() || searcher.limit.Running() >= searcher.limit.Slots() {
		return classGone
	}
	return classLocal
}

// recoverBaseline retries without a budget, up to three attempts in total; the RandomReplica baseline does not retry.
func (gatherer *Gatherer) recoverBaseline(query *queryRow, shard uint32) {
	const attempts = 3
	state := &query.current.shards[shard]
	if gatherer.options.RandomReplica || gatherer.now >= query.deadline || state.sent >= attempts {
		gatherer.closeShard(query, shard, carobthread.ReasonUpstreamFailed)
		return
	}
	gatherer.dispatch(query, shard, carobthread.AttemptRetry)
}
