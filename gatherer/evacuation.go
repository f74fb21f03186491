package gatherer

// When the operator evacuates a data centre, its load moves to searchers elsewhere. A share of the
// attempts that grows to all of them avoids the data centre until the evacuation is complete;
// from then on, its searchers count as gone. When the request is withdrawn, they return with slow
// start, as after a restart.

import "carobthread"

// avoidsEvacuated reports whether the attempt of a query at a shard goes to no searcher of the evacuated data centre. It is
// the same for all tries of the attempt, which an attempt that waits for a slot would otherwise repeat until one passes.
func (gatherer *Gatherer) avoidsEvacuated(query *queryRow, shard uint32, searcher *searcherRow) bool {
	start, end := searcher.config.EvacuationStart, searcher.config.EvacuationEnd
	if searcher.evacuated || gatherer.now >= end {
		return true
	}
	elapsed, total := gatherer.now.Sub(start), end.Sub(start)
	return draw(query.sequence+uint64(shard)) < float64(elapsed)/float64(total)
}

// draw returns the term of a sequence of numbers from 0 to 1 in which any few consecutive terms are evenly spread.
func draw(index uint64) float64 {
	const goldenRatio = 0x9E3779B97F4A7C15 // its fraction, as a multiple of 2^-64
	const scale = 1.0 / (1 << 64)
	return float64(index*goldenRatio) * scale
}

// heldBack reports whether the attempt was not sent because of an evacuation, which says nothing about its searcher.
func (attempt *attemptRow) heldBack(status carobthread.ReplyStatus) bool {
	return status == carobthread.ReplyNotSent && attempt.replica.searcher.evacuated
}

// completeEvacuations stops the use of the searchers whose evacuation is complete.
func (gatherer *Gatherer) completeEvacuations() {
	gatherer.evacuationDueAt = 0
	for _, searcher := range gatherer.searcherList {
		evacuated := searcher.config.EvacuatedAt(gatherer.now)
		if evacuated != searcher.evacuated {
			searcher.evacuated = evacuated
			gatherer.planEpoch++
		}
		due := searcher.config.EvacuationEnd
		if searcher.config.Evacuated && !evacuated && (gatherer.evacuationDueAt == 0 || due < gatherer.evacuationDueAt) {
			gatherer.evacuationDueAt = due
		}
	}
}

// recordRestored records the end of the evacuation of a searcher's data centre. The searcher has been idle for a while and
// its failures before the evacuation are out of date.
func (gatherer *Gatherer) recordRestored(searcher *searcherRow, config *carobthread.Searcher) {
	if !searcher.config.Evacuated || config.Evacuated {
		return
	}
	if gatherer.usesCurrentPolicy() {
		searcher.limit.Restart()
		searcher.centre.reply(gatherer.now)
	}
}

// reachableButForEvacuation returns how many shards of the layout have a searcher that is usable or merely evacuated.
func (layout *layoutRow) reachableButForEvacuation() int {
	count := 0
	for shard := range layout.shards {
		for i := range layout.shards[shard].replicas {
			if layout.shards[shard].replicas[i].row.searcher.staying() {
				count++
				break
			}
		}
	}
	return count
}
