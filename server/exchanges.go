package server

// The directory exchanges changes of the store and of the membership with one peer after the other.

import (
	"context"
	"encoding/json"
	"time"

	"carobthread"
	"carobthread/follower"
	"carobthread/recoverer"
	"carobthread/timer"
	"carobthread/tracker"
)

// MethodStoreExchange is the peer method for an exchange, in which two hosts share changes of the store and of the membership.
const MethodStoreExchange = "follow"

const (
	// startupExchangeInterval limits the mean time between two exchanges until the first routing table is known.
	startupExchangeInterval = 200 * time.Millisecond
	// exchangeTimeout limits one exchange.
	exchangeTimeout = time.Second
	// contactEvery is the mean number of exchanges with random hosts per exchange with a contact from the settings. Exchanges
	// with contacts let two partitions of a fleet that do not know each other merge.
	contactEvery = 8
	// randomEvery is the interval, in exchanges, at which one goes to a random host.
	randomEvery = 4
)

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
	Held  []byte `json:"held,omitempty"`
	// Observations is set between a host and the reader of its data centre.
	Observations *observationsMessage `json:"pool,omitempty"`
}

// exchangeLoop exchanges with one peer after the other and applies the held removals of searchers that are due.
func (directory *Directory) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_ = recoverer.Run(&directory.options.Logger, "store-exchange", func() { directory.exchangeOnce(ctx) })
		timer.Sleep(ctx, directory.options.Timer, directory.exchangePeriod())
	}
}

func (directory *Directory) exchangeOnce(ctx context.Context) {
	directory.exchange(ctx)
	directory.applyHeldRemovals()
	directory.logStaleness()
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stepTrackerLocked(tracker.Event{Tick: &carobthread.TickArrived{}})
}

// exchangePeriod returns the time until the next exchange.
func (directory *Directory) exchangePeriod() time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	period := directory.options.Timing.ExchangeInterval
	if directory.options.Follower.Digest().Version == 0 {
		period = min(period, startupExchangeInterval)
	}
	return period/2 + time.Duration(directory.random.Int64N(int64(period)))
}

func (directory *Directory) exchange(ctx context.Context) {
	started := directory.now()
	peer, request := directory.exchangeRequest(started)
	if peer == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var answer exchangeMessage
	err := directory.options.Peers.Call(ctx, peer, MethodStoreExchange, request, &answer)
	directory.recordExchange(peer, &answer, err)
	if err != nil || answer.Delta == nil {
		return
	}
	if err := answer.decompress(); err != nil {
		directory.options.Logger.Warn().Err(err).Str("event", "exchange-ignored").Str("peer", peer).Msg("invalid answer from peer ignored")
		return
	}
	directory.applyChange(func(now carobthread.Instant) follower.Change {
		// A peer that lacks revisions of this host can't have synced later, whatever age it states: its process may have
		// been paused since.
		if answer.AgeMicros > 0 && answer.Delta.Covers(directory.options.Follower.Digest()) {
			age := time.Duration(answer.AgeMicros) * time.Microsecond
			directory.syncedAt = max(directory.syncedAt, started.Add(-age))
		}
		return directory.options.Follower.ApplyDelta(now, peer, *answer.Delta)
	})
}

// exchangeRequest returns the peer of the next exchange, or "" without one, and the request to it.
func (directory *Directory) exchangeRequest(now carobthread.Instant) (string, exchangeMessage) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	peer, join := directory.nextPeer(now)
	return peer, exchangeMessage{
		Gossip:       directory.options.Tracker.Gossip(peer, tracker.SameDataCentre),
		Digest:       directory.options.Follower.Digest(),
		Join:         join,
		Observations: directory.observationsRequestLocked(peer),
	}
}

// recordExchange records what an exchange says of the membership, or that the peer did not answer.
func (directory *Directory) recordExchange(peer string, answer *exchangeMessage, err error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stats.Exchanges++
	if err != nil {
		directory.stats.ExchangesFailed++
		directory.stepTrackerLocked(tracker.Event{Silent: &tracker.HostSilent{Host: peer}})
		return
	}
	directory.stepTrackerLocked(tracker.Event{Received: &tracker.GossipReceived{From: peer, Locality: tracker.SameDataCentre, Gossip: answer.Gossip}})
	directory.applyObservationsLocked(peer, answer.Observations)
	directory.reportReachedLocked(peer)
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
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonMalformed, Detail: err.Error()}
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stepTrackerLocked(tracker.Event{Received: &tracker.GossipReceived{From: peer, Locality: tracker.SameDataCentre, Gossip: request.Gossip}})
	delta := directory.options.Follower.DeltaFor(directory.options.Timer.Now(), request.Digest)
	answer := exchangeMessage{Delta: &delta, Digest: delta.Digest, Observations: directory.handleObservationsLocked(peer, request.Observations)}
	if directory.syncedAt != 0 {
		answer.AgeMicros = max(1, directory.now().Sub(directory.syncedAt).Microseconds())
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
