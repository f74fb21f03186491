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

// A fleet of the target size does not fit into one process, so the CPU of a
// host there is measured on a pair of hosts whose tables have the target's
// size: they exchange with each other in place of all their peers, and get
// tickets and membership changes at the target's rates.

const pairSpan = 20 * time.Second

// pair is two hosts that know the same fleet.
type pair struct {
	clock   carobthread.Timer
	now     carobthread.Instant
	cores   [2]*relayer.Relayer
	known   []carobthread.Host
	hosts   []byte
	index   []byte
	worked  time.Duration
	bytes   int // of exchanges, both ends
	failure error
}

// pairLoad returns the percent of a core and the bytes of exchanges per second that one of two hosts takes, which
// know that many hosts and objects.
func pairLoad(hosts, objects int) (percent, bytes float64, err error) {
	run := &pair{clock: timer.New(), now: start, known: knownHosts(hosts)}
	run.hosts = parser.EncodeHosts(run.known)
	for i := range run.cores {
		state, index := searcherState(objects)
		run.index = index
		run.cores[i] = relayer.New(relayer.Options{
			Self: run.known[i*targetCentres], State: state, DecodeHosts: decodeHosts, Seed: uint64(i),
		}, run.now)
	}
	run.pass(2 * time.Second) // start, with the list of hosts
	run.worked, run.bytes = 0, 0
	run.pass(pairSpan)
	hostSeconds := float64(len(run.cores)) * pairSpan.Seconds()
	return 100 * run.worked.Seconds() / hostSeconds, float64(run.bytes) / hostSeconds, run.failure
}

// searcherState returns a state with that many searchers in force, and the top value of the index that names them.
func searcherState(searchers int) (*applier.Applier, []byte) {
	state := applier.New(applier.Options{})
	top := parser.NewTop()
	const perTicket = 10
	for first := 0; first < searchers; first += perTicket {
		ticket := &carobthread.Ticket{Number: uint64(first/perTicket + 1)}
		for i := first; i < first+perTicket; i++ {
			ticket.Objects = append(ticket.Objects, searcherObject(i, 0))
		}
		top.Add(ticket, nil)
		batch := &applier.Arrived{Source: relayer.SourcePlatform}
		for _, value := range parser.Publish(ticket) {
			batch.Values = append(batch.Values, value.Content)
		}
		state.Step(applier.Event{Arrived: batch})
	}
	for bucket := range parser.Buckets {
		top.Buckets[bucket] = state.LinesHash(bucket)
	}
	return state, parser.EncodeTop(&top)
}

func (run *pair) pass(span time.Duration) {
	ticket := uint64(1 << 20)
	tickets, changes := 0.0, 0.0
	for end := run.now.Add(span); run.now < end; {
		run.now = run.now.Add(relayer.TickPeriod)
		for i := range run.cores {
			run.step(i, relayer.Event{Tick: &carobthread.Ticked{}})
		}
		tickets += relayer.TickPeriod.Seconds() * targetTickets / secondsOfDay
		if tickets >= 1 {
			tickets--
			ticket++
			run.push(ticket)
		}
		// A restart makes two records: the leaving incarnation and the new one.
		changes += relayer.TickPeriod.Seconds() * 2 * targetRestarts / secondsOfDay
		if changes >= 1 {
			changes--
			run.change()
		}
	}
}

// push gives both hosts a ticket that exists nowhere else.
func (run *pair) push(number uint64) {
	ticket := &carobthread.Ticket{Number: number, Objects: []carobthread.Object{searcherObject(0, int(number)), searcherObject(1, int(number))}}
	var objects [][]byte
	for _, value := range parser.Publish(ticket) {
		objects = append(objects, value.Content)
	}
	for i := range run.cores {
		run.request(i, relayer.MethodPush, relayer.Push{Root: run.known[9].Name, Sequence: number, Objects: relayer.Pack(objects)})
	}
}

// change tells one host of another one's next incarnation; the exchange tells the second.
func (run *pair) change() {
	host := &run.known[len(run.known)-1-int(run.now/carobthread.Instant(relayer.TickPeriod))%len(run.known)/2]
	host.Incarnation = carobthread.Incarnation{Start: run.now, Random: uint64(run.now)}
	record := tracker.Record{Name: host.Name, DataCentre: host.DataCentre, PeerAddress: host.PeerAddress, Incarnation: host.Incarnation}
	run.request(0, relayer.MethodExchange, relayer.Exchange{Gossip: tracker.Gossip{Records: []tracker.Record{record}}})
}

// request serves a request on one host with its encoding and decoding, and returns the result.
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
	run.worked += run.clock.Now().Sub(before)
	response := run.step(to, relayer.Event{Request: &relayer.PeerRequest{From: run.known[targetCentres*(1-to)].Name, Method: method, Body: body}})
	before = run.clock.Now()
	defer func() { run.worked += run.clock.Now().Sub(before) }()
	if response == nil || response.Failure != nil {
		run.failure = fmt.Errorf("%s was refused: %+v", method, response)
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

// step runs one event and everything that follows from it.
func (run *pair) step(i int, event relayer.Event) *relayer.Respond {
	event.At = run.now
	before := run.clock.Now()
	actions := run.cores[i].Step(event)
	run.worked += run.clock.Now().Sub(before)
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

// reply answers a call: exchanges by the other host, the rest as a host that has nothing to add.
func (run *pair) reply(from int, asked relayer.CallPeer) json.RawMessage {
	switch asked.Method {
	case relayer.MethodExchange:
		return run.request(1-from, asked.Method, asked.Params)
	case relayer.MethodJoin:
		return json.RawMessage(`{"ready":true}`)
	}
	return json.RawMessage(`{}`)
}
