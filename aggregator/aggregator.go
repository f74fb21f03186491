package aggregator

// In a large data centre, each host sends a searcher only a few attempts per second and needs seconds to detect that the
// searcher fails some of them. Therefore one host, the reader of the store that the other hosts ask anyway, collects the
// observations of all hosts and returns to each host those of the others.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobthread"
)

// batchTTL is how long a batch is passed on to other hosts; it is longer than a few exchanges take.
const batchTTL = 2 * time.Second

const (
	// maxSearchersPerRound bounds the searchers in all responses of one round of exchanges together, since each response may
	// name every searcher of the fleet during a fault.
	maxSearchersPerRound   = 4096
	minSearchersPerMessage = 16
)

// MaxSearchersPerMessage returns how many searchers one message may name in a data centre with the given number of hosts.
func MaxSearchersPerMessage(hosts int) int {
	return max(minSearchersPerMessage, maxSearchersPerRound/max(1, hosts))
}

// Worst returns at most limit observations, those with the most failed and late attempts; it sorts the slice in place.
func Worst(observations []carobthread.Observation, limit int) []carobthread.Observation {
	slices.SortStableFunc(observations, func(left, right carobthread.Observation) int {
		return cmp.Compare(right.Failed+right.Late, left.Failed+left.Late)
	})
	return observations[:min(len(observations), limit)]
}

// hostBatch holds the observations that one host made since its previous batch.
type hostBatch struct {
	sequence     uint64
	addedAt      carobthread.Instant
	host         string
	observations []carobthread.Observation
}

// Aggregator holds the batches of the last seconds; it is not safe for concurrent use.
type Aggregator struct {
	batches  []hostBatch
	sequence uint64
}

// New returns an empty aggregator.
func New() *Aggregator { return &Aggregator{} }

// Add stores the observations that a host made since its previous batch.
func (aggregator *Aggregator) Add(now carobthread.Instant, host string, observations []carobthread.Observation) {
	aggregator.batches = slices.DeleteFunc(aggregator.batches, func(batch hostBatch) bool { return now.Sub(batch.addedAt) > batchTTL })
	if len(observations) == 0 {
		return
	}
	aggregator.sequence++
	aggregator.batches = append(aggregator.batches, hostBatch{sequence: aggregator.sequence, addedAt: now, host: host, observations: observations})
}

// Since returns the sums, by searcher, of the observations that hosts other than the requester added after a sequence
// number: at most limit of them, the worst first. The second result is the sequence number for the next call. A number
// that this Aggregator has not reached, such as one of an earlier process, counts as 0.
func (aggregator *Aggregator) Since(now carobthread.Instant, requester string, after uint64, limit int) ([]carobthread.Observation, uint64) {
	if after > aggregator.sequence {
		after = 0
	}
	sums := map[string]carobthread.Observation{}
	for _, batch := range aggregator.batches {
		if batch.sequence <= after || batch.host == requester || now.Sub(batch.addedAt) > batchTTL {
			continue
		}
		for _, observation := range batch.observations {
			sum := sums[observation.Searcher]
			sum.Searcher = observation.Searcher
			sum.Add(observation.Aged(now.Sub(batch.addedAt)))
			sums[observation.Searcher] = sum
		}
	}
	totals := slices.SortedFunc(maps.Values(sums), func(left, right carobthread.Observation) int {
		return cmp.Compare(left.Searcher, right.Searcher)
	})
	return Worst(totals, limit), aggregator.sequence
}
