package explorer

import (
	"slices"

	"carobthread"
	"carobthread/executor"
)

// reachable reports whether the message's host may take it now; a paused host takes it after it wakes.
func (world *world) reachable(sent *message) bool {
	return sent.kind == kindAnswer || sent.kind == kindRun || !world.hosts[sent.host].paused
}

// alive reports whether the message's host is up in the life that the message is for.
func (world *world) alive(sent *message) bool {
	host := world.hosts[sent.host]
	return host.up && (sent.life == 0 || sent.life == host.life)
}

func (world *world) deliver(id int) {
	if found := world.find(id); found == nil || !world.reachable(found) {
		return
	}
	sent := world.take(id)
	switch sent.kind {
	case kindAnswer:
		world.callers[sent.caller].take(sent)
		return
	case kindRun:
		world.run(sent)
		return
	}
	if !world.alive(sent) {
		if sent.kind == kindPeerCall {
			world.failForward(sent.reply)
		}
		return
	}
	world.deliverToHost(sent)
}

func (world *world) deliverToHost(sent *message) {
	switch sent.kind {
	case kindCall:
		world.deliverCall(sent)
	case kindPeerCall:
		world.deliverPeerCall(sent)
	case kindPeerAnswer:
		world.step(sent.host, executor.Event{Forward: &executor.ForwardEnded{Call: sent.callID, Outcome: sent.outcome, Failed: sent.failed}})
	case kindDial:
		world.deliverDial(sent)
	case kindEnded:
		world.step(sent.host, executor.Event{Ended: sent.ended})
	}
}

func (host *hostState) open(waiting *origin) executor.CallID {
	host.nextCall++
	host.calls[host.nextCall] = waiting
	return host.nextCall
}

func (world *world) deliverCall(sent *message) {
	id := world.hosts[sent.host].open(&origin{caller: sent.caller, key: sent.key})
	event := executor.Event{}
	switch sent.call {
	case callReserve:
		event.Reserve = &executor.ReserveCalled{Call: id, Service: serviceName}
	case callOutcome:
		event.Outcome = &executor.OutcomeCalled{Call: id, Key: sent.key}
	default:
		event.Execute = &executor.ExecuteCalled{Call: id, Key: sent.key, Service: serviceName, Payload: sent.payload, Deadline: world.now.Add(hardDeadline)}
	}
	world.step(sent.host, event)
}

func (world *world) deliverPeerCall(sent *message) {
	event := executor.Event{}
	waiting := *sent.reply
	waiting.isPeer = true
	if sent.forward.Execute != nil {
		execute := *sent.forward.Execute
		waiting.key = execute.Key
		execute.Call, execute.Forwarded = world.hosts[sent.host].open(&waiting), true
		event.Execute = &execute
	} else {
		outcome := *sent.forward.Outcome
		waiting.key = outcome.Key
		outcome.Call, outcome.Forwarded = world.hosts[sent.host].open(&waiting), true
		event.Outcome = &outcome
	}
	world.step(sent.host, event)
}

func (world *world) failForward(reply *origin) {
	world.post(&message{kind: kindPeerAnswer, host: reply.host, life: reply.life, callID: reply.peerCall, failed: true, local: true})
}

// deliverDial asks for the permit and writes at once if it is given.
func (world *world) deliverDial(sent *message) {
	world.permitted = false
	world.step(sent.host, executor.Event{Write: &executor.WriteReady{Attempt: sent.send.Attempt}})
	if !world.permitted {
		world.end(sent, executor.StatusNotRun, carobthread.ReasonTimeout, true)
		return
	}
	upstream := slices.Index(world.config.Layouts[0].Shards[0], sent.send.Searcher)
	world.post(&message{kind: kindRun, host: sent.host, life: sent.life, key: sent.key, send: sent.send, upstream: upstream})
}

// run is an upstream that got the whole request; it checks the deadline that the request carries.
func (world *world) run(sent *message) {
	if world.modes[sent.upstream] != modeServing || world.now.Add(-world.lags[sent.upstream]) >= sent.send.Deadline {
		world.end(sent, executor.StatusNotRun, carobthread.ReasonUpstreamShed, false)
		return
	}
	world.checker.ran(sent.key)
	world.end(sent, executor.StatusDone, "", false)
}

// end posts the end of an attempt to its host; a local end is certain, others may be lost on the way.
func (world *world) end(sent *message, status executor.Status, reason carobthread.Reason, local bool) {
	ended := &executor.AttemptEnded{Attempt: sent.send.Attempt, Key: sent.key, Status: status, Reason: reason}
	if status == executor.StatusDone {
		ended.Result = resultOf(sent.key)
	}
	ended.Draining = !local && world.modes[sent.upstream] == modeDraining
	world.post(&message{kind: kindEnded, host: sent.host, life: sent.life, key: sent.key, send: sent.send, ended: ended, local: local, upstream: sent.upstream})
}

// drop loses a message; whoever would learn of a broken connection does.
func (world *world) drop(id int) {
	if found := world.find(id); found == nil || found.local {
		return
	}
	lost := world.take(id)
	world.counts.Dropped++
	switch lost.kind {
	case kindPeerCall:
		world.failForward(lost.reply)
	case kindPeerAnswer:
		world.failForward(&origin{host: lost.host, life: lost.life, peerCall: lost.callID})
	case kindDial:
		world.end(lost, executor.StatusNotRun, carobthread.ReasonConnectionLost, true)
	case kindRun, kindEnded:
		world.end(lost, executor.StatusUnknown, carobthread.ReasonConnectionLost, true)
	}
}

// duplicate copies a message; a run is written once on one connection and cannot be doubled by the network.
func (world *world) duplicate(id int) {
	found := world.find(id)
	if found == nil || found.kind == kindRun || found.kind == kindDial {
		return
	}
	world.counts.Duplicated++
	copied := *found
	world.post(&copied)
}

// misroutable reports whether the content answers an attempt or forward like the one of the target, but of another key.
func misroutable(content, target *message) bool {
	switch content.kind {
	case kindEnded:
		return target.send != nil && target.key != content.ended.Key
	case kindPeerAnswer:
		return !content.failed && target.kind == kindPeerCall && target.reply.key != content.outcome.Key
	default:
		return false
	}
}

// misroute posts a copy of an answer to whoever waits for the answer of another request.
func (world *world) misroute(id, other int) {
	content, target := world.find(id), world.find(other)
	if content == nil || target == nil || !misroutable(content, target) {
		return
	}
	world.counts.Misrouted++
	copied := *content
	if content.kind == kindEnded {
		ended := *content.ended
		ended.Attempt = target.send.Attempt
		copied.ended, copied.send, copied.key = &ended, target.send, target.key
		copied.host, copied.life = target.host, target.life
	} else {
		copied.host, copied.life, copied.callID = target.reply.host, target.reply.life, target.reply.peerCall
	}
	copied.local = true
	world.post(&copied)
}
