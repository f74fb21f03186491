package estimator

import (
	"encoding/json"
	"fmt"
	"time"

	"carobthread"
	"carobthread/applier"
	"carobthread/messenger"
	"carobthread/parser"
	"carobthread/relayer"
	"carobthread/timer"
	"carobthread/tracker"
)

// A fleet of the target size does not fit into one process, so the CPU of its
// hosts is measured on a pair of hosts whose tables have the target's size. The
// two exchange with each other in place of all their peers, and receive tickets
// and membership changes at the target's rates.

const pairMeasureTime = 20 * time.Second

// pair is two hosts whose membership tables list the same fleet.
type pair struct {
	clock    carobthread.Timer
	now      carobthread.Instant
	cores    [2]*relayer.Relayer
	known    []carobthread.Host
	hosts    []byte // encoded host list
	index    []byte // encoded top value of the index
	coreTime time.Duration
	bytes    int // of exchange requests and replies, both ends
	failure  error
}

// measurePair returns the CPU, in percent of a CPU core, and the exchange bytes per second of a host that knows that
// many hosts and objects.
func measurePair(hosts, objects int) (percent, bytes float64, err error) {
	run := &pair{clock: timer.New(), now: start, known: knownHosts(hosts)}
	run.hosts = parser.EncodeHosts(run.known)
	for i := range run.cores {
		state, index := searcherState(objects)
		run.index = index
		run.cores[i] = relayer.New(relayer.Options{
			Self: run.known[i*targetDataCentres], State: state, DecodeHosts: decodeHosts, Seed: uint64(i),
		}, run.now)
	}
	run.advance(2 * time.Second) // start, including the host list
	run.coreTime, run.bytes = 0, 0
	run.advance(pairMeasureTime)
	hostSeconds := float64(len(run.cores)) * pairMeasureTime.Seconds()
	return 100 * run.coreTime.Seconds() / hostSeconds, float64(run.bytes) / hostSeconds, run.failure
}

// searcherState returns a configuration state with that many active searchers, and the top value of its index.
func searcherState(searchers int) (*applier.Applier, []byte) {
	state := applier.New(applier.Options{})
	top := parser.NewIndexTop()
	const perTicket = 10
	for first := 0; first < searchers; first += perTicket {
		ticket := &carobthread.Ticket{Number: uint64(first/perTicket + 1)}
		for i := first; i < first+perTicket; i++ {
			ticket.Objects = append(ticket.Objects, searcherObject(i, 0))
		}
		top.Add(ticket, nil)
		batch := &applier.ValuesArrived{Source: relayer.SourcePlatform}
		for _, value := range parser.EncodeTicket(ticket) {
			batch.Values = append(batch.Values, value.Content)
		}
		state.Step(applier.Event{Arrived: batch})
	}
	for bucket := range parser.Buckets {
		top.Buckets[bucket] = state.IndexBucketHash(bucket)
	}
	return state, parser.EncodeIndexTop(&top)
}

// advance runs ticks, tickets and restarts for the span of virtual time.
func (run *pair) advance(span time.Duration) {
	ticket := uint64(1 << 20)
	tickets, changes := 0.0, 0.0
	for end := run.now.Add(span); run.now < end; {
		run.now = run.now.Add(relayer.TickPeriod)
		for i := range run.cores {
			run.step(i, relayer.Event{Tick: &carobthread.TickArrived{}})
		}
		tickets += relayer.TickPeriod.Seconds() * targetTicketsPerDay / secondsPerDay
		if tickets >= 1 {
			tickets--
			ticket++
			run.pushTicket(ticket)
		}
		// A restart causes two membership records: the leaving incarnation and the new one.
		changes += relayer.TickPeriod.Seconds() * 2 * targetRestartsPerDay / secondsPerDay
		if changes >= 1 {
			changes--
			run.restartHost()
		}
	}
}

// pushTicket pushes a new ticket to both hosts, which never see it on the platform.
func (run *pair) pushTicket(number uint64) {
	ticket := &carobthread.Ticket{Number: number, Objects: []carobthread.Object{searcherObject(0, int(number)), searcherObject(1, int(number))}}
	var objects [][]byte
	for _, value := range parser.EncodeTicket(ticket) {
		objects = append(objects, value.Content)
	}
	for i := range run.cores {
		run.request(i, relayer.MethodPush, relayer.PushRequest{Root: run.known[9].Name, Sequence: number, Objects: relayer.Pack(objects)})
	}
}

// restartHost sends the first host a new incarnation of a listed host; the second learns of it through an exchange.
func (run *pair) restartHost() {
	host := &run.known[len(run.known)-1-int(run.now/carobthread.Instant(relayer.TickPeriod))%len(run.known)/2]
	host.Incarnation = carobthread.Incarnation{Start: run.now, Random: uint64(run.now)}
	record := tracker.Record{Name: host.Name, DataCentre: host.DataCentre, PeerAddress: host.PeerAddress, Incarnation: host.Incarnation}
	run.request(0, relayer.MethodExchange, relayer.Exchange{Gossip: tracker.Gossip{Records: []tracker.Record{record}}})
}

// request runs a request on one host, including its encoding and decoding, and returns the result.
func (run *pair) request(to int, method string, params any) json.RawMessage {
	before := run.clock.Now()
	frame, err := messenger.EncodeRequest(1, method, time.Second, params)
	if err != nil {
		run.failure = err
		return nil
	}
	_, body, err := messenger.DecodeRequest(frame)
	if err != nil {
		run.failure = err
		return nil
	}
	run.coreTime += run.clock.Now().Sub(before)
	response := run.step(to, relayer.Event{Request: &relayer.PeerRequest{From: run.known[targetDataCentres*(1-to)].Name, Method: method, Body: body}})
	before = run.clock.Now()
	defer func() { run.coreTime += run.clock.Now().Sub(before) }()
	if response == nil || response.Failure != nil {
		run.failure = fmt.Errorf("%s was rejected: %+v", method, response)
		return nil
	}
	reply, err := messenger.EncodeReply(1, response.Result)
	if err != nil {
		run.failure = err
		return nil
	}
	if method == relayer.MethodExchange {
		run.bytes += 2 * (len(frame) + len(reply))
	}
	result, err := messenger.DecodeReply(reply)
	if err != nil {
		run.failure = err
	}
	return result
}

// step runs one event and performs the resulting actions. It returns the response, if any.
func (run *pair) step(i int, event relayer.Event) *relayer.Respond {
	event.At = run.now
	before := run.clock.Now()
	actions := run.cores[i].Step(event)
	run.coreTime += run.clock.Now().Sub(before)
	var response *relayer.Respond
	for _, action := range actions {
		switch {
		case action.Respond != nil:
			response = action.Respond
		case action.Call != nil:
			run.step(i, relayer.Event{Reply: &relayer.PeerReplied{Call: action.Call.Call, Body: run.reply(i, *action.Call)}})
		case action.Read != nil:
			content := run.index
			if action.Read.Key == hostsKey {
				content = run.hosts
			}
			run.step(i, relayer.Event{Value: &relayer.PlatformReplied{
				Call: action.Read.Call, Value: carobthread.Value{Key: action.Read.Key, Revision: 1, Content: content},
			}})
		}
	}
	return response
}

// reply returns the reply to a call. The other host serves exchanges; other calls get the reply of a host that has
// nothing to add.
func (run *pair) reply(from int, call relayer.CallPeer) json.RawMessage {
	switch call.Method {
	case relayer.MethodExchange:
		return run.request(1-from, call.Method, call.Params)
	case relayer.MethodJoin:
		return json.RawMessage(`{"ready":true}`)
	}
	return json.RawMessage(`{}`)
}
