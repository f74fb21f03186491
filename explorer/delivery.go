package explorer

import (
	"slices"

	"carobthread"
	"carobthread/executor"
)

// canReceive reports whether the message can be delivered now. A paused host receives its messages after it resumes.
func (simulation *simulation) canReceive(msg *message) bool {
	return msg.kind == kindAnswer || msg.kind == kindRun || !simulation.hosts[msg.host].paused
}

// hostAlive reports whether the message's host is up and still the incarnation that the message is meant for.
func (simulation *simulation) hostAlive(msg *message) bool {
	host := simulation.hosts[msg.host]
	return host.up && (msg.incarnationNumber == 0 || msg.incarnationNumber == host.incarnationNumber)
}

func (simulation *simulation) deliver(id int) {
	if pending := simulation.find(id); pending == nil || !simulation.canReceive(pending) {
		return
	}
	msg := simulation.take(id)
	switch msg.kind {
	case kindAnswer:
		simulation.callers[msg.caller].handleAnswer(msg)
		return
	case kindRun:
		simulation.runRequest(msg)
		return
	}
	if !simulation.hostAlive(msg) {
		if msg.kind == kindPeerCall {
			simulation.failForward(msg.replyTo)
		}
		return
	}
	simulation.deliverToHost(msg)
}

func (simulation *simulation) deliverToHost(msg *message) {
	switch msg.kind {
	case kindCall:
		simulation.deliverCall(msg)
	case kindPeerCall:
		simulation.deliverPeerCall(msg)
	case kindPeerAnswer:
		simulation.step(msg.host, executor.Event{Forward: &executor.ForwardEnded{Call: msg.callID, Outcome: msg.outcome, Failed: msg.failed}})
	case kindDial:
		simulation.deliverDial(msg)
	case kindEnded:
		simulation.step(msg.host, executor.Event{Ended: msg.ended})
	}
}

func (host *hostState) registerCall(origin *callOrigin) executor.CallID {
	host.lastCall++
	host.openCalls[host.lastCall] = origin
	return host.lastCall
}

func (simulation *simulation) deliverCall(msg *message) {
	id := simulation.hosts[msg.host].registerCall(&callOrigin{caller: msg.caller, key: msg.key})
	event := executor.Event{}
	switch msg.call {
	case callReserve:
		event.Reserve = &executor.ReserveCalled{Call: id, Service: serviceName}
	case callOutcome:
		event.Outcome = &executor.OutcomeCalled{Call: id, Key: msg.key}
	default:
		event.Execute = &executor.ExecuteCalled{Call: id, Key: msg.key, Service: serviceName, Payload: msg.payload, Deadline: simulation.now.Add(hardDeadline)}
	}
	simulation.step(msg.host, event)
}

func (simulation *simulation) deliverPeerCall(msg *message) {
	event := executor.Event{}
	origin := *msg.replyTo
	origin.isPeer = true
	if msg.forward.Execute != nil {
		execute := *msg.forward.Execute
		origin.key = execute.Key
		execute.Call, execute.Forwarded = simulation.hosts[msg.host].registerCall(&origin), true
		event.Execute = &execute
	} else {
		outcome := *msg.forward.Outcome
		origin.key = outcome.Key
		outcome.Call, outcome.Forwarded = simulation.hosts[msg.host].registerCall(&origin), true
		event.Outcome = &outcome
	}
	simulation.step(msg.host, event)
}

func (simulation *simulation) failForward(replyTo *callOrigin) {
	simulation.post(&message{kind: kindPeerAnswer, host: replyTo.host, incarnationNumber: replyTo.incarnationNumber, callID: replyTo.peerCall, failed: true, local: true})
}

// deliverDial requests the write permit and writes the request immediately if it is granted.
func (simulation *simulation) deliverDial(msg *message) {
	simulation.writeAllowed = false
	simulation.step(msg.host, executor.Event{Write: &executor.WriteReady{Attempt: msg.send.Attempt}})
	if !simulation.writeAllowed {
		simulation.endAttempt(msg, executor.StatusNotRun, carobthread.ReasonTimeout, true)
		return
	}
	upstream := slices.Index(simulation.config.Layouts[0].Shards[0], msg.send.Searcher)
	simulation.post(&message{kind: kindRun, host: msg.host, incarnationNumber: msg.incarnationNumber, key: msg.key, send: msg.send, upstream: upstream})
}

// runRequest simulates an upstream that has received a whole request. The upstream checks the request's deadline.
func (simulation *simulation) runRequest(msg *message) {
	if simulation.upstreamModes[msg.upstream] != modeServing || simulation.now.Add(-simulation.clockLags[msg.upstream]) >= msg.send.Deadline {
		simulation.endAttempt(msg, executor.StatusNotRun, carobthread.ReasonUpstreamShed, false)
		return
	}
	simulation.checker.recordRun(msg.key)
	simulation.endAttempt(msg, executor.StatusDone, "", false)
}

// endAttempt posts the end of an attempt to its host. The message of a local end cannot be lost, all others can.
func (simulation *simulation) endAttempt(msg *message, status executor.Status, reason carobthread.Reason, local bool) {
	ended := &executor.AttemptEnded{Attempt: msg.send.Attempt, Key: msg.key, Status: status, Reason: reason}
	if status == executor.StatusDone {
		ended.Result = expectedResult(msg.key)
	}
	ended.Draining = !local && simulation.upstreamModes[msg.upstream] == modeDraining
	simulation.post(&message{kind: kindEnded, host: msg.host, incarnationNumber: msg.incarnationNumber, key: msg.key, send: msg.send, ended: ended, local: local, upstream: msg.upstream})
}

// drop loses a message. A host that would notice the broken connection is informed of it.
func (simulation *simulation) drop(id int) {
	if pending := simulation.find(id); pending == nil || pending.local {
		return
	}
	lost := simulation.take(id)
	simulation.counts.Dropped++
	switch lost.kind {
	case kindPeerCall:
		simulation.failForward(lost.replyTo)
	case kindPeerAnswer:
		simulation.failForward(&callOrigin{host: lost.host, incarnationNumber: lost.incarnationNumber, peerCall: lost.callID})
	case kindDial:
		simulation.endAttempt(lost, executor.StatusNotRun, carobthread.ReasonConnectionLost, true)
	case kindRun, kindEnded:
		simulation.endAttempt(lost, executor.StatusUnknown, carobthread.ReasonConnectionLost, true)
	}
}

// duplicate copies a message. A run is written once on one connection, so the network cannot duplicate it.
func (simulation *simulation) duplicate(id int) {
	original := simulation.find(id)
	if original == nil || original.kind == kindRun || original.kind == kindDial {
		return
	}
	simulation.counts.Duplicated++
	copied := *original
	simulation.post(&copied)
}

// misroutable reports whether the answer belongs to an attempt or forward of the same kind as the target, but to
// another key.
func misroutable(answer, target *message) bool {
	switch answer.kind {
	case kindEnded:
		return target.send != nil && target.key != answer.ended.Key
	case kindPeerAnswer:
		return !answer.failed && target.kind == kindPeerCall && target.replyTo.key != answer.outcome.Key
	default:
		return false
	}
}

// misroute posts a copy of an answer to the host that waits for the answer to another request.
func (simulation *simulation) misroute(id, other int) {
	answer, target := simulation.find(id), simulation.find(other)
	if answer == nil || target == nil || !misroutable(answer, target) {
		return
	}
	simulation.counts.Misrouted++
	copied := *answer
	if answer.kind == kindEnded {
		ended := *answer.ended
		ended.Attempt = target.send.Attempt
		copied.ended, copied.send, copied.key = &ended, target.send, target.key
		copied.host, copied.incarnationNumber = target.host, target.incarnationNumber
	} else {
		copied.host, copied.incarnationNumber, copied.callID = target.replyTo.host, target.replyTo.incarnationNumber, target.replyTo.peerCall
	}
	copied.local = true
	simulation.post(&copied)
}
