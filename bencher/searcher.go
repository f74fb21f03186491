package bencher

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobthread"
)

// drainGrace is how long a draining searcher still accepts new requests.
const drainGrace = 3 * time.Second

// job is the work of one attempt at a searcher.
type job struct {
	host     *entryHost
	send     carobthread.SendAttempt
	searcher *searcher
	pool     *pool
	snapshot uint64
	running  bool
	ended    bool
	// connected means that the job holds a connection of its pool.
	connected bool
}

// searcher is a fake upstream with slots, a bounded queue, random service times, and the snapshots and layouts that it
// holds.
type searcher struct {
	loop          *loop
	random        *rand.Rand
	config        carobthread.Searcher
	running       []*job
	queue         []*job
	heldSnapshots []uint64
	layouts       []uint32
	// publishedAt maps each held snapshot to the time from which its age is counted.
	publishedAt map[uint64]carobthread.Instant
	// indexless means that requests need no snapshot and no layout.
	indexless bool
	// connections is the number of open connections from all hosts.
	connections int

	reset          bool // connections are refused or reset
	silent         bool // messages are dropped without a reply
	drainedAt      carobthread.Instant
	draining       bool
	coldSince      carobthread.Instant
	coldSpan       time.Duration
	slowdown       float64
	stragglerShare float64 // share of requests that take stragglerFactor median service times
	shedShare      float64
	falseReport    *carobthread.ReportArrived
	// changedAt is the last time that the state which determines coverage changed.
	changedAt carobthread.Instant
}

const (
	stragglerFactor = 30
	maxColdSlowdown = 8.0
)

func newSearcher(loop *loop, random *rand.Rand, config carobthread.Searcher) *searcher {
	return &searcher{
		loop:          loop,
		random:        random,
		config:        config,
		heldSnapshots: []uint64{firstSnapshot},
		layouts:       []uint32{firstLayout},
		publishedAt:   map[uint64]carobthread.Instant{firstSnapshot: loop.now.Add(-time.Minute)},
		slowdown:      1,
	}
}

// accept starts, queues or refuses a job that arrives over the network.
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

// refusal returns the status with which a request is refused, or ReplyOK if it is accepted.
func (searcher *searcher) refusal(work *job) carobthread.ReplyStatus {
	if searcher.draining && searcher.loop.now >= searcher.drainedAt.Add(drainGrace) {
		return carobthread.ReplyDraining
	}
	if !searcher.indexless && !slices.Contains(searcher.layouts, work.send.Layout) {
		return carobthread.ReplyLayoutMissing
	}
	if work.send.Snapshot != 0 && !slices.Contains(searcher.heldSnapshots, work.send.Snapshot) {
		return carobthread.ReplySnapshotMissing
	}
	if searcher.shedShare > 0 && searcher.random.Float64() < searcher.shedShare {
		return carobthread.ReplyShed
	}
	if len(searcher.running) >= searcher.config.Slots && len(searcher.queue) >= searcherQueueLimit {
		return carobthread.ReplyShed
	}
	return carobthread.ReplyOK
}

func (searcher *searcher) start(work *job) {
	work.running = true
	work.snapshot = work.send.Snapshot
	if work.snapshot == 0 {
		work.snapshot = slices.Max(searcher.heldSnapshots)
	}
	searcher.running = append(searcher.running, work)
	searcher.loop.after(searcher.serviceTime(), func() {
		if work.running {
			searcher.freeSlot(work)
			work.end(carobthread.ReplyOK)
			searcher.startNext()
		}
	})
}

func (searcher *searcher) serviceTime() time.Duration {
	median := medianServiceTime.Seconds()
	seconds := median * math.Exp(serviceTimeSigma*searcher.random.NormFloat64())
	if searcher.stragglerShare > 0 && searcher.random.Float64() < searcher.stragglerShare {
		seconds = stragglerFactor * median
	}
	return time.Duration(seconds * searcher.slowdown * searcher.coldSlowdown() * float64(time.Second))
}

// coldSlowdown returns the slowdown after a cold start, which falls to 1 while the caches fill.
func (searcher *searcher) coldSlowdown() float64 {
	if searcher.coldSpan == 0 {
		return 1
	}
	done := searcher.loop.now.Sub(searcher.coldSince).Seconds() / searcher.coldSpan.Seconds()
	return max(1, maxColdSlowdown*(1-done))
}

func (searcher *searcher) freeSlot(work *job) {
	work.running = false
	searcher.running = slices.DeleteFunc(searcher.running, func(other *job) bool { return other == work })
}

// startNext fills free slots from the queue and fails requests whose deadline has passed.
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

// cancel ends a job without a reply and frees its slot or its place in the queue.
func (searcher *searcher) cancel(work *job) {
	if work.running {
		searcher.freeSlot(work)
	} else {
		searcher.queue = slices.DeleteFunc(searcher.queue, func(other *job) bool { return other == work })
	}
	work.ended = true
	searcher.startNext()
}

// stop stops the process. Its jobs fail with a reset connection, or get no reply at all if silent is set.
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
	searcher.recordChange()
}

// restart restarts the process with empty caches, which take coldSpan to fill.
func (searcher *searcher) restart(coldSpan time.Duration) {
	searcher.reset, searcher.silent, searcher.draining = false, false, false
	searcher.coldSince, searcher.coldSpan = searcher.loop.now, coldSpan
	searcher.recordChange()
}

func (searcher *searcher) drain() {
	searcher.draining = true
	searcher.drainedAt = searcher.loop.now
	searcher.recordChange()
}

func (searcher *searcher) setSnapshots(snapshots ...uint64) {
	if searcher.indexless {
		return
	}
	searcher.heldSnapshots = snapshots
	for _, snapshot := range snapshots {
		if _, known := searcher.publishedAt[snapshot]; !known {
			searcher.publishedAt[snapshot] = searcher.loop.now
		}
	}
	searcher.recordChange()
}

func (searcher *searcher) setLayouts(layouts ...uint32) {
	searcher.layouts = layouts
	searcher.recordChange()
}

func (searcher *searcher) recordChange() { searcher.changedAt = searcher.loop.now }

// servesSince reports whether the searcher has been able to serve the snapshot and layout ever since the given time.
func (searcher *searcher) servesSince(snapshot uint64, layout uint32, since carobthread.Instant) bool {
	return !searcher.reset && !searcher.silent && !searcher.draining && searcher.changedAt <= since &&
		slices.Contains(searcher.heldSnapshots, snapshot) && slices.Contains(searcher.layouts, layout)
}

func (searcher *searcher) snapshotAge(snapshot uint64) int64 {
	return searcher.loop.now.Sub(searcher.publishedAt[snapshot]).Microseconds()
}

// report returns what the health endpoint reports now.
func (searcher *searcher) report() carobthread.ReportArrived {
	report := carobthread.ReportArrived{
		Searcher:          searcher.config.Name,
		Healthy:           true,
		Running:           len(searcher.running),
		Queued:            len(searcher.queue),
		Draining:          searcher.draining,
		HeldSnapshots:     searcher.heldSnapshots,
		SnapshotAgeMicros: searcher.snapshotAge(slices.Max(searcher.heldSnapshots)),
	}
	if searcher.falseReport != nil {
		report.Healthy, report.Running, report.Queued = searcher.falseReport.Healthy, searcher.falseReport.Running, searcher.falseReport.Queued
	}
	return report
}

// end ends a job and sends its reply to the host.
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
		reply.HeldSnapshots = work.searcher.heldSnapshots
		if work.snapshot != 0 {
			reply.SnapshotAgeMicros = work.searcher.snapshotAge(work.snapshot)
		}
	}
	work.host.receive(work, reply)
}
