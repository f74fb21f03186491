package executor

import (
	"slices"

	"carobthread"
	"carobthread/stopper"
)

// forward forwards a call to the host that minted the key. This host cannot know whether the key ran, so every failure
// is answered with unknown and never with "not run".
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
	deadline = executor.stop.Deadline(deadline)
	executor.forwards = append(executor.forwards, &forwardEntry{call: call, key: key.String(), deadline: deadline})
	action.Call = call
	action.Host = key.Host
	executor.actions = append(executor.actions, Action{Forward: action})
}

// reachable reports whether the minting incarnation may still be running. The view may not show a recent restart yet, so
// a key of a later incarnation than the one in the view is also forwarded. This is safe because a process runs only the
// keys that it minted.
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

// endForward answers a forwarded call with the minting host's outcome; an outcome for a different key is dropped.
func (executor *Executor) endForward(ended *ForwardEnded) {
	index := slices.IndexFunc(executor.forwards, func(entry *forwardEntry) bool { return entry.call == ended.Call })
	if index < 0 || !ended.Failed && executor.forwards[index].key != ended.Outcome.Key {
		executor.stats.Dropped++
		return
	}
	entry := executor.forwards[index]
	executor.forwards = slices.Delete(executor.forwards, index, index+1)
	if ended.Failed {
		executor.answerUnknown(entry.call, entry.key, carobthread.ReasonHostUnreachable)
		return
	}
	executor.answer(entry.call, ended.Outcome)
}

func (executor *Executor) expireForwards() {
	executor.forwards = slices.DeleteFunc(executor.forwards, func(entry *forwardEntry) bool {
		if executor.now < entry.deadline {
			return false
		}
		executor.answerUnknown(entry.call, entry.key, carobthread.ReasonTimeout)
		return true
	})
}

func (executor *Executor) answerUnknown(call CallID, key string, reason carobthread.Reason) {
	executor.stats.UnknownForwards++
	executor.answer(call, Outcome{Key: key, Status: StatusUnknown, Reason: reason})
}

// applyView installs a new view. If it lists a later incarnation of this host, this process has been superseded.
func (executor *Executor) applyView(view carobthread.View) {
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
		searcher.markDraining(executor.now)
	case executor.now.Sub(searcher.drainReported) >= carobthread.DrainHoldTime:
		searcher.draining = false
	}
}

func (executor *Executor) applyConfig(config *carobthread.Config) {
	searchers := make(map[string]*searcherState, len(config.Searchers))
	for _, searcher := range config.Searchers {
		state := executor.searchers[searcher.Name]
		if state == nil {
			state = &searcherState{}
		}
		state.config = searcher
		searchers[searcher.Name] = state
	}
	executor.searchers = searchers
	previous := executor.services
	executor.services = make(map[string]*serviceState, len(config.Services))
	for _, service := range config.Services {
		state := &serviceState{config: service, history: &stopper.History{}}
		if known := previous[service.Name]; known != nil {
			state.history = known.history
		}
		if layout, ok := config.Layout(service.Name, service.Layout); ok && len(layout.Shards) > 0 {
			state.replicas = layout.Shards[0]
		}
		executor.services[service.Name] = state
	}
}
