package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread"
	"carobthread/follower"
	"carobthread/platform"
	"carobthread/server"
	"carobthread/timer"
	"carobthread/tracker"
)

// fakeStore holds the routing table's version; it refuses the hosts that it is told to, and counts the others' reads.
type fakeStore struct {
	mutex   sync.Mutex
	version uint64
	refused map[string]bool
	reads   int
}

// storeClient is the store as one host sees it.
type storeClient struct {
	store *fakeStore
	host  string
}

func (client *storeClient) answer() (carobthread.StoreItems, error) {
	client.store.mutex.Lock()
	defer client.store.mutex.Unlock()
	if client.store.refused[client.host] {
		return carobthread.StoreItems{}, &carobthread.StoreError{Call: "read", Cause: errors.New("refused")}
	}
	client.store.reads++
	item := carobthread.StoreItem{Key: "op/config", Revision: client.store.version, Content: fmt.Appendf(nil, `{"version":%d}`, client.store.version)}
	return carobthread.StoreItems{Items: []carobthread.StoreItem{item}, AsOf: client.store.version}, nil
}

func (client *storeClient) List(context.Context, string, string) (carobthread.StoreItems, error) {
	return client.answer()
}

func (client *storeClient) Watch(context.Context, uint64, time.Duration) (carobthread.StoreItems, error) {
	return client.answer()
}

// directoryFleet is a set of directories whose peer calls go straight to each other.
type directoryFleet struct {
	store *fakeStore
	mutex sync.Mutex
	hosts map[string]*server.Directory
	tells map[string]uint64
	// observers and centres hold the observer and the data centre of each host.
	observers map[string]*sharedObserver
	centres   map[string]string
}

type directCaller struct {
	fleet *directoryFleet
	host  string
}

func (caller *directCaller) Call(ctx context.Context, host, method string, params, result any) error {
	caller.fleet.mutex.Lock()
	peer := caller.fleet.hosts[host]
	caller.fleet.mutex.Unlock()
	if peer == nil {
		return &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonHostUnreachable}
	}
	content, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := peer.Handle(ctx, caller.host, method, content)
	if err != nil {
		return err
	}
	if content, err = json.Marshal(answer); err != nil {
		return err
	}
	return json.Unmarshal(content, result)
}

func (fleet *directoryFleet) version(host string) uint64 {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.tells[host]
}

const testFreshness = time.Second

func startDirectories(t *testing.T, hosts int) *directoryFleet {
	t.Helper()
	started := &directoryFleet{
		store: &fakeStore{version: 1, refused: map[string]bool{}},
		hosts: map[string]*server.Directory{}, tells: map[string]uint64{},
		observers: map[string]*sharedObserver{}, centres: map[string]string{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	clock := timer.New()
	for index := range hosts {
		name := fmt.Sprintf("host-%02d", index)
		started.observers[name] = &sharedObserver{}
		started.centres[name] = fmt.Sprintf("dc-%d", index%3)
		self := carobthread.Host{Name: name, DataCentre: started.centres[name], PeerAddress: name, Incarnation: carobthread.Incarnation{Start: 1}}
		directory := server.NewDirectory(server.DirectoryOptions{
			Self: self, Contacts: []string{"host-00", "host-01"}, Follower: follower.New(platform.Decoder{}),
			Tracker: tracker.New(self, nil, clock.Now(), uint64(index)), Timer: clock, Peers: &directCaller{fleet: started, host: name},
			Store: &storeClient{store: started.store, host: name}, Logger: zerolog.Nop(), Seed: uint64(index),
			Pace: server.PaceFor(testFreshness),
			Changed: func(table carobthread.RoutingTable, _ []carobthread.Registration) {
				started.mutex.Lock()
				defer started.mutex.Unlock()
				assert.Check(t, table.Version > started.tells[name], "%s went from version %d to %d", name, started.tells[name], table.Version)
				started.tells[name] = table.Version
			},
			Viewed: func(carobthread.View) {}, Observer: started.observers[name],
		})
		started.mutex.Lock()
		started.hosts[name] = directory
		started.mutex.Unlock()
		running.Go(func() { directory.Run(ctx) })
	}
	started.await(t, 1)
	return started
}

// await waits until every host has the version.
func (fleet *directoryFleet) await(t *testing.T, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for host := range fleet.hosts {
			if fleet.version(host) < version {
				return poll.Continue("%s has version %d", host, fleet.version(host))
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (fleet *directoryFleet) publish(version uint64, refused ...string) {
	fleet.store.mutex.Lock()
	defer fleet.store.mutex.Unlock()
	fleet.store.version = version
	for _, host := range refused {
		fleet.store.refused[host] = true
	}
}

// Guards against calls to the store that grow with the fleet.
func TestDirectoryReadsForTheFleet(t *testing.T) {
	const (
		hosts = 24
		spans = 3
	)
	started := startDirectories(t, hosts)
	time.Sleep(testFreshness)
	started.store.mutex.Lock()
	before := started.store.reads
	started.store.mutex.Unlock()
	time.Sleep(spans * testFreshness)
	started.store.mutex.Lock()
	reads := started.store.reads - before
	started.store.mutex.Unlock()
	// Each host for itself would read five times in a span; the reader does, and a few hosts now and then.
	t.Logf("%d reads in %d spans of %d hosts", reads, spans, hosts)
	assert.Assert(t, reads < spans*5*hosts/3, "%d reads", reads)
}

// Guards against a version that does not reach hosts which the store refuses, whichever they are.
func TestDirectoryReachesRefusedHosts(t *testing.T) {
	started := startDirectories(t, 9)
	for version, refused := range []string{"host-00", "host-03", "host-06", "host-01", "host-04", "host-07", "host-02", "host-05"} {
		started.publish(uint64(version+2), refused)
		started.await(t, uint64(version+2))
	}
}

// Load: all hosts start at the same moment while callers wait. Guards against hosts that know nothing and wait for each
// other, and against a pace that lets a host's knowledge grow older than the bound while the store answers.
func TestPaceKeepsItsBounds(t *testing.T) {
	const longestStart = 100 * time.Millisecond // of the second within which callers expect a connection to be served
	for _, freshness := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		pace := server.PaceFor(freshness)
		assert.Check(t, pace.Patience+pace.PatienceSpread <= longestStart, "%v: %+v", freshness, pace)
		assert.Check(t, pace.Patience >= 10*time.Millisecond, "%v: a host that starts alone lists the store before its peers answer", freshness)
		assert.Check(t, pace.Other+pace.Spread+pace.Retry < freshness, "%v: %+v", freshness, pace)
	}
}

// sharedObserver tells its own observations once and keeps what it is told.
type sharedObserver struct {
	mutex sync.Mutex
	own   []carobthread.Observation
	told  []carobthread.Observation
	// cutOff are the data centres whose searchers answer nothing, until a host of theirs is reached.
	cutOff []string
}

var _ server.Observer = (*sharedObserver)(nil)

func (observer *sharedObserver) Observations() []carobthread.Observation {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	own := observer.own
	observer.own = nil
	return own
}

func (observer *sharedObserver) Observe(observations []carobthread.Observation) {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observer.told = append(observer.told, observations...)
}

func (observer *sharedObserver) CutOff() []string {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	return slices.Clone(observer.cutOff)
}

func (observer *sharedObserver) Reached(dataCentre string) {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observer.cutOff = slices.DeleteFunc(observer.cutOff, func(name string) bool { return name == dataCentre })
}

// Guards against a host that is not ready because other data centres were cut off, gets no requests that would show that
// they answer again, and stays out for good.
func TestDirectoryNoticesTheEndOfACut(t *testing.T) {
	started := startDirectories(t, 9)
	for _, observer := range started.observers {
		observer.mutex.Lock()
		observer.cutOff = []string{"dc-0", "dc-1", "dc-2"}
		observer.mutex.Unlock()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, observer := range started.observers {
			if left := observer.CutOff(); len(left) > 0 {
				return poll.Continue("%s still takes %v for cut off", name, left)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// Guards against observations of one host that the others of its data centre do not hear, that are heard twice, or that
// reach hosts of other data centres, for which the searcher may answer well.
func TestDirectorySharesObservations(t *testing.T) {
	started := startDirectories(t, 9)
	seen := carobthread.Observation{Searcher: "s", Answered: 1, Failed: 2}
	for index := range 3 {
		teller := started.observers[fmt.Sprintf("host-%02d", index)]
		teller.mutex.Lock()
		teller.own = []carobthread.Observation{seen}
		teller.mutex.Unlock()
		told := func() map[string]int {
			counts := map[string]int{}
			for name, observer := range started.observers {
				observer.mutex.Lock()
				for _, observation := range observer.told {
					assert.Check(t, observation == seen, "%s was told %+v", name, observation)
					counts[name]++
				}
				observer.mutex.Unlock()
			}
			return counts
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if counts := told(); len(counts) < 2 {
				return poll.Continue("told %v", counts)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second))
		time.Sleep(2 * testFreshness / 8)
		for name, count := range told() {
			assert.Check(t, count == 1 && started.centres[name] == started.centres[fmt.Sprintf("host-%02d", index)], "%s was told %d times", name, count)
		}
		for _, observer := range started.observers {
			observer.mutex.Lock()
			observer.told = nil
			observer.mutex.Unlock()
		}
	}
}
