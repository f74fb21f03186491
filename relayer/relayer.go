package relayer

// The relayer is a state machine around the tracker, the assigned roles and the
// configuration state. Each outgoing call stays in a table until the process
// ends it with exactly one event. Invariants:
//   - The relayer only offers objects to the state, which refuses lower ticket
//     numbers, so no source can roll a host back.
//   - The limit on a host's traffic does not depend on the number of hosts: one
//     exchange a second within the data centre, one every two seconds between
//     data centres for a reader, and at most FanOut pushes for each change.

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"carobthread"
	"carobthread/applier"
	"carobthread/assigner"
	"carobthread/tracker"
)

// TickPeriod is the period at which the process must send Tick events.
const TickPeriod = 250 * time.Millisecond

const (
	exchangePeriod  = time.Second
	exchangeTimeout = time.Second
	pushTimeout     = 700 * time.Millisecond
	fetchTimeout    = 2 * time.Second
)

// Options configures a Relayer.
type Options struct {
	Self carobthread.Host
	// Seeds are the hosts that are known at the start.
	Seeds []carobthread.Host
	// Contacts are further peers that the process can call, such as the addresses of seeds without a name.
	Contacts []string
	// State is the configuration. Only the relayer changes it; the process may read it between steps.
	State *applier.Applier
	// DecodeHosts decodes the platform's host list.
	DecodeHosts func(content []byte) ([]carobthread.Host, error)
	// Seed is the seed of the random choices.
	Seed uint64
}

// Relayer propagates configuration and membership for one host; it is not safe for concurrent use.
type Relayer struct {
	options    Options
	state      state
	membership *tracker.Tracker
	roles      *assigner.Assigner
	random     *rand.Rand

	now     carobthread.Instant
	actions []Action

	calls    map[CallID]completion
	lastCall CallID

	viewChanged bool
	// confirmedAt is the last time at which the active state was known to match the platform, or 0 if it never was.
	confirmedAt carobthread.Instant
	// source is where the objects that became active last came from.
	source            string
	nextLocalExchange carobthread.Instant
	// lastRemoteSlot is the time of the last remote exchange, divided by remoteExchangePeriod.
	lastRemoteSlot int64
	// remoteTurn counts the choices of a remote peer, which cycle through the data centres and their readers.
	remoteTurn  int
	nextCompare carobthread.Instant

	recent recent
	pusher pusher
	reader reader
	start  start
}

// completion handles the end of a call. After a failure body is nil and reason is set.
type completion func(body json.RawMessage, reason carobthread.Reason)

// New returns a relayer, which starts at its first tick.
func New(options Options, now carobthread.Instant) *Relayer {
	self := options.Self
	relayer := &Relayer{
		options:     options,
		state:       state{Applier: options.State},
		membership:  tracker.New(self, options.Seeds, now, options.Seed),
		random:      rand.New(rand.NewPCG(options.Seed, uint64(self.Incarnation.Start)+self.Incarnation.Random)),
		now:         now,
		calls:       map[CallID]completion{},
		viewChanged: true,
	}
	relayer.roles = assigner.New(relayer.membership.View())
	// The numbers start above those of earlier incarnations, whose pushes other hosts have recorded as seen.
	relayer.pusher.sequence = uint64(self.Incarnation.Start)
	relayer.nextLocalExchange = now.Add(time.Duration(relayer.random.Int64N(int64(exchangePeriod))))
	return relayer
}

// Step handles one event and returns the actions that the process must perform, in order.
func (relayer *Relayer) Step(event Event) []Action {
	relayer.now = event.At
	relayer.actions = nil
	switch {
	case event.Tick != nil:
		relayer.tick(*event.Tick)
	case event.Request != nil:
		relayer.serve(*event.Request)
	case event.Reply != nil:
		relayer.finish(event.Reply.Call, event.Reply.Body, "")
	case event.Failure != nil:
		relayer.finish(event.Failure.Call, nil, event.Failure.Reason)
	case event.Value != nil:
		relayer.platformReplied(*event.Value)
	case event.PlatformFailed != nil:
		relayer.platformFailed(*event.PlatformFailed)
	case event.Searcher != nil:
		if relayer.stepTracker(tracker.Event{Searcher: event.Searcher}).Marks {
			relayer.pushMark(event.Searcher.Searcher)
		}
	case event.Stop != nil:
		relayer.stepTracker(tracker.Event{Stop: event.Stop})
	}
	return relayer.actions
}

func (relayer *Relayer) tick(tick carobthread.TickArrived) {
	if relayer.stepTracker(tracker.Event{Tick: &tick}).Resumed {
		relayer.reader.reset()
	}
	if relayer.viewChanged {
		relayer.viewChanged = false
		view := relayer.membership.View()
		relayer.roles = assigner.New(view)
		relayer.emit(Action{View: &view})
	}
	relayer.stepState(applier.Event{Tick: &tick})
	relayer.advanceStart()
	relayer.advanceReader()
	relayer.advanceDelayedPushes()
	relayer.advanceExchanges()
}

func (relayer *Relayer) serve(request PeerRequest) {
	result, err := relayer.dispatch(request)
	if err != nil {
		failure := &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUpstreamFailed, Detail: err.Error()}
		relayer.emit(Action{Respond: &Respond{Failure: failure}})
		return
	}
	relayer.emit(Action{Respond: &Respond{Result: result}})
}

func (relayer *Relayer) dispatch(request PeerRequest) (any, error) {
	switch request.Method {
	case MethodExchange:
		return serveWith(request, relayer.serveExchange)
	case MethodPush:
		return serveWith(request, relayer.servePush)
	case MethodJoin:
		return serveWith(request, relayer.serveJoin)
	case MethodFetch:
		return serveWith(request, relayer.serveFetch)
	case MethodCompare:
		return serveWith(request, relayer.serveCompare)
	}
	return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUnknownService, Detail: request.Method}
}

func serveWith[Params, Result any](request PeerRequest, serve func(from string, params Params) Result) (any, error) {
	var params Params
	if err := json.Unmarshal(request.Body, &params); err != nil {
		return nil, err
	}
	return serve(request.From, params), nil
}

func (relayer *Relayer) emit(action Action) { relayer.actions = append(relayer.actions, action) }

// call sends a request to a host. It calls done with the decoded result, or with nil after a failure.
func call[Result any](relayer *Relayer, host, method string, params any, timeout time.Duration, done func(result *Result)) {
	relayer.lastCall++
	id := relayer.lastCall
	relayer.calls[id] = func(body json.RawMessage, reason carobthread.Reason) {
		var result Result
		if reason == "" && json.Unmarshal(body, &result) == nil {
			done(&result)
			return
		}
		if isNoReply(reason) {
			relayer.stepTracker(tracker.Event{Silent: &tracker.HostSilent{Host: host}})
		}
		done(nil)
	}
	relayer.emit(Action{Call: &CallPeer{
		Call: id, Host: host, Method: method, Params: params, Deadline: relayer.now.Add(timeout),
	}})
}

// isNoReply reports whether the reason of a failure shows that the host did not answer at all.
func isNoReply(reason carobthread.Reason) bool {
	switch reason {
	case carobthread.ReasonHostUnreachable, carobthread.ReasonConnectionLost, carobthread.ReasonTimeout:
		return true
	}
	return false
}

// finish ends a pending call; it ignores an unknown one.
func (relayer *Relayer) finish(id CallID, body json.RawMessage, reason carobthread.Reason) {
	done, pending := relayer.calls[id]
	if !pending {
		return
	}
	delete(relayer.calls, id)
	done(body, reason)
}

// stepTracker steps the tracker and turns its changes into actions. A changed view is emitted at the next tick.
func (relayer *Relayer) stepTracker(event tracker.Event) tracker.Changes {
	event.At = relayer.now
	changes := relayer.membership.Step(event)
	relayer.viewChanged = relayer.viewChanged || changes.View
	if changes.Marks {
		relayer.emit(Action{Marks: &MarksChanged{Marks: relayer.membership.Marks()}})
	}
	if changes.Superseded {
		relayer.emit(Action{Stop: &Superseded{}})
	}
	return changes
}

func (relayer *Relayer) receiveGossip(from string, gossip tracker.Gossip) {
	relayer.stepTracker(tracker.Event{Received: &tracker.GossipReceived{From: from, Locality: relayer.locality(from), Gossip: gossip}})
}

func (relayer *Relayer) locality(host string) tracker.Locality {
	if relayer.membership.Centre(host) == relayer.options.Self.DataCentre {
		return tracker.SameDataCentre
	}
	return tracker.OtherDataCentre
}

// offerPacked offers the packed objects of a message to the state. Objects that cannot be unpacked are reported as a
// finding.
func (relayer *Relayer) offerPacked(source string, packed []byte) []Entry {
	objects, err := unpack(packed)
	if err != nil {
		relayer.emit(Action{Finding: &Finding{Source: source, Cause: err}})
		return nil
	}
	return relayer.offer(source, objects)
}

// offer offers objects to the state, and emits and returns the entries that became active.
func (relayer *Relayer) offer(source string, objects [][]byte) []Entry {
	if len(objects) == 0 {
		return nil
	}
	activated := relayer.stepState(applier.Event{Arrived: &applier.ValuesArrived{Source: source, Values: objects}})
	if len(activated) > 0 {
		relayer.source = source
		relayer.recent.add(activated)
		relayer.emit(Action{Config: &ConfigActive{Entries: activated, Source: source}})
	}
	return activated
}

// stepState steps the state, emits its refusals and conflicts, and returns the entries that became active.
func (relayer *Relayer) stepState(event applier.Event) []Entry {
	event.At = relayer.now
	var activated []Entry
	for _, action := range relayer.state.Step(event) {
		switch {
		case action.Changed != nil:
			activated = append(activated, relayer.state.entries(action.Changed)...)
		case action.Refused != nil:
			relayer.emit(Action{Refused: action.Refused})
		case action.Conflict != nil:
			relayer.emit(Action{Conflict: action.Conflict})
		}
	}
	return activated
}

// confirm records that the active state matched the platform at the given time.
func (relayer *Relayer) confirm(source string, asOf carobthread.Instant) {
	// A time ahead of this host's clock would make the state look fresh for as long as the clocks differ.
	asOf = min(asOf, relayer.now)
	if asOf > relayer.confirmedAt {
		relayer.confirmedAt = asOf
		relayer.stepState(applier.Event{Confirmed: &applier.StateConfirmed{Source: source, Current: asOf}})
	}
}

// encodedObjects returns the encoded active objects of the entries up to a total size, but at least one. Later
// exchanges deliver the rest.
func (relayer *Relayer) encodedObjects(entries []Entry, limit int) [][]byte {
	var objects [][]byte
	size := 0
	for _, entry := range entries {
		for _, content := range relayer.state.Objects([]carobthread.ObjectID{entry.ID}) {
			size += len(content)
			if size > limit && len(objects) > 0 {
				return objects
			}
			objects = append(objects, content)
		}
	}
	return objects
}
