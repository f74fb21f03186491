package gatherer

// The share of attempts that a searcher fails is learned from the own attempts and from those of the other hosts of the
// data centre, since each host of a large fleet sends a searcher only one or two attempts a second.

import (
	"math"
	"time"

	"carobthread"
)

const (
	// failureWeight is the weight of one attempt in the moving share of failures.
	failureWeight = 0.1
	// peerWeight bounds the number of attempts that one statement of other hosts counts as.
	peerWeight = 12
	// tellSpan is how long a searcher that has failed an attempt is told of, so that its recovery is told too.
	tellSpan = 3 * time.Second
)

// noteEnd notes whether an own attempt was failed or refused.
func (searcher *searcherRow) noteEnd(now carobthread.Instant, failed bool) {
	if failed {
		searcher.seen.Failed++
		searcher.tellUntil = now.Add(tellSpan)
		searcher.weigh(now, 1, 1)
		return
	}
	searcher.seen.Answered++
	searcher.weigh(now, 0, 1)
}

// weigh moves the share of failures towards that of some attempts.
func (searcher *searcherRow) weigh(now carobthread.Instant, share float64, attempts int) {
	kept := math.Pow(1-failureWeight, float64(attempts))
	searcher.failing = searcher.failureShare(now)*kept + share*(1-kept)
	searcher.failingAt = now
}

// failureShare returns the share of failures, or none if nothing has been heard of the searcher lately.
func (searcher *searcherRow) failureShare(now carobthread.Instant) float64 {
	if now.Sub(searcher.failingAt) > failureAge {
		return 0
	}
	return searcher.failing
}

// Observations returns what other hosts should know of the own attempts since the last call: of the searchers that have
// lately failed some.
func (gatherer *Gatherer) Observations() []carobthread.Observation {
	var found []carobthread.Observation
	for _, searcher := range gatherer.searcherList {
		seen := searcher.seen
		searcher.seen = carobthread.Observation{}
		if gatherer.now < searcher.tellUntil && seen.Answered+seen.Failed > 0 {
			seen.Searcher = searcher.config.Name
			found = append(found, seen)
		}
	}
	return found
}

// peersObserved learns from the attempts of other hosts; a searcher that fails theirs is told of in turn.
func (gatherer *Gatherer) peersObserved(observations []carobthread.Observation) {
	if !gatherer.inForce() {
		return
	}
	for _, seen := range observations {
		searcher := gatherer.searchers[seen.Searcher]
		total := seen.Answered + seen.Failed
		if searcher == nil || total <= 0 || seen.Answered < 0 || seen.Failed < 0 {
			continue
		}
		searcher.weigh(gatherer.now, float64(seen.Failed)/float64(total), min(total, peerWeight))
		if seen.Failed > 0 {
			searcher.tellUntil = gatherer.now.Add(tellSpan)
		}
	}
}
