package gatherer

import (
	"math/rand/v2"

	"carobthread"
)

// Options selects the policy; the zero value is the policy in force.
type Options struct {
	// RandomReplica is the wait-for-all baseline: a random configured replica, no second attempts, no soft deadline.
	RandomReplica bool `json:"random-replica,omitempty"`
	// FirstPolicy is the baseline that the project started from: two random choices on the in-flight count, up to two retries per shard without a budget and no hedging.
	FirstPolicy bool `json:"first-policy,omitempty"`
}

// Gatherer is the state machine of the query path; it is not safe for concurrent use.
type Gatherer struct {
	options Options
	random  *rand.Rand
	now     carobthread.Instant
	// resumedAt is the end of the last pause; what was observed before it counts as old.
	resumedAt  carobthread.Instant
	configured bool
	self       string
	dataCentre string
	liveHosts  int
	localHosts int
	// budgetHosts is the number of hosts that the retry budgets are divided by: the most that have been known at once.
	budgetHosts int
	retryBudget carobthread.RetryBudget
	startedAt   carobthread.Instant

	services     map[string]*serviceRow
	serviceList  []*serviceRow
	searchers    map[string]*searcherRow
	searcherList []*searcherRow
	centres      map[string]*centreRow
	groups       map[string]*groupRow
	retired      []*layoutRow
	connectAt    carobthread.Instant
	// probeAt is when the next query may try data centres that are cut off.
	probeAt carobthread.Instant
	remote  remoteView
	// groupsAt is when replica groups are next looked through.
	groupsAt carobthread.Instant
	// planEpoch changes whenever something that a plan depends on changes.
	planEpoch uint64

	nextAttempt carobthread.AttemptID
	nextQuery   uint64
	queries     map[carobthread.QueryID]*queryRow
	attempts    map[carobthread.AttemptID]*attemptRow
	answered    answeredRing
	timers      timerHeap
	freed       []*searcherRow
	waitingRows []*shardRow

	actions      []carobthread.Action
	sends        []carobthread.SendAttempt
	freeQueries  []*queryRow
	freeAttempts []*attemptRow
	due          []*queryRow
	classes      []class
	tallies      []tally
	stats        Stats
}

var _ carobthread.Scheduled = (*Gatherer)(nil)

// New returns a gatherer without configuration; the seed fixes its random choices.
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
		stats:       Stats{Refusals: map[carobthread.Reason]uint64{}},
	}
}

// Step takes one event and returns the actions it calls for, in order.
//
// A time before that of an earlier event counts as that earlier time.
func (gatherer *Gatherer) Step(event carobthread.Event) []carobthread.Action {
	gatherer.actions = nil
	gatherer.now = max(gatherer.now, event.At)
	if gatherer.startedAt == 0 {
		gatherer.startedAt = gatherer.now
	}
	switch {
	case event.Query != nil:
		gatherer.runTimers()
		gatherer.pumpFreed()
		gatherer.arrive(event.Query)
	case event.Reply != nil:
		gatherer.reply(event.Reply)
	case event.Gone != nil:
		gatherer.abandon(event.Gone.Query)
	case event.Report != nil:
		gatherer.report(event.Report)
	case event.Config != nil:
		gatherer.configure(&event.Config.Config)
	case event.View != nil:
		gatherer.view(&event.View.View)
	case event.Peers != nil:
		gatherer.peersObserved(event.Peers.Observations)
	case event.Reach != nil:
		gatherer.centre(event.Reach.DataCentre).reply()
	case event.Tick != nil:
		gatherer.tick(event.Tick)
	}
	gatherer.runTimers()
	gatherer.pumpFreed()
	return gatherer.actions
}

// NextDue returns when time alone calls for the next step.
func (gatherer *Gatherer) NextDue() carobthread.Instant {
	due := max(gatherer.connectAt, gatherer.now.Add(pollInterval))
	if len(gatherer.timers) > 0 {
		due = min(due, gatherer.timers[0].due)
	}
	if len(gatherer.waitingRows) > 0 {
		due = min(due, gatherer.now.Add(waitingPollInterval))
	}
	return due
}

// inForce reports whether the policy in force decides, rather than a baseline.
func (gatherer *Gatherer) inForce() bool {
	return !gatherer.options.RandomReplica && !gatherer.options.FirstPolicy
}

// tick checks deadlines before anything else, since the process may have paused.
func (gatherer *Gatherer) tick(tick *carobthread.Ticked) {
	if tick.LateMicros >= pauseThreshold.Microseconds() {
		gatherer.resume()
	}
	gatherer.runTimers()
	gatherer.pumpWaiting()
	gatherer.sweep()
}
