package server

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/aggregator"
	"carobthread/assigner"
	"carobthread/follower"
	"carobthread/logger"
	"carobthread/timer"
	"carobthread/tracker"
)

// MethodStoreExchange is the peer method for an exchange, in which two hosts share changes of the store and of the membership.
const MethodStoreExchange = "follow"

const (
	// watchTimeout limits one watch, so that a lost response or a dead connection is detected well within the time in which a
	// change must be active.
	watchTimeout = 800 * time.Millisecond
	// startupExchangeInterval limits the mean time between two exchanges until the first routing table is known.
	startupExchangeInterval = 200 * time.Millisecond
	// maxLogLinesPerSecond limits the log lines of each kind about searchers and hosts.
	maxLogLinesPerSecond = 20
	// exchangeTimeout limits one exchange.
	exchangeTimeout = time.Second
	// contactEvery is the mean number of exchanges with random hosts per exchange with a contact from the settings. Exchanges
	// with contacts let two partitions of a fleet that do not know each other merge.
	contactEvery = 8
	// randomEvery is the interval, in exchanges, at which one goes to a random host.
	randomEvery = 4
)

// Timing sets the intervals of a host's reads of the store and of its exchanges with peers.
//
// One host of the fleet reads the store, and the others ask their peers for
// changes. A host whose copy of the store is too old, because the reader is
// frozen, cut off or refused by the store, reads the store itself.
type Timing struct {
	// StartupWait and StartupWaitJitter are how long a starting host waits for its peers before it lists the whole store. A
	// host that joins a running fleet gets a response within a round trip; hosts that start together cannot serve until the
	// first of them has waited this long.
	StartupWait       time.Duration
	StartupWaitJitter time.Duration
	// FleetReaderReadAge is the time between two reads by the fleet reader; each response batches the heartbeats of that
	// time.
	FleetReaderReadAge time.Duration
	// CentreReadAge and OtherReadAge are the ages of a host's copy of the store at which the first host of a data centre and
	// any other host read the store.
	CentreReadAge time.Duration
	OtherReadAge  time.Duration
	// OtherReadJitter is the maximum that each other host adds to OtherReadAge, so that their reads are spread out.
	OtherReadJitter time.Duration
	// ExchangeInterval is the mean time between two exchanges with peers.
	ExchangeInterval time.Duration
	// RetryInterval and OtherRetryInterval are the mean times between reads while the store does not answer; the latter
	// applies to hosts with roleOther once they have a copy of the store.
	RetryInterval      time.Duration
	OtherRetryInterval time.Duration
}

// TimingFor returns the timing that keeps every host's copy of the store younger than freshness while the store answers any
// host.
func TimingFor(freshness time.Duration) Timing {
	return Timing{
		StartupWait:        min(25*time.Millisecond, freshness/10),
		StartupWaitJitter:  min(75*time.Millisecond, freshness/10),
		FleetReaderReadAge: freshness / 5,
		CentreReadAge:      freshness * 2 / 5,
		OtherReadAge:       freshness * 11 / 20,
		OtherReadJitter:    freshness / 5,
		ExchangeInterval:   freshness / 8,
		RetryInterval:      min(400*time.Millisecond, freshness/6),
		OtherRetryInterval: freshness / 2,
	}
}

// DirectoryOptions are the dependencies of a Directory.
type DirectoryOptions struct {
	Self carobthread.Host
	// Contacts are the peer addresses from the settings.
	Contacts []string
	Follower *follower.Follower
	Tracker  *tracker.Tracker
	Timer    carobthread.Timer
	Peers    carobthread.Peers
	Store    carobthread.Store
	Logger   zerolog.Logger
	Seed     uint64
	Timing   Timing
	// OnChange is called, in order, on each change of the routing table or the searchers once a table is known.
	OnChange func(table carobthread.RoutingTable, entries []carobthread.Registration)
	// OnView is called with each new view of the entry hosts.
	OnView func(view carobthread.View)
	// Observer is the query path, whose observations the hosts of a data centre share; if nil, none are shared.
	Observer Observer
}

// Directory keeps a copy of the store by reading it and by exchanging changes and membership with the other hosts.
type Directory struct {
	options DirectoryOptions

	mutex          sync.Mutex
	random         *rand.Rand
	limiter        *logger.Limiter
	hostStates     map[string]carobthread.HostState
	storeReachable bool
	// firstRead is when this host first reads the store itself if no peer has answered until then.
	firstRead carobthread.Instant
	// lastReadAt is the end of the last read.
	lastReadAt carobthread.Instant
	// syncedAt is the time up to which all changes of the store are known; 0 before the first list.
	syncedAt carobthread.Instant
	// exchangeCount counts the exchanges, to select the peer of each.
	exchangeCount int
	// roles selects the readers by the current view; readJitter is what this host adds to OtherReadAge.
	roles      *assigner.Assigner
	readJitter time.Duration
	// tableCache is the compressed routing table that is sent to other hosts.
	tableCache compressedTable
	// aggregator holds the observations of the hosts that send theirs to this one; aggregatorCursor is the position in
	// aggregatorHost's aggregator up to which this host has received observations.
	aggregator       *aggregator.Aggregator
	aggregatorHost   string
	aggregatorCursor uint64
	// observationLimit limits the number of searchers in one observationsMessage.
	observationLimit int
	// cutOff is set if any data centre was cut off at the last check.
	cutOff bool
	stats  DirectoryStats
}

// DirectoryStats are the counters and the state of a Directory.
type DirectoryStats struct {
	Reads           uint64 `json:"reads"`
	ReadsFailed     uint64 `json:"reads-failed"`
	Exchanges       uint64 `json:"exchanges"`
	ExchangesFailed uint64 `json:"exchanges-failed"`
	Version         uint64 `json:"version"`
	Revision        uint64 `json:"revision"`
	Searchers       int    `json:"searchers"`
	Hosts           int    `json:"hosts"`
	// KnowledgeAgeMicros is the age of the copy of the store, or -1 before the first list.
	KnowledgeAgeMicros int64 `json:"knowledge-age-us"`
}

var _ carobthread.PeerHandler = (*Directory)(nil)

// exchangeMessage is the request or the response of an exchange.
type exchangeMessage struct {
	Gossip tracker.Gossip  `json:"gossip"`
	Digest follower.Digest `json:"digest"`
	// Join requests the complete membership.
	Join bool `json:"join,omitempty"`
	// Delta and AgeMicros, the age of the answering host's copy of the store, are set in a response.
	Delta     *follower.Delta `json:"delta,omitempty"`
	AgeMicros int64           `json:"age-us,omitempty"`
	// Table and Items are the compressed forms of the fields of Delta that are left out for them.
	Table []byte `json:"table,omitempty"`
	Items []byte `json:"items,omitempty"`
	// Observations is set between a host and the reader of its data centre.
	Observations *observationsMessage `json:"pool,omitempty"`
}

// NewDirectory returns a Directory that starts to work when Run is called.
func NewDirectory(options DirectoryOptions) *Directory {
	options.Tracker.MonitorAllDataCentres()
	directory := &Directory{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		limiter:    logger.NewLimiter(options.Logger, maxLogLinesPerSecond),
		hostStates: map[string]carobthread.HostState{},
		aggregator: aggregator.New(),
	}
	directory.readJitter = time.Duration(directory.random.Int64N(int64(options.Timing.OtherReadJitter) + 1))
	directory.applyView(options.Tracker.View())
	directory.firstRead = options.Timer.Now()
	if len(options.Contacts) > 0 {
		timing := &directory.options.Timing
		directory.firstRead = directory.firstRead.Add(timing.StartupWait + time.Duration(directory.random.Int64N(int64(timing.StartupWaitJitter)+1)))
	}
	return directory
}

// Run reads the store and exchanges with peers until the context ends.
func (directory *Directory) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { directory.readStore(ctx) })
	loops.Go(func() { directory.exchangeLoop(ctx) })
	loops.Wait()
}

// Leave tells the other hosts that this host accepts no new work.
func (directory *Directory) Leave() {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stepTrackerLocked(tracker.Event{Stop: &tracker.SelfStopping{}})
}

// SetContacts replaces the peer addresses from the settings.
func (directory *Directory) SetContacts(contacts []string) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.options.Contacts = contacts
}

// NotifyAll calls OnView and OnChange again with the current state, for components whose own settings have changed.
func (directory *Directory) NotifyAll() {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.options.OnView(directory.options.Tracker.View())
	if table := directory.options.Follower.Table(); table.Version != 0 {
		directory.options.OnChange(table, directory.options.Follower.Registrations())
	}
}

// Stats returns the counters and the current state.
func (directory *Directory) Stats() DirectoryStats {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	stats := directory.stats
	digest := directory.options.Follower.Digest()
	stats.Version, stats.Revision = digest.Version, digest.AsOf
	stats.Searchers = len(directory.options.Follower.Registrations())
	stats.Hosts = len(directory.options.Tracker.View().Hosts)
	stats.KnowledgeAgeMicros = -1
	if directory.syncedAt != 0 {
		stats.KnowledgeAgeMicros = directory.options.Timer.Now().Sub(directory.syncedAt).Microseconds()
	}
	return stats
}

// role determines how old a host's copy of the store may be before it reads the store itself.
type role int

const (
	roleFleetReader role = iota // the fleet reader
	roleCentre                  // the first host of another data centre
	roleOther
)

// roleLocked returns this host's role in the current view. While hosts' views differ, there may merely be an extra reader.
func (directory *Directory) roleLocked() role {
	self := &directory.options.Self
	if reader, found := directory.roles.FirstReader(self.DataCentre); !found || reader != self.Name {
		return roleOther
	}
	if reader, _ := directory.roles.FleetReader(); reader != self.Name {
		return roleCentre
	}
	return roleFleetReader
}

// readStore lists the store once and then watches for changes whenever this host's copy is old enough; it lists again if the
// store no longer has the history since the last read.
func (directory *Directory) readStore(ctx context.Context) {
	listed, failed := false, false
	for ctx.Err() == nil {
		if wait := directory.untilNextRead(failed); wait > 0 {
			timer.Sleep(ctx, directory.options.Timer, wait)
			continue
		}
		started := directory.options.Timer.Now()
		err := directory.read(ctx, listed)
		if ctx.Err() != nil {
			return
		}
		var failure *carobthread.StoreError
		failed = err != nil
		listed = err == nil || listed && (!errors.As(err, &failure) || !failure.HistoryGone)
		directory.recordRead(err, started)
	}
}

// untilNextRead returns the time until this host should read the store again.
func (directory *Directory) untilNextRead(failed bool) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	now, timing := directory.options.Timer.Now(), &directory.options.Timing
	if directory.syncedAt == 0 && !failed {
		return directory.firstRead.Sub(now)
	}
	current := directory.roleLocked()
	bound := [...]time.Duration{roleFleetReader: timing.FleetReaderReadAge, roleCentre: timing.CentreReadAge, roleOther: timing.OtherReadAge + directory.readJitter}[current]
	wait := directory.syncedAt.Add(bound).Sub(now)
	if failed {
		retry := timing.RetryInterval
		if current == roleOther && directory.syncedAt != 0 {
			retry = timing.OtherRetryInterval
		}
		retry = retry/2 + time.Duration(directory.random.Int64N(int64(retry)))
		wait = max(wait, directory.lastReadAt.Add(retry).Sub(now))
	}
	return wait
}

func (directory *Directory) read(ctx context.Context, listed bool) error {
	if !listed {
		return directory.list(ctx)
	}
	directory.mutex.Lock()
	after := directory.options.Follower.Digest().AsOf
	directory.mutex.Unlock()
	changes, err := directory.options.Store.Watch(ctx, after, watchTimeout)
	if err != nil {
		return err
	}
	directory.applyChange(func(now carobthread.Instant) follower.Change {
		return directory.options.Follower.ApplyChanges(now, "store", changes.Items, changes.AsOf)
	})
	return nil
}

// list reads all pages; the next watch starts at the first page's revision, so it returns the changes made meanwhile.
func (directory *Directory) list(ctx context.Context) error {
	var items []carobthread.StoreItem
	var asOf uint64
	after := ""
	for {
		page, err := directory.options.Store.List(ctx, "", after)
		if err != nil {
			return err
		}
		if asOf == 0 {
			asOf = page.AsOf
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	directory.applyChange(func(now carobthread.Instant) follower.Change {
		return directory.options.Follower.ApplyList(now, "store", items, asOf)
	})
	return nil
}

// recordRead records the result of a read of the store and logs when the store becomes unreachable or reachable.
func (directory *Directory) recordRead(err error, started carobthread.Instant) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stats.Reads++
	directory.lastReadAt = directory.options.Timer.Now()
	if err != nil {
		directory.stats.ReadsFailed++
		directory.options.Follower.RecordFailure(directory.lastReadAt)
	} else {
		directory.syncedAt = max(directory.syncedAt, started)
	}
	if directory.storeReachable == (err == nil) {
		return
	}
	directory.storeReachable = err == nil
	if err != nil {
		directory.options.Logger.Warn().Err(err).Str("event", "store-lost").Msg("the platform's store does not answer")
		return
	}
	directory.options.Logger.Info().Str("event", "store-regained").Msg("the platform's store answers")
}

// applyHeldRemovals applies the held removals of searchers that are due.
func (directory *Directory) applyHeldRemovals() {
	directory.applyChange(func(now carobthread.Instant) follower.Change { return directory.options.Follower.Tick(now) })
}

// applyChange applies a change to the follower, logs its effects and reports a new table or searchers to OnChange.
func (directory *Directory) applyChange(apply func(now carobthread.Instant) follower.Change) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	now := directory.options.Timer.Now()
	change := apply(now)
	for _, searcherChange := range change.SearcherChanges {
		if directory.limiter.Allow(now, string(searcherChange.Event)) {
			directory.options.Logger.Info().Str("event", string(searcherChange.Event)).Str("searcher", searcherChange.Searcher).Str("group", searcherChange.Group).
				Uint64("revision", searcherChange.Revision).Int64("knowledge-age-us", now.Sub(directory.syncedAt).Microseconds()).Msg("searcher changed")
		}
	}
	for _, decodeError := range change.DecodeErrors {
		if !directory.limiter.Allow(now, "item-ignored") {
			continue
		}
		directory.options.Logger.Warn().Err(decodeError).Str("event", "item-ignored").Msg("invalid store item ignored")
	}
	table := directory.options.Follower.Table()
	if change.Table {
		directory.options.Logger.Info().Str("event", "table-active").Uint64("version", table.Version).
			Int("routes", len(table.Routes)).Str("source", directory.options.Follower.TableSource()).Msg("routing table active")
	}
	if table.Version != 0 && (change.Table || change.Searchers) {
		directory.options.OnChange(table, directory.options.Follower.Registrations())
	}
}

// exchangeLoop exchanges with one peer after the other and applies the held removals of searchers that are due.
func (directory *Directory) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		directory.exchange(ctx)
		directory.applyHeldRemovals()
		directory.mutex.Lock()
		period := directory.options.Timing.ExchangeInterval
		if directory.options.Follower.Digest().Version == 0 {
			period = min(period, startupExchangeInterval)
		}
		period = period/2 + time.Duration(directory.random.Int64N(int64(period)))
		directory.stepTrackerLocked(tracker.Event{Tick: &carobthread.TickArrived{}})
		directory.mutex.Unlock()
		timer.Sleep(ctx, directory.options.Timer, period)
	}
}

func (directory *Directory) exchange(ctx context.Context) {
	started := directory.options.Timer.Now()
	directory.mutex.Lock()
	peer, join := directory.nextPeer(started)
	request := exchangeMessage{
		Gossip:       directory.options.Tracker.Gossip(peer, tracker.SameDataCentre),
		Digest:       directory.options.Follower.Digest(),
		Join:         join,
		Observations: directory.observationsRequestLocked(peer),
	}
	directory.mutex.Unlock()
	if peer == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer exchangeMessage
	err := directory.options.Peers.Call(ctx, peer, MethodStoreExchange, request, &answer)
	directory.mutex.Lock()
	directory.stats.Exchanges++
	if err != nil {
		directory.stats.ExchangesFailed++
		directory.stepTrackerLocked(tracker.Event{Silent: &tracker.HostSilent{Host: peer}})
		directory.mutex.Unlock()
		return
	}
	directory.stepTrackerLocked(tracker.Event{Received: &tracker.GossipReceived{From: peer, Locality: tracker.SameDataCentre, Gossip: answer.Gossip}})
	directory.applyObservationsLocked(peer, answer.Observations)
	directory.reportReachedLocked(peer)
	directory.mutex.Unlock()
	if answer.Delta == nil {
		return
	}
	if err := answer.decompress(); err != nil {
		directory.options.Logger.Warn().Err(err).Str("event", "exchange-ignored").Str("peer", peer).Msg("invalid answer from peer ignored")
		return
	}
	directory.applyChange(func(now carobthread.Instant) follower.Change {
		if answer.AgeMicros > 0 {
			age := time.Duration(answer.AgeMicros) * time.Microsecond
			directory.syncedAt = max(directory.syncedAt, started.Add(-age))
		}
		return directory.options.Follower.ApplyDelta(now, peer, *answer.Delta)
	})
}

// nextPeer returns the peer of the next exchange: the host whose copy is most likely the newest, a host of a cut-off data
// centre, a random one, or a contact from the settings; join is set for a contact.
func (directory *Directory) nextPeer(now carobthread.Instant) (peer string, join bool) {
	contacts := directory.options.Contacts
	peer = directory.options.Tracker.NextPeer()
	if len(contacts) > 0 && (peer == "" || directory.random.IntN(contactEvery*randomEvery) == 0) {
		return contacts[directory.random.IntN(len(contacts))], true
	}
	// As long as the readers' updates arrive in time, most exchanges go to a reader. Some go to a random host, to spread the
	// membership and updates that a reader lacks.
	directory.exchangeCount++
	if host := directory.nextCutOffHostLocked(); host != "" {
		return host, false
	}
	age := now.Sub(directory.syncedAt)
	if directory.exchangeCount%randomEvery == 0 || age > directory.options.Timing.OtherReadAge+directory.options.Timing.OtherReadJitter {
		return peer, false
	}
	reader, found := "", false
	switch directory.roleLocked() {
	case roleOther:
		reader, found = directory.roles.FirstReader(directory.options.Self.DataCentre)
	case roleCentre:
		reader, found = directory.roles.FleetReader()
	case roleFleetReader:
	}
	if found {
		return reader, false
	}
	return peer, false
}

// Handle serves an exchange that a peer starts.
func (directory *Directory) Handle(_ context.Context, peer, method string, params json.RawMessage) (any, error) {
	if method != MethodStoreExchange {
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUnknownService, Detail: method}
	}
	var request exchangeMessage
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUpstreamFailed, Detail: err.Error()}
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stepTrackerLocked(tracker.Event{Received: &tracker.GossipReceived{From: peer, Locality: tracker.SameDataCentre, Gossip: request.Gossip}})
	delta := directory.options.Follower.DeltaFor(request.Digest)
	answer := exchangeMessage{Delta: &delta, Digest: delta.Digest, Observations: directory.handleObservationsLocked(peer, request.Observations)}
	if directory.syncedAt != 0 {
		answer.AgeMicros = max(1, directory.options.Timer.Now().Sub(directory.syncedAt).Microseconds())
	}
	if err := answer.compress(&directory.tableCache); err != nil {
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUpstreamFailed, Detail: err.Error()}
	}
	if request.Join {
		snapshot := directory.options.Tracker.Snapshot()
		answer.Gossip = tracker.Gossip{Records: snapshot.Records}
		return answer, nil
	}
	answer.Gossip = directory.options.Tracker.GossipResponse(peer, tracker.SameDataCentre, request.Gossip)
	return answer, nil
}

// applyView updates the state that depends on the known hosts.
func (directory *Directory) applyView(view carobthread.View) {
	directory.roles = assigner.New(view)
	hosts := 0
	for i := range view.Hosts {
		if view.Hosts[i].DataCentre == directory.options.Self.DataCentre {
			hosts++
		}
	}
	directory.observationLimit = aggregator.MaxSearchersPerMessage(hosts)
}

func (directory *Directory) stepTrackerLocked(event tracker.Event) {
	event.At = directory.options.Timer.Now()
	if directory.options.Tracker.Step(event).View {
		view := directory.options.Tracker.View()
		directory.applyView(view)
		directory.logHosts(view)
		directory.options.OnView(view)
	}
}

// logHosts logs the hosts whose state has changed.
func (directory *Directory) logHosts(view carobthread.View) {
	now := directory.options.Timer.Now()
	for _, host := range view.Hosts {
		if directory.hostStates[host.Name] == host.State {
			continue
		}
		directory.hostStates[host.Name] = host.State
		if directory.limiter.Allow(now, "host-changed") {
			directory.options.Logger.Info().Str("event", "host-changed").Str("peer", host.Name).Str("state", string(host.State)).
				Str("peer-data-centre", host.DataCentre).Msg("another host changed")
		}
	}
}
