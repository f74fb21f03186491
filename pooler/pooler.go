package pooler

// With many hosts, each one sends a searcher only a few attempts a second and takes seconds to find out that it fails
// part of them. One host of the data centre, the reader of the store that the others ask anyway, collects what all of
// them have seen and tells each what the others have.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobthread"
)

// span is how long a statement is told; it outlasts a few exchanges.
const span = 2 * time.Second

const (
	// answersBudget bounds the searchers in all answers of one round of exchanges together, since each answer may name every
	// searcher of the fleet while a fault lasts.
	answersBudget = 4096
	leastTold     = 16
)

// Limit returns how many searchers one message may name in a data centre of so many hosts.
func Limit(hosts int) int { return max(leastTold, answersBudget/max(1, hosts)) }

// Worst returns the observations with the most failed and late attempts, at most that many.
func Worst(observations []carobthread.Observation, limit int) []carobthread.Observation {
	slices.SortStableFunc(observations, func(left, right carobthread.Observation) int {
		return cmp.Compare(right.Failed+right.Late, left.Failed+left.Late)
	})
	return observations[:min(len(observations), limit)]
}

// statement is what one host has seen since its former one.
type statement struct {
	sequence     uint64
	at           carobthread.Instant
	host         string
	observations []carobthread.Observation
}

// Pooler holds the statements of the last seconds; it is not safe for concurrent use.
type Pooler struct {
	statements []statement
	sequence   uint64
}

// New returns an empty pooler.
func New() *Pooler { return &Pooler{} }

// Add takes what a host has seen since its former statement.
func (pooler *Pooler) Add(now carobthread.Instant, host string, observations []carobthread.Observation) {
	pooler.statements = slices.DeleteFunc(pooler.statements, func(old statement) bool { return now.Sub(old.at) > span })
	if len(observations) == 0 {
		return
	}
	pooler.sequence++
	pooler.statements = append(pooler.statements, statement{sequence: pooler.sequence, at: now, host: host, observations: observations})
}

// Since returns what other hosts than the asking one have stated after a sequence number, added up, the worst first and no
// more than the limit, and the number to ask from next; a number that was never given out, such as one of an earlier process,
// counts as 0.
func (pooler *Pooler) Since(now carobthread.Instant, asking string, after uint64, limit int) ([]carobthread.Observation, uint64) {
	if after > pooler.sequence {
		after = 0
	}
	sums := map[string]carobthread.Observation{}
	for _, told := range pooler.statements {
		if told.sequence <= after || told.host == asking || now.Sub(told.at) > span {
			continue
		}
		for _, seen := range told.observations {
			sum := sums[seen.Searcher]
			sum.Searcher = seen.Searcher
			sum.Add(seen.Aged(now.Sub(told.at)))
			sums[seen.Searcher] = sum
		}
	}
	found := slices.SortedFunc(maps.Values(sums), func(left, right carobthread.Observation) int {
		return cmp.Compare(left.Searcher, right.Searcher)
	})
	return Worst(found, limit), pooler.sequence
}
