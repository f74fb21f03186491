package gatherer

import (
	"container/heap"
	"slices"
	"time"

	"carobthread"
)

// pauseThreshold is how late a tick must be to count as a pause of the process rather than as scheduling delay.
const pauseThreshold = 200 * time.Millisecond

// timerHeap orders the queries in progress by their next timer.
type timerHeap []*queryRow

var _ heap.Interface = (*timerHeap)(nil)

func (timers timerHeap) Len() int { return len(timers) }

func (timers timerHeap) Less(i, j int) bool {
	if timers[i].due != timers[j].due {
		return timers[i].due < timers[j].due
	}
	return timers[i].sequence < timers[j].sequence
}

func (timers timerHeap) Swap(i, j int) {
	timers[i], timers[j] = timers[j], timers[i]
	timers[i].heapIndex = i
	timers[j].heapIndex = j
}

// Push appends a *queryRow for container/heap.
func (timers *timerHeap) Push(item any) {
	query := item.(*queryRow)
	query.heapIndex = len(*timers)
	*timers = append(*timers, query)
}

// Pop removes the last entry for container/heap.
func (timers *timerHeap) Pop() any {
	last := len(*timers) - 1
	query := (*timers)[last]
	(*timers)[last] = nil
	*timers = (*timers)[:last]
	query.heapIndex = -1
	return query
}

// wake makes the query's timer fire no later than the given time.
func (gatherer *Gatherer) wake(query *queryRow, at carobthread.Instant) {
	if at >= query.due {
		return
	}
	query.due = at
	if query.heapIndex >= 0 {
		heap.Fix(&gatherer.timers, query.heapIndex)
	}
}

// runTimers answers every query whose deadline has passed and then hedges and retries for the other queries that are due.
func (gatherer *Gatherer) runTimers() {
	if len(gatherer.timers) == 0 || gatherer.timers[0].due > gatherer.now {
		return
	}
	due := gatherer.due[:0]
	for len(gatherer.timers) > 0 && gatherer.timers[0].due <= gatherer.now {
		query := heap.Pop(&gatherer.timers).(*queryRow)
		if !gatherer.answerIfDue(query) {
			due = append(due, query)
		}
	}
	gatherer.due = due
	for _, query := range due {
		if query.service != nil { // Another query may have needed its place in a full queue.
			gatherer.advance(query)
		}
	}
	clear(due)
}

// answerIfDue answers the query if its hard deadline has passed, or if its soft deadline has passed and the coverage floor
// is met.
func (gatherer *Gatherer) answerIfDue(query *queryRow) bool {
	if gatherer.now >= query.deadline {
		gatherer.answer(query)
		return true
	}
	if gatherer.now < query.softDeadline {
		return false
	}
	if !query.service.floorMet(query.best()) {
		return false
	}
	gatherer.answer(query)
	return true
}

// lastStart returns the time from which shards without an attempt in flight are given up. It is the query's deadline or,
// where a coverage floor is required, the time after which a new attempt could not be replied to by that deadline.
func (query *queryRow) lastStart() carobthread.Instant {
	if !query.service.config.FloorRequired {
		return query.deadline
	}
	return query.deadline.Add(-query.service.latency.p10)
}

// closeUnstarted closes the shards without an attempt in flight once a new attempt would be too late.
//
// Without it, callers of a service with a required floor would learn only at their deadline that the floor cannot be met.
func (gatherer *Gatherer) closeUnstarted(query *queryRow) {
	if gatherer.now < query.lastStart() {
		return
	}
	for shard := range query.current.shards {
		state := &query.current.shards[shard]
		if state.reply != 0 || state.closed || state.inFlightCount > 0 {
			continue
		}
		reason := carobthread.ReasonTimeout
		if state.waiting {
			reason = carobthread.ReasonNoSlot
			gatherer.stopWaiting(query, uint32(shard))
		}
		gatherer.closeShard(query, uint32(shard), reason)
	}
}

// advance hedges or retries the shards that are due and sets the query's next timer.
func (gatherer *Gatherer) advance(query *queryRow) {
	for shard := 0; shard < len(query.current.shards); shard++ {
		state := &query.current.shards[shard]
		if state.checkAt != 0 && state.checkAt <= gatherer.now {
			gatherer.check(query, uint32(shard))
		}
	}
	gatherer.closeUnstarted(query)
	query.due = query.deadline
	if query.softDeadline > gatherer.now {
		query.due = min(query.due, query.softDeadline)
	}
	if last := query.lastStart(); last > gatherer.now {
		query.due = min(query.due, last)
	}
	for shard := range query.current.shards {
		if at := query.current.shards[shard].checkAt; at != 0 && at < query.due {
			query.due = at
		}
	}
	if !gatherer.finishIfDone(query) {
		heap.Push(&gatherer.timers, query)
	}
}

// check sends the hedge or retry of a shard whose check time has come.
func (gatherer *Gatherer) check(query *queryRow, shard uint32) {
	state := &query.current.shards[shard]
	switch {
	case state.inFlightCount == 0:
		state.checkAt = 0
		gatherer.recover(query, shard)
	case gatherer.resumedAt == gatherer.now:
		// Replies that arrived during the pause have not been processed yet.
		state.checkAt = gatherer.now.Add(max(query.service.latency.hedge, pollInterval))
	default:
		gatherer.hedge(query, shard)
	}
}

// beginStop limits the deadlines of the queries in progress, so that each one is answered before the process ends.
func (gatherer *Gatherer) beginStop(stop *carobthread.StopBegun) {
	gatherer.stop.Begin(stop.AnswerBy)
	for _, query := range slices.Clone(gatherer.timers) {
		query.deadline = gatherer.stop.Deadline(query.deadline)
		query.softDeadline = min(query.softDeadline, query.deadline)
		gatherer.wake(query, min(query.deadline, max(gatherer.now, query.lastStart())))
	}
}

// resume makes all observations from before a process pause stale.
func (gatherer *Gatherer) resume() {
	gatherer.resumedAt = gatherer.now
	gatherer.stats.Pauses++
	gatherer.planEpoch++
	for _, searcher := range gatherer.searcherList {
		searcher.ejection.ResetCounts()
		searcher.centre.failures = 0
	}
	for _, service := range gatherer.serviceList {
		service.latency.discardSamples()
	}
}
