package executor

import (
	"slices"

	"carobthread"
)

// startAttempt requests an attempt at another upstream. The key has been in the table since before the first attempt.
func (executor *Executor) startAttempt(entry *keyEntry) {
	searcher, reason := executor.chooseSearcher(entry)
	if searcher == nil {
		executor.settle(entry, Outcome{Status: StatusNotRun, Reason: reason})
		return
	}
	executor.lastAttempt++
	attempt := &attemptState{id: executor.lastAttempt, entry: entry, searcher: searcher}
	executor.attempts[attempt.id] = attempt
	entry.attempt = attempt
	entry.triedSearchers = append(entry.triedSearchers, searcher.config.Name)
	searcher.inFlight++
	executor.stats.Attempts++
	executor.actions = append(executor.actions, Action{Send: &SendRun{
		Attempt:  attempt.id,
		Key:      entry.text,
		Service:  entry.service.config.Name,
		Searcher: searcher.config.Name,
		Payload:  entry.payload,
		Deadline: entry.deadline,
	}})
}

// chooseSearcher returns the less loaded of two random usable upstreams that were not tried yet. It prefers the local
// data centre and uses a remote one only if no local upstream has a free slot.
func (executor *Executor) chooseSearcher(entry *keyEntry) (*searcherState, carobthread.Reason) {
	var local, remote []*searcherState
	reason := carobthread.ReasonNoReplica
	for _, name := range entry.service.replicas {
		searcher := executor.searchers[name]
		if searcher == nil || !searcher.usable() || slices.Contains(entry.triedSearchers, name) {
			continue
		}
		if searcher.inFlight >= max(1, searcher.config.Slots) {
			reason = carobthread.ReasonNoSlot
			continue
		}
		if searcher.config.DataCentre == executor.options.DataCentre {
			local = append(local, searcher)
		} else {
			remote = append(remote, searcher)
		}
	}
	candidates := local
	if len(local) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return nil, reason
	}
	first := candidates[executor.random.IntN(len(candidates))]
	second := candidates[executor.random.IntN(len(candidates))]
	if second.inFlight < first.inFlight {
		return second, ""
	}
	return first, ""
}

// permit decides whether the first byte may be written now. The checks are made again because the process may have
// been paused since the attempt was requested.
func (executor *Executor) permit(ready *WriteReady) {
	permit := &WritePermit{Attempt: ready.Attempt}
	executor.actions = append(executor.actions, Action{Permit: permit})
	permit.Reason = executor.permitRefusal(executor.attempts[ready.Attempt])
	permit.Allowed = permit.Reason == ""
	if permit.Allowed {
		executor.attempts[ready.Attempt].permitted = true
	} else {
		executor.stats.PermitsRefused++
	}
}

// permitRefusal returns why the attempt may not write its request, or "" if it may.
func (executor *Executor) permitRefusal(attempt *attemptState) carobthread.Reason {
	switch {
	case attempt == nil || attempt.ended || attempt.permitted || !attempt.entry.running() || attempt.entry.attempt != attempt:
		return carobthread.ReasonTimeout
	case executor.now >= attempt.entry.deadline:
		return carobthread.ReasonDeadlinePassed
	case executor.highestTime >= attempt.entry.key.Expiry:
		return carobthread.ReasonKeyExpired
	case executor.superseded:
		return carobthread.ReasonStopping
	case !attempt.searcher.usable():
		return carobthread.ReasonUpstreamShed
	default:
		return ""
	}
}

// endAttempt handles the end of an attempt. A late or duplicate end can only change the outcome from unknown to done.
func (executor *Executor) endAttempt(ended *AttemptEnded) {
	attempt := executor.attempts[ended.Attempt]
	if attempt == nil || attempt.entry.text != ended.Key {
		executor.stats.Dropped++
		return
	}
	if !attempt.ended {
		attempt.ended = true
		attempt.searcher.inFlight--
	}
	if ended.Draining {
		attempt.searcher.markDraining(executor.now)
	}
	entry := attempt.entry
	switch {
	case ended.Status == StatusDone && (entry.running() || entry.outcome.Status == StatusUnknown):
		executor.settleDone(entry, ended.Result)
	case !entry.running():
		executor.stats.Dropped++
	case ended.Status == StatusNotRun:
		executor.retry(entry, ended.Reason)
	default:
		executor.settle(entry, Outcome{Status: StatusUnknown, Reason: ended.Reason})
	}
	if entry.outcome.Status != StatusUnknown || executor.table.entries[entry.key.Sequence] != entry {
		delete(executor.attempts, attempt.id)
	}
}

// retry tries another upstream after an attempt that certainly did not run.
func (executor *Executor) retry(entry *keyEntry, reason carobthread.Reason) {
	switch {
	case executor.now >= entry.deadline || executor.highestTime >= entry.key.Expiry:
		executor.settle(entry, Outcome{Status: StatusNotRun, Reason: carobthread.ReasonDeadlinePassed})
	case len(entry.triedSearchers) >= maxAttempts || executor.superseded:
		executor.settle(entry, Outcome{Status: StatusNotRun, Reason: reason})
	default:
		executor.stats.Retried++
		executor.startAttempt(entry)
	}
}

func (executor *Executor) settleDone(entry *keyEntry, result []byte) {
	outcome := Outcome{Status: StatusDone, Result: result}
	if len(result) > entry.service.maxResultSize() {
		// The table reserved only the maximum result size when the execution started.
		outcome = Outcome{Status: StatusDone, Reason: carobthread.ReasonTooLarge}
	}
	executor.settle(entry, outcome)
}

// settle records the outcome of a key and answers all calls that wait for it.
func (executor *Executor) settle(entry *keyEntry, outcome Outcome) {
	outcome.Key = entry.text
	if outcome.Status == StatusNotRun {
		outcome.RetryAfterMicros = retryAfter(outcome.Reason)
	}
	entry.outcome = outcome
	entry.payload = nil
	executor.countOutcome(outcome.Status)
	if executor.table.entries[entry.key.Sequence] == entry {
		charge := entryOverheadBytes + len(outcome.Result)
		if outcome.Status == StatusUnknown {
			charge += entry.service.maxResultSize() // a late result may still arrive
		}
		executor.table.updateCharge(entry, charge)
	}
	if entry.started != 0 && outcome.Status != StatusNotRun {
		entry.service.history.Record(executor.now.Sub(entry.started))
	}
	executor.running = slices.DeleteFunc(executor.running, func(other *keyEntry) bool { return other == entry })
	for _, call := range entry.waiters {
		executor.answer(call, outcome)
	}
	entry.waiters = nil
}

func (service *serviceState) maxResultSize() int {
	if service.config.MaxReplySize > 0 {
		return service.config.MaxReplySize
	}
	return defaultMaxResultSize
}
