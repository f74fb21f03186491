package relayer

// The relayer is a state machine around the tracker, the roles and the
// configuration state. Each outgoing call is kept in a table until the process
// ends it with exactly one event. Invariants:
//   - State is only offered objects; the state itself refuses lower numbers, so
//     no source can take a host back.
//   - The traffic of a host in a second has a bound that does not depend on the
//     number of hosts: one exchange within the data centre, one each two seconds
//     between data centres for a reader, and at most FanOut pushes a change.

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"carobthread"
	"carobthread/applier"
	"carobthread/assigner"
	"carobthread/tracker"
)

// TickPeriod is the period of ticks that the relayer expects.
const TickPeriod = 250 * time.Millisecond

const (
	exchangePeriod  = time.Second
	exchangeTimeout = time.Second
	pushTimeout     = 700 * time.Millisecond
	fetchTimeout    = 2 * time.Second
)

// Options are the parts and names that a Relayer works with.
type Options struct {
	Self  carobthread.Host
	Seeds []carobthread.Host
	// Contacts are further names that the process can call, such as the addresses of seeds without a name.
	Contacts []string
	// State is changed only by the relayer; the process may read it between steps.
	State *applier.Applier
	// DecodeHosts reads the platform's list of hosts.
	DecodeHosts func(content []byte) ([]carobthread.Host, error)
	Seed        uint64
}

// Relayer is the core of propagation; it is not safe for concurrent use.
type Relayer struct {
	options Options
	state   state
	tracked *tracker.Tracker
	roles   *assigner.Assigner
	random  *rand.Rand

	now     carobthread.Instant
	actions []Action

	calls    map[CallID]completion
	lastCall CallID

	viewDue    bool
	fresh      carobthread.Instant
	source     string
	nextNear   carobthread.Instant
	farSlot    int64
	farTurn    int
	compareDue carobthread.Instant

	recent recent
	pusher pusher
	reader reader
	start  start
}

// completion ends a call: body is nil after a failure, which reason then explains.
type completion func(body json.RawMessage, reason carobthread.Reason)

// New returns a relayer that starts with the first tick.
func New(options Options, now carobthread.Instant) *Relayer {
	self := options.Self
	relayer := &Relayer{
		options: options,
		state:   state{Applier: options.State},
		tracked: tracker.New(self, options.Seeds, now, options.Seed),
		random:  rand.New(rand.NewPCG(options.Seed, uint64(self.Incarnation.Start)+self.Incarnation.Random)),
		now:     now,
		calls:   map[CallID]completion{},
		viewDue: true,
	}
	relayer.roles = assigner.New(relayer.tracked.View())
	relayer.pusher.sequence = uint64(self.Incarnation.Start)
	relayer.nextNear = now.Add(time.Duration(relayer.random.Int64N(int64(exchangePeriod))))
	return relayer
}

// Step takes one event and returns the actions it calls for, in order.
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
		if relayer.track(tracker.Event{Searcher: event.Searcher}).Marks {
			relayer.pushMark(event.Searcher.Searcher)
		}
	case event.Stop != nil:
		relayer.track(tracker.Event{Stop: event.Stop})
	}
	return relayer.actions
}

func (relayer *Relayer) tick(tick carobthread.Ticked) {
	if relayer.track(tracker.Event{Tick: &tick}).Resumed {
		relayer.reader.reset()
	}
	if relayer.viewDue {
		relayer.viewDue = false
		view := relayer.tracked.View()
		relayer.roles = assigner.New(view)
		relayer.act(Action{View: &view})
	}
	relayer.apply(applier.Event{Tick: &tick})
	relayer.advanceStart()
	relayer.advanceReader()
	relayer.advancePushes()
	relayer.advanceExchanges()
}

func (relayer *Relayer) serve(request PeerRequest) {
	result, err := relayer.dispatch(request)
	if err != nil {
		failure := &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUpstreamFailed, Detail: err.Error()}
		relayer.act(Action{Respond: &Respond{Failure: failure}})
		return
	}
	relayer.act(Action{Respond: &Respond{Result: result}})
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

func (relayer *Relayer) act(action Action) { relayer.actions = append(relayer.actions, action) }

// call starts a request; done gets the decoded result, or nil after a failure.
func call[Result any](relayer *Relayer, host, method string, params any, timeout time.Duration, done func(result *Result)) {
	relayer.lastCall++
	id := relayer.lastCall
	relayer.calls[id] = func(body json.RawMessage, reason carobthread.Reason) {
		var result Result
		if reason == "" && json.Unmarshal(body, &result) == nil {
			done(&result)
			return
		}
		if isSilence(reason) {
			relayer.track(tracker.Event{Silent: &tracker.HostSilent{Host: host}})
		}
		done(nil)
	}
	relayer.act(Action{Call: &CallPeer{
		Call: id, Host: host, Method: method, Params: params, Deadline: relayer.now.Add(timeout),
	}})
}

// isSilence reports whether a failure says that the host did not answer at all.
func isSilence(reason carobthread.Reason) bool {
	switch reason {
	case carobthread.ReasonHostUnreachable, carobthread.ReasonConnectionLost, carobthread.ReasonTimeout:
		return true
	}
	return false
}

func (relayer *Relayer) finish(id CallID, body json.RawMessage, reason carobthread.Reason) {
	done, open := relayer.calls[id]
	if !open {
		return
	}
	delete(relayer.calls, id)
	done(body, reason)
}

// track steps the tracker and turns its changes into actions; the view is given out once a tick.
func (relayer *Relayer) track(event tracker.Event) tracker.Changes {
	event.At = relayer.now
	changes := relayer.tracked.Step(event)
	relayer.viewDue = relayer.viewDue || changes.View
	if changes.Marks {
		relayer.act(Action{Marks: &MarksChanged{Marks: relayer.tracked.Marks()}})
	}
	if changes.Superseded {
		relayer.act(Action{Stop: &Superseded{}})
	}
	return changes
}

func (relayer *Relayer) received(from string, gossip tracker.Gossip) {
	relayer.track(tracker.Event{Received: &tracker.GossipReceived{From: from, Audience: relayer.audience(from), Gossip: gossip}})
}

func (relayer *Relayer) audience(host string) tracker.Audience {
	if relayer.tracked.Centre(host) == relayer.options.Self.DataCentre {
		return tracker.Near
	}
	return tracker.Far
}

// offerPacked offers the objects of a message; a message that cannot be unpacked gives none.
func (relayer *Relayer) offerPacked(source string, packed []byte) []Entry {
	objects, err := unpack(packed)
	if err != nil {
		relayer.act(Action{Finding: &Finding{Source: source, Cause: err}})
		return nil
	}
	return relayer.offer(source, objects)
}

// offer gives objects to the state and reports what became active.
func (relayer *Relayer) offer(source string, objects [][]byte) []Entry {
	if len(objects) == 0 {
		return nil
	}
	activated := relayer.apply(applier.Event{Arrived: &applier.Arrived{Source: source, Values: objects}})
	if len(activated) > 0 {
		relayer.source = source
		relayer.recent.add(activated)
		relayer.act(Action{Config: &ConfigActive{Entries: activated, Source: source}})
	}
	return activated
}

// apply steps the state, passes its findings on and returns what became active.
func (relayer *Relayer) apply(event applier.Event) []Entry {
	event.At = relayer.now
	var activated []Entry
	for _, action := range relayer.state.Step(event) {
		switch {
		case action.Changed != nil:
			activated = append(activated, relayer.state.entries(action.Changed)...)
		case action.Refused != nil:
			relayer.act(Action{Refused: action.Refused})
		case action.Conflict != nil:
			relayer.act(Action{Conflict: action.Conflict})
		}
	}
	return activated
}

// confirm notes that the state in force was current at the given time.
func (relayer *Relayer) confirm(source string, current carobthread.Instant) {
	// A time ahead of the own clock would make the state look fresh for as long as the clocks differ.
	current = min(current, relayer.now)
	if current > relayer.fresh {
		relayer.fresh = current
		relayer.apply(applier.Event{Confirmed: &applier.Confirmed{Source: source, Current: current}})
	}
}

// encoded returns the active objects of the entries up to a size; the rest comes by later exchanges.
func (relayer *Relayer) encoded(entries []Entry, limit int) [][]byte {
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
