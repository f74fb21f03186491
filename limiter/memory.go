package limiter

import (
	"cmp"
	"slices"
	"time"

	"carobthread"
)

const (
	// memoryBudgetDivisor makes a quarter of the process's memory the budget. A buffer that grows leaves garbage of up to its
	// own size, so a full budget takes half of the memory, which is below the soft limit of the Go runtime (0.7) together
	// with the few tens of megabytes that a host uses otherwise.
	memoryBudgetDivisor = 4
	// firstMarkRatio and secondMarkRatio are the marks as fractions of the budget.
	firstMarkRatio  = 0.5
	secondMarkRatio = 0.75
	// markReturnRatio is the fraction of a mark below which usage counts as below the mark again; it prevents a change with
	// every transfer at the mark.
	markReturnRatio = 7.0 / 8
	// minTransferRate is the rate in bytes per second below which a transfer lags: a fiftieth of the slowest link of a host,
	// 26 Mbit/s.
	minTransferRate = 64 << 10
	// minCutLag is the lag above which a transfer may be cut; it is above round trips and short pauses.
	minCutLag = 500 * time.Millisecond
	// stallTimeout is the longest time in which a transfer must move stallBytes or end. Searchers cut off unread responses
	// after some seconds too.
	stallTimeout = 5 * time.Second
	// stallBytes prevents a peer from extending a transfer with single bytes.
	stallBytes = 4 << 10
)

// MemoryLevel is the number of marks of a Memory that usage exceeds.
type MemoryLevel int

// The memory levels.
const (
	MemoryBelowMarks MemoryLevel = iota
	MemoryAboveFirstMark
	MemoryAboveSecondMark
)

// TransferID identifies a transfer of a Memory.
type TransferID uint64

// CutReason is why a transfer is cut.
type CutReason string

// The reasons for which transfers are cut.
const (
	CutStalled CutReason = "stalled"
	CutSlow    CutReason = "slow"
)

// MemoryCut is a transfer to cut, with the reason.
type MemoryCut struct {
	ID     TransferID
	Kind   carobthread.MemoryKind
	Reason CutReason
	Bytes  int64
	Lag    time.Duration
}

// MemoryStats are the usage and the counters of a Memory.
type MemoryStats struct {
	// Budget is the limit of the bytes held, or 0 without one.
	Budget int64                            `json:"budget-bytes"`
	Held   map[carobthread.MemoryKind]int64 `json:"held-bytes,omitempty"`
	Total  int64                            `json:"total-bytes"`
	Peak   int64                            `json:"peak-bytes"`
	// Marks is the number of marks that Total exceeds.
	Marks     MemoryLevel `json:"marks-exceeded"`
	Transfers int         `json:"transfers"`
	// Refused counts the requests that were not admitted, OverBudget the transfers that could not grow.
	Refused    uint64 `json:"refused"`
	OverBudget uint64 `json:"over-budget"`
	// Stalled and Slow count the transfers that were cut.
	Stalled uint64 `json:"cut-stalled"`
	Slow    uint64 `json:"cut-slow"`
}

// Memory limits the bytes that a host holds for callers and searchers.
//
// Above the first mark, requests with bodies are not admitted. Above the second
// mark, the transfers that lag most are cut until usage is expected to return
// below it. The lag of a transfer is its age less the time that its bytes take
// at minTransferRate, or the time since it last advanced if that is longer, so
// it is greatest where a peer has been slowest for longest. At the budget, nothing is admitted and buffers don't grow.
//
// A transfer to a peer, or of a caller's body, is also cut if it stalls.
// A searcher's reply is not, because its searcher may work between two parts of
// it and the deadline of the attempt ends it anyway.
type Memory struct {
	budget    int64
	stats     MemoryStats
	transfers map[TransferID]*memoryTransfer
	lastID    TransferID
}

// memoryTransfer is the transfer of data from or to a peer.
type memoryTransfer struct {
	kind  carobthread.MemoryKind
	bytes int64
	moved int64
	begun carobthread.Instant
	// advancedAt is when the transfer had moved advancedTo bytes; the next advance takes stallBytes more.
	advancedAt carobthread.Instant
	advancedTo int64
	cut        bool
}

// NewMemory returns a Memory without a budget, which admits everything.
func NewMemory() *Memory {
	return &Memory{stats: MemoryStats{Held: map[carobthread.MemoryKind]int64{}}, transfers: map[TransferID]*memoryTransfer{}}
}

// SetLimit derives the budget from the memory limit of the process in bytes; 0 removes the budget.
func (memory *Memory) SetLimit(processMemory int64) {
	memory.budget = processMemory / memoryBudgetDivisor
	memory.updateLevel()
}

// Budget returns the limit of the bytes held, or 0 without one.
func (memory *Memory) Budget() int64 { return memory.budget }

// Level returns the number of marks that usage exceeds.
func (memory *Memory) Level() MemoryLevel { return memory.stats.Marks }

// Stats returns the usage and the counters.
func (memory *Memory) Stats() MemoryStats {
	stats := memory.stats
	stats.Budget = memory.budget
	stats.Transfers = len(memory.transfers)
	stats.Held = make(map[carobthread.MemoryKind]int64, len(memory.stats.Held))
	for kind, bytes := range memory.stats.Held {
		stats.Held[kind] = bytes
	}
	return stats
}

// Admit reports whether a new request may be served.
func (memory *Memory) Admit(hasBody bool) bool {
	full := memory.budget > 0 && memory.stats.Total >= memory.budget
	if full || hasBody && memory.stats.Marks >= MemoryAboveFirstMark {
		memory.stats.Refused++
		return false
	}
	return true
}

// Begin counts the first bytes of a transfer.
func (memory *Memory) Begin(now carobthread.Instant, kind carobthread.MemoryKind, bytes int64) TransferID {
	memory.lastID++
	memory.transfers[memory.lastID] = &memoryTransfer{kind: kind, bytes: bytes, begun: now, advancedAt: now}
	memory.count(kind, bytes)
	return memory.lastID
}

// Grow counts the new size of a transfer's buffer and returns true, or returns false if that would exceed the budget.
func (memory *Memory) Grow(id TransferID, size int64) bool {
	transfer := memory.transfers[id]
	if memory.budget > 0 && memory.stats.Total+size-transfer.bytes > memory.budget {
		memory.stats.OverBudget++
		return false
	}
	memory.count(transfer.kind, size-transfer.bytes)
	transfer.bytes = size
	return true
}

// Progress counts bytes that a transfer has moved.
func (memory *Memory) Progress(now carobthread.Instant, id TransferID, moved int64) {
	transfer := memory.transfers[id]
	transfer.moved += moved
	if transfer.moved >= transfer.advancedTo+stallBytes {
		transfer.advancedAt, transfer.advancedTo = now, transfer.moved
	}
}

// Finish ends a transfer; its bytes stay counted until Release is called.
func (memory *Memory) Finish(id TransferID) (kind carobthread.MemoryKind, bytes int64) {
	transfer := memory.transfers[id]
	delete(memory.transfers, id)
	return transfer.kind, transfer.bytes
}

// Release counts bytes that are no longer held.
func (memory *Memory) Release(kind carobthread.MemoryKind, bytes int64) { memory.count(kind, -bytes) }

// Resume moves the begin and the last advance of all transfers by the duration of a pause of this process, which says nothing
// about the peers.
func (memory *Memory) Resume(now carobthread.Instant, pause time.Duration) {
	for _, transfer := range memory.transfers {
		transfer.begun = min(now, transfer.begun.Add(pause))
		transfer.advancedAt = min(now, transfer.advancedAt.Add(pause))
	}
}

// Expired returns the transfers to cut now, each once: those that stall and, above the second mark, those that lag most.
func (memory *Memory) Expired(now carobthread.Instant) []MemoryCut {
	var cuts, lagging []MemoryCut
	expected := memory.stats.Total
	for id, transfer := range memory.transfers {
		candidate := MemoryCut{ID: id, Kind: transfer.kind, Bytes: transfer.bytes, Lag: transfer.lag(now)}
		switch {
		case transfer.cut:
			expected -= transfer.bytes
		case transfer.kind != carobthread.MemoryReplies && now.Sub(transfer.advancedAt) >= stallTimeout:
			candidate.Reason = CutStalled
			expected -= transfer.bytes
			cuts = append(cuts, candidate)
		case candidate.Lag >= minCutLag:
			candidate.Reason = CutSlow
			lagging = append(lagging, candidate)
		}
	}
	if memory.stats.Marks == MemoryAboveSecondMark {
		slices.SortFunc(lagging, compareLag)
		for i := 0; i < len(lagging) && expected >= memory.returnBelow(secondMarkRatio); i++ {
			expected -= lagging[i].Bytes
			cuts = append(cuts, lagging[i])
		}
	}
	slices.SortFunc(cuts, compareLag)
	for _, cut := range cuts {
		memory.transfers[cut.ID].cut = true
		if cut.Reason == CutStalled {
			memory.stats.Stalled++
		} else {
			memory.stats.Slow++
		}
	}
	return cuts
}

// compareLag sorts the greatest lag first.
func compareLag(left, right MemoryCut) int {
	return cmp.Or(cmp.Compare(right.Lag, left.Lag), cmp.Compare(left.ID, right.ID))
}

// lag is at least the time since the last advance, because the operating system's buffers take the first bytes at once.
func (transfer *memoryTransfer) lag(now carobthread.Instant) time.Duration {
	expected := time.Duration(float64(transfer.moved) / minTransferRate * float64(time.Second))
	return max(now.Sub(transfer.begun)-expected, now.Sub(transfer.advancedAt))
}

func (memory *Memory) count(kind carobthread.MemoryKind, bytes int64) {
	memory.stats.Held[kind] += bytes
	memory.stats.Total += bytes
	memory.stats.Peak = max(memory.stats.Peak, memory.stats.Total)
	memory.updateLevel()
}

func (memory *Memory) updateLevel() {
	level := MemoryBelowMarks
	if memory.exceeds(firstMarkRatio, MemoryAboveFirstMark) {
		level = MemoryAboveFirstMark
	}
	if memory.exceeds(secondMarkRatio, MemoryAboveSecondMark) {
		level = MemoryAboveSecondMark
	}
	memory.stats.Marks = level
}

// exceeds reports whether usage counts as above the mark, which begins the level.
func (memory *Memory) exceeds(ratio float64, level MemoryLevel) bool {
	if memory.budget == 0 {
		return false
	}
	if memory.stats.Marks >= level {
		return memory.stats.Total >= memory.returnBelow(ratio)
	}
	return memory.stats.Total > int64(ratio*float64(memory.budget))
}

// returnBelow returns the bytes below which usage counts as below the mark again.
func (memory *Memory) returnBelow(ratio float64) int64 {
	return int64(markReturnRatio * ratio * float64(memory.budget))
}
