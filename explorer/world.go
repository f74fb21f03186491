package explorer

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"carobthread"
	"carobthread/executor"
)

// Times of every schedule, chosen so that deadlines and expiries fall into its span.
const (
	epoch        = carobthread.Instant(1000 * time.Hour)
	keyLifetime  = 2 * time.Second
	hardDeadline = 300 * time.Millisecond
	serviceName  = "book"
)

// The modes of an upstream.
const (
	modeServing  = "serving"
	modeDraining = "draining"
	modeShedding = "shedding"
)

// messageKind names what a message carries.
type messageKind string

const (
	kindCall       messageKind = "call"        // caller to host
	kindAnswer     messageKind = "answer"      // host to caller
	kindPeerCall   messageKind = "peer-call"   // host to minting host
	kindPeerAnswer messageKind = "peer-answer" // minting host to host
	kindDial       messageKind = "dial"        // a connection of a host that becomes ready to write
	kindRun        messageKind = "run"         // host to upstream, written with a permit
	kindEnded      messageKind = "ended"       // upstream or connection to host
)

// message is one thing in flight; fields that its kind does not use are zero.
type message struct {
	id       int
	kind     messageKind
	host     int // the receiving host, or the sending host of a run
	life     int // the life of that host for which the message counts, 0 for any
	local    bool
	caller   int
	key      string
	call     string
	payload  []byte
	reserve  *executor.KeyReserved
	outcome  executor.Outcome
	forward  *executor.ForwardCall
	reply    *origin
	ended    *executor.AttemptEnded
	send     *executor.SendRun
	callID   executor.CallID
	failed   bool
	upstream int
}

// origin is who waits for a call of a host.
type origin struct {
	caller   int
	isPeer   bool
	host     int
	life     int
	peerCall executor.CallID
	key      string
}

// hostState is one host and its present incarnation.
type hostState struct {
	machine  executor.StateMachine
	name     string
	life     int
	identity carobthread.Incarnation
	up       bool
	paused   bool
	offset   time.Duration
	calls    map[executor.CallID]*origin
	nextCall executor.CallID
}

// world is the whole state of one schedule.
type world struct {
	header    Header
	config    carobthread.Config
	factory   Factory
	now       carobthread.Instant
	hosts     []*hostState
	modes     []string
	lags      []time.Duration // how far each upstream's clock is behind
	callers   []*callerState
	messages  []*message
	nextID    int
	checker   *checker
	counts    *Counts
	permitted bool
}

func newWorld(header Header, factory Factory, counts *Counts) *world {
	world := &world{header: header, config: header.config(), factory: factory, now: epoch, checker: newChecker(counts), counts: counts}
	for i := range header.Hosts {
		world.hosts = append(world.hosts, &hostState{name: fmt.Sprintf("h%d", i)})
		world.start(i)
	}
	for range header.Upstreams {
		world.modes = append(world.modes, modeServing)
		world.lags = append(world.lags, 0)
	}
	for i := range header.Callers {
		world.callers = append(world.callers, &callerState{number: i, checker: world.checker})
	}
	for i := range world.hosts {
		world.refreshView(i)
	}
	return world
}

// start gives a host a new incarnation with its own secret.
func (world *world) start(index int) {
	host := world.hosts[index]
	host.life++
	host.up, host.paused = true, false
	host.identity = carobthread.Incarnation{Start: world.now, Random: uint64(index)<<32 | uint64(host.life)}
	secret := binary.BigEndian.AppendUint64([]byte("secret"), host.identity.Random)
	host.calls = map[executor.CallID]*origin{}
	host.machine = world.factory(executor.Options{
		Host:        host.name,
		DataCentre:  dataCentre(index),
		Incarnation: host.identity,
		Secret:      secret,
		Seed:        world.header.Seed ^ host.identity.Random,
		KeyLifetime: keyLifetime,
		MaxKeys:     world.header.MaxKeys,
	})
	world.step(index, executor.Event{Config: &carobthread.ConfigChanged{Config: world.config}})
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

// refreshView shows a host the present incarnations; between refreshes its view lags.
func (world *world) refreshView(index int) {
	view := carobthread.View{Self: world.hosts[index].name}
	for i, host := range world.hosts {
		view.Hosts = append(view.Hosts, carobthread.Host{Name: host.name, DataCentre: dataCentre(i), Incarnation: host.identity, State: carobthread.HostLive})
	}
	world.step(index, executor.Event{View: &carobthread.ViewChanged{View: view}})
}

// step feeds one event to a host that is up and not paused and performs the actions.
func (world *world) step(index int, event executor.Event) {
	host := world.hosts[index]
	if !host.up || host.paused {
		return
	}
	event.At = world.now.Add(host.offset)
	for _, action := range host.machine.Step(event) {
		world.perform(index, action)
	}
}

func (world *world) perform(index int, action executor.Action) {
	host := world.hosts[index]
	switch {
	case action.Reserved != nil:
		world.performReserved(host, action.Reserved)
	case action.Send != nil:
		world.post(&message{kind: kindDial, host: index, life: host.life, key: action.Send.Key, send: action.Send})
	case action.Permit != nil:
		world.permitted = action.Permit.Allowed
	case action.Forward != nil:
		target := slices.IndexFunc(world.hosts, func(other *hostState) bool { return other.name == action.Forward.Host })
		reply := &origin{host: index, life: host.life, peerCall: action.Forward.Call, key: forwardedKey(action.Forward)}
		world.post(&message{kind: kindPeerCall, host: target, forward: action.Forward, reply: reply})
	case action.Answer != nil:
		world.performAnswer(host, action.Answer)
	}
}

func forwardedKey(forward *executor.ForwardCall) string {
	if forward.Execute != nil {
		return forward.Execute.Key
	}
	return forward.Outcome.Key
}

func (world *world) performReserved(host *hostState, reserved *executor.KeyReserved) {
	waiting := host.calls[reserved.Call]
	if waiting == nil {
		return
	}
	delete(host.calls, reserved.Call)
	if reserved.Key != "" {
		world.counts.Keys++
	}
	world.post(&message{kind: kindAnswer, caller: waiting.caller, reserve: reserved})
}

func (world *world) performAnswer(host *hostState, answer *executor.AnswerCall) {
	waiting := host.calls[answer.Call]
	if waiting == nil {
		return
	}
	delete(host.calls, answer.Call)
	key, err := executor.ParseKey(waiting.key)
	minted := err == nil && key.Host == host.name && key.Incarnation == host.identity
	world.checker.answered(waiting.key, answer.Outcome, minted)
	if waiting.isPeer {
		world.post(&message{kind: kindPeerAnswer, host: waiting.host, life: waiting.life, callID: waiting.peerCall, key: waiting.key, outcome: answer.Outcome})
		return
	}
	world.post(&message{kind: kindAnswer, caller: waiting.caller, key: waiting.key, outcome: answer.Outcome})
}

func (world *world) post(posted *message) {
	world.nextID++
	posted.id = world.nextID
	world.messages = append(world.messages, posted)
}

func (world *world) find(id int) *message {
	for _, sent := range world.messages {
		if sent.id == id {
			return sent
		}
	}
	return nil
}

func (world *world) take(id int) *message {
	taken := world.find(id)
	world.messages = slices.DeleteFunc(world.messages, func(other *message) bool { return other == taken })
	return taken
}
