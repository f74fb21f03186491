package gatherer

// The configuration and the view replace the former ones. Rows of searchers, services and layouts
// that are no longer named stay until no attempt or query refers to them.

import (
	"cmp"
	"slices"
	"time"

	"carobthread"
	"carobthread/assigner"
	"carobthread/limiter"
)

const (
	// maxExtraShare is the share of first attempts that each of the two buckets of a service's budget gains.
	maxExtraShare = 0.05
	// minBurst and burstQueries bound the extra attempts in one burst; a move of a query costs its whole fan-out.
	minBurst     = 100
	burstQueries = 10
	// connectEvery is the time between two steps of the connection share.
	connectEvery = time.Second
	// groupsEvery is the time between two looks for replica groups that are not named any more.
	groupsEvery = 10 * time.Second
)

// configure replaces the configuration; queries in progress keep the layouts that they refer to.
func (gatherer *Gatherer) configure(config *carobthread.Config) {
	gatherer.planEpoch++
	gatherer.retryBudget = config.RetryBudget
	gatherer.configureSearchers(config.Searchers)
	gatherer.configureServices(config)
	gatherer.configureGroups()
	gatherer.linkShards()
	gatherer.capEjections()
	gatherer.configured = true
	gatherer.connect()
	gatherer.runTimers()
	gatherer.pumpWaiting()
}

func (gatherer *Gatherer) configureSearchers(searchers []carobthread.Searcher) {
	for _, row := range gatherer.searcherList {
		row.known = false
	}
	for _, searcher := range searchers {
		row := gatherer.searchers[searcher.Name]
		if row == nil {
			row = &searcherRow{limit: limiter.NewInFlight(searcher.Slots)}
			if gatherer.configured && gatherer.inForce() {
				row.limit.Restart()
			}
			gatherer.searchers[searcher.Name] = row
			gatherer.searcherList = append(gatherer.searcherList, row)
		}
		if row.config.Leaving && !searcher.Leaving && gatherer.inForce() {
			row.limit.Restart()
		}
		row.config = searcher
		row.centre = gatherer.centre(searcher.DataCentre)
		row.known = true
		row.local = gatherer.isLocal(row)
		row.unheld = gatherer.isUnheld(row)
		row.limit.Resize(searcher.Slots)
	}
}

// isLocal reports whether the searcher is in this host's data centre; all are until the own one is known.
func (gatherer *Gatherer) isLocal(searcher *searcherRow) bool {
	return gatherer.dataCentre == "" || searcher.config.DataCentre == gatherer.dataCentre
}

func (gatherer *Gatherer) isUnheld(searcher *searcherRow) bool {
	return !assigner.Holds(gatherer.self, searcher.config.Name, searcher.config.Connections, gatherer.liveHosts)
}

func (gatherer *Gatherer) configureServices(config *carobthread.Config) {
	for _, row := range gatherer.serviceList {
		row.known = false
		gatherer.retired = append(gatherer.retired, row.layouts...)
	}
	for i := range config.Services {
		gatherer.configureService(&config.Services[i], config)
	}
	for _, row := range gatherer.serviceList {
		if !row.known {
			row.layouts = nil
		}
	}
	gatherer.retired = slices.DeleteFunc(gatherer.retired, func(layout *layoutRow) bool {
		return layout.users == 0 || gatherer.inUse(layout)
	})
}

func (gatherer *Gatherer) configureService(service *carobthread.Service, config *carobthread.Config) {
	row := gatherer.services[service.Name]
	if row == nil {
		row = &serviceRow{}
		gatherer.services[service.Name] = row
		gatherer.serviceList = append(gatherer.serviceList, row)
	}
	row.config = *service
	row.known = true
	row.admission.Resize(service.MaxInFlight)
	row.latency.configure(service.HedgeQuantile)
	previous := row.layouts
	replicas := row.replicas
	row.layouts = nil
	row.replicas = map[string]*replicaRow{}
	fanOut := 0
	for i := range config.Layouts {
		if config.Layouts[i].Service != service.Name {
			continue
		}
		layout := gatherer.resolve(row, replicas, &config.Layouts[i])
		for _, old := range previous {
			if old.equal(layout) {
				layout = old
			}
		}
		row.layouts = append(row.layouts, layout)
		fanOut = max(fanOut, len(layout.shards))
	}
	row.budget.Configure(extraShare(service.ExtraShare), max(minBurst, burstQueries*fanOut))
}

// extraShare returns the configured share within the bound; 0 takes the bound and a negative share permits no extra attempts.
func extraShare(configured float64) float64 {
	if configured == 0 {
		return maxExtraShare
	}
	return min(max(0, configured), maxExtraShare)
}

// resolve turns the names of a layout into rows; a searcher that is not configured is left out.
func (gatherer *Gatherer) resolve(service *serviceRow, previous map[string]*replicaRow, layout *carobthread.Layout) *layoutRow {
	row := &layoutRow{generation: layout.Generation, shards: make([]shardRow, len(layout.Shards))}
	for shard, names := range layout.Shards {
		if shard < len(layout.Groups) && gatherer.retryBudget.Window > 0 {
			row.shards[shard].group = gatherer.group(layout.Groups[shard])
		}
		for _, name := range names {
			searcher := gatherer.searchers[name]
			if searcher == nil || !searcher.known {
				continue
			}
			replica := service.replicas[name]
			if replica == nil {
				replica = previous[name]
			}
			if replica == nil || replica.searcher != searcher {
				replica = &replicaRow{service: service, searcher: searcher}
			}
			service.replicas[name] = replica
			row.shards[shard].replicas = append(row.shards[shard].replicas, shardReplica{row: replica})
		}
	}
	return row
}

// equal reports whether both layouts have the same generation and replicas.
func (layout *layoutRow) equal(other *layoutRow) bool {
	return layout.generation == other.generation && slices.EqualFunc(layout.shards, other.shards, func(one, two shardRow) bool {
		return one.group == two.group && slices.EqualFunc(one.replicas, two.replicas, func(one, two shardReplica) bool { return one.row == two.row })
	})
}

// inUse reports whether a service in force has the layout.
func (gatherer *Gatherer) inUse(layout *layoutRow) bool {
	for _, service := range gatherer.serviceList {
		if service.known && slices.Contains(service.layouts, layout) {
			return true
		}
	}
	return false
}

// linkShards records for each searcher the shards that it serves, those of higher rank first, including those of layouts that only queries in progress use.
func (gatherer *Gatherer) linkShards() {
	for _, searcher := range gatherer.searcherList {
		searcher.serves = searcher.serves[:0]
		searcher.users = 0
	}
	byRank := slices.Clone(gatherer.serviceList)
	slices.SortStableFunc(byRank, func(left, right *serviceRow) int { return cmp.Compare(left.config.Rank, right.config.Rank) })
	for _, service := range byRank {
		if !service.known {
			continue
		}
		for _, layout := range service.layouts {
			layout.link()
		}
		for _, replica := range service.replicas {
			replica.searcher.users++
		}
	}
	for _, layout := range gatherer.retired {
		layout.link()
	}
}

func (layout *layoutRow) link() {
	for shard := range layout.shards {
		row := &layout.shards[shard]
		for i := range row.replicas {
			searcher := row.replicas[i].row.searcher
			searcher.serves = append(searcher.serves, row)
		}
	}
}

// mayEject reports whether every shard of the searcher keeps at least half of its replicas if it is ejected.
func (gatherer *Gatherer) mayEject(searcher *searcherRow) bool {
	for _, row := range searcher.serves {
		if gatherer.ejectedIn(row) >= limiter.MaxEjected(len(row.replicas)) {
			return false
		}
	}
	return true
}

func (gatherer *Gatherer) ejectedIn(row *shardRow) int {
	count := 0
	for i := range row.replicas {
		if row.replicas[i].row.searcher.ejection.Ejected(gatherer.now) {
			count++
		}
	}
	return count
}

// capEjections lifts the ejections that a new layout puts above the cap.
func (gatherer *Gatherer) capEjections() {
	for _, searcher := range gatherer.searcherList {
		if !searcher.ejection.Ejected(gatherer.now) {
			continue
		}
		for _, row := range searcher.serves {
			if gatherer.ejectedIn(row) > limiter.MaxEjected(len(row.replicas)) {
				searcher.ejection.Cap()
			}
		}
	}
}

// view takes the own data centre and the number of live entry hosts.
func (gatherer *Gatherer) view(view *carobthread.View) {
	live := 0
	gatherer.self = view.Self
	for _, host := range view.Hosts {
		if host.Name == view.Self {
			gatherer.dataCentre = host.DataCentre
		}
		// A suspect host may only be unreachable and then still holds its connections.
		if host.State != carobthread.HostLeaving {
			live++
		}
	}
	gatherer.liveHosts = max(1, live)
	gatherer.budgetHosts = max(gatherer.budgetHosts, gatherer.liveHosts)
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
		searcher.unheld = gatherer.isUnheld(searcher)
	}
	gatherer.connect()
}

// connect states the number of connections of each searcher whose share has changed.
func (gatherer *Gatherer) connect() {
	gatherer.connectAt = gatherer.now.Add(connectEvery)
	for _, searcher := range gatherer.searcherList {
		if !searcher.known {
			continue
		}
		if count, changed := searcher.share.Next(searcher.config.Connections, gatherer.liveHosts); changed {
			gatherer.emitConnect(searcher, count)
		}
	}
}

func (gatherer *Gatherer) emitConnect(searcher *searcherRow, count int) {
	gatherer.actions = append(gatherer.actions, carobthread.Action{
		Connect: &carobthread.SetConnections{Searcher: searcher.config.Name, Count: count},
	})
}

// report takes a searcher's own statement; it lags, so a reply's recent statement takes precedence.
func (gatherer *Gatherer) report(report *carobthread.ReportArrived) {
	searcher := gatherer.searchers[report.Searcher]
	if searcher == nil {
		return
	}
	searcher.reportAt = gatherer.now
	searcher.healthy = report.Healthy
	searcher.load = report.Running + report.Queued
	if len(report.HeldSnapshots) > 0 && gatherer.now.Sub(searcher.statedAt) >= reportAge {
		if searcher.hold(gatherer.now, report.HeldSnapshots) {
			gatherer.planEpoch++
		}
	}
	gatherer.learnDraining(searcher, report.Draining)
	if searcher.draining && !report.Draining && gatherer.now.Sub(searcher.drainedAt) >= carobthread.DrainHold {
		searcher.draining = false
		searcher.limit.Restart()
		gatherer.planEpoch++
	}
}

// sweep removes searchers and layouts that are out of the configuration once nothing refers to them, and moves the connection shares.
func (gatherer *Gatherer) sweep() {
	if gatherer.now < gatherer.connectAt {
		return
	}
	gatherer.connect()
	gatherer.searcherList = slices.DeleteFunc(gatherer.searcherList, func(searcher *searcherRow) bool {
		// A draining sign outlives a short absence from the configuration.
		draining := searcher.draining && gatherer.now.Sub(searcher.drainedAt) < carobthread.DrainHold
		if searcher.known || draining || searcher.limit.Running() > 0 {
			return false
		}
		gatherer.emitConnect(searcher, 0)
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
	if len(gatherer.groups) > 0 && gatherer.now >= gatherer.groupsAt {
		gatherer.groupsAt = gatherer.now.Add(groupsEvery)
		gatherer.sweepGroups()
	}
	before := len(gatherer.retired)
	gatherer.retired = slices.DeleteFunc(gatherer.retired, func(layout *layoutRow) bool { return layout.users == 0 })
	if len(gatherer.retired) != before {
		gatherer.linkShards()
	}
}
