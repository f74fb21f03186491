package gatherer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carobthread"
	"carobthread/limiter"
	"carobthread/predictor"
	"carobthread/stopper"
)

const (
	// maxShardInFlight bounds the attempts of one query in flight to one shard: with 120 shards and 1 reply in 100 slow, a
	// single hedge would leave 1.2% of queries with two slow attempts.
	maxShardInFlight = 3
	// maxAttempts bounds the attempts of one query at one shard.
	maxAttempts = 6
	// maxWaiting bounds the attempts that wait for a slot of one shard.
	maxWaiting = 128
	// maxMoves bounds the moves of one query, since each one repeats the whole fan-out.
	maxMoves = 2
)

// floorRounding absorbs rounding errors, so that exactly the required share of the shards meets the coverage floor.
const floorRounding = 1e-9

// shardState is the state of one shard in one candidate answer.
type shardState struct {
	inFlightAttempts [maxShardInFlight]*attemptRow
	inFlightCount    uint8
	sent             uint8
	waiting          bool
	closed           bool
	// blocked is why the last check of the shard sent no attempt, and blockedClass the best class of its replicas then.
	blocked      carobthread.BlockCause
	blockedClass replicaClass
	// tried holds the replicas that were sent an attempt in the current round, reached those in any round.
	tried   replicaSet
	reached replicaSet
	// reachedElsewhere counts the searchers of an earlier layout that the query was sent to for this shard and that the
	// present one lacks.
	reachedElsewhere int
	// freeRetry is set after a first attempt in a replica group that reached no searcher, since its retry is no extra load.
	freeRetry bool
	reply     carobthread.AttemptID
	// checkAt is when to hedge or retry, or 0.
	checkAt carobthread.Instant
	reason  carobthread.Reason
}

// candidate is a snapshot and layout that a query may be answered from, with the replies from these.
type candidate struct {
	layout   *layoutRow
	snapshot uint64
	// pinned is false until the first reply fixes the snapshot of a query that asked for the newest one.
	pinned   bool
	shards   []shardState
	answered int
	age      int64
}

// matches reports whether a reply of that snapshot and layout belongs to the candidate.
func (candidate *candidate) matches(snapshot uint64, generation uint32) bool {
	return candidate.pinned && candidate.snapshot == snapshot && candidate.layout.generation == generation
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
	// fallback holds replies from one other snapshot or layout; it has no attempts in flight.
	fallback     *candidate
	arrived      carobthread.Instant
	softDeadline carobthread.Instant
	deadline     carobthread.Instant
	// due is when the query's timer fires; heapIndex is its index in the timer heap, or -1.
	due       carobthread.Instant
	heapIndex int
	// pendingShards counts the shards of the current candidate that may still get a reply.
	pendingShards int
	waiting       int
	moves         int
	sent          uint32
	// mayHaveRun counts the attempts sent that may have run: all but those whose reply shows that they did not run.
	mayHaveRun int
	// maxSearchers bounds the searchers that the query is sent to for each shard; withheld is set while only one of them may be
	// used.
	maxSearchers int
	withheld     bool
	// wanted is set once the grant was asked for.
	wanted bool
	// fixed is set if the query must keep its layout, in which its searchers are counted.
	fixed bool
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
	// unpinned is set if the attempt asked for the searcher's newest snapshot.
	unpinned bool
	// forecast is what was expected of the attempt, or the zero value without prediction.
	forecast predictor.Forecast
	// reachesNew is set if no earlier attempt of the query was sent to the replica.
	reachesNew bool
}

// searcherRow is what this host knows about one searcher; it is kept after the searcher leaves the configuration while
// attempts are in flight.
type searcherRow struct {
	config carobthread.Searcher
	centre *centreRow
	known  bool
	local  bool
	// unheld is set while there are more hosts than the searcher accepts connections and it is assigned to other hosts.
	unheld bool
	freed  bool
	limit  limiter.InFlight
	// rateLimit is the number of requests per second that the searcher accepts from all hosts together, or 0 for no limit;
	// rate is this host's share.
	rateLimit float64
	// pausedUntil is the end of the time for which the searcher wants no requests of this host.
	pausedUntil carobthread.Instant
	rate        limiter.Rate
	cold        coldTime
	// prediction is nil until a report calls for it.
	prediction      *searcherPrediction
	ejection        limiter.Ejection
	connectionShare limiter.ConnectionShare
	servedShards    []*shardRow
	// workSent is the expected work of all attempts sent to the searcher, and turnAt its value after the last turn of a service.
	workSent time.Duration
	turnAt   time.Duration
	// serviceCount is the number of services that have the searcher in a layout, delegableCount that of those among them whose
	// queries may be delegated.
	serviceCount   int
	delegableCount int

	draining  bool
	drainedAt carobthread.Instant
	// evacuated is set once the evacuation of the searcher's data centre is complete.
	evacuated bool

	// failureRate is the moving average of the share of attempts that the searcher failed or refused, failureRateAt the
	// time of its last sample.
	failureRate   float64
	failureRateAt carobthread.Instant
	// unpublished counts this host's attempts since they were last published to other hosts; publishing stops at publishUntil.
	unpublished  carobthread.Observation
	publishUntil carobthread.Instant
	// firstLateAt and lastLateAt are when the first and the last of the attempts that are late since the last reply were
	// sent, or 0.
	firstLateAt carobthread.Instant
	lastLateAt  carobthread.Instant
	// peersFirstLateAt is firstLateAt for the attempts of other hosts, and peersRepliedAt the time of the last reply to any of
	// them.
	peersFirstLateAt carobthread.Instant
	peersRepliedAt   carobthread.Instant
	// repliedAt is the time of the last reply; the searcher is avoided until stalledUntil after late attempts showed that it
	// does not reply.
	repliedAt    carobthread.Instant
	stalledUntil carobthread.Instant
	// lastFailureAt is the time of the last bad outcome that counted towards an ejection.
	lastFailureAt carobthread.Instant

	held []uint64
	// heldAt is when the held snapshots were last listed by a reply or report, listedByReplyAt when by a reply.
	heldAt          carobthread.Instant
	listedByReplyAt carobthread.Instant
	// refusedSnapshot is a snapshot that the searcher refused as missing; the refusal counts until refusedUntil.
	refusedSnapshot uint64
	refusedUntil    carobthread.Instant

	reportedAt carobthread.Instant
	healthy    bool
	load       int
}

// usable reports whether the searcher may be sent new attempts at all.
func (searcher *searcherRow) usable() bool { return searcher.staying() && !searcher.evacuated }

// staying reports whether the searcher is configured and doesn't leave.
func (searcher *searcherRow) staying() bool {
	return searcher.known && !searcher.draining && !searcher.config.Leaving
}

// replicaRow is the state of one searcher for one service, so that one service's attempts do not count against another's.
type replicaRow struct {
	service  *serviceRow
	searcher *searcherRow
	inFlight int
	// reserve is the number of other services at the searcher that are at least as urgent; each has a slot in reserve.
	reserve int
	// servedAt is the searcher's workSent after the last attempt of the service.
	servedAt time.Duration
	// latency is a moving average in nanoseconds, sampledAt the time of its last sample.
	latency   float64
	sampledAt carobthread.Instant
	// prediction is nil until a reply has arrived while reports call for it.
	prediction *replicaPrediction
}

// shardReplica is a replica of a shard in one layout.
type shardReplica struct {
	row *replicaRow
	// layoutRefusedUntil is when the searcher stops counting as lacking the layout.
	layoutRefusedUntil carobthread.Instant
}

// shardRow is a shard of a layout with the attempts that wait for a slot.
type shardRow struct {
	group           *groupRow
	replicas        []shardReplica
	waiting         []waitingAttempt
	inWaitingShards bool
	// pass is the last pass over queues that has visited this one.
	pass uint64
}

// layoutRow is a layout with its names resolved to table rows.
type layoutRow struct {
	generation uint32
	shards     []shardRow
	// definition is Layout.Definition.
	definition uint64
	// groups holds the names of the shards' replica groups; grouped is set if the shards refer to them.
	groups  []string
	grouped bool
	// configured is set while the configuration has the layout.
	configured bool
	// refCount counts the candidates of queries in progress that refer to the layout.
	refCount int
}

// serviceRow is a service with its configured layouts.
type serviceRow struct {
	config carobthread.Service
	// number identifies the service among those of this host.
	number    int
	known     bool
	layouts   []*layoutRow
	replicas  map[string]*replicaRow
	admission limiter.Admission
	budget    limiter.Budget
	latency   latencyWindow
	// work and centreCosts are the estimates for prediction, overall and by data centre.
	work        predictor.Estimate
	centreCosts []*centreCost
	// history holds how long recent queries took, for the decisions of a graceful stop.
	history stopper.History
	// hedgingPausedUntil is when hedging may start again after an upstream has shed load.
	hedgingPausedUntil carobthread.Instant
	waiting            int
	// cutOff is set while queries are refused because required shards are only in data centres that are cut off.
	cutOff bool

	plan      queryPlan
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

// floorMet reports whether the candidate meets the service's coverage floor.
func (service *serviceRow) floorMet(candidate *candidate) bool {
	return float64(candidate.answered) >= service.config.CoverageFloor*float64(len(candidate.shards))-floorRounding
}

// required returns how many shards out of the given number the service's coverage floor requires, at least one.
func (service *serviceRow) required(shards int) int {
	return max(1, int(math.Ceil(service.config.CoverageFloor*float64(shards)-floorRounding)))
}

// maxSearchers returns how many searchers a query may be sent to for each shard.
func (service *serviceRow) maxSearchers() int {
	if limit := service.config.MaxSearchers; limit > 0 {
		return limit
	}
	return maxAttempts
}

// atSearcherLimit reports whether the shard's attempts have reached as many searchers as the query permits.
func (state *shardState) atSearcherLimit(query *queryRow) bool {
	reached := state.reached.count() + state.reachedElsewhere
	return reached >= query.maxSearchers || query.withheld && reached > 0
}

// hedgeDelay returns the time after which an attempt counts as late, or 0 if it is unknown. It is the measured hedge
// quantile, capped at the larger of the configured delay and twice the median, since the faults that hedges are meant for
// also raise the measured latencies.
func (service *serviceRow) hedgeDelay() time.Duration {
	measured, configured := service.latency.hedge, service.config.HedgeDelay
	if measured == 0 || configured == 0 {
		return cmp.Or(measured, configured)
	}
	return min(measured, max(configured, 2*service.latency.median))
}

// floorOutOfReach reports whether a required coverage floor can no longer be met.
func (service *serviceRow) floorOutOfReach(query *queryRow) bool {
	if !service.config.FloorRequired {
		return false
	}
	best := query.best()
	reachable := candidate{shards: best.shards, answered: best.answered}
	if best == &query.current {
		reachable.answered += query.pendingShards
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
	if replica.sampledAt == 0 {
		replica.latency = float64(latency)
	} else {
		replica.latency += weight * (float64(latency) - replica.latency)
	}
	replica.sampledAt = now
}

// setHeld replaces the held snapshots and reports whether they changed.
func (searcher *searcherRow) setHeld(now carobthread.Instant, held []uint64) bool {
	searcher.heldAt = now
	if slices.Equal(searcher.held, held) {
		return false
	}
	searcher.held = append(searcher.held[:0], held...)
	if slices.Contains(held, searcher.refusedSnapshot) {
		searcher.refusedUntil = 0
	}
	return true
}
