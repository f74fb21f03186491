package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/aggregator"
	"carobthread/assigner"
	"carobthread/follower"
	"carobthread/logger"
	"carobthread/tracker"
)

// maxLogLinesPerSecond limits the log lines of each kind about searchers and hosts.
const maxLogLinesPerSecond = 20

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
	// EvacuationBound is the time after a request to evacuate a data centre by which the evacuation must be complete, or 0.
	EvacuationBound time.Duration
	// OnChange is called, in order, on each change of the state once a table is known.
	OnChange func(state State)
	// OnView is called with each new view of the entry hosts.
	OnView func(view carobthread.View)
	// Observer is the query path, whose observations the hosts of a data centre share; if nil, none are shared.
	Observer Observer
}

// State is what a host knows of the platform's store.
type State struct {
	Table         carobthread.RoutingTable
	Registrations []carobthread.Registration
	Evacuations   []carobthread.Evacuation
}

// Directory keeps a copy of the store by reading it and by exchanging changes and membership with the other hosts.
type Directory struct {
	options DirectoryOptions

	mutex          sync.Mutex
	random         *rand.Rand
	limiter        *logger.Limiter
	hostStates     map[string]carobthread.HostState
	storeReachable bool
	// stale is set while this host's copy of the store is older than Timing.MaxAge.
	stale bool
	// The instants below are those of now.

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
	// evacuationEnds holds the end of the transition of each evacuated data centre.
	evacuationEnds map[string]carobthread.Instant
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
	// Era is the era of Revision; it rises each time that the store comes back from an older copy.
	Era       uint64 `json:"era"`
	Revision  uint64 `json:"revision"`
	Searchers int    `json:"searchers"`
	Hosts     int    `json:"hosts"`
	// EvacuatedDataCentres is the number of data centres that the operator evacuates.
	EvacuatedDataCentres int `json:"evacuated-data-centres"`
	// KnowledgeAgeMicros is the age of the copy of the store, or -1 before the first list.
	KnowledgeAgeMicros int64 `json:"knowledge-age-us"`
}

var _ carobthread.PeerHandler = (*Directory)(nil)

// NewDirectory returns a Directory that starts to work when Run is called.
func NewDirectory(options DirectoryOptions) *Directory {
	options.Tracker.MonitorAllDataCentres()
	directory := &Directory{
		options:    options,
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		limiter:    logger.NewLimiter(options.Logger, maxLogLinesPerSecond),
		hostStates: map[string]carobthread.HostState{},
		aggregator: aggregator.New(),

		evacuationEnds: map[string]carobthread.Instant{},
	}
	directory.readJitter = time.Duration(directory.random.Int64N(int64(options.Timing.OtherReadJitter) + 1))
	directory.applyView(options.Tracker.View())
	directory.firstRead = directory.now()
	if len(options.Contacts) > 0 {
		timing := &directory.options.Timing
		directory.firstRead = directory.firstRead.Add(timing.StartupWait + time.Duration(directory.random.Int64N(int64(timing.StartupWaitJitter)+1)))
	}
	return directory
}

// now returns the time by which the age of the copy of the store is measured. It includes the time for which the machine was
// suspended, in which the copy also aged.
func (directory *Directory) now() carobthread.Instant {
	now := directory.options.Timer.Now()
	if meter, ok := directory.options.Timer.(carobthread.SuspensionMeter); ok {
		now = now.Add(meter.Suspended())
	}
	return now
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
	directory.notifyLocked()
}

// notifyLocked calls OnChange once a table is known.
func (directory *Directory) notifyLocked() {
	if table := directory.options.Follower.Table(); table.Version != 0 {
		directory.options.OnChange(State{
			Table: table, Registrations: directory.options.Follower.Registrations(), Evacuations: directory.evacuationsLocked(),
		})
	}
}

// Stats returns the counters and the current state.
func (directory *Directory) Stats() DirectoryStats {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	stats := directory.stats
	digest := directory.options.Follower.Digest()
	stats.Version, stats.Era, stats.Revision = digest.Version, digest.Era, digest.AsOf
	stats.Searchers = len(directory.options.Follower.Registrations())
	stats.Hosts = len(directory.options.Tracker.View().Hosts)
	stats.EvacuatedDataCentres = len(directory.options.Follower.Evacuations())
	stats.KnowledgeAgeMicros = -1
	if directory.syncedAt != 0 {
		stats.KnowledgeAgeMicros = directory.now().Sub(directory.syncedAt).Microseconds()
	}
	return stats
}

// applyHeldRemovals applies the held removals of searchers that are due.
func (directory *Directory) applyHeldRemovals() {
	directory.applyChange(func(now carobthread.Instant) follower.Change {
		return directory.options.Follower.Tick(now, directory.copyAgeLocked())
	})
}

// applyChange applies a change to the follower, logs its effects and reports a new table or searchers to OnChange.
func (directory *Directory) applyChange(apply func(now carobthread.Instant) follower.Change) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	now, age := directory.options.Timer.Now(), directory.copyAgeLocked()
	change := apply(now)
	if change.Era {
		digest := directory.options.Follower.Digest()
		directory.options.Logger.Info().Str("event", "store-era-changed").Uint64("era", digest.Era).Uint64("revision", digest.AsOf).
			Int64("knowledge-age-us", age.Microseconds()).Msg("the store has begun a new era; its items were listed again")
	}
	directory.recordEvacuationsLocked(now, age, change.Evacuations)
	for _, searcherChange := range change.SearcherChanges {
		if directory.limiter.Allow(now, string(searcherChange.Event)) {
			directory.options.Logger.Info().Str("event", string(searcherChange.Event)).Str("searcher", searcherChange.Searcher).Str("group", searcherChange.Group).
				Uint64("revision", searcherChange.Revision).Int64("knowledge-age-us", directory.now().Sub(directory.syncedAt).Microseconds()).Msg("searcher changed")
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
			Int("routes", len(table.Routes)).Str("source", directory.options.Follower.TableSource()).
			Uint64("revision", directory.options.Follower.Digest().AsOf).Int64("knowledge-age-us", directory.now().Sub(directory.syncedAt).Microseconds()).
			Msg("routing table active")
		directory.logIgnoredFields(now, &table)
	}
	if change.Table || change.Searchers || len(change.Evacuations) > 0 {
		directory.notifyLocked()
	}
}

// logIgnoredFields logs the fields without which the routing table takes effect.
func (directory *Directory) logIgnoredFields(now carobthread.Instant, table *carobthread.RoutingTable) {
	for i := range table.Ignored {
		if directory.limiter.Allow(now, "field-ignored") {
			directory.options.Logger.Warn().Err(&table.Ignored[i]).Str("event", "field-ignored").Uint64("version", table.Version).
				Msg("field of the routing table ignored")
		}
	}
}

// logStaleness logs when the copy of the store becomes older than Timing.MaxAge, and when it is younger again.
func (directory *Directory) logStaleness() {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.syncedAt == 0 {
		return
	}
	age := directory.now().Sub(directory.syncedAt)
	if stale := age > directory.options.Timing.MaxAge; stale == directory.stale {
		return
	}
	directory.stale = !directory.stale
	event, level := "copy-fresh", zerolog.InfoLevel
	if directory.stale {
		event, level = "copy-stale", zerolog.WarnLevel
	}
	digest := directory.options.Follower.Digest()
	directory.options.Logger.WithLevel(level).Str("event", event).Int64("knowledge-age-us", age.Microseconds()).
		Uint64("version", digest.Version).Uint64("revision", digest.AsOf).Bool("store-reachable", directory.storeReachable).
		Uint64("exchanges-failed", directory.stats.ExchangesFailed).Uint64("reads-failed", directory.stats.ReadsFailed).
		Msg("age of the copy of the store changed")
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
