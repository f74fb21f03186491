package main

import (
	"bufio"
	"net/http"
	"time"
)

// Case 7: a client leaves before its time budget. It closes its connection for sending and reads what still comes.
const (
	case7Searchers = 6
	case7Requests  = 40
	case7Leaving   = 4 // one client in so many leaves
	case7Work      = 160 * time.Millisecond
	case7LeaveTime = 80 * time.Millisecond
)

func case7(env *environment) (bool, error) {
	store, err := startStore(env)
	if err != nil {
		return false, err
	}
	putRoute(store, "unsafe")
	err = startSearchers(env, store, case7Searchers, func(_ int, searcher *searcher) {
		searcher.onRun = func(exchange *exchange) {
			env.record.write("searcher %s begins to work on request %s", searcher.id, exchange.id)
		}
		searcher.handle = func(exchange *exchange) bool {
			time.Sleep(case7Work)
			return exchange.succeed([]byte("entry recorded"))
		}
	})
	if err != nil {
		return false, err
	}
	hosts, err := startHosts(env, store, case7Searchers, zones()[0])
	if err != nil {
		return false, err
	}
	broken := 0
	for number := range case7Requests {
		sent := newRequest(http.MethodPost, []byte("goat cheese, 12 pieces"))
		conn, err := dialHost(hosts[0].address)
		if err != nil {
			return false, err
		}
		if err := sent.send(conn); err != nil {
			return false, err
		}
		if env.disrupted && number%case7Leaving == 0 {
			time.Sleep(case7LeaveTime)
			_ = conn.CloseWrite()
			env.record.write("the client of %s leaves: it closes its connection for sending", sent.id)
		}
		got := sent.readAnswer(conn, bufio.NewReader(conn))
		_ = conn.Close()
		env.record.write("request %s: %s", sent.id, got)
		if reason := got.wrongSuccess(sent.id); reason != "" {
			broken++
			env.record.write("  MIXED: %s", reason)
		}
	}
	env.record.write("%d of %d clients got a success that no searcher gave", broken, case7Requests)
	return broken > 0, nil
}
