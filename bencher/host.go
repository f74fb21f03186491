package bencher

import (
	"slices"
	"time"

	"carobthread"
)

// pool holds the connections of one host to one searcher.
type pool struct {
	open   int
	busy   int
	target int
	// waiting holds the attempts that wait for one of the open connections.
	waiting []*job
}

// entryHost passes events to the core of one entry host and performs the core's actions.
type entryHost struct {
	simulation *simulation
	name       string
	dataCentre string
	decider    carobthread.Decider
	checker    *checker
	// config is the configuration that the core has received; latestConfig may still wait in the backlog of a paused host.
	config          carobthread.Config
	latestConfig    carobthread.Config
	pools           map[string]*pool
	jobs            map[carobthread.AttemptID]*job
	paused          bool
	pausedAt        carobthread.Instant
	completedPauses time.Duration // total duration of the pauses that have ended
	// ejected means that the load balancer sends no queries to the host.
	ejected bool
	backlog []carobthread.Event
}

// deliver passes an event to the core and performs the resulting actions, or queues the event while the process is paused.
func (host *entryHost) deliver(event carobthread.Event) {
	if host.paused {
		host.backlog = append(host.backlog, event)
		return
	}
	now := host.simulation.now
	event.At = now
	if event.Config != nil {
		host.config = event.Config.Config
	}
	host.checker.event(now, &event)
	actions := host.decider.Step(event)
	for i := range actions {
		host.checker.action(now, &actions[i])
		host.perform(&actions[i])
	}
}

func (host *entryHost) perform(action *carobthread.Action) {
	switch {
	case action.Send != nil:
		host.send(action.Send)
	case action.Cancel != nil:
		host.cancel(action.Cancel)
	case action.Answer != nil:
		host.simulation.recordAnswer(host, action.Answer)
	case action.Refuse != nil:
		host.simulation.recordRefusal(host, action.Refuse)
	case action.Connect != nil:
		host.connect(action.Connect)
	}
}

// send sends an attempt to its searcher.
func (host *entryHost) send(send *carobthread.SendAttempt) {
	searcher := host.simulation.searchersByName[send.Searcher]
	work := &job{host: host, send: *send, searcher: searcher, pool: host.pool(send.Searcher)}
	host.jobs[send.Attempt] = work
	host.dispatch(work)
}

// dispatch sends a job over an idle connection or a new one. At the searcher's connection limit the job waits
// for one of the host's connections, or fails if the host has none.
func (host *entryHost) dispatch(work *job) {
	searcher, pool := work.searcher, work.pool
	delay := host.simulation.delay(host, searcher)
	switch {
	case pool.busy < pool.open:
	case searcher.connections < searcher.config.Connections:
		pool.open++
		searcher.connections++
		delay += host.simulation.scenario.ConnectTime
	case pool.open > 0:
		pool.waiting = append(pool.waiting, work)
		return
	default:
		work.connected = true
		pool.busy++
		host.simulation.after(0, func() { work.end(carobthread.ReplyFailed) })
		return
	}
	work.connected = true
	pool.busy++
	host.simulation.after(delay, func() {
		if host.simulation.reachable(host, searcher) {
			searcher.accept(work)
		}
	})
}

func (host *entryHost) pool(name string) *pool {
	entry := host.pools[name]
	if entry == nil {
		entry = &pool{}
		host.pools[name] = entry
	}
	return entry
}

// receive delivers a reply to the host after the network delay. A few replies arrive twice or are preceded by a copy that
// names another query.
func (host *entryHost) receive(work *job, reply *carobthread.ReplyArrived) {
	simulation := host.simulation
	simulation.after(simulation.delay(host, work.searcher), func() {
		if !simulation.reachable(host, work.searcher) {
			return
		}
		if simulation.replyRandom.Float64() < misroutedShare {
			misrouted := *reply
			misrouted.Query += 1 + carobthread.QueryID(simulation.replyRandom.IntN(3))
			host.deliver(carobthread.Event{Reply: &misrouted})
		}
		host.release(work)
		host.deliver(carobthread.Event{Reply: reply})
		if simulation.replyRandom.Float64() < duplicateShare {
			duplicate := *reply
			host.deliver(carobthread.Event{Reply: &duplicate})
		}
	})
}

// release frees the connection of a job and gives it to the job that has waited longest. A second call for the same job has
// no effect.
func (host *entryHost) release(work *job) {
	if host.jobs[work.send.Attempt] == nil {
		return
	}
	delete(host.jobs, work.send.Attempt)
	pool := work.pool
	if !work.connected {
		work.ended = true
		pool.waiting = slices.DeleteFunc(pool.waiting, func(other *job) bool { return other == work })
		return
	}
	pool.busy--
	if len(pool.waiting) > 0 {
		next := pool.waiting[0]
		pool.waiting = pool.waiting[1:]
		host.dispatch(next)
	}
}

func (host *entryHost) cancel(cancel *carobthread.CancelAttempt) {
	work := host.jobs[cancel.Attempt]
	if work == nil {
		return
	}
	host.release(work)
	searcher := work.searcher
	host.simulation.after(host.simulation.delay(host, searcher), func() {
		if !work.ended && host.simulation.reachable(host, searcher) {
			searcher.cancel(work)
		}
	})
}

// connect sets the target size of a pool, which is then reached by opening connections in advance or closing idle ones.
func (host *entryHost) connect(set *carobthread.SetConnections) {
	pool := host.pool(set.Searcher)
	pool.target = set.Count
	searcher := host.simulation.searchersByName[set.Searcher]
	if searcher == nil {
		return
	}
	host.simulation.after(host.simulation.scenario.ConnectTime, func() { host.resizePool(searcher, pool) })
}

func (host *entryHost) resizePool(searcher *searcher, pool *pool) {
	if !host.simulation.reachable(host, searcher) || searcher.reset || searcher.silent {
		return
	}
	for pool.open < pool.target && searcher.connections < searcher.config.Connections {
		pool.open++
		searcher.connections++
	}
	for pool.open > pool.target && pool.open > pool.busy {
		pool.open--
		searcher.connections--
	}
}

// dropConnections removes the connections that the searcher has closed from the pool.
func (host *entryHost) dropConnections(searcher *searcher) {
	pool := host.pool(searcher.config.Name)
	searcher.connections -= pool.open
	pool.open = 0
}

// pause suspends the process until it is resumed.
func (host *entryHost) pause() {
	host.paused = true
	host.pausedAt = host.simulation.now
}

// totalPaused returns the total time that the process has been paused.
func (host *entryHost) totalPaused() time.Duration {
	if host.paused {
		return host.completedPauses + host.simulation.now.Sub(host.pausedAt)
	}
	return host.completedPauses
}

// resume ends a pause and delivers the events that arrived during it, with the late tick before or after them.
func (host *entryHost) resume(tickFirst bool) {
	late := host.simulation.now.Sub(host.pausedAt)
	host.completedPauses += late
	host.paused = false
	tick := carobthread.Event{Tick: &carobthread.TickArrived{LateMicros: late.Microseconds()}}
	if tickFirst {
		host.deliver(tick)
	}
	backlog := host.backlog
	host.backlog = nil
	for _, event := range backlog {
		host.deliver(event)
	}
	if !tickFirst {
		host.deliver(tick)
	}
}
