package gatherer

import (
	"math/rand/v2"

	"carobthread"
	"carobthread/predictor"
	"carobthread/scheduler"
	"carobthread/stopper"
)

// Options selects the policy; the zero value is the current policy, the other values are baselines for comparison.
type Options struct {
	// RandomReplica selects the wait-for-all baseline: a random configured replica, no second attempts and no soft deadline.
	RandomReplica bool `json:"random-replica,omitempty"`
	// OriginalPolicy selects the project's original policy as a baseline: the less loaded of two random replicas by attempts in
	// flight, up to two retries per shard without a budget and no hedging.
	OriginalPolicy bool `json:"first-policy,omitempty"`
	// MinHosts is the least number of hosts to divide the limits of cold searchers by, such as the number named in the settings.
	MinHosts int `json:"min-hosts,omitempty"`
}

// Gatherer is the state machine of the query path; it is not safe for concurrent use.
type Gatherer struct {
	options Options
	random  *rand.Rand
	now     carobthread.Instant
	// resumedAt is the end of the last process pause; earlier observations are treated as stale.
	resumedAt  carobthread.Instant
	configured bool
	self       string
	dataCentre string
	liveHosts  int
	localHosts int
	// budgetHosts is the divisor of the retry budgets: the highest number of live hosts known at once.
	budgetHosts  int
	starts       hostStarts
	retryBudget  carobthread.RetryBudget
	coordinators coordinatorCounts
	startedAt    carobthread.Instant
	stop         stopper.Stop

	services    map[string]*serviceRow
	serviceList []*serviceRow
	// serviceCount counts the services ever configured.
	serviceCount   int
	searchers      map[string]*searcherRow
	searcherList   []*searcherRow
	centres        map[string]*centreRow
	groups         map[string]*groupRow
	retiredLayouts []*layoutRow
	nextConnectAt  carobthread.Instant
	// evacuationDueAt is when the next evacuation is complete, or 0 without one.
	evacuationDueAt carobthread.Instant
	// nextProbeAt is when the next query may be sent to data centres that are cut off.
	nextProbeAt carobthread.Instant
	remote      remoteView
	// backpressured is set while any searcher asks its callers for less than usual; it may be set for a second too long.
	backpressured bool
	// coldSearchers are the searchers that are cold; the first coldReported of them have been reported.
	coldSearchers []*searcherRow
	coldReported  int
	// seen are the hosts that may send to cold searchers.
	seen seenHosts
	// predictedUntil is the end of the time in which reports of any searcher call for prediction.
	predictedUntil carobthread.Instant
	// belief tells how far the reports are believed.
	belief predictor.Belief
	// nextGroupSweepAt is when unused replica groups are next removed.
	nextGroupSweepAt carobthread.Instant
	// planEpoch is incremented whenever an input of the query plans changes.
	planEpoch uint64

	nextAttempt   carobthread.AttemptID
	nextQuery     uint64
	queries       map[carobthread.QueryID]*queryRow
	attempts      map[carobthread.AttemptID]*attemptRow
	replied       repliedRing
	timers        timerHeap
	freed         []*searcherRow
	waitingShards []*shardRow
	// waiting counts the attempts in all queues.
	waiting int
	// pass numbers the passes over queues that visit each one once.
	pass uint64

	actions      []carobthread.Action
	sends        []carobthread.SendAttempt
	freeQueries  freeList[queryRow]
	freeAttempts freeList[attemptRow]
	due          []*queryRow
	classes      []replicaClass
	tallies      []snapshotTally
	competitors  []competitor
	entries      []scheduler.Entry
	stats        Stats
}

var _ carobthread.Scheduled = (*Gatherer)(nil)

// New returns a gatherer without configuration; the seed determines its random choices.
func New(seed uint64, options Options) *Gatherer {
	return &Gatherer{
		options:     options,
		random:      rand.New(rand.NewPCG(seed, 0)),
		liveHosts:   1,
		localHosts:  1,
		budgetHosts: 1,
		groups:      map[string]*groupRow{},
		services:    map[string]*serviceRow{},
		searchers:   map[string]*searcherRow{},
		centres:     map[string]*centreRow{},
		queries:     map[carobthread.QueryID]*queryRow{},
		attempts:    map[carobthread.AttemptID]*attemptRow{},
		belief:      predictor.NewBelief(),
		stats:       Stats{Refusals: map[carobthread.Reason]uint64{}, BlockedShards: map[carobthread.BlockCause]uint64{}},
	}
}

// Step processes one event and returns the resulting actions in order.
//
// Time never runs backwards: an event older than the previous one is processed at the previous one's time.
func (gatherer *Gatherer) Step(event carobthread.Event) []carobthread.Action {
	gatherer.actions = nil
	gatherer.now = max(gatherer.now, event.At)
	if gatherer.startedAt == 0 {
		gatherer.startedAt = gatherer.now
	}
	if gatherer.evacuationDueAt != 0 && gatherer.now >= gatherer.evacuationDueAt {
		gatherer.completeEvacuations()
		gatherer.sendAllWaiting()
	}
	gatherer.endCold()
	switch {
	case event.Query != nil:
		gatherer.runTimers()
		gatherer.sendWaitingOnFreed()
		if gatherer.backpressured {
			gatherer.sendAllWaiting() // The tokens of rate limits come with time, and waiting attempts must get them first.
		}
		gatherer.handleQuery(event.Query)
	case event.Reply != nil:
		gatherer.reply(event.Reply)
	case event.Gone != nil:
		gatherer.abandon(event.Gone.Query)
	case event.Grant != nil:
		gatherer.grant(event.Grant.Query)
	case event.Report != nil:
		gatherer.report(event.Report)
	case event.Config != nil:
		gatherer.configure(&event.Config.Config)
	case event.View != nil:
		gatherer.view(&event.View.View)
	case event.Peers != nil:
		gatherer.recordPeerObservations(event.Peers.Observations)
	case event.Reach != nil:
		gatherer.centre(event.Reach.DataCentre).reply(gatherer.now)
	case event.Stop != nil:
		gatherer.beginStop(event.Stop)
	case event.Tick != nil:
		gatherer.tick(event.Tick)
	}
	gatherer.runTimers()
	gatherer.sendWaitingOnFreed()
	return gatherer.actions
}

// NextDue returns the time by which Step must be called even without an event.
func (gatherer *Gatherer) NextDue() carobthread.Instant {
	due := max(gatherer.nextConnectAt, gatherer.now.Add(pollInterval))
	if len(gatherer.timers) > 0 {
		due = min(due, gatherer.timers[0].due)
	}
	if gatherer.evacuationDueAt != 0 {
		due = min(due, gatherer.evacuationDueAt)
	}
	if len(gatherer.waitingShards) > 0 {
		due = min(due, gatherer.now.Add(waitingPollInterval))
	}
	return due
}

// usesCurrentPolicy reports whether the current policy is selected, rather than a baseline.
func (gatherer *Gatherer) usesCurrentPolicy() bool {
	return !gatherer.options.RandomReplica && !gatherer.options.OriginalPolicy
}

// tick checks deadlines before anything else, because the process may have been paused.
func (gatherer *Gatherer) tick(tick *carobthread.TickArrived) {
	if tick.LateMicros >= pauseThreshold.Microseconds() {
		gatherer.resume()
	}
	gatherer.runTimers()
	gatherer.sendAllWaiting()
	gatherer.sweep()
}
