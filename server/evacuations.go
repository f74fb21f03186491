package server

// The directory learns of requests to evacuate data centres as of any other change of the store. It determines how quickly
// load moves away, which depends on the age that the copy of the store had before.

import (
	"time"

	"carobthread"
	"carobthread/follower"
	"carobthread/planner"
)

// Evacuations returns the evacuations in force, ordered by data centre.
func (directory *Directory) Evacuations() []carobthread.Evacuation {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.evacuationsLocked()
}

func (directory *Directory) evacuationsLocked() []carobthread.Evacuation {
	evacuations := directory.options.Follower.Evacuations()
	for i := range evacuations {
		evacuations[i].CompleteAt = directory.evacuationEnds[evacuations[i].DataCentre]
	}
	return evacuations
}

// unknownAge stands for the age of the copy of the store before the first list; it is longer than any bound.
const unknownAge = 24 * time.Hour

// copyAgeLocked returns the age of the copy of the store.
func (directory *Directory) copyAgeLocked() time.Duration {
	if directory.syncedAt == 0 {
		return unknownAge
	}
	return directory.now().Sub(directory.syncedAt)
}

// recordEvacuationsLocked determines the ends of new evacuations and logs the changes. age is the age that the copy of the
// store had before: the request is no older than that.
func (directory *Directory) recordEvacuationsLocked(now carobthread.Instant, age time.Duration, changes []follower.EvacuationChange) {
	for _, change := range changes {
		event, message := "data-centre-evacuated", "nothing more is sent to the searchers of a data centre"
		if change.Restored {
			event, message = "data-centre-restored", "the searchers of a data centre are used again"
			delete(directory.evacuationEnds, change.DataCentre)
		} else {
			directory.evacuationEnds[change.DataCentre] = planner.EvacuationEnd(now, age, directory.options.EvacuationBound)
		}
		if !directory.limiter.Allow(now, event) {
			continue
		}
		line := directory.options.Logger.Info().Str("event", event).Str("evacuated-data-centre", change.DataCentre).
			Uint64("revision", change.Revision).Int64("knowledge-age-us", age.Microseconds())
		if !change.Restored {
			line = line.Int64("complete-after-us", directory.evacuationEnds[change.DataCentre].Sub(now).Microseconds())
		}
		line.Msg(message)
	}
}
