package bencher

import (
	"runtime"
	"sync"
)

// ExecuteAll performs runs in parallel and returns their results in the order of the runs.
func ExecuteAll(runs []Run) []*Result {
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
	for i := range runs {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}
