package estimator

import (
	"fmt"
	"maps"
	"time"

	"carobthread"
	"carobthread/parser"
	"carobthread/relayer"
)

const (
	indexKey = parser.IndexKey
	hostsKey = parser.HostsKey
)

const (
	platformDelay = 3 * time.Millisecond
	// hostListLag is the delay until a change of hosts appears on the platform's host list.
	hostListLag = 5 * time.Second
)

// platform is the simulated configuration service: values with revisions, reads, watches and faults.
type platform struct {
	fleet          *Fleet
	values         map[string]carobthread.Value
	index          parser.Index // the lines of all buckets together
	top            parser.IndexTop
	buckets        map[int]parser.Index
	staleValues    map[string]carobthread.Value // served in place of values if not nil
	pendingWatches []*pendingWatch
	down           bool
	cutOff         map[string]bool
	calls          int64
	bytes          int64
	ticket         uint64
}

// pendingWatch is a watch that has not been answered yet.
type pendingWatch struct {
	node     *node
	epoch    int
	request  relayer.WatchPlatform
	finished bool
}

func newPlatform(fleet *Fleet) *platform {
	return &platform{
		fleet: fleet, values: map[string]carobthread.Value{}, cutOff: map[string]bool{},
		index: parser.Index{TicketNumbers: map[carobthread.ObjectID]uint64{}},
		top:   parser.NewIndexTop(), buckets: map[int]parser.Index{},
	}
}

func (platform *platform) put(key string, content []byte) {
	platform.values[key] = carobthread.Value{Key: key, Revision: platform.values[key].Revision + 1, Content: content}
}

// publish writes the objects, the buckets and then the top value, and notifies the watches.
func (platform *platform) publish(objects []carobthread.Object) *carobthread.Ticket {
	platform.ticket++
	ticket := &carobthread.Ticket{Number: platform.ticket, Objects: objects}
	for _, value := range parser.EncodeTicket(ticket) {
		platform.put(value.Key, value.Content)
	}
	for i := range objects {
		platform.index.TicketNumbers[objects[i].ID] = ticket.Number
	}
	changed := map[int]parser.Index{}
	for _, bucket := range parser.BucketsOf(ticket) {
		index, found := platform.buckets[bucket]
		if !found {
			index.TicketNumbers = map[carobthread.ObjectID]uint64{}
		}
		index.Add(ticket, bucket, platform.top.Revision)
		platform.buckets[bucket], changed[bucket] = index, index
		platform.put(parser.BucketKey(bucket), parser.EncodeIndex(&index))
	}
	platform.top.Add(ticket, changed)
	platform.put(indexKey, parser.EncodeIndexTop(&platform.top))
	platform.wakeWatches(indexKey)
	return ticket
}

// publishSearchers publishes the initial state in tickets of ten searchers.
func (platform *platform) publishSearchers(count int) {
	const perTicket = 10
	for first := 0; first < count; first += perTicket {
		var objects []carobthread.Object
		for i := first; i < min(first+perTicket, count); i++ {
			objects = append(objects, searcherObject(i, 0))
		}
		platform.publish(objects)
	}
}

func searcherObject(index int, slots int) carobthread.Object {
	name := fmt.Sprintf("searcher-%05d", index)
	return carobthread.Object{ID: carobthread.ObjectID("searcher/" + name), Searcher: &carobthread.Searcher{
		Name: name, Address: fmt.Sprintf("10.200.%d.%d:9000", index/250%250, index%250+1),
		DataCentre: fmt.Sprintf("dc%d", index%3+1), Slots: slots%8 + 1, Connections: 30,
	}}
}

// updateHostList writes the current hosts to the host list after the lag; the first list is written at once.
func (platform *platform) updateHostList() {
	update := func() {
		var hosts []carobthread.Host
		for _, node := range platform.fleet.nodes {
			host := node.host
			if node.alive || node.epoch == 0 {
				hosts = append(hosts, host)
			}
		}
		platform.put(hostsKey, parser.EncodeHosts(hosts))
		platform.wakeWatches(hostsKey)
	}
	if platform.values[hostsKey].Revision == 0 {
		update()
		return
	}
	platform.fleet.after(hostListLag, update)
}

func decodeHosts(content []byte) ([]carobthread.Host, error) {
	hosts, findings := parser.DecodeHosts(hostsKey, content)
	if len(findings) > 0 {
		return nil, findings
	}
	return hosts, nil
}

// value returns the value that a read sees.
func (platform *platform) value(key string) (carobthread.Value, bool) {
	source := platform.values
	if platform.staleValues != nil {
		source = platform.staleValues
	}
	value, found := source[key]
	return value, found
}

func (platform *platform) reachable(node *node) bool {
	return !platform.down && !platform.cutOff[node.host.DataCentre]
}

func (platform *platform) read(node *node, request relayer.ReadPlatform) {
	epoch := node.epoch
	if !platform.reachable(node) {
		platform.fail(node, epoch, request.Call, request.Deadline, false)
		return
	}
	platform.calls++
	value, found := platform.value(request.Key)
	if !found {
		platform.fail(node, epoch, request.Call, platform.fleet.now.Add(platformDelay), true)
		return
	}
	platform.reply(node, epoch, request.Call, value)
}

func (platform *platform) reply(node *node, epoch int, call relayer.CallID, value carobthread.Value) {
	platform.bytes += int64(len(value.Content))
	platform.fleet.after(platformDelay, func() {
		node.deliver(epoch, func() {
			node.step(relayer.Event{Value: &relayer.PlatformReplied{Call: call, Value: value}})
		})
	})
}

func (platform *platform) fail(node *node, epoch int, call relayer.CallID, at carobthread.Instant, missing bool) {
	platform.fleet.after(at.Sub(platform.fleet.now), func() {
		node.deliver(epoch, func() {
			node.step(relayer.Event{PlatformFailed: &relayer.PlatformFailed{Call: call, Missing: missing}})
		})
	})
}

func (platform *platform) watch(node *node, request relayer.WatchPlatform) {
	entry := &pendingWatch{node: node, epoch: node.epoch, request: request}
	if platform.reachable(node) {
		platform.calls++
	}
	platform.pendingWatches = append(platform.pendingWatches, entry)
	platform.fleet.after(platformDelay, func() { platform.completeWatch(entry) })
	platform.fleet.after(request.Deadline.Sub(platform.fleet.now), func() {
		if entry.finished {
			return
		}
		entry.finished = true
		if !platform.reachable(node) {
			platform.fail(node, entry.epoch, request.Call, platform.fleet.now, false)
			return
		}
		platform.reply(node, entry.epoch, request.Call, carobthread.Value{Key: request.Key, Revision: request.Revision})
	})
}

// completeWatch replies to a watch if the revision differs. A watch that cannot reach the platform ends at its deadline.
func (platform *platform) completeWatch(entry *pendingWatch) {
	value, found := platform.value(entry.request.Key)
	if entry.finished || !found || value.Revision == entry.request.Revision || !platform.reachable(entry.node) {
		return
	}
	entry.finished = true
	platform.reply(entry.node, entry.epoch, entry.request.Call, value)
}

// wakeWatches checks the watches of a key and removes the finished ones.
func (platform *platform) wakeWatches(key string) {
	var pending []*pendingWatch
	for _, entry := range platform.pendingWatches {
		if entry.request.Key == key {
			platform.completeWatch(entry)
		}
		if !entry.finished {
			pending = append(pending, entry)
		}
	}
	platform.pendingWatches = pending
}

// Publish publishes a ticket that changes that many searchers and returns its number.
func (fleet *Fleet) Publish(objects int) uint64 {
	first := fleet.random.IntN(fleet.options.Searchers)
	var changed []carobthread.Object
	for i := range objects {
		changed = append(changed, searcherObject((first+i)%fleet.options.Searchers, fleet.random.IntN(8)))
	}
	ticket := fleet.platform.publish(changed)
	fleet.recordPublished(ticket)
	return ticket.Number
}

// SetPlatformDown starts or ends an outage of the platform for all hosts.
func (fleet *Fleet) SetPlatformDown(down bool) { fleet.platform.down = down }

// CutPlatform cuts a data centre off from the platform, or reconnects it.
func (fleet *Fleet) CutPlatform(centre string, cutOff bool) { fleet.platform.cutOff[centre] = cutOff }

// Freeze makes reads return the current values, whatever is published later, until it is called with false.
func (fleet *Fleet) Freeze(stale bool) {
	fleet.platform.staleValues = nil
	if stale {
		fleet.platform.staleValues = maps.Clone(fleet.platform.values)
	}
	fleet.wakeAllWatches()
}

// RollBack makes the platform serve values saved earlier, with their lower revisions, until Freeze is called.
func (fleet *Fleet) RollBack(saved map[string]carobthread.Value) {
	fleet.platform.staleValues = maps.Clone(saved)
	fleet.wakeAllWatches()
}

// Values returns a copy of the platform's current values for a later RollBack.
func (fleet *Fleet) Values() map[string]carobthread.Value { return maps.Clone(fleet.platform.values) }

func (fleet *Fleet) wakeAllWatches() {
	fleet.platform.wakeWatches(indexKey)
	fleet.platform.wakeWatches(hostsKey)
}
