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
	"carobthread/follower"
	"carobthread/timer"
	"carobthread/tracker"
)

// MethodFollow is the request in which two hosts tell each other what they know of the store and of the fleet.
const MethodFollow = "follow"

const (
	// readPace is the time between two reads of the store, which gathers the searchers' heartbeats of that time into one answer.
	readPace = 500 * time.Millisecond
	// watchWait bounds one watch, so that a lost answer or a silent connection is noticed well within the time for a change.
	watchWait = 800 * time.Millisecond
	// readRetry is the time to the next read after a failed one.
	readRetry = 300 * time.Millisecond
	// followPeriod is the time between two exchanges with peers, startPeriod that until the first routing table is known.
	followPeriod = time.Second
	startPeriod  = 200 * time.Millisecond
	// followTimeout bounds one exchange.
	followTimeout = time.Second
)

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
	// Changed is called, in order, with each change of the routing table or the searchers once a table is known.
	Changed func(table carobthread.RoutingTable, entries []carobthread.Registration)
	// Viewed is called with each new view of the entry hosts.
	Viewed func(view carobthread.View)
}

// Directory reads the store and exchanges what it knows with the other hosts.
type Directory struct {
	options DirectoryOptions

	mutex   sync.Mutex
	random  *rand.Rand
	reached bool
	stats   DirectoryStats
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
}

var _ carobthread.PeerHandler = (*Directory)(nil)

// followMessage is either side of an exchange.
type followMessage struct {
	Gossip tracker.Gossip  `json:"gossip"`
	Digest follower.Digest `json:"digest"`
	// Join asks for the whole membership.
	Join bool `json:"join,omitempty"`
	// Delta is set in an answer.
	Delta *follower.Delta `json:"delta,omitempty"`
}

// NewDirectory returns a Directory that works once Run is called.
func NewDirectory(options DirectoryOptions) *Directory {
	options.Tracker.WholeFleet()
	return &Directory{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
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
	return stats
}

// readStore lists the store once and then follows its changes; it lists again when the history is gone.
func (directory *Directory) readStore(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		started := directory.options.Timer.Now()
		err := directory.read(ctx, listed)
		if ctx.Err() != nil {
			return
		}
		pace := readPace
		if err != nil {
			pace = readRetry
		}
		var failure *carobthread.StoreError
		listed = err == nil || listed && (!errors.As(err, &failure) || !failure.HistoryGone)
		directory.reachable(err)
		directory.expire()
		timer.Pause(ctx, directory.options.Timer, pace-directory.options.Timer.Now().Sub(started))
	}
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
func (directory *Directory) reachable(err error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stats.Reads++
	if err != nil {
		directory.stats.ReadsFailed++
		directory.options.Follower.Failed(directory.options.Timer.Now())
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
	for _, finding := range change.Findings {
		directory.options.Logger.Warn().Err(finding).Str("event", "item-ignored").Msg("an item of the store cannot be used")
	}
	table := directory.options.Follower.Table()
	if change.Table {
		_, source := directory.options.Follower.TableAge(now)
		directory.options.Logger.Info().Str("event", "table-active").Uint64("version", table.Version).
			Int("routes", len(table.Routes)).Str("source", source).Msg("routing table active")
	}
	if table.Version != 0 && (change.Table || change.Searchers) {
		directory.options.Changed(table, directory.options.Follower.Registrations())
	}
}

// meetPeers exchanges with one peer after the other.
func (directory *Directory) meetPeers(ctx context.Context) {
	for ctx.Err() == nil {
		directory.exchange(ctx)
		directory.mutex.Lock()
		period := followPeriod
		if directory.options.Follower.Digest().Version == 0 {
			period = startPeriod
		}
		period = period/2 + time.Duration(directory.random.Int64N(int64(period)))
		directory.trackLocked(tracker.Event{Tick: &carobthread.Ticked{}})
		directory.mutex.Unlock()
		timer.Pause(ctx, directory.options.Timer, period)
	}
}

func (directory *Directory) exchange(ctx context.Context) {
	directory.mutex.Lock()
	peer, join := directory.nextPeer()
	request := followMessage{
		Gossip: directory.options.Tracker.Gossip(peer, tracker.Near),
		Digest: directory.options.Follower.Digest(),
		Join:   join,
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
	directory.mutex.Unlock()
	if answer.Delta != nil {
		directory.take(func(now carobthread.Instant) follower.Change {
			return directory.options.Follower.Merged(now, peer, *answer.Delta)
		})
	}
}

// nextPeer returns a known host, or an address of the settings while none is known and once in a while later,
// so that two halves of a fleet that know nothing of each other meet.
func (directory *Directory) nextPeer() (peer string, join bool) {
	const contactEvery = 8
	contacts := directory.options.Contacts
	peer = directory.options.Tracker.NextPeer()
	if len(contacts) > 0 && (peer == "" || directory.random.IntN(contactEvery) == 0) {
		return contacts[directory.random.IntN(len(contacts))], true
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
	answer := followMessage{Delta: &delta, Digest: delta.Digest}
	if request.Join {
		snapshot := directory.options.Tracker.Snapshot()
		answer.Gossip = tracker.Gossip{Records: snapshot.Records}
		return answer, nil
	}
	answer.Gossip = directory.options.Tracker.Answer(peer, tracker.Near, request.Gossip)
	return answer, nil
}

func (directory *Directory) trackLocked(event tracker.Event) {
	event.At = directory.options.Timer.Now()
	if directory.options.Tracker.Step(event).View {
		directory.options.Viewed(directory.options.Tracker.View())
	}
}
