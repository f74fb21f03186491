package executor

import (
	"slices"

	"carobthread"
)

// forward passes a call to the minting incarnation. This host cannot know whether the key ran,
// so every failure here is unknown and never "not run".
func (executor *Executor) forward(call CallID, key Key, forwarded bool, deadline carobthread.Instant, action *ForwardCall) {
	if forwarded || !executor.reachable(key) {
		executor.answerUnknown(call, key.String(), carobthread.ReasonHostUnreachable)
		return
	}
	if deadline <= executor.now {
		executor.answerUnknown(call, key.String(), carobthread.ReasonDeadlinePassed)
		return
	}
	executor.stats.Forwarded++
	executor.forwards = append(executor.forwards, &forwardRow{call: call, key: key.String(), deadline: deadline})
	action.Call = call
	action.Host = key.Host
	executor.actions = append(executor.actions, Action{Forward: action})
}

// reachable reports whether the minting incarnation may still run. The view lags behind a restart, so a key of a
// later incarnation than the view's is forwarded too: the process that answers runs only its own keys.
func (executor *Executor) reachable(key Key) bool {
	if key.Host == executor.options.Host {
		return false
	}
	for i := range executor.view.Hosts {
		host := &executor.view.Hosts[i]
		if host.Name == key.Host {
			return !key.Incarnation.Less(host.Incarnation)
		}
	}
	return false
}

// endForward passes the minting host's outcome on; an outcome of another key is dropped.
func (executor *Executor) endForward(ended *ForwardEnded) {
	place := slices.IndexFunc(executor.forwards, func(row *forwardRow) bool { return row.call == ended.Call })
	if place < 0 || !ended.Failed && executor.forwards[place].key != ended.Outcome.Key {
		executor.stats.Dropped++
		return
	}
	row := executor.forwards[place]
	executor.forwards = slices.Delete(executor.forwards, place, place+1)
	if ended.Failed {
		executor.answerUnknown(row.call, row.key, carobthread.ReasonHostUnreachable)
		return
	}
	executor.answer(row.call, ended.Outcome)
}

func (executor *Executor) expireForwards() {
	executor.forwards = slices.DeleteFunc(executor.forwards, func(row *forwardRow) bool {
		if executor.now < row.deadline {
			return false
		}
		executor.answerUnknown(row.call, row.key, carobthread.ReasonTimeout)
		return true
	})
}

func (executor *Executor) answerUnknown(call CallID, key string, reason carobthread.Reason) {
	executor.stats.UnknownForwards++
	executor.answer(call, Outcome{Key: key, Status: StatusUnknown, Reason: reason})
}

// changeView takes the new view; a later incarnation of this host's name means that this process was replaced.
func (executor *Executor) changeView(view carobthread.View) {
	executor.view = view
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if host.Name == executor.options.Host && executor.options.Incarnation.Less(host.Incarnation) {
			executor.superseded = true
		}
	}
}

func (executor *Executor) report(report *carobthread.ReportArrived) {
	searcher := executor.searchers[report.Searcher]
	switch {
	case searcher == nil:
	case report.Draining:
		searcher.drain(executor.now)
	case executor.now.Sub(searcher.drainSeen) >= carobthread.DrainHold:
		searcher.draining = false
	}
}

func (executor *Executor) configure(config *carobthread.Config) {
	searchers := make(map[string]*searcherRow, len(config.Searchers))
	for _, searcher := range config.Searchers {
		row := executor.searchers[searcher.Name]
		if row == nil {
			row = &searcherRow{}
		}
		row.config = searcher
		searchers[searcher.Name] = row
	}
	executor.searchers = searchers
	executor.services = make(map[string]*serviceRow, len(config.Services))
	for _, service := range config.Services {
		row := &serviceRow{config: service}
		if layout, ok := config.Layout(service.Name, service.Layout); ok && len(layout.Shards) > 0 {
			row.replicas = layout.Shards[0]
		}
		executor.services[service.Name] = row
	}
}
