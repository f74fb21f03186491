package gatherer

// A query that cannot reach its coverage floor in time because of the attempts that are sent before its own is refused at once,
// since it would use slots in vain. Attempts that it would overtake do not count, so that a queue of less urgent work refuses no
// urgent query.

import (
	"cmp"
	"slices"
	"time"

	"carobthread"
	"carobthread/scheduler"
)

// floorWaitMargin is the safety factor on the estimated wait for slots, as a ratio. The shard with the longest queue decides when
// a query ends, and one that misses its target at a single shard has used the slots of the others in vain. With 18 shards and
// one and a half times their capacity, 34% of the callers were answered by the target with a factor of 1 and 54% with 1.5.
const floorWaitMargin = 1.5

// shardWait is the estimated wait for a slot of a shard.
type shardWait struct {
	// excess is the part of the wait that makes a reply late.
	excess time.Duration
	// ahead counts the attempts that would be sent before.
	ahead int
}

// floorWait estimates the wait at the shard that decides whether a new query reaches its coverage floor in time; it is zero if
// the query does so now.
//
// Without this check, all admitted queries would be answered late while some shards are overloaded.
func (gatherer *Gatherer) floorWait(query *queryRow, layout *layoutRow) shardWait {
	if gatherer.waiting == 0 && !gatherer.backpressured {
		return shardWait{}
	}
	permitted := max(0, query.softDeadline.Sub(gatherer.now)-query.service.latency.median)
	waits := make([]shardWait, len(layout.shards))
	for i := range layout.shards {
		waits[i] = gatherer.waitAt(query, &layout.shards[i], permitted)
	}
	slices.SortFunc(waits, func(left, right shardWait) int { return cmp.Compare(left.excess, right.excess) })
	if decisive := waits[query.service.required(len(waits))-1]; decisive.excess > 0 {
		return decisive
	}
	return shardWait{}
}

// waitAt estimates the wait of a new query at the shard, of which the given time is permitted.
func (gatherer *Gatherer) waitAt(query *queryRow, row *shardRow, permitted time.Duration) shardWait {
	throttled := gatherer.throttledFor(row)
	wait := shardWait{excess: throttled - permitted}
	if gatherer.waiting == 0 {
		return wait
	}
	ahead := gatherer.aheadOf(query, row)
	wait.ahead = ahead.Count()
	switch {
	case wait.ahead == 0:
	case ahead.OwnRate == 0:
		wait.excess = cmp.Or(throttled, maxLatency) - permitted
	default:
		wait.excess = ahead.Wait() - time.Duration(float64(permitted)/floorWaitMargin)
	}
	return wait
}

// aheadOf returns the attempts that wait for the shard's searchers and would be sent before those of a new query.
func (gatherer *Gatherer) aheadOf(query *queryRow, row *shardRow) scheduler.Ahead {
	newcomer := gatherer.entry(query, row, nil)
	ahead := scheduler.Ahead{OwnRate: gatherer.drainRate(row)}
	pass := gatherer.nextPass()
	for i := range row.replicas {
		for _, other := range row.replicas[i].row.searcher.servedShards {
			if other.pass == pass || len(other.waiting) == 0 {
				continue
			}
			other.pass = pass
			if other.waiting[0].query.service == query.service {
				ahead.Own += len(other.waiting)
				continue
			}
			ahead.OtherServices++
			count := 0
			for _, waiting := range other.waiting {
				if scheduler.Compare(gatherer.entry(waiting.query, other, nil), newcomer) < 0 {
					count++
				}
			}
			ahead.Others += count
			if rate := gatherer.drainRate(other); rate > 0 {
				ahead.OtherTime += scheduler.Duration(count, rate)
			}
		}
	}
	return ahead
}

// refuseOverloaded refuses a query that would wait too long for its coverage floor.
func (gatherer *Gatherer) refuseOverloaded(arrived *carobthread.QueryArrived, query *queryRow, wait shardWait) {
	after := scheduler.ReturnAfter(wait.excess, gatherer.random.Float64())
	gatherer.refuseFor(arrived, carobthread.ReasonOverload, after, carobthread.RefusalInputs{
		Waiting: query.service.waiting, Ahead: wait.ahead, WaitEstimate: wait.excess,
	})
}

// retryAfterAnswer returns how long the caller of a failed query is to wait. A query that ended while it waited for slots is
// spread like a refused one, since many queries end so at the same time.
func (gatherer *Gatherer) retryAfterAnswer(query *queryRow) time.Duration {
	if query.waiting > 0 && query.mayHaveRun == 0 {
		if wait := gatherer.floorWait(query, query.current.layout); wait.excess > 0 {
			return scheduler.ReturnAfter(wait.excess, gatherer.random.Float64())
		}
	}
	return query.service.admission.RetryAfter()
}
