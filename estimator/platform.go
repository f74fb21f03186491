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
	// hostListLag is how far the platform's list of hosts is behind.
	hostListLag = 5 * time.Second
)

// platform is the fake configuration service: values with revisions, reads, watches and its faults.
type platform struct {
	fleet   *Fleet
	values  map[string]carobthread.Value
	index   parser.Index // the lines of all buckets
	top     parser.Top
	buckets map[int]parser.Index
	served  map[string]carobthread.Value // what stale reads give, or nil
	waiting []*waiting
	down    bool
	cut     map[string]bool
	calls   int64
	bytes   int64
	ticket  uint64
}

// waiting is an open watch.
type waiting struct {
	node     *node
	life     int
	asked    relayer.WatchPlatform
	finished bool
}

func newPlatform(fleet *Fleet) *platform {
	return &platform{
		fleet: fleet, values: map[string]carobthread.Value{}, cut: map[string]bool{},
		index: parser.Index{Numbers: map[carobthread.ObjectID]uint64{}},
		top:   parser.NewTop(), buckets: map[int]parser.Index{},
	}
}

func (platform *platform) put(key string, content []byte) {
	platform.values[key] = carobthread.Value{Key: key, Revision: platform.values[key].Revision + 1, Content: content}
}

// publish writes the objects, the buckets and then the top value, and wakes the watches.
func (platform *platform) publish(objects []carobthread.Object) *carobthread.Ticket {
	platform.ticket++
	ticket := &carobthread.Ticket{Number: platform.ticket, Objects: objects}
	for _, value := range parser.Publish(ticket) {
		platform.put(value.Key, value.Content)
	}
	for i := range objects {
		platform.index.Numbers[objects[i].ID] = ticket.Number
	}
	changed := map[int]parser.Index{}
	for _, bucket := range parser.BucketsOf(ticket) {
		index, found := platform.buckets[bucket]
		if !found {
			index.Numbers = map[carobthread.ObjectID]uint64{}
		}
		index.Add(ticket, bucket, platform.top.Revision)
		platform.buckets[bucket], changed[bucket] = index, index
		platform.put(parser.BucketKey(bucket), parser.EncodeIndex(&index))
	}
	platform.top.Add(ticket, changed)
	platform.put(indexKey, parser.EncodeTop(&platform.top))
	platform.wake(indexKey)
	return ticket
}

// publishSearchers publishes the first state in tickets of ten searchers.
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

// listHosts updates the list of hosts after its lag.
func (platform *platform) listHosts() {
	update := func() {
		var hosts []carobthread.Host
		for _, node := range platform.fleet.nodes {
			host := node.host
			if node.alive || node.life == 0 {
				hosts = append(hosts, host)
			}
		}
		platform.put(hostsKey, parser.EncodeHosts(hosts))
		platform.wake(hostsKey)
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

// value returns what a read gives now.
func (platform *platform) value(key string) (carobthread.Value, bool) {
	source := platform.values
	if platform.served != nil {
		source = platform.served
	}
	value, found := source[key]
	return value, found
}

func (platform *platform) reachable(node *node) bool {
	return !platform.down && !platform.cut[node.host.DataCentre]
}

func (platform *platform) read(node *node, asked relayer.ReadPlatform) {
	life := node.life
	if !platform.reachable(node) {
		platform.fail(node, life, asked.Call, asked.Deadline, false)
		return
	}
	platform.calls++
	value, found := platform.value(asked.Key)
	if !found {
		platform.fail(node, life, asked.Call, platform.fleet.now.Add(platformDelay), true)
		return
	}
	platform.answer(node, life, asked.Call, value)
}

func (platform *platform) answer(node *node, life int, call relayer.CallID, value carobthread.Value) {
	platform.bytes += int64(len(value.Content))
	platform.fleet.after(platformDelay, func() {
		node.deliver(life, func() {
			node.step(relayer.Event{Value: &relayer.PlatformReplied{Call: call, Value: value}})
		})
	})
}

func (platform *platform) fail(node *node, life int, call relayer.CallID, at carobthread.Instant, missing bool) {
	platform.fleet.after(at.Sub(platform.fleet.now), func() {
		node.deliver(life, func() {
			node.step(relayer.Event{PlatformFailed: &relayer.PlatformFailed{Call: call, Missing: missing}})
		})
	})
}

func (platform *platform) watch(node *node, asked relayer.WatchPlatform) {
	entry := &waiting{node: node, life: node.life, asked: asked}
	if platform.reachable(node) {
		platform.calls++
	}
	platform.waiting = append(platform.waiting, entry)
	platform.fleet.after(platformDelay, func() { platform.check(entry) })
	platform.fleet.after(asked.Deadline.Sub(platform.fleet.now), func() {
		if entry.finished {
			return
		}
		entry.finished = true
		if !platform.reachable(node) {
			platform.fail(node, entry.life, asked.Call, platform.fleet.now, false)
			return
		}
		platform.answer(node, entry.life, asked.Call, carobthread.Value{Key: asked.Key, Revision: asked.Revision})
	})
}

// check ends a watch whose value differs; over a cut link nothing arrives until the deadline.
func (platform *platform) check(entry *waiting) {
	value, found := platform.value(entry.asked.Key)
	if entry.finished || !found || value.Revision == entry.asked.Revision || !platform.reachable(entry.node) {
		return
	}
	entry.finished = true
	platform.answer(entry.node, entry.life, entry.asked.Call, value)
}

func (platform *platform) wake(key string) {
	var open []*waiting
	for _, entry := range platform.waiting {
		if entry.asked.Key == key {
			platform.check(entry)
		}
		if !entry.finished {
			open = append(open, entry)
		}
	}
	platform.waiting = open
}

// Publish publishes a ticket that changes some searchers and returns its number.
func (fleet *Fleet) Publish(objects int) uint64 {
	first := fleet.random.IntN(fleet.settings.Searchers)
	var changed []carobthread.Object
	for i := range objects {
		changed = append(changed, searcherObject((first+i)%fleet.settings.Searchers, fleet.random.IntN(8)))
	}
	ticket := fleet.platform.publish(changed)
	fleet.expect(ticket)
	return ticket.Number
}

// PlatformDown makes the platform answer nobody, or again all.
func (fleet *Fleet) PlatformDown(down bool) { fleet.platform.down = down }

// CutPlatform cuts a data centre off from the platform, or heals it.
func (fleet *Fleet) CutPlatform(centre string, cut bool) { fleet.platform.cut[centre] = cut }

// Freeze makes reads give the values of now until it is called with false.
func (fleet *Fleet) Freeze(stale bool) {
	fleet.platform.served = nil
	if stale {
		fleet.platform.served = maps.Clone(fleet.platform.values)
	}
	fleet.wakeAll()
}

// RollBack makes the platform serve the values that it had at the last Remember, with their lower revisions.
func (fleet *Fleet) RollBack(remembered map[string]carobthread.Value) {
	fleet.platform.served = maps.Clone(remembered)
	fleet.wakeAll()
}

// Remember returns the platform's values of now for a later RollBack.
func (fleet *Fleet) Remember() map[string]carobthread.Value { return maps.Clone(fleet.platform.values) }

func (fleet *Fleet) wakeAll() {
	fleet.platform.wake(indexKey)
	fleet.platform.wake(hostsKey)
}
