package bencher

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobthread"
)

// rejectAfterDrain is how long a draining searcher still runs new requests.
const rejectAfterDrain = 3 * time.Second

// job is one attempt on its way through a searcher.
type job struct {
	host     *entryHost
	send     carobthread.SendAttempt
	searcher *searcher
	pool     *pool
	snapshot uint64
	running  bool
	ended    bool
	// connected says that the job holds a connection of its pool.
	connected bool
}

// searcher is a fake upstream: slots, a bounded queue, service times, held snapshots and layouts.
type searcher struct {
	loop    *loop
	random  *rand.Rand
	config  carobthread.Searcher
	running []*job
	queue   []*job
	held    []uint64
	layouts []uint32
	// published is the time from which the age of each held snapshot counts.
	published map[uint64]carobthread.Instant
	// indexless searchers serve requests that need no snapshot and no layout.
	indexless bool
	// connections counts open connections of all hosts.
	connections int

	reset      bool // connections are refused or reset
	silent     bool // messages get no answer
	drainedAt  carobthread.Instant
	draining   bool
	coldFrom   carobthread.Instant
	coldSpan   time.Duration
	slowdown   float64
	stragglers float64 // share of requests that take stragglerFactor medians
	shedShare  float64
	lie        *carobthread.ReportArrived
	// changedAt is the last time that state changed on which coverage depends.
	changedAt carobthread.Instant
}

const (
	stragglerFactor = 30
	coldSlowdown    = 8.0
)

func newSearcher(loop *loop, random *rand.Rand, config carobthread.Searcher) *searcher {
	return &searcher{
		loop:      loop,
		random:    random,
		config:    config,
		held:      []uint64{firstSnapshot},
		layouts:   []uint32{firstLayout},
		published: map[uint64]carobthread.Instant{firstSnapshot: loop.now.Add(-time.Minute)},
		slowdown:  1,
	}
}

// accept takes a job that arrives over the network.
func (searcher *searcher) accept(work *job) {
	if work.ended || searcher.silent {
		return
	}
	if searcher.reset {
		work.end(carobthread.ReplyFailed)
		return
	}
	if status := searcher.refusal(work); status != carobthread.ReplyOK {
		work.end(status)
		return
	}
	if len(searcher.running) < searcher.config.Slots {
		searcher.start(work)
		return
	}
	searcher.queue = append(searcher.queue, work)
}

// refusal returns the status of a request that is not run, or ok.
func (searcher *searcher) refusal(work *job) carobthread.ReplyStatus {
	if searcher.draining && searcher.loop.now >= searcher.drainedAt.Add(rejectAfterDrain) {
		return carobthread.ReplyDraining
	}
	if !searcher.indexless && !slices.Contains(searcher.layouts, work.send.Layout) {
		return carobthread.ReplyLayoutMissing
	}
	if work.send.Snapshot != 0 && !slices.Contains(searcher.held, work.send.Snapshot) {
		return carobthread.ReplySnapshotMissing
	}
	if searcher.shedShare > 0 && searcher.random.Float64() < searcher.shedShare {
		return carobthread.ReplyShed
	}
	if len(searcher.running) >= searcher.config.Slots && len(searcher.queue) >= searcherQueue {
		return carobthread.ReplyShed
	}
	return carobthread.ReplyOK
}

func (searcher *searcher) start(work *job) {
	work.running = true
	work.snapshot = work.send.Snapshot
	if work.snapshot == 0 {
		work.snapshot = slices.Max(searcher.held)
	}
	searcher.running = append(searcher.running, work)
	searcher.loop.after(searcher.serviceTime(), func() {
		if work.running {
			searcher.free(work)
			work.end(carobthread.ReplyOK)
			searcher.startNext()
		}
	})
}

func (searcher *searcher) serviceTime() time.Duration {
	median := medianServiceTime.Seconds()
	seconds := median * math.Exp(serviceTimeSigma*searcher.random.NormFloat64())
	if searcher.stragglers > 0 && searcher.random.Float64() < searcher.stragglers {
		seconds = stragglerFactor * median
	}
	return time.Duration(seconds * searcher.slowdown * searcher.coldness() * float64(time.Second))
}

// coldness is the slowdown after a start, which falls to 1 while caches fill.
func (searcher *searcher) coldness() float64 {
	if searcher.coldSpan == 0 {
		return 1
	}
	done := searcher.loop.now.Sub(searcher.coldFrom).Seconds() / searcher.coldSpan.Seconds()
	return max(1, coldSlowdown*(1-done))
}

func (searcher *searcher) free(work *job) {
	work.running = false
	searcher.running = slices.DeleteFunc(searcher.running, func(other *job) bool { return other == work })
}

// startNext fills free slots from the queue and drops requests whose deadline has passed.
func (searcher *searcher) startNext() {
	for len(searcher.queue) > 0 && len(searcher.running) < searcher.config.Slots {
		next := searcher.queue[0]
		searcher.queue = searcher.queue[1:]
		if searcher.loop.now >= next.send.Deadline {
			next.end(carobthread.ReplyFailed)
			continue
		}
		searcher.start(next)
	}
}

// cancel frees the slot or the place in the queue of a job.
func (searcher *searcher) cancel(work *job) {
	if work.running {
		searcher.free(work)
	} else {
		searcher.queue = slices.DeleteFunc(searcher.queue, func(other *job) bool { return other == work })
	}
	work.ended = true
	searcher.startNext()
}

// stop ends the process; its jobs end with a reset connection, or without any message if silent is set.
func (searcher *searcher) stop(silent bool) {
	jobs := slices.Concat(searcher.running, searcher.queue)
	searcher.running, searcher.queue = nil, nil
	for _, work := range jobs {
		work.running = false
		if !silent {
			work.end(carobthread.ReplyFailed)
		}
	}
	searcher.reset, searcher.silent = !silent, silent
	searcher.changed()
}

// restart brings the process back with empty caches that fill during the span.
func (searcher *searcher) restart(coldSpan time.Duration) {
	searcher.reset, searcher.silent, searcher.draining = false, false, false
	searcher.coldFrom, searcher.coldSpan = searcher.loop.now, coldSpan
	searcher.changed()
}

func (searcher *searcher) drain() {
	searcher.draining = true
	searcher.drainedAt = searcher.loop.now
	searcher.changed()
}

func (searcher *searcher) hold(snapshots ...uint64) {
	if searcher.indexless {
		return
	}
	searcher.held = snapshots
	for _, snapshot := range snapshots {
		if _, known := searcher.published[snapshot]; !known {
			searcher.published[snapshot] = searcher.loop.now
		}
	}
	searcher.changed()
}

func (searcher *searcher) serve(layouts ...uint32) {
	searcher.layouts = layouts
	searcher.changed()
}

func (searcher *searcher) changed() { searcher.changedAt = searcher.loop.now }

// serves reports whether the searcher could have answered any request since the given time.
func (searcher *searcher) serves(snapshot uint64, layout uint32, since carobthread.Instant) bool {
	return !searcher.reset && !searcher.silent && !searcher.draining && searcher.changedAt <= since &&
		slices.Contains(searcher.held, snapshot) && slices.Contains(searcher.layouts, layout)
}

func (searcher *searcher) snapshotAge(snapshot uint64) int64 {
	return searcher.loop.now.Sub(searcher.published[snapshot]).Microseconds()
}

// report returns what the health endpoint states now.
func (searcher *searcher) report() carobthread.ReportArrived {
	report := carobthread.ReportArrived{
		Searcher:          searcher.config.Name,
		Healthy:           true,
		Running:           len(searcher.running),
		Queued:            len(searcher.queue),
		Draining:          searcher.draining,
		HeldSnapshots:     searcher.held,
		SnapshotAgeMicros: searcher.snapshotAge(slices.Max(searcher.held)),
	}
	if searcher.lie != nil {
		report.Healthy, report.Running, report.Queued = searcher.lie.Healthy, searcher.lie.Running, searcher.lie.Queued
	}
	return report
}

// end sends the reply of a job on its way back.
func (work *job) end(status carobthread.ReplyStatus) {
	work.ended = true
	reply := &carobthread.ReplyArrived{
		Query:    work.send.Query,
		Attempt:  work.send.Attempt,
		Shard:    work.send.Shard,
		Snapshot: work.snapshot,
		Layout:   work.send.Layout,
		Status:   status,
	}
	if status != carobthread.ReplyFailed {
		reply.Draining = work.searcher.draining
		reply.HeldSnapshots = work.searcher.held
		if work.snapshot != 0 {
			reply.SnapshotAgeMicros = work.searcher.snapshotAge(work.snapshot)
		}
	}
	work.host.receive(work, reply)
}
