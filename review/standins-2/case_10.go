package main

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Case 10: searchers of a large service run requests and lose the answers. Counted are the searchers that ran each client
// attempt.
const (
	case10Searchers = 78
	case10Calm      = 11 * time.Second // fills the window of the retry budget
	case10Span      = 4 * time.Second
	case10Pause     = 2 * time.Second
	case10Rounds    = 3
	case10Interval  = time.Millisecond
	case10Work      = 5 * time.Millisecond
	case10Allowed   = 3 // requests that may run on more searchers than the route's maxAttempts
)

func case10(env *environment) (bool, error) {
	store, err := startStore(env)
	if err != nil {
		return false, err
	}
	putRoute(store, "safe")
	var mutex sync.Mutex
	var rounds lossRounds
	ranAt := map[string]map[string]bool{}
	err = startSearchers(env, store, case10Searchers, func(index int, searcher *searcher) {
		count := index
		searcher.onRun = func(exchange *exchange) {
			mutex.Lock()
			defer mutex.Unlock()
			if ranAt[exchange.id] == nil {
				ranAt[exchange.id] = map[string]bool{}
			}
			ranAt[exchange.id][searcher.id] = true
		}
		searcher.handle = func(exchange *exchange) bool {
			mutex.Lock()
			count++
			lost := rounds.losing && index%2 == 0 && count%5 < 2
			mutex.Unlock()
			time.Sleep(case10Work)
			if lost {
				_ = exchange.conn.SetLinger(0)
				return false
			}
			return exchange.succeed([]byte("medals"))
		}
	})
	if err != nil {
		return false, err
	}
	hosts, err := startHosts(env, store, case10Searchers, zones()...)
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	statuses, answered := map[int]int{}, map[string]int{}
	var ids []string
	began := time.Now()
	for ; time.Since(began) < case10Calm+case10Rounds*(case10Span+case10Pause); time.Sleep(case10Interval) {
		mutex.Lock()
		if env.disrupted && rounds.update(time.Since(began)-case10Calm) {
			env.record.write("every second searcher loses two answers in five: %v", rounds.losing)
		}
		mutex.Unlock()
		sent := newRequest(http.MethodGet, nil)
		ids = append(ids, sent.id)
		host := hosts[len(ids)%len(hosts)]
		clients.Go(func() {
			got := sent.do(host.address)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[got.status]++
			answered[sent.id] = got.status
		})
	}
	clients.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	over := 0
	for _, id := range ids {
		env.record.detail("request %s is answered %d and ran at %v", id, answered[id], slices.Sorted(maps.Keys(ranAt[id])))
		if len(ranAt[id]) > maxAttempts {
			over++
			env.record.write("request %s ran on %d searchers, maxAttempts is %d", id, len(ranAt[id]), maxAttempts)
		}
	}
	env.record.write("%d requests, answers by status: %v; %d ran on more than %d searchers", len(ids), statuses, over, maxAttempts)
	return over > case10Allowed, nil
}

// lossRounds states whether answers are lost now.
type lossRounds struct{ losing bool }

// update sets the state for the time since the first round and reports whether it has changed.
func (rounds *lossRounds) update(since time.Duration) bool {
	losing := since >= 0 && since%(case10Span+case10Pause) < case10Span
	changed := losing != rounds.losing
	rounds.losing = losing
	return changed
}
