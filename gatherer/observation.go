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
	// silentSpan between the first and the last late attempt, without a reply to any host, makes a searcher silent: well above
	// the time for which a searcher pauses by itself, during which late attempts lie close together.
	silentSpan = 400 * time.Millisecond
	// silentHold is how long a silent searcher is avoided, about the time until other hosts tell of it again. It is not
	// ejected, since a slow one whose late attempts are all cancelled looks the same.
	silentHold = 600 * time.Millisecond
	// lateAge is how long late attempts count as part of one silence.
	lateAge = 2 * time.Second
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

// noteLate notes an own attempt to which no reply has come since it was sent, though it is late.
func (searcher *searcherRow) noteLate(now, sentAt carobthread.Instant) {
	if searcher.lateFrom < now.Add(-lateAge) {
		searcher.lateFrom = sentAt
	}
	searcher.lateAt = max(searcher.lateAt, sentAt)
	searcher.seen.Late++
	searcher.tellUntil = now.Add(tellSpan)
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
// lately failed some or left some without a reply.
func (gatherer *Gatherer) Observations() []carobthread.Observation {
	var found []carobthread.Observation
	for _, searcher := range gatherer.searcherList {
		seen := searcher.seen
		searcher.seen = carobthread.Observation{}
		if gatherer.now >= searcher.tellUntil || seen.Answered+seen.Failed+seen.Late == 0 {
			continue
		}
		seen.Searcher = searcher.config.Name
		if seen.Late > 0 {
			seen.FirstLateMicros = gatherer.now.Sub(searcher.lateFrom).Microseconds()
			seen.LastLateMicros = gatherer.now.Sub(searcher.lateAt).Microseconds()
		}
		if searcher.repliedAt != 0 {
			seen.LastReplyMicros = max(1, gatherer.now.Sub(searcher.repliedAt).Microseconds())
		}
		found = append(found, seen)
	}
	return found
}

// peersObserved learns from the attempts of other hosts; a searcher that fails theirs is told of in turn.
func (gatherer *Gatherer) peersObserved(observations []carobthread.Observation) {
	if !gatherer.inForce() {
		return
	}
	for i := range observations {
		seen := &observations[i]
		searcher := gatherer.searchers[seen.Searcher]
		if searcher == nil || !plausible(seen) {
			continue
		}
		if total := seen.Answered + seen.Failed; total > 0 {
			searcher.weigh(gatherer.now, float64(seen.Failed)/float64(total), min(total, peerWeight))
		}
		if seen.Failed+seen.Late > 0 {
			searcher.tellUntil = gatherer.now.Add(tellSpan)
		}
		gatherer.learnSilence(searcher, seen)
	}
}

// plausible reports whether counts and ages are such as a host may state.
func plausible(seen *carobthread.Observation) bool {
	return min(seen.Answered, seen.Failed, seen.Late) >= 0 && min(seen.FirstLateMicros, seen.LastLateMicros, seen.LastReplyMicros) >= 0
}

// learnSilence avoids a searcher that has answered no host for a while although several attempts were sent to it.
func (gatherer *Gatherer) learnSilence(searcher *searcherRow, seen *carobthread.Observation) {
	if seen.LastReplyMicros != 0 {
		searcher.peersRepliedAt = max(searcher.peersRepliedAt, gatherer.now.Add(-time.Duration(seen.LastReplyMicros)*time.Microsecond))
	}
	repliedAt := max(searcher.repliedAt, searcher.peersRepliedAt)
	if seen.Late == 0 {
		return
	}
	lateFrom := gatherer.now.Add(-time.Duration(seen.FirstLateMicros) * time.Microsecond)
	lateAt := gatherer.now.Add(-time.Duration(seen.LastLateMicros) * time.Microsecond)
	oldest := max(repliedAt, gatherer.now.Add(-lateAge))
	if searcher.peersLateFrom <= oldest || searcher.peersLateFrom > lateFrom {
		searcher.peersLateFrom = lateFrom
	}
	from := searcher.peersLateFrom
	if searcher.lateFrom > oldest {
		from, lateAt = min(from, searcher.lateFrom), max(lateAt, searcher.lateAt)
	}
	if from > repliedAt && lateAt.Sub(from) >= silentSpan {
		searcher.stalledUntil = gatherer.now.Add(silentHold)
	}
}
