package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Case 6: a searcher breaks off an answer without a length, before it has read the request's long body. Its closing resets the
// connection, so the answer isn't complete.
const (
	case6Searchers = 6
	case6Span      = 5 * time.Second
	case6Clients   = 4
	case6Requests  = 200       // of each client
	case6BodySize  = 256 << 10 // the limit of the configuration
	case6Answer    = 8 << 10
	case6BreaksOff = 20 // one answer in so many, of every second searcher
)

func case6(env *environment) (bool, error) {
	store, err := startStore(env)
	if err != nil {
		return false, err
	}
	putRoute(store, "unsafe")
	whole := make([]byte, case6Answer)
	for i := range whole {
		whole[i] = byte('a' + i%26)
	}
	err = startSearchers(env, store, case6Searchers, func(index int, searcher *searcher) {
		var count atomic.Int64
		searcher.lazyBody = true
		searcher.onRun = func(exchange *exchange) { env.record.detail("searcher %s runs request %s", searcher.id, exchange.id) }
		searcher.handle = func(exchange *exchange) bool {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nConnection: close\r\n\r\n", exchange.id, seal(exchange.id, whole))
			number := count.Add(1)
			if env.disrupted && index%2 == 0 && number%case6BreaksOff == 0 {
				_, _ = exchange.conn.Write(append([]byte(head), whole[:case6Answer/2]...))
				env.record.write("searcher %s breaks off its answer to %s after %d of %d bytes", searcher.id, exchange.id, case6Answer/2, case6Answer)
				return false // closes the connection with a part of the request unread, which resets it
			}
			_, _ = exchange.conn.Write(append([]byte(head), whole...))
			buffer := make([]byte, 32<<10)
			for {
				if _, err := exchange.request.Body.Read(buffer); err != nil {
					return false
				}
			}
		}
	})
	if err != nil {
		return false, err
	}
	hosts, err := startHosts(env, store, case6Searchers, zones()[0])
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var served, broken atomic.Int64
	end := time.Now().Add(case6Span)
	for range case6Clients {
		clients.Go(func() {
			for range case6Requests {
				if time.Now().After(end) {
					return
				}
				served.Add(1)
				if case6Request(env, hosts[0]) {
					broken.Add(1)
				}
			}
		})
	}
	clients.Wait()
	env.record.write("%d requests; %d clients got a truncated answer as a complete success", served.Load(), broken.Load())
	return broken.Load() > 0, nil
}

// case6Request sends one request and reports whether its client got a truncated answer as a complete one.
func case6Request(env *environment, host *daemon) bool {
	sent := newRequest(http.MethodPost, make([]byte, case6BodySize))
	got := sent.do(host.address)
	env.record.detail("request %s, POST of %d bytes: %s", sent.id, len(sent.body), got)
	reason := got.wrongSuccess(sent.id)
	if reason == "" {
		return false
	}
	env.record.write("  MIXED, request %s: %s: %d of %d bytes", sent.id, reason, len(got.body), case6Answer)
	return true
}
