package explorer

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"carobthread"
	"carobthread/executor"
)

// Times used in every schedule, chosen so that deadlines and key expiries occur within it.
const (
	epoch        = carobthread.Instant(1000 * time.Hour)
	keyLifetime  = 2 * time.Second
	hardDeadline = 300 * time.Millisecond
	serviceName  = "book"
)

// Modes of an upstream.
const (
	modeServing  = "serving"
	modeDraining = "draining"
	modeShedding = "shedding"
)

// messageKind distinguishes messages by their sender, receiver and purpose.
type messageKind string

const (
	kindCall       messageKind = "call"        // caller to host
	kindAnswer     messageKind = "answer"      // host to caller
	kindPeerCall   messageKind = "peer-call"   // host to minting host
	kindPeerAnswer messageKind = "peer-answer" // minting host to host
	kindDial       messageKind = "dial"        // a host's connection to an upstream becomes ready to write
	kindRun        messageKind = "run"         // host to upstream, after the write permit was granted
	kindEnded      messageKind = "ended"       // upstream to host, or the host's own connection failure
)

// message is a message in flight; fields that its kind does not use are zero.
type message struct {
	id                int
	kind              messageKind
	host              int  // the receiving host, or the sending host of a run
	incarnationNumber int  // the incarnation of that host that the message is meant for, 0 for any
	local             bool // raised on the host itself or misrouted; cannot be lost
	caller            int
	key               string
	call              string
	payload           []byte
	reserve           *executor.KeyReserved
	outcome           executor.Outcome
	forward           *executor.ForwardCall
	replyTo           *callOrigin
	ended             *executor.AttemptEnded
	send              *executor.SendRun
	callID            executor.CallID
	failed            bool
	upstream          int
}

// callOrigin is the caller or peer that waits for the answer to a call.
type callOrigin struct {
	caller            int
	isPeer            bool
	host              int
	incarnationNumber int
	peerCall          executor.CallID
	key               string
}

// hostState is a simulated host and its current incarnation.
type hostState struct {
	machine           executor.StateMachine
	name              string
	incarnationNumber int
	incarnation       carobthread.Incarnation
	up                bool
	paused            bool
	clockOffset       time.Duration
	openCalls         map[executor.CallID]*callOrigin
	lastCall          executor.CallID
}

// simulation is the complete state of one schedule.
type simulation struct {
	header        Header
	config        carobthread.Config
	factory       Factory
	now           carobthread.Instant
	hosts         []*hostState
	upstreamModes []string
	clockLags     []time.Duration // how far each upstream's clock is behind
	callers       []*callerState
	messages      []*message
	lastMessage   int
	checker       *checker
	counts        *Counts
	writeAllowed  bool
}

func newSimulation(header Header, factory Factory, counts *Counts) *simulation {
	simulation := &simulation{header: header, config: header.config(), factory: factory, now: epoch, checker: newChecker(counts), counts: counts}
	for i := range header.Hosts {
		simulation.hosts = append(simulation.hosts, &hostState{name: fmt.Sprintf("h%d", i)})
		simulation.startHost(i)
	}
	for range header.Upstreams {
		simulation.upstreamModes = append(simulation.upstreamModes, modeServing)
		simulation.clockLags = append(simulation.clockLags, 0)
	}
	for i := range header.Callers {
		simulation.callers = append(simulation.callers, &callerState{number: i, checker: simulation.checker})
	}
	for i := range simulation.hosts {
		simulation.updateView(i)
	}
	return simulation
}

// startHost starts a new incarnation of a host with its own secret.
func (simulation *simulation) startHost(index int) {
	host := simulation.hosts[index]
	host.incarnationNumber++
	host.up, host.paused = true, false
	host.incarnation = carobthread.Incarnation{Start: simulation.now, Random: uint64(index)<<32 | uint64(host.incarnationNumber)}
	secret := binary.BigEndian.AppendUint64([]byte("secret"), host.incarnation.Random)
	host.openCalls = map[executor.CallID]*callOrigin{}
	host.machine = simulation.factory(executor.Options{
		Host:        host.name,
		DataCentre:  dataCentre(index),
		Incarnation: host.incarnation,
		Secret:      secret,
		Seed:        simulation.header.Seed ^ host.incarnation.Random,
		KeyLifetime: keyLifetime,
		MaxKeys:     simulation.header.MaxKeys,
	})
	simulation.step(index, executor.Event{Config: &carobthread.ConfigChanged{Config: simulation.config}})
}

func dataCentre(index int) string { return [...]string{"north", "south"}[index%2] }

func (header *Header) config() carobthread.Config {
	config := carobthread.Config{
		Services: []carobthread.Service{{Name: serviceName, Kind: carobthread.KindExecute, HardDeadline: hardDeadline, Layout: 1, MaxReplySize: 256}},
		Layouts:  []carobthread.Layout{{Service: serviceName, Generation: 1, Shards: [][]string{{}}}},
	}
	for i := range header.Upstreams {
		name := fmt.Sprintf("u%d", i)
		config.Searchers = append(config.Searchers, carobthread.Searcher{Name: name, DataCentre: dataCentre(i), Slots: header.Slots})
		config.Layouts[0].Shards[0] = append(config.Layouts[0].Shards[0], name)
	}
	return config
}

// updateView gives a host a view of the current incarnations; between updates its view is stale.
func (simulation *simulation) updateView(index int) {
	view := carobthread.View{Self: simulation.hosts[index].name}
	for i, host := range simulation.hosts {
		view.Hosts = append(view.Hosts, carobthread.Host{Name: host.name, DataCentre: dataCentre(i), Incarnation: host.incarnation, State: carobthread.HostLive})
	}
	simulation.step(index, executor.Event{View: &carobthread.ViewChanged{View: view}})
}

// step applies an event to a host and performs the resulting actions. A host that is down or paused ignores the event.
func (simulation *simulation) step(index int, event executor.Event) {
	host := simulation.hosts[index]
	if !host.up || host.paused {
		return
	}
	event.At = simulation.now.Add(host.clockOffset)
	for _, action := range host.machine.Step(event) {
		simulation.perform(index, action)
	}
}

func (simulation *simulation) perform(index int, action executor.Action) {
	host := simulation.hosts[index]
	switch {
	case action.Reserved != nil:
		simulation.performReserved(host, action.Reserved)
	case action.Send != nil:
		simulation.post(&message{kind: kindDial, host: index, incarnationNumber: host.incarnationNumber, key: action.Send.Key, send: action.Send})
	case action.Permit != nil:
		simulation.writeAllowed = action.Permit.Allowed
	case action.Forward != nil:
		target := slices.IndexFunc(simulation.hosts, func(other *hostState) bool { return other.name == action.Forward.Host })
		replyTo := &callOrigin{host: index, incarnationNumber: host.incarnationNumber, peerCall: action.Forward.Call, key: forwardedKey(action.Forward)}
		simulation.post(&message{kind: kindPeerCall, host: target, forward: action.Forward, replyTo: replyTo})
	case action.Answer != nil:
		simulation.performAnswer(host, action.Answer)
	}
}

func forwardedKey(forward *executor.ForwardCall) string {
	if forward.Execute != nil {
		return forward.Execute.Key
	}
	return forward.Outcome.Key
}

func (simulation *simulation) performReserved(host *hostState, reserved *executor.KeyReserved) {
	origin := host.openCalls[reserved.Call]
	if origin == nil {
		return
	}
	delete(host.openCalls, reserved.Call)
	if reserved.Key != "" {
		simulation.counts.Keys++
	}
	simulation.post(&message{kind: kindAnswer, caller: origin.caller, reserve: reserved})
}

func (simulation *simulation) performAnswer(host *hostState, answer *executor.AnswerCall) {
	origin := host.openCalls[answer.Call]
	if origin == nil {
		return
	}
	delete(host.openCalls, answer.Call)
	key, err := executor.ParseKey(origin.key)
	fromMinter := err == nil && key.Host == host.name && key.Incarnation == host.incarnation
	simulation.checker.checkAnswer(origin.key, answer.Outcome, fromMinter)
	if origin.isPeer {
		simulation.post(&message{kind: kindPeerAnswer, host: origin.host, incarnationNumber: origin.incarnationNumber, callID: origin.peerCall, key: origin.key, outcome: answer.Outcome})
		return
	}
	simulation.post(&message{kind: kindAnswer, caller: origin.caller, key: origin.key, outcome: answer.Outcome})
}

// post adds a message to those in flight.
func (simulation *simulation) post(msg *message) {
	simulation.lastMessage++
	msg.id = simulation.lastMessage
	simulation.messages = append(simulation.messages, msg)
}

func (simulation *simulation) find(id int) *message {
	for _, msg := range simulation.messages {
		if msg.id == id {
			return msg
		}
	}
	return nil
}

// take removes a message from those in flight and returns it.
func (simulation *simulation) take(id int) *message {
	msg := simulation.find(id)
	simulation.messages = slices.DeleteFunc(simulation.messages, func(other *message) bool { return other == msg })
	return msg
}
