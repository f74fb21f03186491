package server

// The directory reads the store itself when no other host has passed on its changes in time.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"carobthread"
	"carobthread/follower"
	"carobthread/recoverer"
	"carobthread/timer"
)

const (
	// fleetReaderWatch is how long a watch of the fleet reader waits for a change, so that a lost response or a dead
	// connection is detected well within the time in which a change must be active.
	fleetReaderWatch = 800 * time.Millisecond
	// catchUpWatch is how long a watch of another host waits; it reads only because it has had no news for long, and a long
	// wait would delay the detection of a dead connection.
	catchUpWatch = 50 * time.Millisecond
)

// Timing sets the intervals of a host's reads of the store and of its exchanges with peers.
//
// One host of the fleet reads the store, and the others ask their peers for
// changes. A host whose copy of the store is too old, because the reader is
// frozen, cut off or refused by the store, reads the store itself.
type Timing struct {
	// MaxAge is the age that a host's copy of the store must not exceed while the store answers any host.
	MaxAge time.Duration
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
		MaxAge:             freshness,
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
// changes since the last read are gone or too large for one response.
func (directory *Directory) readStore(ctx context.Context) {
	listed, failures := false, failedReads{}
	for ctx.Err() == nil {
		if wait := directory.untilNextRead(failures); wait > 0 {
			timer.Sleep(ctx, directory.options.Timer, wait)
			continue
		}
		started := directory.now()
		var err error
		if panicked := recoverer.Run(&directory.options.Logger, "store-read", func() { err = directory.read(ctx, listed, started) }); panicked != nil {
			err = panicked
		}
		if ctx.Err() != nil {
			return
		}
		var failure *carobthread.StoreError
		listed = err == nil || listed && (!errors.As(err, &failure) || !failure.NeedsList())
		failures.record(err)
		directory.recordRead(err)
	}
}

// failedReads describes the reads that have failed in a row.
type failedReads struct {
	count int
	// unanswered is set if the store gave no response to the last of them.
	unanswered bool
}

func (failures *failedReads) record(err error) {
	if err == nil {
		*failures = failedReads{}
		return
	}
	var failure *carobthread.StoreError
	failures.count++
	failures.unanswered = errors.As(err, &failure) && failure.Status == 0
}

// connectionSuspect reports whether the connection may be to blame rather than the store: a connection can fall silent
// while new ones work.
func (failures *failedReads) connectionSuspect() bool {
	return failures.count == 1 && failures.unanswered
}

// untilNextRead returns the time until this host should read the store again.
func (directory *Directory) untilNextRead(failures failedReads) time.Duration {
	if failures.connectionSuspect() {
		return 0
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	failed := failures.count > 0
	now, timing := directory.now(), &directory.options.Timing
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

// read brings the copy of the store up to date with the start of the read.
func (directory *Directory) read(ctx context.Context, listed bool, started carobthread.Instant) error {
	if !listed {
		return directory.list(ctx, started)
	}
	directory.mutex.Lock()
	known := directory.options.Follower.Digest()
	wait := catchUpWatch
	if directory.roleLocked() == roleFleetReader {
		wait = fleetReaderWatch
	}
	directory.mutex.Unlock()
	changes, err := directory.options.Store.Watch(ctx, known.AsOf, wait)
	switch {
	case err != nil:
		return err
	case changes.Era > known.Era: // the changes may lack some of the new era, whose revisions are others
		return directory.list(ctx, started)
	case changes.Era < known.Era:
		return &carobthread.StoreError{Call: "watch", Status: http.StatusOK, Cause: errOlderEra}
	}
	directory.applyChange(func(now carobthread.Instant) follower.Change {
		if changes.Era == directory.options.Follower.Digest().Era { // a peer may have told of a new era meanwhile
			directory.syncedAt = max(directory.syncedAt, started)
		}
		return directory.options.Follower.ApplyChanges(now, "store", changes)
	})
	return nil
}

// errOlderEra is returned for a response of an older era of the store than one that other hosts have seen, and errNewEra for
// pages of a list that belong to different eras.
var (
	errOlderEra = errors.New("the response is of an older era of the store")
	errNewEra   = errors.New("the store began a new era while it was listed")
)

// list reads all pages; the next watch starts at the first page's revision, so it returns the changes made meanwhile.
func (directory *Directory) list(ctx context.Context, started carobthread.Instant) error {
	var list carobthread.StoreItems
	after := ""
	for {
		page, err := directory.options.Store.List(ctx, "", after)
		if err != nil {
			return err
		}
		if list.AsOf == 0 {
			list.AsOf, list.Era = page.AsOf, page.Era
		}
		if page.Era != list.Era {
			return &carobthread.StoreError{Call: "list", Status: http.StatusOK, HistoryGone: true, Cause: errNewEra}
		}
		list.Items = append(list.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	older := false
	directory.applyChange(func(now carobthread.Instant) follower.Change {
		if older = list.Era < directory.options.Follower.Digest().Era; !older {
			directory.syncedAt = max(directory.syncedAt, started)
		}
		return directory.options.Follower.ApplyList(now, "store", list)
	})
	if older {
		return &carobthread.StoreError{Call: "list", Status: http.StatusOK, Cause: errOlderEra}
	}
	return nil
}

// recordRead records the result of a read of the store and logs when the store becomes unreachable or reachable.
func (directory *Directory) recordRead(err error) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.stats.Reads++
	directory.lastReadAt = directory.now()
	if err != nil {
		directory.stats.ReadsFailed++
		directory.options.Follower.RecordFailure(directory.options.Timer.Now())
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
