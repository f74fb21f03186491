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

// Traffic is what one host has sent and received since its counters were reset.
type Traffic struct {
	Messages int64
	Bytes    int64
	Kinds    map[string]int64 // bytes by method
}

// node is one host with the shell's part: it turns actions into messages and ends calls exactly once.
type node struct {
	fleet   *Fleet
	host    carobthread.Host
	core    *relayer.Relayer
	state   *applier.Applier
	life    int // counts starts, so that events of an earlier process are dropped
	alive   bool
	began   carobthread.Instant
	readyAt carobthread.Instant
	paused  bool
	held    []func() // events that arrive during a pause
	traffic Traffic
	numbers map[carobthread.ObjectID]uint64
	marked  map[string]bool
}

func (fleet *Fleet) addNode(name, centre, address string) {
	added := &node{
		fleet: fleet,
		host:  carobthread.Host{Name: name, DataCentre: centre, PeerAddress: address, State: carobthread.HostLive},
	}
	added.resetTraffic()
	fleet.nodes = append(fleet.nodes, added)
	fleet.byName[name] = added
}

func (node *node) resetTraffic() { node.traffic = Traffic{Kinds: map[string]int64{}} }

// start begins a new process without any state.
func (node *node) start() {
	fleet := node.fleet
	node.life++
	node.alive, node.paused, node.held = true, false, nil
	node.began, node.readyAt = fleet.now, 0
	node.numbers = map[carobthread.ObjectID]uint64{}
	node.marked = map[string]bool{}
	node.host.Incarnation = carobthread.Incarnation{Start: fleet.now, Random: fleet.random.Uint64()}
	node.state = applier.New(applier.Options{})
	node.core = relayer.New(relayer.Options{
		Self: node.host, Seeds: fleet.seeds(node.host.Name), State: node.state,
		DecodeHosts: decodeHosts, Seed: fleet.random.Uint64(),
	}, fleet.now)
	node.scheduleTick(relayer.TickPeriod, node.life)
}

// seeds returns the hosts that settings name: the first one of each data centre.
func (fleet *Fleet) seeds(self string) []carobthread.Host {
	var seeds []carobthread.Host
	for i := 0; i < min(fleet.settings.Centres, len(fleet.nodes)); i++ {
		if host := fleet.nodes[i].host; host.Name != self {
			seeds = append(seeds, carobthread.Host{Name: host.Name, DataCentre: host.DataCentre, PeerAddress: host.PeerAddress})
		}
	}
	return seeds
}

func (node *node) scheduleTick(span time.Duration, life int) {
	due := node.fleet.now.Add(span)
	node.fleet.after(span, func() {
		node.deliver(life, func() {
			late := node.fleet.now.Sub(due)
			node.step(relayer.Event{Tick: &carobthread.Ticked{LateMicros: late.Microseconds()}})
			node.scheduleTick(relayer.TickPeriod, life)
		})
	})
}

// deliver runs an event of one life now, or when a pause ends.
func (node *node) deliver(life int, run func()) {
	switch {
	case !node.alive || node.life != life:
	case node.paused:
		node.held = append(node.held, func() { node.deliver(life, run) })
	default:
		run()
	}
}

func (node *node) step(event relayer.Event) *relayer.Respond {
	event.At = node.fleet.now
	var response *relayer.Respond
	before := node.fleet.clock.Now()
	actions := node.core.Step(event)
	node.fleet.stepTime += node.fleet.clock.Now().Sub(before)
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
		node.fleet.activated(node, action.Config.Entries)
	case action.Marks != nil:
		node.fleet.markSeen(node, action.Marks.Marks)
	case action.Refused != nil:
		node.fleet.violate("%s refused ticket %d: %v", node.host.Name, action.Refused.Ticket, action.Refused.Findings)
	case action.Conflict != nil:
		node.fleet.violate("%s reports a conflict of %s", node.host.Name, action.Conflict.ID)
	case action.Finding != nil:
		node.fleet.violate("%s cannot read %s: %v", node.host.Name, action.Finding.Source, action.Finding.Cause)
	case action.Stop != nil:
		node.fleet.violate("%s was superseded", node.host.Name)
	}
}

// callPeer sends a request frame and ends the call by reply, failure or deadline, whichever comes first.
func (node *node) callPeer(asked relayer.CallPeer) {
	fleet, life := node.fleet, node.life
	ended := false
	end := func(event relayer.Event) {
		node.deliver(life, func() {
			if !ended {
				ended = true
				node.step(event)
			}
		})
	}
	fail := func(reason carobthread.Reason) {
		end(relayer.Event{Failure: &relayer.PeerFailed{Call: asked.Call, Reason: reason}})
	}
	fleet.after(asked.Deadline.Sub(fleet.now), func() { fail(carobthread.ReasonTimeout) })
	frame, err := messenger.EncodeRequest(uint64(asked.Call), asked.Method, asked.Deadline.Sub(fleet.now), asked.Params)
	if err != nil {
		fleet.violate("encode %s: %v", asked.Method, err)
		return
	}
	peer := fleet.byName[asked.Host]
	if !peer.alive {
		fleet.transmit(node, peer, func() { fail(carobthread.ReasonHostUnreachable) })
		return
	}
	fleet.openLink(node, peer)
	node.count(asked.Method, len(frame))
	fleet.transmit(node, peer, func() {
		if !peer.alive {
			fleet.transmit(peer, node, func() { fail(carobthread.ReasonConnectionLost) })
			return
		}
		peer.deliver(peer.life, func() {
			peer.answer(node, asked.Method, frame, func(body []byte) {
				end(relayer.Event{Reply: &relayer.PeerReplied{Call: asked.Call, Body: body}})
			})
		})
	})
}

// answer serves a request frame and sends the reply's frame back.
func (node *node) answer(source *node, method string, frame []byte, done func(body []byte)) {
	node.count(method, len(frame))
	decoded, body, err := messenger.DecodeRequest(frame)
	if err != nil {
		node.fleet.violate("decode %s: %v", method, err)
		return
	}
	response := node.step(relayer.Event{Request: &relayer.PeerRequest{From: source.host.Name, Method: decoded, Body: body}})
	if response == nil || response.Failure != nil {
		node.fleet.violate("%s refused %s of %s", node.host.Name, method, source.host.Name)
		return
	}
	reply, err := messenger.EncodeReply(1, response.Result)
	if err != nil {
		node.fleet.violate("encode the answer to %s: %v", method, err)
		return
	}
	node.count(method, len(reply))
	node.fleet.transmit(node, source, func() {
		source.count(method, len(reply))
		result, err := messenger.DecodeReply(reply)
		if err != nil {
			node.fleet.violate("decode the answer to %s: %v", method, err)
			return
		}
		done(result)
	})
}

func (node *node) count(kind string, bytes int) {
	node.traffic.Messages++
	node.traffic.Bytes += int64(bytes)
	node.traffic.Kinds[kind] += int64(bytes)
}

// Kill ends a host's process at once.
func (fleet *Fleet) Kill(name string) {
	fleet.byName[name].alive = false
	fleet.platform.listHosts()
}

// Restart starts a host's process again with a new incarnation and no state.
func (fleet *Fleet) Restart(name string) {
	fleet.byName[name].start()
	fleet.platform.listHosts()
}

// Pause stops a host's process for the span; its events wait and come late.
func (fleet *Fleet) Pause(name string, span time.Duration) {
	paused := fleet.byName[name]
	paused.paused = true
	life := paused.life
	fleet.after(span, func() {
		if paused.life != life {
			return
		}
		paused.paused = false
		held := paused.held
		paused.held = nil
		for _, run := range held {
			run()
		}
	})
}

// SeeLeaving makes a host see a searcher's own sign that it leaves.
func (fleet *Fleet) SeeLeaving(name, searcher string) {
	fleet.marks = append(fleet.marks, &marked{searcher: searcher, at: fleet.now, seen: map[string]time.Duration{}})
	fleet.byName[name].step(relayer.Event{Searcher: &tracker.SearcherSeen{Searcher: searcher, Leaving: true}})
}

// Reader returns the first running reader of a data centre as its live hosts see it.
func (fleet *Fleet) Reader(centre string) (string, error) {
	for _, node := range fleet.nodes {
		if !node.alive || node.host.DataCentre != centre {
			continue
		}
		for _, reader := range node.core.Readers(centre) {
			if fleet.byName[reader].alive {
				return reader, nil
			}
		}
	}
	return "", errors.New("no reader in " + centre)
}
