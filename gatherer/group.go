package gatherer

// Services may share the searchers of a shard. The limits that protect these searchers, the retry
// budget and the hedging pause after shed load, are then kept per replica group and not per
// service, since a fault of one group must not use up the budget of another.

import (
	"maps"
	"time"

	"carobthread"
	"carobthread/limiter"
)

// groupPollInterval is the time between two tries to take an attempt from a group's exhausted budget, which later queries
// refill.
const groupPollInterval = 10 * time.Millisecond

// groupRow is a replica group with its retry budget.
type groupRow struct {
	slidingBudget limiter.SlidingBudget
	// usedAt is the time of the last query or extra attempt.
	usedAt carobthread.Instant
	// hedgingPausedUntil is when hedging may start again after a searcher of the group has shed load.
	hedgingPausedUntil carobthread.Instant
}

// group returns the replica group of a shard, or nil.
func (query *queryRow) group(shard uint32) *groupRow { return query.current.layout.shards[shard].group }

// group returns the row of a group and creates it if needed; it returns nil for a shard without a group.
func (gatherer *Gatherer) group(name string) *groupRow {
	if name == "" {
		return nil
	}
	row := gatherer.groups[name]
	if row == nil {
		windowStart := gatherer.startedAt
		if gatherer.configured {
			windowStart = gatherer.now
		}
		row = &groupRow{slidingBudget: limiter.NewSlidingBudget(windowStart), usedAt: gatherer.now}
		gatherer.groups[name] = row
	}
	return row
}

// hostStarts holds when the processes of the hosts have started, until this host's first retry budget window has ended.
type hostStarts struct {
	self  carobthread.Instant
	all   []carobthread.Instant
	ended bool
}

// record takes the starts from a view. A host's start is 0 while it is unknown.
func (starts *hostStarts) record(view *carobthread.View) {
	if starts.ended {
		return
	}
	starts.all = starts.all[:0]
	for _, host := range view.Hosts {
		if host.Name == view.Self {
			starts.self = host.Incarnation.Start
		}
		starts.all = append(starts.all, host.Incarnation.Start)
	}
}

// restarted returns the share of the hosts that have started within the window and the end of this host's first window. The
// share is 0 once that has ended.
func (starts *hostStarts) restarted(now carobthread.Instant, window time.Duration) (share float64, end carobthread.Instant) {
	end = starts.self.Add(window)
	if starts.self == 0 || len(starts.all) == 0 || window == 0 {
		return 0, end
	}
	if now >= end {
		starts.all, starts.ended = nil, true
		return 0, end
	}
	recent := 0
	for _, start := range starts.all {
		if now.Sub(start) < window {
			recent++
		}
	}
	return float64(recent) / float64(len(starts.all)), end
}

// configureGroups divides the budget of each group by the number of live hosts and of coordinators.
func (gatherer *Gatherer) configureGroups() {
	budget := &gatherer.retryBudget
	coordinates := gatherer.coordinators.usesReserve(gatherer.now, budget.Window)
	restarted, restartEnd := gatherer.starts.restarted(gatherer.now, budget.Window)
	for _, row := range gatherer.groups {
		row.slidingBudget.LimitAfterRestart(restarted, restartEnd)
		row.slidingBudget.Configure(budget.Ratio, budget.Slack, gatherer.budgetHosts, budget.Window)
		row.slidingBudget.Split(gatherer.coordinators.most, coordinates)
	}
}

// countRequest counts a query for the group of each of its shards.
func (gatherer *Gatherer) countRequest(layout *layoutRow) {
	for shard := range layout.shards {
		if group := layout.shards[shard].group; group != nil {
			group.usedAt = gatherer.now
			group.slidingBudget.CountRequest(gatherer.now)
		}
	}
}

// takeBudget takes an extra attempt of the kind from the budget of the shard's group, or of the service if the shard has no
// group.
func (gatherer *Gatherer) takeBudget(query *queryRow, shard uint32, kind carobthread.AttemptKind) bool {
	if group := query.group(shard); group != nil {
		group.usedAt = gatherer.now
		return group.slidingBudget.Take(gatherer.now)
	}
	if kind == carobthread.AttemptHedge {
		return query.service.budget.TakeHedge()
	}
	return query.service.budget.TakeRetry(1)
}

// sweepGroups removes the groups that no layout refers to and whose last use is outside any retry budget window.
func (gatherer *Gatherer) sweepGroups() {
	named := map[*groupRow]bool{}
	markNamed := func(layouts []*layoutRow) {
		for _, layout := range layouts {
			for shard := range layout.shards {
				named[layout.shards[shard].group] = true
			}
		}
	}
	for _, service := range gatherer.serviceList {
		markNamed(service.layouts)
	}
	markNamed(gatherer.retiredLayouts)
	maps.DeleteFunc(gatherer.groups, func(_ string, group *groupRow) bool {
		return !named[group] && gatherer.now.Sub(group.usedAt) > 2*gatherer.retryBudget.Window
	})
}

// refund gives back to the budget an extra attempt that was taken at the given time and not sent.
func (gatherer *Gatherer) refund(query *queryRow, shard uint32, takenAt carobthread.Instant) {
	if group := query.group(shard); group != nil {
		group.slidingBudget.Refund(takenAt)
		return
	}
	query.service.budget.Refund(1)
}

// budgetRetryDelay returns the delay before the next try to take an attempt from the budget.
func (gatherer *Gatherer) budgetRetryDelay(query *queryRow, shard uint32) time.Duration {
	if query.group(shard) != nil {
		return groupPollInterval
	}
	return pollInterval
}

// hedgingPausedUntil returns when hedging may start again at a shard.
func (gatherer *Gatherer) hedgingPausedUntil(query *queryRow, shard uint32) carobthread.Instant {
	if group := query.group(shard); group != nil {
		return group.hedgingPausedUntil
	}
	return query.service.hedgingPausedUntil
}

// pauseHedging pauses hedging for a while after a searcher of the shard has shed load.
func (gatherer *Gatherer) pauseHedging(attempt *attemptRow) {
	until := gatherer.now.Add(hedgePause)
	if group := attempt.query.group(attempt.shard); group != nil {
		group.hedgingPausedUntil = until
		return
	}
	attempt.replica.service.hedgingPausedUntil = until
}
