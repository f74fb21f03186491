package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread"
	"carobthread/executor"
	"carobthread/follower"
	"carobthread/internal/standin"
	"carobthread/platform"
	"carobthread/server"
	"carobthread/timer"
	"carobthread/tracker"
)

// fakeStore holds the routing table's version; it refuses reads by the hosts in refused and counts all other reads.
type fakeStore struct {
	mutex   sync.Mutex
	version uint64
	refused map[string]bool
	reads   int
}

// storeClient is one host's connection to the store.
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

// directoryFleet is a set of directories that call each other directly, without a network.
type directoryFleet struct {
	store    *fakeStore
	mutex    sync.Mutex
	hosts    map[string]*server.Directory
	versions map[string]uint64
	// observers and centres hold the observer and the data centre of each host.
	observers map[string]*fakeObserver
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
	return fleet.versions[host]
}

const testFreshness = time.Second

func startDirectories(t *testing.T, hosts int) *directoryFleet {
	t.Helper()
	directories := &directoryFleet{
		store: &fakeStore{version: 1, refused: map[string]bool{}},
		hosts: map[string]*server.Directory{}, versions: map[string]uint64{},
		observers: map[string]*fakeObserver{}, centres: map[string]string{},
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
		directories.observers[name] = &fakeObserver{}
		directories.centres[name] = fmt.Sprintf("dc-%d", index%3)
		self := carobthread.Host{Name: name, DataCentre: directories.centres[name], PeerAddress: name, Incarnation: carobthread.Incarnation{Start: 1}}
		directory := server.NewDirectory(server.DirectoryOptions{
			Self: self, Contacts: []string{"host-00", "host-01"}, Follower: follower.New(platform.Decoder{}),
			Tracker: tracker.New(self, nil, clock.Now(), uint64(index)), Timer: clock, Peers: &directCaller{fleet: directories, host: name},
			Store: &storeClient{store: directories.store, host: name}, Logger: zerolog.Nop(), Seed: uint64(index),
			Timing: server.TimingFor(testFreshness),
			OnChange: func(state server.State) {
				directories.mutex.Lock()
				defer directories.mutex.Unlock()
				table := &state.Table
				assert.Check(t, table.Version > directories.versions[name], "%s went from version %d to %d", name, directories.versions[name], table.Version)
				directories.versions[name] = table.Version
			},
			OnView: func(carobthread.View) {}, Observer: directories.observers[name],
		})
		directories.mutex.Lock()
		directories.hosts[name] = directory
		directories.mutex.Unlock()
		running.Go(func() { directory.Run(ctx) })
	}
	directories.await(t, 1)
	return directories
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

// Guards against a number of store reads that grows with the fleet.
func TestDirectoryReadsDoNotGrowWithFleet(t *testing.T) {
	const (
		hosts   = 24
		periods = 3 // each of testFreshness
	)
	directories := startDirectories(t, hosts)
	time.Sleep(testFreshness)
	directories.store.mutex.Lock()
	before := directories.store.reads
	directories.store.mutex.Unlock()
	time.Sleep(periods * testFreshness)
	directories.store.mutex.Lock()
	reads := directories.store.reads - before
	directories.store.mutex.Unlock()
	// If every host read the store itself, each would read five times per period. Only the reader does, and occasionally a
	// few other hosts.
	t.Logf("%d reads in %d periods of %d hosts", reads, periods, hosts)
	assert.Assert(t, reads < periods*5*hosts/3, "%d reads", reads)
}

// Guards against hosts that the store refuses and that therefore miss a version, whichever hosts these are.
func TestDirectoryUpdatesHostsRefusedByStore(t *testing.T) {
	directories := startDirectories(t, 9)
	for version, refused := range []string{"host-00", "host-03", "host-06", "host-01", "host-04", "host-07", "host-02", "host-05"} {
		directories.publish(uint64(version+2), refused)
		directories.await(t, uint64(version+2))
	}
}

// deadStore gives no response to the first watch, as on a connection that has fallen silent, and counts the watches.
type deadStore struct{ watches atomic.Int64 }

func (store *deadStore) List(context.Context, string, string) (carobthread.StoreItems, error) {
	return carobthread.StoreItems{Items: []carobthread.StoreItem{{Key: "op/config", Revision: 1, Content: []byte(`{"version":1}`)}}, AsOf: 1}, nil
}

func (store *deadStore) Watch(context.Context, uint64, time.Duration) (carobthread.StoreItems, error) {
	if store.watches.Add(1) == 1 {
		return carobthread.StoreItems{}, &carobthread.StoreError{Call: "watch", Cause: context.DeadlineExceeded}
	}
	return carobthread.StoreItems{AsOf: 1}, nil
}

// startDirectory runs the directory of one host, "host", on a clock that stands still until the test advances it.
func startDirectory(t *testing.T, clock *timer.Manual, store carobthread.Store, peers carobthread.Peers, contacts ...string) *server.Directory {
	t.Helper()
	self := carobthread.Host{Name: "host", DataCentre: "dc", PeerAddress: "host", Incarnation: carobthread.Incarnation{Start: 1}}
	directory := server.NewDirectory(server.DirectoryOptions{
		Self: self, Contacts: contacts, Follower: follower.New(platform.Decoder{}), Tracker: tracker.New(self, nil, clock.Now(), 1), Timer: clock,
		Peers: peers, Store: store, Logger: zerolog.Nop(), Timing: server.TimingFor(testFreshness),
		OnChange: func(server.State) {}, OnView: func(carobthread.View) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { directory.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return directory
}

// advanceUntil advances the clock in small steps until the condition holds; the clock stands still from then on.
func advanceUntil(t *testing.T, clock *timer.Manual, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		clock.Advance(testFreshness / 100)
		return poll.Continue("the condition does not hold")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// Guards against a host that takes a dead connection for a store that is down and waits before it reads again, while its copy
// of the store becomes older than the freshness.
func TestDirectoryReadsAgainAtOnceAfterDeadConnection(t *testing.T) {
	clock, store := timer.NewManual(carobthread.At(time.Unix(1, 0))), &deadStore{}
	startDirectory(t, clock, store, &directCaller{fleet: &directoryFleet{}, host: "host"})
	advanceUntil(t, clock, func() bool { return store.watches.Load() > 0 })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if store.watches.Load() < 2 {
			return poll.Continue("%d watches", store.watches.Load())
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// startStore starts a fake of the platform's store and returns it with a client.
func startStore(t *testing.T) (*standin.Store, *platform.Store) {
	t.Helper()
	store, err := standin.NewStore()
	assert.NilError(t, err)
	client := platform.NewStore(store.Address())
	t.Cleanup(func() {
		client.Close()
		assert.Check(t, store.Close())
	})
	return store, client
}

// listOnlyStore serves a list of revision 5 and no watch.
type listOnlyStore struct{}

func (listOnlyStore) List(context.Context, string, string) (carobthread.StoreItems, error) {
	return carobthread.StoreItems{Items: []carobthread.StoreItem{{Key: "op/config", Revision: 5, Content: []byte(`{"version":5}`)}}, AsOf: 5}, nil
}

func (listOnlyStore) Watch(context.Context, uint64, time.Duration) (carobthread.StoreItems, error) {
	return carobthread.StoreItems{}, &carobthread.StoreError{Call: "watch", Status: http.StatusServiceUnavailable, Cause: errors.New("refused")}
}

// pausedPeer does not answer until it has resumed, and then answers each exchange with a copy of revision 4 that it believes to
// be new.
type pausedPeer struct {
	resumed   atomic.Bool
	exchanges atomic.Int64 // since it has resumed
}

func (peer *pausedPeer) Call(_ context.Context, _, _ string, _, result any) error {
	if !peer.resumed.Load() {
		return &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonHostUnreachable}
	}
	peer.exchanges.Add(1)
	return json.Unmarshal([]byte(`{"delta":{"version":4,"as-of":4},"age-us":1}`), result)
}

// Guards against a host that takes over the age of an older copy than its own from a peer whose process was paused, and
// therefore reads the store too late.
func TestDirectoryIgnoresAgeOfOlderCopy(t *testing.T) {
	clock, peer := timer.NewManual(carobthread.At(time.Unix(1, 0))), &pausedPeer{}
	directory := startDirectory(t, clock, listOnlyStore{}, peer, "peer")
	advanceUntil(t, clock, func() bool { return directory.Stats().Version == 5 })
	listed := clock.Now()
	peer.resumed.Store(true)
	advanceUntil(t, clock, func() bool { return peer.exchanges.Load() > 3 })
	age := time.Duration(directory.Stats().KnowledgeAgeMicros) * time.Microsecond
	assert.Assert(t, age >= clock.Now().Sub(listed), "%v after %v", age, clock.Now().Sub(listed))
}

// Guards against a host that leaves the time of a suspension out of the age of its copy, and tells other hosts that the copy is
// new.
func TestDirectoryCountsSuspensionInAgeOfCopy(t *testing.T) {
	clock := timer.NewManual(carobthread.At(time.Unix(1, 0)))
	directory := startDirectory(t, clock, listOnlyStore{}, &pausedPeer{}, "peer")
	advanceUntil(t, clock, func() bool { return directory.Stats().Version == 5 })
	const suspension = 10 * time.Second
	clock.Suspend(suspension)
	content, err := directory.Handle(t.Context(), "peer", server.MethodStoreExchange, []byte(`{}`))
	assert.NilError(t, err)
	answer, err := json.Marshal(content)
	assert.NilError(t, err)
	var stated struct {
		AgeMicros int64 `json:"age-us"`
	}
	assert.NilError(t, json.Unmarshal(answer, &stated))
	assert.Assert(t, time.Duration(stated.AgeMicros)*time.Microsecond >= suspension, "%d us", stated.AgeMicros)
}

// Guards against a host that repeats the same watch forever when the changes that it lacks exceed the size limit of a response.
func TestDirectoryListsStoreAfterTooLargeWatch(t *testing.T) {
	const versions = 5 // of almost 1 MiB each, and a third more in base64
	store, client := startStore(t)
	put := func(version int) {
		store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"padding":%q}`, version, strings.Repeat("x", 1_000_000)))
	}
	put(1)
	clock := timer.NewManual(carobthread.At(time.Unix(1, 0)))
	directory := startDirectory(t, clock, client, &pausedPeer{})
	advanceUntil(t, clock, func() bool { return directory.Stats().Version == 1 })
	store.SetFailure(http.StatusServiceUnavailable, false)
	for version := range versions {
		put(version + 1)
	}
	store.SetFailure(0, false)
	advanceUntil(t, clock, func() bool { return directory.Stats().Version == versions })
}

// Guards against a host that stops following the store because of one entry that it can't read.
func TestDirectoryFollowsStoreBesideOddEntry(t *testing.T) {
	const depth = 100_000
	store, client := startStore(t)
	nested := []byte(strings.Repeat(`{"x":[`, depth))
	store.Put("servers/odd-listed", nested)
	store.Put("op/config", []byte(`{"version":1}`))
	clock := timer.NewManual(carobthread.At(time.Unix(1, 0)))
	directory := startDirectory(t, clock, client, &pausedPeer{})
	advanceUntil(t, clock, func() bool { return directory.Stats().Version == 1 })
	store.Put("servers/odd-watched", nested)
	store.Put("op/config", []byte(`{"version":2}`))
	store.Put("servers/good", []byte(`{"service":"one","address":"10.0.0.1:80","zone":"z","version":"v1","slots":3,"state":"ready","coldLeftMs":0,"sequence":1}`))
	advanceUntil(t, clock, func() bool { return directory.Stats().Version == 2 && directory.Stats().Searchers == 1 })
}

// Load: all hosts start at the same moment while callers wait. Guards against hosts that have no data and wait too long for
// each other, and against a timing that lets a host's copy of the store exceed the maximum age while the store answers.
func TestTimingBounds(t *testing.T) {
	const maxStartupWait = 100 * time.Millisecond // callers expect a connection to be served within 1 s
	for _, freshness := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		timing := server.TimingFor(freshness)
		assert.Check(t, timing.StartupWait+timing.StartupWaitJitter <= maxStartupWait, "%v: %+v", freshness, timing)
		assert.Check(t, timing.StartupWait >= 10*time.Millisecond, "%v: a host that starts alone lists the store before its peers answer", freshness)
		assert.Check(t, timing.OtherReadAge+timing.OtherReadJitter+timing.RetryInterval < freshness, "%v: %+v", freshness, timing)
	}
}

// fakeObserver returns its pending observations once and keeps those that it receives.
type fakeObserver struct {
	mutex    sync.Mutex
	pending  []carobthread.Observation
	received []carobthread.Observation
	// cutOff are the data centres whose searchers do not answer, until one of their hosts is reached.
	cutOff []string
}

var _ server.Observer = (*fakeObserver)(nil)

func (observer *fakeObserver) Observations() []carobthread.Observation {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	pending := observer.pending
	observer.pending = nil
	return pending
}

func (observer *fakeObserver) Observe(observations []carobthread.Observation) {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observer.received = append(observer.received, observations...)
}

func (observer *fakeObserver) CutOffDataCentres() []string {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	return slices.Clone(observer.cutOff)
}

func (observer *fakeObserver) MarkReachable(dataCentre string) {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observer.cutOff = slices.DeleteFunc(observer.cutOff, func(name string) bool { return name == dataCentre })
}

// Guards against a host that stays not ready forever after other data centres were cut off, because it gets no requests that
// would show that they answer again.
func TestDirectoryDetectsReachableDataCentres(t *testing.T) {
	directories := startDirectories(t, 9)
	for _, observer := range directories.observers {
		observer.mutex.Lock()
		observer.cutOff = []string{"dc-0", "dc-1", "dc-2"}
		observer.mutex.Unlock()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, observer := range directories.observers {
			if left := observer.CutOffDataCentres(); len(left) > 0 {
				return poll.Continue("%s still regards %v as cut off", name, left)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// Guards against observations that the other hosts of the data centre do not receive, or receive twice, and against ones
// that reach hosts of other data centres, for which the searcher may work well.
func TestDirectorySharesObservations(t *testing.T) {
	directories := startDirectories(t, 9)
	expected := carobthread.Observation{Searcher: "s", Answered: 1, Failed: 2}
	for index := range 3 {
		reporter := directories.observers[fmt.Sprintf("host-%02d", index)]
		reporter.mutex.Lock()
		reporter.pending = []carobthread.Observation{expected}
		reporter.mutex.Unlock()
		received := func() map[string]int {
			counts := map[string]int{}
			for name, observer := range directories.observers {
				observer.mutex.Lock()
				for _, observation := range observer.received {
					assert.Check(t, observation == expected, "%s received %+v", name, observation)
					counts[name]++
				}
				observer.mutex.Unlock()
			}
			return counts
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if counts := received(); len(counts) < 2 {
				return poll.Continue("received %v", counts)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second))
		time.Sleep(2 * testFreshness / 8) // two exchange intervals, in which an extra copy would arrive
		for name, count := range received() {
			assert.Check(t, count == 1 && directories.centres[name] == directories.centres[fmt.Sprintf("host-%02d", index)], "%s received the observation %d times", name, count)
		}
		for _, observer := range directories.observers {
			observer.mutex.Lock()
			observer.received = nil
			observer.mutex.Unlock()
		}
	}
}

// Guards against a message of another host that can't be read, or whose method is unknown, and that is answered with another
// reason.
func TestPeerMessagesThatCannotBeReadAreNamed(t *testing.T) {
	clock := timer.NewManual(carobthread.Instant(time.Hour))
	directory := startDirectory(t, clock, &deadStore{}, nil)
	_, err := directory.Handle(t.Context(), "peer", server.MethodStoreExchange, json.RawMessage(`{"gossip":7}`))
	var failure *carobthread.RequestError
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Reason, carobthread.ReasonMalformed)
	execution := server.NewExecution(server.ExecutionOptions{
		Core: executor.New(executor.Options{Host: "a"}), Timer: clock, Tracer: noop.NewTracerProvider().Tracer("test"),
	})
	_, err = execution.Handle(t.Context(), "peer", "none", json.RawMessage(`{}`))
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Reason, carobthread.ReasonUnknownService)
}

// Guards against a host that the store refuses, or that has restarted since, and that misses an evacuation or its withdrawal;
// against one that serves before it knows of them; and against one that moves load gradually although its copy is old.
func TestDirectoryEvacuatesThroughPeers(t *testing.T) {
	store, client := startStore(t)
	store.Put("op/config", []byte(`{"version":1}`))
	clock, fleet := timer.NewManual(carobthread.At(time.Unix(1, 0))), &directoryFleet{hosts: map[string]*server.Directory{}}
	var withdrawn atomic.Bool
	start := func(name string, ownStore carobthread.Store) *server.Directory {
		self := carobthread.Host{Name: name, DataCentre: "dc", PeerAddress: name, Incarnation: carobthread.Incarnation{Start: clock.Now()}}
		directory := server.NewDirectory(server.DirectoryOptions{
			Self: self, Contacts: []string{"reader"}, Follower: follower.New(platform.Decoder{}), Tracker: tracker.New(self, nil, clock.Now(), 1),
			Timer: clock, Peers: &directCaller{fleet: fleet, host: name}, Store: ownStore, Logger: zerolog.Nop(), Timing: server.TimingFor(testFreshness),
			EvacuationBound: 5 * time.Second, OnView: func(carobthread.View) {},
			OnChange: func(state server.State) {
				if name == "restarted" && !withdrawn.Load() {
					assert.Check(t, len(state.Evacuations) == 1, "serves without the evacuation")
				}
			},
		})
		fleet.mutex.Lock()
		fleet.hosts[name] = directory
		fleet.mutex.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { directory.Run(ctx) })
		t.Cleanup(func() { cancel(); running.Wait() })
		return directory
	}
	refusing := &storeClient{store: &fakeStore{refused: map[string]bool{"refused": true}}, host: "refused"}
	reader, refused := start("reader", client), start("refused", refusing)
	advanceUntil(t, clock, func() bool { return reader.Stats().Version == 1 && refused.Stats().Version == 1 })
	store.Put("op/evacuate/north", []byte("{}"))
	evacuated := func(directory *server.Directory) bool {
		evacuations := directory.Evacuations()
		return len(evacuations) == 1 && evacuations[0].DataCentre == "north"
	}
	advanceUntil(t, clock, func() bool { return evacuated(reader) && evacuated(refused) })
	complete := refused.Evacuations()[0]
	assert.Equal(t, complete.CompleteAt.Sub(complete.LearnedAt), time.Second)
	restarted := start("restarted", refusing)
	advanceUntil(t, clock, func() bool { return evacuated(restarted) })
	complete = restarted.Evacuations()[0]
	assert.Equal(t, complete.CompleteAt, complete.LearnedAt)
	withdrawn.Store(true)
	store.Remove("op/evacuate/north")
	advanceUntil(t, clock, func() bool { return len(refused.Evacuations()) == 0 && len(restarted.Evacuations()) == 0 })
}
