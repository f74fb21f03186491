package gatherer

// A new configuration or view replaces the previous one. Rows of searchers, services and layouts
// that it no longer contains are kept until no attempt or query refers to them.

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/limiter"
)

const (
	// maxExtraAttemptRatio is the most tokens that each of the two buckets of a service's budget gains per first attempt.
	maxExtraAttemptRatio = 0.05
	// minBurst and burstQueries set the burst size of a service's budget: burstQueries times its largest fan-out, since a move
	// of a query costs its whole fan-out, but at least minBurst.
	minBurst     = 100
	burstQueries = 10
	// connectInterval is the time between two adjustments of the connection shares.
	connectInterval = time.Second
	// groupSweepInterval is the time between two sweeps of unused replica groups.
	groupSweepInterval = 10 * time.Second
)

// configure replaces the configuration; queries in progress keep the layouts that they refer to.
func (gatherer *Gatherer) configure(config *carobthread.Config) {
	gatherer.planEpoch++
	gatherer.retryBudget = config.RetryBudget
	gatherer.configureSearchers(config.Searchers)
	gatherer.completeEvacuations()
	gatherer.configureServices(config)
	gatherer.configureGroups()
	gatherer.linkShards()
	gatherer.assignSearchers()
	gatherer.capEjections()
	gatherer.configured = true
	gatherer.emitColdChanges()
	gatherer.connect()
	gatherer.runTimers()
	gatherer.sendAllWaiting()
}

func (gatherer *Gatherer) configureSearchers(searchers []carobthread.Searcher) {
	for _, row := range gatherer.searcherList {
		row.known = false
	}
	for _, centre := range gatherer.centres {
		centre.searchers = 0
	}
	for _, searcher := range searchers {
		row := gatherer.searchers[searcher.Name]
		isNew := row == nil
		if isNew {
			row = &searcherRow{limit: limiter.NewInFlight(searcher.Slots)}
			if gatherer.configured && gatherer.usesCurrentPolicy() {
				row.limit.Restart()
			}
			gatherer.searchers[searcher.Name] = row
			gatherer.searcherList = append(gatherer.searcherList, row)
		}
		if row.config.Leaving && !searcher.Leaving && gatherer.usesCurrentPolicy() {
			row.limit.Restart()
		}
		gatherer.recordCold(row, &searcher, isNew)
		gatherer.recordRestored(row, &searcher)
		row.config = searcher
		row.centre = gatherer.centre(searcher.DataCentre)
		row.centre.searchers++
		row.known = true
		row.local = gatherer.isLocal(row)
		row.limit.Resize(searcher.Slots)
	}
}

// isLocal reports whether the searcher is in this host's data centre; all searchers count as local until that is known.
func (gatherer *Gatherer) isLocal(searcher *searcherRow) bool {
	return gatherer.dataCentre == "" || searcher.config.DataCentre == gatherer.dataCentre
}

func (gatherer *Gatherer) configureServices(config *carobthread.Config) {
	for _, row := range gatherer.serviceList {
		row.known = false
		for _, layout := range row.layouts {
			layout.configured = false
		}
		gatherer.retiredLayouts = append(gatherer.retiredLayouts, row.layouts...)
	}
	layouts := map[string][]*carobthread.Layout{}
	for i := range config.Layouts {
		layout := &config.Layouts[i]
		layouts[layout.Service] = append(layouts[layout.Service], layout)
	}
	for i := range config.Services {
		service := &config.Services[i]
		gatherer.configureService(service, layouts[service.Name])
	}
	for _, row := range gatherer.serviceList {
		if !row.known {
			row.layouts = nil
		}
	}
	gatherer.retiredLayouts = slices.DeleteFunc(gatherer.retiredLayouts, func(layout *layoutRow) bool {
		return layout.refCount == 0 || layout.configured
	})
}

func (gatherer *Gatherer) configureService(service *carobthread.Service, layouts []*carobthread.Layout) {
	row := gatherer.services[service.Name]
	if row == nil {
		gatherer.serviceCount++
		row = &serviceRow{number: gatherer.serviceCount}
		gatherer.services[service.Name] = row
		gatherer.serviceList = append(gatherer.serviceList, row)
	}
	row.config = *service
	row.known = true
	row.admission.Resize(service.MaxInFlight)
	row.latency.configure(service.HedgeQuantile)
	if !gatherer.layoutsUnchanged(row, layouts) {
		gatherer.resolveLayouts(row, layouts)
	}
	fanOut := 0
	for _, layout := range row.layouts {
		layout.configured = true
		fanOut = max(fanOut, len(layout.shards))
	}
	row.budget.Configure(extraAttemptRatio(service.ExtraAttemptRatio), max(minBurst, burstQueries*fanOut))
}

// extraAttemptRatio returns the configured ratio capped at maxExtraAttemptRatio; 0 selects the maximum and a negative ratio
// permits no extra attempts.
func extraAttemptRatio(configured float64) float64 {
	if configured == 0 {
		return maxExtraAttemptRatio
	}
	return min(max(0, configured), maxExtraAttemptRatio)
}

// mayEject reports whether every shard of the searcher keeps at least half of its replicas if it is ejected.
func (gatherer *Gatherer) mayEject(searcher *searcherRow) bool {
	for _, row := range searcher.servedShards {
		if gatherer.ejectedCount(row) >= limiter.MaxEjected(len(row.replicas)) {
			return false
		}
	}
	return true
}

func (gatherer *Gatherer) ejectedCount(row *shardRow) int {
	count := 0
	for i := range row.replicas {
		if row.replicas[i].row.searcher.ejection.Ejected(gatherer.now) {
			count++
		}
	}
	return count
}

// capEjections reverts ejections that exceed the cap under a new layout.
func (gatherer *Gatherer) capEjections() {
	for _, searcher := range gatherer.searcherList {
		if !searcher.ejection.Ejected(gatherer.now) {
			continue
		}
		for _, row := range searcher.servedShards {
			if gatherer.ejectedCount(row) > limiter.MaxEjected(len(row.replicas)) {
				searcher.ejection.Cap()
			}
		}
	}
}

// view updates this host's data centre and the numbers of live entry hosts.
func (gatherer *Gatherer) view(view *carobthread.View) {
	live := 0
	gatherer.self = view.Self
	gatherer.seen.record(gatherer.now, view)
	for _, host := range view.Hosts {
		if host.Name == view.Self {
			gatherer.dataCentre = host.DataCentre
		}
		// A suspect host may be merely unreachable, in which case it still holds its connections.
		if host.State != carobthread.HostLeaving {
			live++
		}
	}
	gatherer.liveHosts = max(1, live)
	gatherer.budgetHosts = max(gatherer.budgetHosts, gatherer.liveHosts)
	gatherer.coordinators.update(gatherer.now, view)
	gatherer.starts.record(view)
	gatherer.configureGroups()
	gatherer.localHosts = 0
	for _, host := range view.Hosts {
		if host.State != carobthread.HostLeaving && host.DataCentre == gatherer.dataCentre {
			gatherer.localHosts++
		}
	}
	gatherer.localHosts = max(1, gatherer.localHosts)
	for _, searcher := range gatherer.searcherList {
		searcher.local = gatherer.isLocal(searcher)
	}
	gatherer.assignSearchers()
	for _, searcher := range gatherer.searcherList {
		gatherer.shareRateLimit(searcher)
	}
	gatherer.connect()
}

// connect sets the number of connections to each searcher whose share has changed.
func (gatherer *Gatherer) connect() {
	gatherer.nextConnectAt = gatherer.now.Add(connectInterval)
	for _, searcher := range gatherer.searcherList {
		if !searcher.known {
			continue
		}
		connections, hosts := gatherer.sharedConnections(searcher)
		if count, changed := searcher.connectionShare.Update(connections, hosts); changed {
			gatherer.emitConnect(searcher, count)
		}
	}
}

func (gatherer *Gatherer) emitConnect(searcher *searcherRow, count int) {
	gatherer.actions = append(gatherer.actions, carobthread.Action{
		Connect: &carobthread.SetConnections{Searcher: searcher.config.Name, Count: count},
	})
}

// report handles a searcher's report of its own state. Reports lag, so snapshots listed in a recent reply take
// precedence.
func (gatherer *Gatherer) report(report *carobthread.ReportArrived) {
	searcher := gatherer.searchers[report.Searcher]
	if searcher == nil {
		return
	}
	searcher.reportedAt = gatherer.now
	searcher.healthy = report.Healthy
	searcher.load = report.Running + report.Queued
	gatherer.recordLoad(searcher, report)
	if len(report.HeldSnapshots) > 0 && gatherer.now.Sub(searcher.listedByReplyAt) >= reportAge {
		if searcher.setHeld(gatherer.now, report.HeldSnapshots) {
			gatherer.planEpoch++
		}
	}
	gatherer.recordDraining(searcher, report.Draining)
	if searcher.draining && !report.Draining && gatherer.now.Sub(searcher.drainedAt) >= carobthread.DrainHoldTime {
		searcher.draining = false
		searcher.limit.Restart()
		gatherer.planEpoch++
	}
}

// sweep adjusts the connection shares and removes searchers, services, groups and layouts that have left the configuration
// and are no longer in use.
func (gatherer *Gatherer) sweep() {
	if gatherer.now < gatherer.nextConnectAt {
		return
	}
	gatherer.connect()
	if gatherer.coordinators.most > 0 || len(gatherer.starts.all) > 0 {
		gatherer.configureGroups()
	}
	gatherer.updateBackpressured()
	gatherer.searcherList = slices.DeleteFunc(gatherer.searcherList, func(searcher *searcherRow) bool {
		// The draining state must survive a short absence from the configuration.
		draining := searcher.draining && gatherer.now.Sub(searcher.drainedAt) < carobthread.DrainHoldTime
		if searcher.known || draining || searcher.limit.Running() > 0 {
			return false
		}
		gatherer.emitConnect(searcher, 0)
		searcher.cold.until = min(searcher.cold.until, gatherer.now)
		delete(gatherer.searchers, searcher.config.Name)
		return true
	})
	gatherer.serviceList = slices.DeleteFunc(gatherer.serviceList, func(service *serviceRow) bool {
		if service.known || service.admission.Running() > 0 {
			return false
		}
		delete(gatherer.services, service.config.Name)
		return true
	})
	if len(gatherer.groups) > 0 && gatherer.now >= gatherer.nextGroupSweepAt {
		gatherer.nextGroupSweepAt = gatherer.now.Add(groupSweepInterval)
		gatherer.sweepGroups()
	}
	before := len(gatherer.retiredLayouts)
	gatherer.retiredLayouts = slices.DeleteFunc(gatherer.retiredLayouts, func(layout *layoutRow) bool { return layout.refCount == 0 })
	if len(gatherer.retiredLayouts) != before {
		gatherer.linkShards()
	}
}
