package bencher

import (
	"cmp"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
)

// batchGCPercent makes garbage collections less frequent, since a run allocates much but keeps little of it live.
const batchGCPercent = 400

// ExecuteAll executes runs in parallel and returns their results in the order of the runs.
func ExecuteAll(runs []Run) []*Result {
	defer debug.SetGCPercent(debug.SetGCPercent(batchGCPercent))
	results := make([]*Result, len(runs))
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(len(runs), runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := range next {
				results[i] = runs[i].Execute()
			}
		})
	}
	for _, i := range longestFirst(runs) {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

// longestFirst returns the indexes of the runs by descending cost, so that no long run starts after the others are done.
func longestFirst(runs []Run) []int {
	order := make([]int, len(runs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(one, other int) int {
		return cmp.Compare(runs[other].estimatedAttempts(), runs[one].estimatedAttempts())
	})
	return order
}

// estimatedAttempts estimates the number of attempts in a run, as a measure of its cost.
func (run Run) estimatedAttempts() float64 {
	seconds := (run.Scenario.WarmUp + run.Scenario.Measured).Seconds()
	for _, fault := range run.Faults {
		if fault.Name == "overload" {
			seconds += (overloadFactor - 1) * run.Scenario.FaultSpan.Seconds()
		}
	}
	return seconds * run.Scenario.rate() * float64(run.Scenario.Shards)
}
