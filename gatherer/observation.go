package gatherer

// A searcher's failure rate is estimated from this host's attempts and from those that the other hosts of the data centre
// publish, since each host of a large fleet sends a searcher only one or two attempts a second.

import (
	"math"
	"time"

	"carobthread"
)

const (
	// attemptWeight is the weight of one attempt in the moving average of the failure rate.
	attemptWeight = 0.1
	// maxPeerAttempts bounds the number of attempts that one observation from another host counts as.
	maxPeerAttempts = 12
	// publishSpan is how long observations of a searcher are published after a failed or late attempt, so that its recovery
	// is published too.
	publishSpan = 3 * time.Second
	// silentSpan is the time between the first and the last late attempt, without a reply to any host, that makes a searcher
	// silent. It is well above the length of a searcher's usual pauses, during which late attempts are close together.
	silentSpan = 400 * time.Millisecond
	// silenceAvoidance is how long a silent searcher is avoided, about the time until other hosts publish observations of it
	// again. It is not ejected, since a slow searcher whose late attempts are all cancelled looks the same.
	silenceAvoidance = 600 * time.Millisecond
	// lateAge is how long a late attempt counts towards the same period of silence.
	lateAge = 2 * time.Second
)

// recordAttempt records whether one of this host's attempts was failed or refused.
func (searcher *searcherRow) recordAttempt(now carobthread.Instant, failed bool) {
	if failed {
		searcher.unpublished.Failed++
		searcher.publishUntil = now.Add(publishSpan)
		searcher.updateFailureRate(now, 1, 1)
		return
	}
	searcher.unpublished.Answered++
	searcher.updateFailureRate(now, 0, 1)
}

// recordLate records a late attempt of this host at a searcher that has not replied to anything since it was sent.
func (searcher *searcherRow) recordLate(now, sentAt carobthread.Instant) {
	if searcher.firstLateAt < now.Add(-lateAge) {
		searcher.firstLateAt = sentAt
	}
	searcher.lastLateAt = max(searcher.lastLateAt, sentAt)
	searcher.unpublished.Late++
	searcher.publishUntil = now.Add(publishSpan)
}

// updateFailureRate moves the failure rate towards the rate of a number of attempts.
func (searcher *searcherRow) updateFailureRate(now carobthread.Instant, rate float64, attempts int) {
	kept := math.Pow(1-attemptWeight, float64(attempts))
	searcher.failureRate = searcher.recentFailureRate(now)*kept + rate*(1-kept)
	searcher.failureRateAt = now
}

// recentFailureRate returns the failure rate, or 0 if it has no recent sample.
func (searcher *searcherRow) recentFailureRate(now carobthread.Instant) float64 {
	if now.Sub(searcher.failureRateAt) > failureAge {
		return 0
	}
	return searcher.failureRate
}

// Observations returns the outcomes of this host's attempts since the last call, for publication to other hosts. It
// includes only searchers with recent failed or late attempts.
func (gatherer *Gatherer) Observations() []carobthread.Observation {
	var observations []carobthread.Observation
	for _, searcher := range gatherer.searcherList {
		unpublished := searcher.unpublished
		searcher.unpublished = carobthread.Observation{}
		if gatherer.now >= searcher.publishUntil || unpublished.Answered+unpublished.Failed+unpublished.Late == 0 {
			continue
		}
		unpublished.Searcher = searcher.config.Name
		if unpublished.Late > 0 {
			unpublished.FirstLateMicros = gatherer.now.Sub(searcher.firstLateAt).Microseconds()
			unpublished.LastLateMicros = gatherer.now.Sub(searcher.lastLateAt).Microseconds()
		}
		if searcher.repliedAt != 0 {
			unpublished.LastReplyMicros = max(1, gatherer.now.Sub(searcher.repliedAt).Microseconds())
		}
		observations = append(observations, unpublished)
	}
	return observations
}

// recordPeerObservations records the outcomes of other hosts' attempts. If a searcher failed theirs or was late, this host
// publishes its own observations of it in turn.
func (gatherer *Gatherer) recordPeerObservations(observations []carobthread.Observation) {
	if !gatherer.usesCurrentPolicy() {
		return
	}
	for i := range observations {
		observation := &observations[i]
		searcher := gatherer.searchers[observation.Searcher]
		if searcher == nil || !plausible(observation) {
			continue
		}
		if total := observation.Answered + observation.Failed; total > 0 {
			searcher.updateFailureRate(gatherer.now, float64(observation.Failed)/float64(total), min(total, maxPeerAttempts))
		}
		if observation.Failed+observation.Late > 0 {
			searcher.publishUntil = gatherer.now.Add(publishSpan)
		}
		gatherer.recordPeerSilence(searcher, observation)
	}
}

// plausible reports whether the counts and ages of an observation are valid, which means not negative.
func plausible(observation *carobthread.Observation) bool {
	return min(observation.Answered, observation.Failed, observation.Late) >= 0 && min(observation.FirstLateMicros, observation.LastLateMicros, observation.LastReplyMicros) >= 0
}

// recordPeerSilence marks a searcher as stalled if it has not replied to any host for a while although several attempts were
// sent to it.
func (gatherer *Gatherer) recordPeerSilence(searcher *searcherRow, observation *carobthread.Observation) {
	if observation.LastReplyMicros != 0 {
		searcher.peersRepliedAt = max(searcher.peersRepliedAt, gatherer.now.Add(-time.Duration(observation.LastReplyMicros)*time.Microsecond))
	}
	repliedAt := max(searcher.repliedAt, searcher.peersRepliedAt)
	if observation.Late == 0 {
		return
	}
	firstLateAt := gatherer.now.Add(-time.Duration(observation.FirstLateMicros) * time.Microsecond)
	lastLateAt := gatherer.now.Add(-time.Duration(observation.LastLateMicros) * time.Microsecond)
	oldest := max(repliedAt, gatherer.now.Add(-lateAge))
	if searcher.peersFirstLateAt <= oldest || searcher.peersFirstLateAt > firstLateAt {
		searcher.peersFirstLateAt = firstLateAt
	}
	silentSince := searcher.peersFirstLateAt
	if searcher.firstLateAt > oldest {
		silentSince, lastLateAt = min(silentSince, searcher.firstLateAt), max(lastLateAt, searcher.lastLateAt)
	}
	if silentSince > repliedAt && lastLateAt.Sub(silentSince) >= silentSpan {
		searcher.stalledUntil = gatherer.now.Add(silenceAvoidance)
	}
}
