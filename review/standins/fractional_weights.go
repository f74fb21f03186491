package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	configMs      = 3 * time.Second
	afterChange   = 15 * time.Second
	calmBefore    = 6 * time.Second
	payersPerSite = 3
)

// putBookingConfig writes a version that sends bookings to the given back ends.
func (fleet *fleet) putBookingConfig(version int, backends []map[string]any) {
	services := []map[string]any{}
	for _, name := range []string{"booking", "canary", "old-booking"} {
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false})
	}
	fleet.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-book", "host": "sitter.example", "prefix": "/book/", "kind": "unsafe", "timeoutMs": bookingTimeout.Milliseconds(),
			"targetLatencyMs": 600, "priority": 2, "backends": backends, "maxAttempts": 2,
		}},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	fleet.record.printf("the store has acknowledged version %d with back ends %v", version, backends)
}

// fractionalWeights moves bookings from one service to two others, nine to one. With the disruption, the proportions are
// written as 0.9 and 0.1, else as 9 and 1.
func fractionalWeights(fleet *fleet, trouble bool) (int, error) {
	zones := []string{"kazhakkoottam-1", "kakkanad-1", "nallalam-1"}
	dice := newDice()
	for _, service := range []string{"booking", "canary", "old-booking"} {
		err := fleet.addSearchers(service, zones, payersPerSite, func(member *searcher) {
			member.work = func() time.Duration { return dice.between(20*time.Millisecond, 60*time.Millisecond) }
		})
		if err != nil {
			return 0, err
		}
	}
	fleet.putBookingConfig(3, []map[string]any{{"service": "old-booking", "weight": 1}})
	if err := fleet.addHosts(zones...); err != nil {
		return 0, err
	}
	if err := fleet.startAll(); err != nil {
		return 0, err
	}
	checker := newChecker(fleet)
	began := time.Now()
	var clients sync.WaitGroup
	var mutex sync.Mutex
	sentAt := map[string]time.Time{}
	for i := range 6 {
		clients.Go(func() {
			client := &client{}
			defer client.close()
			for n := 0; time.Since(began) < calmBefore+afterChange; n++ {
				id := fmt.Sprintf("b-%d-%d", i, n)
				mutex.Lock()
				sentAt[id] = time.Now()
				mutex.Unlock()
				checker.add(client.do(fleet.hosts[i%len(fleet.hosts)].caller, call{
					id: id, method: "POST", host: "sitter.example", target: "/book/" + id, body: []byte("booking " + id),
					deadline: bookingTimeout, unsafe: true,
				}))
				time.Sleep(dice.between(50*time.Millisecond, 150*time.Millisecond))
			}
		})
	}
	time.Sleep(calmBefore)
	weights := []any{9, 1}
	if trouble {
		weights = []any{0.9, 0.1}
	}
	fleet.putBookingConfig(7, []map[string]any{{"service": "booking", "weight": weights[0]}, {"service": "canary", "weight": weights[1]}})
	ackedAt := time.Now()
	clients.Wait()
	time.Sleep(time.Second)
	checker.finish()
	checker.mutex.Lock()
	checker.ledger.mutex.Lock()
	for id, runs := range fleet.ledger.runs {
		if late := sentAt[id].Sub(ackedAt); late > configMs && runs[0].service == "old-booking" {
			checker.report("CONFIG", "%s was sent %s after the ack of version 7 and ran at %s, as only version 3 allows", id, late.Round(time.Millisecond), runs[0].searcher)
		}
	}
	checker.ledger.mutex.Unlock()
	checker.mutex.Unlock()
	return checker.summary(), nil
}
