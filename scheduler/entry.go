package scheduler

// The order responds to a shard with fewer free slots than attempts that wait. Its first criterion is whether a reply would
// still be in time, since an answer after the target has a fraction of the value; serving late attempts first would make those
// behind them late as well.

import (
	"cmp"
	"slices"
	"time"
)

// TurnShare is the share of a searcher's work that goes in turns to the services served least recently, if that is not their
// share anyway. The normal order alone would leave a service without any slot for as long as more urgent attempts keep arriving.
const TurnShare = 0.1

// Entry is an attempt that waits for a slot, or a query that would have to wait for one.
type Entry struct {
	// Ref is the index of the attempt in the caller's table.
	Ref int
	// Service identifies the service of the attempt.
	Service int
	// Late is set if a reply to an attempt sent now is not expected by the target.
	Late bool
	// Priority is the priority of the service; 0 is the highest.
	Priority float64
	// Slack is the time left until an attempt must be sent: to be in time for the target, or for the deadline if Late is set.
	Slack time.Duration
	// Left is the time until the caller's deadline. Among entries of equal slack, a caller that comes back after a refusal has
	// less time left than a newcomer and goes first.
	Left time.Duration
	// Work is the time that an attempt of the service is expected to take.
	Work time.Duration
	// Sequence orders entries of equal slack and time left by their arrival.
	Sequence uint64
	// Unserved is the work that the searcher was sent since the last attempt of the entry's service.
	Unserved time.Duration
}

// Compare returns a negative number if the left entry is sent before the right one under the normal order, a positive number
// if it is sent after it, and 0 if both are the same.
func Compare(left, right Entry) int {
	if left.Late != right.Late {
		if left.Late {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(left.Priority, right.Priority), cmp.Compare(left.Slack, right.Slack),
		cmp.Compare(left.Left, right.Left), cmp.Compare(left.Sequence, right.Sequence),
	)
}

// Order sorts the entries into the order in which they are sent; sinceTurn is the work that the searcher was sent since the
// last turn. If isTurn is set, the first entry goes before more urgent ones because its service has got less than TurnShare of
// the work.
func Order(entries []Entry, sinceTurn time.Duration) (isTurn bool) {
	slices.SortFunc(entries, Compare)
	turn := 0
	for i := range entries {
		if entries[i].Unserved > entries[turn].Unserved {
			turn = i
		}
	}
	if turn == 0 || !entries[turn].turnDue(min(sinceTurn, entries[turn].Unserved)) {
		return false
	}
	first := entries[turn]
	copy(entries[1:turn+1], entries[:turn])
	entries[0] = first
	return true
}

// turnDue reports whether the entry's work is at most TurnShare of the sum of it and the work sent before.
func (entry *Entry) turnDue(before time.Duration) bool {
	return float64(before)*TurnShare >= float64(entry.Work)*(1-TurnShare)
}
