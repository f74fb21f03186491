package estimator

import (
	"errors"
	"time"

	"carobthread"
	"carobthread/applier"
	"carobthread/messenger"
	"carobthread/relayer"
	"carobthread/tracker"
)

// Traffic counts what one host has sent and received since its counters were reset.
type Traffic struct {
	Messages      int64
	Bytes         int64
	BytesByMethod map[string]int64
}

// node is one simulated host. In place of the process around the state machine, it turns actions into messages and
// completes each call exactly once.
type node struct {
	fleet            *Fleet
	host             carobthread.Host
	core             *relayer.Relayer
	state            *applier.Applier
	epoch            int // incremented at each start, so that events of an earlier process are dropped
	alive            bool
	startedAt        carobthread.Instant
	readyAt          carobthread.Instant
	paused           bool
	deferred         []func() // events that arrive during a pause
	traffic          Traffic
	ticketNumbers    map[carobthread.ObjectID]uint64
	leavingSearchers map[string]bool
}

func (fleet *Fleet) addNode(name, centre, address string) {
	added := &node{
		fleet: fleet,
		host:  carobthread.Host{Name: name, DataCentre: centre, PeerAddress: address, State: carobthread.HostLive},
	}
	added.resetTraffic()
	fleet.nodes = append(fleet.nodes, added)
	fleet.nodesByName[name] = added
}

func (node *node) resetTraffic() { node.traffic = Traffic{BytesByMethod: map[string]int64{}} }

// start starts a new process without any state.
func (node *node) start() {
	fleet := node.fleet
	node.epoch++
	node.alive, node.paused, node.deferred = true, false, nil
	node.startedAt, node.readyAt = fleet.now, 0
	node.ticketNumbers = map[carobthread.ObjectID]uint64{}
	node.leavingSearchers = map[string]bool{}
	node.host.Incarnation = carobthread.Incarnation{Start: fleet.now, Random: fleet.random.Uint64()}
	node.state = applier.New(applier.Options{})
	node.core = relayer.New(relayer.Options{
		Self: node.host, Seeds: fleet.seeds(node.host.Name), State: node.state,
		DecodeHosts: decodeHosts, Seed: fleet.random.Uint64(),
	}, fleet.now)
	node.scheduleTick(relayer.TickPeriod, node.epoch)
}

// seeds returns the hosts that the settings file would name, which are the first host of each data centre.
func (fleet *Fleet) seeds(self string) []carobthread.Host {
	var seeds []carobthread.Host
	for i := 0; i < min(fleet.options.Centres, len(fleet.nodes)); i++ {
		if host := fleet.nodes[i].host; host.Name != self {
			seeds = append(seeds, carobthread.Host{Name: host.Name, DataCentre: host.DataCentre, PeerAddress: host.PeerAddress})
		}
	}
	return seeds
}

// scheduleTick schedules the next tick of a process.
func (node *node) scheduleTick(delay time.Duration, epoch int) {
	due := node.fleet.now.Add(delay)
	node.fleet.after(delay, func() {
		node.deliver(epoch, func() {
			late := node.fleet.now.Sub(due)
			node.step(relayer.Event{Tick: &carobthread.TickArrived{LateMicros: late.Microseconds()}})
			node.scheduleTick(relayer.TickPeriod, epoch)
		})
	})
}

// deliver runs an event of a process now, or at the end of a pause. It drops events of a killed or earlier process.
func (node *node) deliver(epoch int, run func()) {
	switch {
	case !node.alive || node.epoch != epoch:
	case node.paused:
		node.deferred = append(node.deferred, func() { node.deliver(epoch, run) })
	default:
		run()
	}
}

// step runs one event through the state machine, performs the actions and returns the response, if any.
func (node *node) step(event relayer.Event) *relayer.Respond {
	event.At = node.fleet.now
	var response *relayer.Respond
	before := node.fleet.clock.Now()
	actions := node.core.Step(event)
	node.fleet.coreTime += node.fleet.clock.Now().Sub(before)
	for _, action := range actions {
		if action.Respond != nil {
			response = action.Respond
			continue
		}
		node.perform(action)
	}
	if node.readyAt == 0 && node.core.Ready() {
		node.readyAt = node.fleet.now
	}
	return response
}

func (node *node) perform(action relayer.Action) {
	switch {
	case action.Call != nil:
		node.callPeer(*action.Call)
	case action.Read != nil:
		node.fleet.platform.read(node, *action.Read)
	case action.Watch != nil:
		node.fleet.platform.watch(node, *action.Watch)
	case action.Config != nil:
		node.fleet.recordActivation(node, action.Config.Entries)
	case action.Marks != nil:
		node.fleet.recordLeaving(node, action.Marks.Marks)
	case action.Refused != nil:
		node.fleet.addViolation("%s rejected ticket %d: %v", node.host.Name, action.Refused.Ticket, action.Refused.Findings)
	case action.Conflict != nil:
		node.fleet.addViolation("%s reported a conflict for %s", node.host.Name, action.Conflict.ID)
	case action.Finding != nil:
		node.fleet.addViolation("%s cannot decode %s: %v", node.host.Name, action.Finding.Source, action.Finding.Cause)
	case action.Stop != nil:
		node.fleet.addViolation("%s stopped because another incarnation superseded it", node.host.Name)
	}
}

// callPeer sends a request frame and completes the call on reply, failure or deadline, whichever comes first.
func (node *node) callPeer(call relayer.CallPeer) {
	fleet, epoch := node.fleet, node.epoch
	ended := false
	end := func(event relayer.Event) {
		node.deliver(epoch, func() {
			if !ended {
				ended = true
				node.step(event)
			}
		})
	}
	fail := func(reason carobthread.Reason) {
		end(relayer.Event{Failure: &relayer.PeerFailed{Call: call.Call, Reason: reason}})
	}
	fleet.after(call.Deadline.Sub(fleet.now), func() { fail(carobthread.ReasonTimeout) })
	frame, err := messenger.EncodeRequest(uint64(call.Call), call.Method, call.Deadline.Sub(fleet.now), call.Params)
	if err != nil {
		fleet.addViolation("encode %s: %v", call.Method, err)
		return
	}
	peer := fleet.nodesByName[call.Host]
	if !peer.alive {
		fleet.transmit(node, peer, func() { fail(carobthread.ReasonHostUnreachable) })
		return
	}
	fleet.openLink(node, peer)
	node.countMessage(call.Method, len(frame))
	fleet.transmit(node, peer, func() {
		if !peer.alive {
			fleet.transmit(peer, node, func() { fail(carobthread.ReasonConnectionLost) })
			return
		}
		peer.deliver(peer.epoch, func() {
			peer.serve(node, call.Method, frame, func(body []byte) {
				end(relayer.Event{Reply: &relayer.PeerReplied{Call: call.Call, Body: body}})
			})
		})
	})
}

// serve handles a request frame and sends the reply frame back.
func (node *node) serve(source *node, method string, frame []byte, done func(body []byte)) {
	node.countMessage(method, len(frame))
	decoded, body, err := messenger.DecodeRequest(frame)
	if err != nil {
		node.fleet.addViolation("decode %s: %v", method, err)
		return
	}
	response := node.step(relayer.Event{Request: &relayer.PeerRequest{From: source.host.Name, Method: decoded, Body: body}})
	if response == nil || response.Failure != nil {
		node.fleet.addViolation("%s rejected %s from %s", node.host.Name, method, source.host.Name)
		return
	}
	reply, err := messenger.EncodeReply(1, response.Result)
	if err != nil {
		node.fleet.addViolation("encode the reply to %s: %v", method, err)
		return
	}
	node.countMessage(method, len(reply))
	node.fleet.transmit(node, source, func() {
		source.countMessage(method, len(reply))
		result, err := messenger.DecodeReply(reply)
		if err != nil {
			node.fleet.addViolation("decode the reply to %s: %v", method, err)
			return
		}
		done(result)
	})
}

func (node *node) countMessage(method string, bytes int) {
	node.traffic.Messages++
	node.traffic.Bytes += int64(bytes)
	node.traffic.BytesByMethod[method] += int64(bytes)
}

// Kill ends a host's process immediately.
func (fleet *Fleet) Kill(name string) {
	fleet.nodesByName[name].alive = false
	fleet.platform.updateHostList()
}

// Restart starts a new process of a host with a new incarnation and no state.
func (fleet *Fleet) Restart(name string) {
	fleet.nodesByName[name].start()
	fleet.platform.updateHostList()
}

// Pause suspends a host's process for the span. Its events are deferred until the pause ends.
func (fleet *Fleet) Pause(name string, span time.Duration) {
	paused := fleet.nodesByName[name]
	paused.paused = true
	epoch := paused.epoch
	fleet.after(span, func() {
		if paused.epoch != epoch {
			return
		}
		paused.paused = false
		deferred := paused.deferred
		paused.deferred = nil
		for _, run := range deferred {
			run()
		}
	})
}

// ObserveLeaving makes a host observe a searcher that reports itself as leaving.
func (fleet *Fleet) ObserveLeaving(name, searcher string) {
	fleet.leavingSearchers = append(fleet.leavingSearchers, &leavingSearcher{searcher: searcher, at: fleet.now, knownAfter: map[string]time.Duration{}})
	fleet.nodesByName[name].step(relayer.Event{Searcher: &tracker.SearcherStateObserved{Searcher: searcher, Leaving: true}})
}

// Reader returns the first running reader of a data centre in the view of a running host there.
func (fleet *Fleet) Reader(centre string) (string, error) {
	for _, node := range fleet.nodes {
		if !node.alive || node.host.DataCentre != centre {
			continue
		}
		for _, reader := range node.core.Readers(centre) {
			if fleet.nodesByName[reader].alive {
				return reader, nil
			}
		}
	}
	return "", errors.New("no running reader in " + centre)
}
