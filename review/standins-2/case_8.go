package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Case 8: searchers fail a part of the requests that they have run, with a sealed 503 without Not-Executed. A client that gets
// a 503 sends its order once more, as it may after this promise.
const (
	case8Searchers = 20
	case8Failing   = 3 // of the searchers
	case8Span      = 6500 * time.Millisecond
	case8Work      = 10 * time.Millisecond
	case8RetryWait = 50 * time.Millisecond
)

// orderBook counts the runs of requests and of orders, which may be sent in several requests.
type orderBook struct {
	mutex    sync.Mutex
	requests map[string]int
	orders   map[string]int
}

func (book *orderBook) run(id, order string) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.requests[id]++
	book.orders[order]++
}

func (book *orderBook) runs(id string) int {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return book.requests[id]
}

// doubled returns the number of orders that ran more than once.
func (book *orderBook) doubled() int {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	count := 0
	for _, runs := range book.orders {
		if runs > 1 {
			count++
		}
	}
	return count
}

func case8(env *environment) (bool, error) {
	store, err := startStore(env)
	if err != nil {
		return false, err
	}
	putRoute(store, "unsafe")
	book := &orderBook{requests: map[string]int{}, orders: map[string]int{}}
	err = startSearchers(env, store, case8Searchers, func(index int, searcher *searcher) {
		var mutex sync.Mutex
		count := 0
		searcher.onRun = func(exchange *exchange) {
			env.record.detail("searcher %s runs request %s, %s", searcher.id, exchange.id, exchange.body)
			book.run(exchange.id, string(exchange.body))
		}
		searcher.handle = func(exchange *exchange) bool {
			mutex.Lock()
			count++
			fails := env.disrupted && index < case8Failing && count%9 < 4
			mutex.Unlock()
			time.Sleep(case8Work)
			if !fails {
				return exchange.succeed([]byte("entry recorded"))
			}
			env.record.write("searcher %s has run request %s and answers 503", searcher.id, exchange.id)
			body := []byte("billing is not available")
			return exchange.reply(http.StatusServiceUnavailable, "Response-Seal: "+seal(exchange.id, body)+"\r\n", body)
		}
	})
	if err != nil {
		return false, err
	}
	hosts, err := startHosts(env, store, case8Searchers, zones()...)
	if err != nil {
		return false, err
	}
	broken, orders := 0, 0
	for end := time.Now().Add(case8Span); time.Now().Before(end); orders++ {
		order := fmt.Sprintf("order %d", orders)
		for attempt := range 2 {
			sent := newRequest(http.MethodPost, []byte(order))
			got := sent.do(hosts[(orders+attempt)%len(hosts)].address)
			if !got.refused() {
				env.record.detail("request %s, %s: %s", sent.id, order, got)
				break
			}
			runs := book.runs(sent.id)
			env.record.write("request %s, %s: %s; it has run %d times", sent.id, order, got, runs)
			if runs > 0 {
				broken++
				env.record.write("  REFUSED: the request is answered %d and has run", got.status)
			}
			time.Sleep(case8RetryWait)
		}
	}
	env.record.write("%d orders; %d requests were refused although they had run; %d orders ran twice", orders, broken, book.doubled())
	return broken > 0, nil
}
