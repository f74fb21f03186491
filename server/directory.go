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
	"carobthread/assigner"
	"carobthread/follower"
	"carobthread/logger"
	"carobthread/pooler"
	"carobthread/timer"
	"carobthread/tracker"
)

// MethodFollow is the request in which two hosts tell each other what they know of the store and of the fleet.
const MethodFollow = "follow"

const (
	// watchWait bounds one watch, so that a lost answer or a silent connection is noticed well within the time for a change.
	watchWait = 800 * time.Millisecond
	// startPeriod is the time between two exchanges until the first routing table is known.
	startPeriod = 200 * time.Millisecond
	// beliefsPerSecond bounds the log lines of each kind about searchers and hosts.
	beliefsPerSecond = 20
	// followTimeout bounds one exchange.
	followTimeout = time.Second
	// contactEvery is the mean number of exchanges with random hosts to one with a contact of the settings, by which two
	// halves of a fleet that know nothing of each other meet.
	contactEvery = 8
	// randomEvery is the number of exchanges to one with a random host.
	randomEvery = 4
)

// Pace states when a host reads the store and asks its peers.
//
// One host of the fleet reads the store, and the others ask their peers for
// what has changed. A host whose knowledge has grown too old, because the reader
// is frozen, cut off or refused, reads the store itself.
type Pace struct {
	// Patience and PatienceSpread are how long a starting host waits for its peers before it lists the whole store. A host
	// that starts alone is told within a round trip; hosts that start together serve nothing until one of these ends.
	Patience       time.Duration
	PatienceSpread time.Duration
	// Lead is the time between two reads of the fleet's reader, which gathers the heartbeats of that time into one answer.
	Lead time.Duration
	// Centre and Other are the ages of the own knowledge at which the first host of a data centre and any other one read.
	Centre time.Duration
	Other  time.Duration
	// Spread is the range over which the other hosts' reads are spread.
	Spread time.Duration
	// Follow is the time between two exchanges with peers.
	Follow time.Duration
	// Retry and OtherRetry are the times between reads while the store does not answer.
	Retry      time.Duration
	OtherRetry time.Duration
}

// PaceFor returns the pace that keeps knowledge younger than the given age while the store answers anyone.
func PaceFor(freshness time.Duration) Pace {
	return Pace{
		Patience:       min(25*time.Millisecond, freshness/10),
		PatienceSpread: min(75*time.Millisecond, freshness/10),
		Lead:           freshness / 5,
		Centre:         freshness * 2 / 5,
		Other:          freshness * 11 / 20,
		Spread:         freshness / 5,
		Follow:         freshness / 8,
		Retry:          min(400*time.Millisecond, freshness/6),
		OtherRetry:     freshness / 2,
	}
}

// DirectoryOptions are the parts that a Directory works with.
type DirectoryOptions struct {
	Self carobthread.Host
	// Contacts are addresses of peers from the settings.
	Contacts []string
	Follower *follower.Follower
	Tracker  *tracker.Tracker
	Timer    carobthread.Timer
	Peers    carobthread.Peers
	Store    carobthread.Store
	Logger   zerolog.Logger
	Seed     uint64
	Pace     Pace
	// Changed is called, in order, with each change of the routing table or the searchers once a table is known.
	Changed func(table carobthread.RoutingTable, entries []carobthread.Registration)
	// Viewed is called with each new view of the entry hosts.
	Viewed func(view carobthread.View)
	// Observer is the query path, whose observations the hosts of a data centre share; nil shares none.
	Observer Observer
}

// Directory reads the store and exchanges what it knows with the other hosts.
type Directory struct {
	options DirectoryOptions

	mutex   sync.Mutex
	random  *rand.Rand
	limiter *logger.Limiter
	hosts   map[string]carobthread.HostState
	reached bool
	// firstRead is when this host reads for itself if no peer has told it anything.
	firstRead carobthread.Instant
	// triedAt is the end of the last read.
	triedAt carobthread.Instant
	// freshAt is the time up to which everything in the store is known; 0 before the first list.
	freshAt carobthread.Instant
	// turn counts the exchanges.
	turn int
	// roles are the readers by the present view, spread is this host's place in the range of the others' reads.
	roles  *assigner.Assigner
	spread time.Duration
	// packed is the routing table as it is told to other hosts.
	packed packedTable
	// pool holds the observations of the hosts that ask this one; pooled is up to where those of the pool at poolHost are
	// known.
	pool     *pooler.Pooler
	poolHost string
	pooled   uint64
	// poolLimit bounds the searchers in one message about observations.
	poolLimit int
	// cutOff says that data centres were cut off at the last look.
	cutOff bool
	stats  DirectoryStats
}

// DirectoryStats counts the calls of a Directory.
type DirectoryStats struct {
	Reads          uint64 `json:"reads"`
	ReadsFailed    uint64 `json:"reads-failed"`
	Exchanges      uint64 `json:"exchanges"`
	ExchangeFailed uint64 `json:"exchanges-failed"`
	Version        uint64 `json:"version"`
	Revision       uint64 `json:"revision"`
	Searchers      int    `json:"searchers"`
	Hosts          int    `json:"hosts"`
	// KnowledgeAgeMicros is the age of what is known of the store, or -1 before the first list.
	KnowledgeAgeMicros int64 `json:"knowledge-age-us"`
}

var _ carobthread.PeerHandler = (*Directory)(nil)

// followMessage is either side of an exchange.
type followMessage struct {
	Gossip tracker.Gossip  `json:"gossip"`
	Digest follower.Digest `json:"digest"`
	// Join asks for the whole membership.
	Join bool `json:"join,omitempty"`
	// Delta and AgeMicros, the age of what the answering host knows, are set in an answer.
	Delta     *follower.Delta `json:"delta,omitempty"`
	AgeMicros int64           `json:"age-us,omitempty"`
	// Table and Items are the packed forms of what the Delta then lacks.
	Table []byte `json:"table,omitempty"`
	Items []byte `json:"items,omitempty"`
	// Pool is set between a host and the reader of its data centre.
	Pool *poolMessage `json:"pool,omitempty"`
}

// NewDirectory returns a Directory that works once Run is called.
func NewDirectory(options DirectoryOptions) *Directory {
	options.Tracker.WholeFleet()
	directory := &Directory{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		limiter: logger.NewLimiter(options.Logger, beliefsPerSecond),
		hosts:   map[string]carobthread.HostState{},
		pool:    pooler.New(),
	}
	directory.spread = time.Duration(directory.random.Int64N(int64(options.Pace.Spread) + 1))
	directory.takeView(options.Tracker.View())
	directory.firstRead = options.Timer.Now()
	if len(options.Contacts) > 0 {
		pace := &directory.options.Pace
		directory.firstRead = directory.firstRead.Add(pace.Patience + time.Duration(directory.random.Int64N(int64(pace.PatienceSpread)+1)))
	}
	return directory
}

// Run reads the store and talks to peers until the context ends.
func (directory *Directory) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { directory.readStore(ctx) })
	loops.Go(func() { directory.meetPeers(ctx) })
	loops.Wait()
}

// Leave tells the other hosts that this one takes no new work.
func (directory *Directory) Leave() {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.trackLocked(tracker.Event{Stop: &tracker.SelfStopping{}})
}

// SetContacts replaces the addresses of peers from the settings.
func (directory *Directory) SetContacts(contacts []string) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.options.Contacts = contacts
}

// Announce tells once more what is known, for parts whose own settings have changed.
func (directory *Directory) Announce() {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.options.Viewed(directory.options.Tracker.View())
	if table := directory.options.Follower.Table(); table.Version != 0 {
		directory.options.Changed(table, directory.options.Follower.Registrations())
	}
}

// Stats returns the counts.
func (directory *Directory) Stats() DirectoryStats {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	stats := directory.stats
	digest := directory.options.Follower.Digest()
	stats.Version, stats.Revision = digest.Version, digest.AsOf
	stats.Searchers = len(directory.options.Follower.Registrations())
	stats.Hosts = len(directory.options.Tracker.View().Hosts)
	stats.KnowledgeAgeMicros = -1
	if directory.freshAt != 0 {
		stats.KnowledgeAgeMicros = directory.options.Timer.Now().Sub(directory.freshAt).Microseconds()
	}
	return stats
}

// role is a host's part in reading the store.
type role int

const (
	roleLead role = iota
	roleCentre
	roleOther
)

// roleLocked returns the own role by the present view; two views merely mean one reader too many for a while.
func (directory *Directory) roleLocked() role {
	self := &directory.options.Self
	if reader, found := directory.roles.First(self.DataCentre); !found || reader != self.Name {
		return roleOther
	}
	if lead, _ := directory.roles.Lead(); lead != self.Name {
		return roleCentre
	}
	return roleLead
}

// readStore lists the store once and then follows its changes whenever the own knowledge is old; it lists again when the
// history is gone.
func (directory *Directory) readStore(ctx context.Context) {
	listed, failed := false, false
	for ctx.Err() == nil {
		if wait := directory.untilRead(failed); wait > 0 {
			timer.Pause(ctx, directory.options.Timer, wait)
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
		directory.reachable(err, started)
	}
}

// untilRead returns how long the own knowledge may still grow older before the next read.
func (directory *Directory) untilRead(failed bool) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	now, pace := directory.options.Timer.Now(), &directory.options.Pace
	if directory.freshAt == 0 && !failed {
		return directory.firstRead.Sub(now)
	}
	own := directory.roleLocked()
	bound := [...]time.Duration{roleLead: pace.Lead, roleCentre: pace.Centre, roleOther: pace.Other + directory.spread}[own]
	wait := directory.freshAt.Add(bound).Sub(now)
	if failed {
		retry := pace.Retry
		if own == roleOther && directory.freshAt != 0 {
			retry = pace.OtherRetry
		}
		retry = retry/2 + time.Duration(directory.random.Int64N(int64(retry)))
		wait = max(wait, directory.triedAt.Add(retry).Sub(now))
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
	found, err := directory.options.Store.Watch(ctx, after, watchWait)
	if err != nil {
		return err
	}
	directory.take(func(now carobthread.Instant) follower.Change {
		return directory.options.Follower.Watched(now, "store", found.Items, found.AsOf)
	})
	return nil
}

// list reads all pages; what changed meanwhile comes with the next watch, which begins at the first page's revision.
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
	directory.take(func(now carobthread.Instant) follower.Change {
		return directory.options.Follower.Listed(now, "store", items, asOf)
	})
	return nil
}

// reachable notes the end of a call to the store and logs when the store is lost or regained.
func (directory *Directory) reachable(err error, started carobthread.Instant) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stats.Reads++
	directory.triedAt = directory.options.Timer.Now()
	if err != nil {
		directory.stats.ReadsFailed++
		directory.options.Follower.Failed(directory.triedAt)
	} else {
		directory.freshAt = max(directory.freshAt, started)
	}
	if directory.reached == (err == nil) {
		return
	}
	directory.reached = err == nil
	if err != nil {
		directory.options.Logger.Warn().Err(err).Str("event", "store-lost").Msg("the platform's store does not answer")
		return
	}
	directory.options.Logger.Info().Str("event", "store-regained").Msg("the platform's store answers")
}

// expire lets held removals of searchers take effect.
func (directory *Directory) expire() {
	directory.take(func(now carobthread.Instant) follower.Change { return directory.options.Follower.Tick(now) })
}

// take applies a change to the follower and tells what came of it.
func (directory *Directory) take(apply func(now carobthread.Instant) follower.Change) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	now := directory.options.Timer.Now()
	change := apply(now)
	for _, note := range change.Notes {
		if directory.limiter.Allow(now, string(note.Sight)) {
			directory.options.Logger.Info().Str("event", string(note.Sight)).Str("searcher", note.Searcher).Str("group", note.Group).
				Uint64("revision", note.Revision).Int64("knowledge-age-us", now.Sub(directory.freshAt).Microseconds()).Msg("searcher changed")
		}
	}
	for _, finding := range change.Findings {
		if !directory.limiter.Allow(now, "item-ignored") {
			continue
		}
		directory.options.Logger.Warn().Err(finding).Str("event", "item-ignored").Msg("an item of the store cannot be used")
	}
	table := directory.options.Follower.Table()
	if change.Table {
		directory.options.Logger.Info().Str("event", "table-active").Uint64("version", table.Version).
			Int("routes", len(table.Routes)).Str("source", directory.options.Follower.TableSource()).Msg("routing table active")
	}
	if table.Version != 0 && (change.Table || change.Searchers) {
		directory.options.Changed(table, directory.options.Follower.Registrations())
	}
}

// meetPeers exchanges with one peer after the other and lets held removals of searchers take effect.
func (directory *Directory) meetPeers(ctx context.Context) {
	for ctx.Err() == nil {
		directory.exchange(ctx)
		directory.expire()
		directory.mutex.Lock()
		period := directory.options.Pace.Follow
		if directory.options.Follower.Digest().Version == 0 {
			period = min(period, startPeriod)
		}
		period = period/2 + time.Duration(directory.random.Int64N(int64(period)))
		directory.trackLocked(tracker.Event{Tick: &carobthread.Ticked{}})
		directory.mutex.Unlock()
		timer.Pause(ctx, directory.options.Timer, period)
	}
}

func (directory *Directory) exchange(ctx context.Context) {
	started := directory.options.Timer.Now()
	directory.mutex.Lock()
	peer, join := directory.nextPeer(started)
	request := followMessage{
		Gossip: directory.options.Tracker.Gossip(peer, tracker.Near),
		Digest: directory.options.Follower.Digest(),
		Join:   join,
		Pool:   directory.poolRequestLocked(peer),
	}
	directory.mutex.Unlock()
	if peer == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	var answer followMessage
	err := directory.options.Peers.Call(ctx, peer, MethodFollow, request, &answer)
	directory.mutex.Lock()
	directory.stats.Exchanges++
	if err != nil {
		directory.stats.ExchangeFailed++
		directory.trackLocked(tracker.Event{Silent: &tracker.HostSilent{Host: peer}})
		directory.mutex.Unlock()
		return
	}
	directory.trackLocked(tracker.Event{Received: &tracker.GossipReceived{From: peer, Audience: tracker.Near, Gossip: answer.Gossip}})
	directory.poolAnswerLocked(peer, answer.Pool)
	directory.reachedLocked(peer)
	directory.mutex.Unlock()
	if answer.Delta == nil {
		return
	}
	if err := answer.unfold(); err != nil {
		directory.options.Logger.Warn().Err(err).Str("event", "exchange-ignored").Str("peer", peer).Msg("the answer of a host cannot be read")
		return
	}
	directory.take(func(now carobthread.Instant) follower.Change {
		if answer.AgeMicros > 0 {
			age := time.Duration(answer.AgeMicros) * time.Microsecond
			directory.freshAt = max(directory.freshAt, started.Add(-age))
		}
		return directory.options.Follower.Merged(now, peer, *answer.Delta)
	})
}

// nextPeer returns the host that most likely knows the latest, a random one, or an address of the settings.
func (directory *Directory) nextPeer(now carobthread.Instant) (peer string, join bool) {
	contacts := directory.options.Contacts
	peer = directory.options.Tracker.NextPeer()
	if len(contacts) > 0 && (peer == "" || directory.random.IntN(contactEvery*randomEvery) == 0) {
		return contacts[directory.random.IntN(len(contacts))], true
	}
	// While the readers' news come in time, they are asked; some exchanges go to a random host, which spreads the
	// membership and the news that a reader has not.
	directory.turn++
	if host := directory.cutOffLocked(); host != "" {
		return host, false
	}
	age := now.Sub(directory.freshAt)
	if directory.turn%randomEvery == 0 || age > directory.options.Pace.Other+directory.options.Pace.Spread {
		return peer, false
	}
	reader, found := "", false
	switch directory.roleLocked() {
	case roleOther:
		reader, found = directory.roles.First(directory.options.Self.DataCentre)
	case roleCentre:
		reader, found = directory.roles.Lead()
	case roleLead:
	}
	if found {
		return reader, false
	}
	return peer, false
}

// Handle serves the exchange of a peer.
func (directory *Directory) Handle(_ context.Context, peer, method string, params json.RawMessage) (any, error) {
	if method != MethodFollow {
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUnknownService, Detail: method}
	}
	var request followMessage
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUpstreamFailed, Detail: err.Error()}
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.trackLocked(tracker.Event{Received: &tracker.GossipReceived{From: peer, Audience: tracker.Near, Gossip: request.Gossip}})
	delta := directory.options.Follower.Missing(request.Digest)
	answer := followMessage{Delta: &delta, Digest: delta.Digest, Pool: directory.poolLocked(peer, request.Pool)}
	if directory.freshAt != 0 {
		answer.AgeMicros = max(1, directory.options.Timer.Now().Sub(directory.freshAt).Microseconds())
	}
	if err := answer.fold(&directory.packed); err != nil {
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUpstreamFailed, Detail: err.Error()}
	}
	if request.Join {
		snapshot := directory.options.Tracker.Snapshot()
		answer.Gossip = tracker.Gossip{Records: snapshot.Records}
		return answer, nil
	}
	answer.Gossip = directory.options.Tracker.Answer(peer, tracker.Near, request.Gossip)
	return answer, nil
}

// takeView works out what depends on the hosts that are known.
func (directory *Directory) takeView(view carobthread.View) {
	directory.roles = assigner.New(view)
	hosts := 0
	for i := range view.Hosts {
		if view.Hosts[i].DataCentre == directory.options.Self.DataCentre {
			hosts++
		}
	}
	directory.poolLimit = pooler.Limit(hosts)
}

func (directory *Directory) trackLocked(event tracker.Event) {
	event.At = directory.options.Timer.Now()
	if directory.options.Tracker.Step(event).View {
		view := directory.options.Tracker.View()
		directory.takeView(view)
		directory.logHosts(view)
		directory.options.Viewed(view)
	}
}

// logHosts logs the hosts whose state has changed.
func (directory *Directory) logHosts(view carobthread.View) {
	now := directory.options.Timer.Now()
	for _, host := range view.Hosts {
		if directory.hosts[host.Name] == host.State {
			continue
		}
		directory.hosts[host.Name] = host.State
		if directory.limiter.Allow(now, "host-changed") {
			directory.options.Logger.Info().Str("event", "host-changed").Str("peer", host.Name).Str("state", string(host.State)).
				Str("peer-data-centre", host.DataCentre).Msg("another host changed")
		}
	}
}
