package gatherer

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"carobthread"
	"carobthread/limiter"
)

const (
	// maxFlights bounds the attempts in flight for one shard: with 120 shards and 1 reply in 100 slow, one hedge alone leaves 1.2% of queries with two slow attempts.
	maxFlights = 3
	// maxAttempts bounds the attempts at one shard of one query.
	maxAttempts = 6
	// maxWaiting bounds the attempts that wait for a slot of one shard.
	maxWaiting = 128
	// maxMoves bounds the moves of one query, since each one repeats it whole.
	maxMoves = 2
)

// floorRounding lets a floor that is a share of the shards be met by exactly that many.
const floorRounding = 1e-9

// shardState is one shard of one candidate answer.
type shardState struct {
	flights [maxFlights]*attemptRow
	flying  uint8
	sent    uint8
	waiting bool
	closed  bool
	// tried has a bit for each replica that the present round of attempts was sent to, reached for every one that any was.
	tried   uint64
	reached uint64
	// unpaid is set after an attempt that reached nobody, whose successor is no extra load.
	unpaid bool
	reply  carobthread.AttemptID
	// checkAt is when to hedge or retry, or 0.
	checkAt carobthread.Instant
	reason  carobthread.Reason
}

// candidate is one snapshot and layout that a query may be answered from, with the replies that belong to it.
type candidate struct {
	layout   *layoutRow
	snapshot uint64
	// bound is false until the first reply fixes the snapshot of a query that asked for the newest one.
	bound    bool
	shards   []shardState
	answered int
	age      int64
}

// matches reports whether a reply of that snapshot and layout belongs to the candidate.
func (candidate *candidate) matches(snapshot uint64, generation uint32) bool {
	return candidate.bound && candidate.snapshot == snapshot && candidate.layout.generation == generation
}

// better reports whether the candidate covers a greater share of its shards than the other.
func (candidate *candidate) better(other *candidate) bool {
	return candidate.answered*len(other.shards) > other.answered*len(candidate.shards)
}

// complete reports whether every shard has a reply.
func (candidate *candidate) complete() bool { return candidate.answered == len(candidate.shards) }

// accept counts the reply of a shard.
func (candidate *candidate) accept(state *shardState, reply *carobthread.ReplyArrived) {
	state.reply = reply.Attempt
	state.checkAt = 0
	candidate.answered++
	candidate.age = max(candidate.age, reply.SnapshotAgeMicros)
}

// queryRow is one query in progress.
type queryRow struct {
	id       carobthread.QueryID
	sequence uint64
	service  *serviceRow
	current  candidate
	// earlier holds replies of one other snapshot or layout; it has no attempts in flight.
	earlier  *candidate
	arrived  carobthread.Instant
	soft     carobthread.Instant
	deadline carobthread.Instant
	// due is when the query needs attention next; position is its place in the timer heap or -1.
	due      carobthread.Instant
	position int
	// open counts the shards of the current candidate that may still get a reply.
	open    int
	waiting int
	moves   int
	sent    uint32
	// unproven counts the attempts sent without a proof that they have not run.
	unproven int
}

// attemptRow is one attempt in flight.
type attemptRow struct {
	id      carobthread.AttemptID
	query   *queryRow
	shard   uint32
	index   int
	replica *replicaRow
	sentAt  carobthread.Instant
	kind    carobthread.AttemptKind
	// unbound is set if the attempt asked for the newest snapshot.
	unbound bool
}

// searcherRow is what this host knows of one searcher; it outlives its configuration while attempts are in flight.
type searcherRow struct {
	config carobthread.Searcher
	centre *centreRow
	known  bool
	local  bool
	// unheld is set while the hosts are more than the searcher accepts connections, and this one leaves it to others.
	unheld   bool
	freed    bool
	limit    limiter.InFlight
	ejection limiter.Ejection
	share    limiter.Share
	serves   []*shardRow
	// users counts the services that have the searcher in a layout.
	users int

	draining  bool
	drainedAt carobthread.Instant

	// failing is the moving share of attempts that the searcher failed or refused, failingAt its last sample.
	failing   float64
	failingAt carobthread.Instant
	// seen counts the own attempts since they were last told to other hosts, which they are until tellUntil.
	seen      carobthread.Observation
	tellUntil carobthread.Instant
	// lateFrom and lateAt are when the first and the last attempt were sent that have been late since the last reply, or 0.
	lateFrom carobthread.Instant
	lateAt   carobthread.Instant
	// peersLateFrom and peersRepliedAt are the same of other hosts.
	peersLateFrom  carobthread.Instant
	peersRepliedAt carobthread.Instant
	// repliedAt is the last reply; stalledUntil is set while late attempts show that the searcher answers nothing.
	repliedAt    carobthread.Instant
	stalledUntil carobthread.Instant
	// badAt is the last bad outcome that counted towards an ejection.
	badAt carobthread.Instant

	held []uint64
	// heldAt is when the held snapshots were last stated, statedAt when a reply stated them.
	heldAt   carobthread.Instant
	statedAt carobthread.Instant
	// lacks is a snapshot that the searcher said it does not hold without listing those it holds.
	lacks      uint64
	lacksUntil carobthread.Instant

	reportAt carobthread.Instant
	healthy  bool
	load     int
}

// usable reports whether new attempts may be sent at all.
func (searcher *searcherRow) usable() bool {
	return searcher.known && !searcher.draining && !searcher.config.Leaving
}

// replicaRow is one searcher as one service sees it, so that one service's attempts do not count against another's.
type replicaRow struct {
	service  *serviceRow
	searcher *searcherRow
	inFlight int
	// latency is a moving mean in nanoseconds, seenAt its last sample.
	latency float64
	seenAt  carobthread.Instant
}

// shardReplica is a replica in one layout.
type shardReplica struct {
	row *replicaRow
	// lacksUntil is how long the searcher counts as not holding the layout.
	lacksUntil carobthread.Instant
}

// shardRow is one shard of one layout with the attempts that wait for a slot.
type shardRow struct {
	group    *groupRow
	replicas []shardReplica
	waiting  []waiter
	listed   bool
}

// layoutRow is one layout with its names resolved.
type layoutRow struct {
	generation uint32
	shards     []shardRow
	// users counts the candidates of queries in progress that refer to the layout.
	users int
}

// serviceRow is one service with its layouts in force.
type serviceRow struct {
	config    carobthread.Service
	known     bool
	layouts   []*layoutRow
	replicas  map[string]*replicaRow
	admission limiter.Admission
	budget    limiter.Budget
	latency   latencyWindow
	// hedgeFrom is when hedging may start again after upstreams shed load.
	hedgeFrom carobthread.Instant
	waiting   int
	// cutOff is set while queries are refused because their shards are in data centres that are cut off.
	cutOff bool

	plan      target
	planEpoch uint64
	planUntil carobthread.Instant
}

func (service *serviceRow) layout(generation uint32) *layoutRow {
	for _, layout := range service.layouts {
		if layout.generation == generation {
			return layout
		}
	}
	return nil
}

// floorMet reports whether the candidate covers the service's floor.
func (service *serviceRow) floorMet(candidate *candidate) bool {
	return float64(candidate.answered) >= service.config.CoverageFloor*float64(len(candidate.shards))-floorRounding
}

// required returns how many of so many shards the service's floor asks for, at least one.
func (service *serviceRow) required(shards int) int {
	return max(1, int(math.Ceil(service.config.CoverageFloor*float64(shards)-floorRounding)))
}

// maxSearchers returns how many searchers a query may be sent to for each shard.
func (service *serviceRow) maxSearchers() int {
	if bound := service.config.MaxAttempts; bound > 0 {
		return bound
	}
	return maxAttempts
}

// full reports whether the shard's attempts have reached as many searchers as they may.
func (state *shardState) full(service *serviceRow) bool {
	return bits.OnesCount64(state.reached) >= service.maxSearchers()
}

// hedgeDelay returns when an attempt counts as late: by the latencies seen, but no later than the configured delay or
// twice the median, since latencies rise with the very faults that hedges are for; 0 if it is not known.
func (service *serviceRow) hedgeDelay() time.Duration {
	seen, configured := service.latency.hedge, service.config.HedgeDelay
	if seen == 0 || configured == 0 {
		return cmp.Or(seen, configured)
	}
	return min(seen, max(configured, 2*service.latency.median))
}

// floorLost reports whether a required floor can no longer be met.
func (service *serviceRow) floorLost(query *queryRow) bool {
	if !service.config.FloorRequired {
		return false
	}
	best := query.best()
	reachable := candidate{shards: best.shards, answered: best.answered}
	if best == &query.current {
		reachable.answered += query.open
	}
	return !service.floorMet(&reachable)
}

// latencyFirst reports whether the service answers at the soft deadline.
func (service *serviceRow) latencyFirst() bool {
	return service.config.Preference == carobthread.LatencyFirst && service.config.SoftDeadline > 0
}

// observe adds a latency sample to the replica's estimate.
func (replica *replicaRow) observe(now carobthread.Instant, latency time.Duration) {
	const weight = 0.2
	if replica.seenAt == 0 {
		replica.latency = float64(latency)
	} else {
		replica.latency += weight * (float64(latency) - replica.latency)
	}
	replica.seenAt = now
}

// hold replaces the held snapshots and reports whether they differ.
func (searcher *searcherRow) hold(now carobthread.Instant, held []uint64) bool {
	searcher.heldAt = now
	if slices.Equal(searcher.held, held) {
		return false
	}
	searcher.held = append(searcher.held[:0], held...)
	if slices.Contains(held, searcher.lacks) {
		searcher.lacksUntil = 0
	}
	return true
}
