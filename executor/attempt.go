package executor

import (
	"slices"

	"carobthread"
)

// send asks for an attempt at another upstream; the key is in the table since before the first one.
func (executor *Executor) send(row *keyRow) {
	searcher, fault := executor.choose(row)
	if searcher == nil {
		executor.settle(row, Outcome{Status: StatusNotRun, Reason: fault})
		return
	}
	executor.nextAttempt++
	attempt := &attemptRow{id: executor.nextAttempt, row: row, searcher: searcher}
	executor.attempts[attempt.id] = attempt
	row.attempt = attempt
	row.tried = append(row.tried, searcher.config.Name)
	searcher.inFlight++
	executor.stats.Attempts++
	executor.actions = append(executor.actions, Action{Send: &SendRun{
		Attempt:  attempt.id,
		Key:      row.text,
		Service:  row.service.config.Name,
		Searcher: searcher.config.Name,
		Payload:  row.payload,
		Deadline: row.deadline,
	}})
}

// choose takes the less loaded of two random usable upstreams not yet tried, in the own data centre if one has a free slot.
func (executor *Executor) choose(row *keyRow) (*searcherRow, carobthread.Reason) {
	var near, far []*searcherRow
	fault := carobthread.ReasonNoReplica
	for _, name := range row.service.replicas {
		searcher := executor.searchers[name]
		if searcher == nil || !searcher.usable() || slices.Contains(row.tried, name) {
			continue
		}
		if searcher.inFlight >= max(1, searcher.config.Slots) {
			fault = carobthread.ReasonNoSlot
			continue
		}
		if searcher.config.DataCentre == executor.options.DataCentre {
			near = append(near, searcher)
		} else {
			far = append(far, searcher)
		}
	}
	candidates := near
	if len(near) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return nil, fault
	}
	first := candidates[executor.random.IntN(len(candidates))]
	second := candidates[executor.random.IntN(len(candidates))]
	if second.inFlight < first.inFlight {
		return second, ""
	}
	return first, ""
}

// permit decides whether the first byte may be written now; a pause may have passed since the attempt was asked for.
func (executor *Executor) permit(ready *WriteReady) {
	permit := &WritePermit{Attempt: ready.Attempt}
	executor.actions = append(executor.actions, Action{Permit: permit})
	permit.Reason = executor.permitFault(executor.attempts[ready.Attempt])
	permit.Allowed = permit.Reason == ""
	if permit.Allowed {
		executor.attempts[ready.Attempt].permitted = true
	} else {
		executor.stats.PermitsRefused++
	}
}

func (executor *Executor) permitFault(attempt *attemptRow) carobthread.Reason {
	switch {
	case attempt == nil || attempt.ended || attempt.permitted || !attempt.row.running() || attempt.row.attempt != attempt:
		return carobthread.ReasonTimeout
	case executor.now >= attempt.row.deadline:
		return carobthread.ReasonDeadlinePassed
	case executor.highest >= attempt.row.key.Expiry:
		return carobthread.ReasonKeyExpired
	case executor.superseded:
		return carobthread.ReasonStopping
	case !attempt.searcher.usable():
		return carobthread.ReasonUpstreamShed
	default:
		return ""
	}
}

// end takes the end of an attempt; late and duplicate ends change nothing but unknown to done.
func (executor *Executor) end(ended *AttemptEnded) {
	attempt := executor.attempts[ended.Attempt]
	if attempt == nil || attempt.row.text != ended.Key {
		executor.stats.Dropped++
		return
	}
	if !attempt.ended {
		attempt.ended = true
		attempt.searcher.inFlight--
	}
	if ended.Draining {
		attempt.searcher.drain(executor.now)
	}
	row := attempt.row
	switch {
	case ended.Status == StatusDone && (row.running() || row.outcome.Status == StatusUnknown):
		executor.settleDone(row, ended.Result)
	case !row.running():
		executor.stats.Dropped++
	case ended.Status == StatusNotRun:
		executor.retry(row, ended.Reason)
	default:
		executor.settle(row, Outcome{Status: StatusUnknown, Reason: ended.Reason})
	}
	if row.outcome.Status != StatusUnknown || executor.table.rows[row.key.Sequence] != row {
		delete(executor.attempts, attempt.id)
	}
}

// retry goes to another upstream after an attempt that certainly did not run.
func (executor *Executor) retry(row *keyRow, reason carobthread.Reason) {
	switch {
	case executor.now >= row.deadline || executor.highest >= row.key.Expiry:
		executor.settle(row, Outcome{Status: StatusNotRun, Reason: carobthread.ReasonDeadlinePassed})
	case len(row.tried) >= maxTries || executor.superseded:
		executor.settle(row, Outcome{Status: StatusNotRun, Reason: reason})
	default:
		executor.stats.Retried++
		executor.send(row)
	}
}

func (executor *Executor) settleDone(row *keyRow, result []byte) {
	outcome := Outcome{Status: StatusDone, Result: result}
	if len(result) > row.service.maxResult() {
		// The table has room only for the size that was reserved at the start.
		outcome = Outcome{Status: StatusDone, Reason: carobthread.ReasonTooLarge}
	}
	executor.settle(row, outcome)
}

// settle records the outcome and answers every call that waits for the key.
func (executor *Executor) settle(row *keyRow, outcome Outcome) {
	outcome.Key = row.text
	if outcome.Status == StatusNotRun {
		outcome.RetryAfterMicros = retryAfter(outcome.Reason)
	}
	row.outcome = outcome
	row.payload = nil
	executor.count(outcome.Status)
	if executor.table.rows[row.key.Sequence] == row {
		charge := rowBytes + len(outcome.Result)
		if outcome.Status == StatusUnknown {
			charge += row.service.maxResult() // a late result may still come
		}
		executor.table.recharge(row, charge)
	}
	executor.running = slices.DeleteFunc(executor.running, func(other *keyRow) bool { return other == row })
	for _, call := range row.waiters {
		executor.answer(call, outcome)
	}
	row.waiters = nil
}

func (service *serviceRow) maxResult() int {
	if service.config.MaxReplySize > 0 {
		return service.config.MaxReplySize
	}
	return defaultMaxResult
}
