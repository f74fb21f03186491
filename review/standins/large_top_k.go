package main

import (
	"crypto/rand"
	"fmt"
	"sync"
	"time"
)

// The deployment of largeTopK: a search over four shards and bookings that may run once at most.
const (
	searchShards, shardReplicas = 4, 3
	bookingSearchers            = 9
	searchTimeout               = 1500 * time.Millisecond
	bookingTimeout              = 6 * time.Second
	calmTime                    = 15 * time.Second
	configTime                  = 3 * time.Second // configMs
	allRecords                  = 4294967295      // more than any set of shards has
	usualRecords                = 50
	restartDelay                = 500 * time.Millisecond
)

// putSearchConfig writes one version of the configuration, in which only topK changes.
func (fleet *fleet) putSearchConfig(version, topK int) {
	var shards []string
	services := []map[string]any{{"name": "booking", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}}
	for i := range searchShards {
		shards = append(shards, fmt.Sprintf("match-%d", i))
		services = append(services, map[string]any{"name": shards[i], "healthPath": "/healthz", "maxConns": 31, "protocol": "h1", "tls": false})
	}
	fleet.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-match", "host": "sitter.example", "prefix": "/match/", "kind": "safe", "timeoutMs": searchTimeout.Milliseconds(),
				"targetLatencyMs": 150, "priority": 1, "gather": shards, "maxAttempts": 2, "topK": topK, "minShardRatio": 0.75,
			},
			{
				"name": "r-book", "host": "sitter.example", "prefix": "/book/", "kind": "unsafe", "timeoutMs": bookingTimeout.Milliseconds(),
				"targetLatencyMs": 600, "priority": 2, "service": "booking", "maxAttempts": 2,
			},
		},
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	fleet.record.printf("the store has acknowledged version %d with topK %d", version, topK)
}

// largeTopK sends searches and bookings. The disruption is a new version of the configuration, whose topK asks for all
// records; the operator takes it back after configTime.
func largeTopK(fleet *fleet, trouble bool) (int, error) {
	zones := []string{"kazhakkoottam-1", "kakkanad-1", "nallalam-1"}
	dice := newDice()
	for i := range searchShards {
		err := fleet.addSearchers(fmt.Sprintf("match-%d", i), zones, shardReplicas, func(member *searcher) {
			member.work = func() time.Duration { return dice.between(10*time.Millisecond, 30*time.Millisecond) }
			member.body = func(string, []byte) []byte {
				records := make([]byte, 1008)
				_, _ = rand.Read(records)
				return records
			}
		})
		if err != nil {
			return 0, err
		}
	}
	err := fleet.addSearchers("booking", zones, bookingSearchers, func(member *searcher) {
		member.work = func() time.Duration { return dice.between(80*time.Millisecond, 240*time.Millisecond) }
	})
	if err != nil {
		return 0, err
	}
	fleet.putSearchConfig(3, usualRecords)
	if err := fleet.addHosts(zones...); err != nil {
		return 0, err
	}
	if err := fleet.startAll(); err != nil {
		return 0, err
	}
	checker := newChecker(fleet)
	began := time.Now()
	length := calmTime + configTime + calmTime
	ends := fleet.restartEnded(began.Add(length), restartDelay)
	var clients sync.WaitGroup
	var mutex sync.Mutex
	sentAt := map[string]time.Time{}
	for i := range 12 {
		clients.Go(func() {
			client := &client{}
			defer client.close()
			for n := 0; time.Since(began) < length; n++ {
				id := fmt.Sprintf("m-%d-%d", i, n)
				next := call{id: id, method: "GET", host: "sitter.example", target: "/match/" + id, deadline: searchTimeout}
				if i%2 == 0 {
					next = call{
						id: id, method: "POST", host: "sitter.example", target: "/book/" + id, body: []byte("booking " + id),
						deadline: bookingTimeout, unsafe: true,
					}
				}
				mutex.Lock()
				sentAt[id] = time.Now()
				mutex.Unlock()
				checker.add(client.do(fleet.hosts[i%len(fleet.hosts)].caller, next))
				time.Sleep(dice.between(50*time.Millisecond, 200*time.Millisecond))
			}
		})
	}
	time.Sleep(calmTime)
	topK := usualRecords + 1
	if trouble {
		topK = allRecords
	}
	changedAt := time.Now()
	fleet.putSearchConfig(7, topK)
	time.Sleep(configTime)
	fleet.putSearchConfig(9, usualRecords)
	clients.Wait()
	time.Sleep(time.Second)
	checker.finish()
	checker.checkLost(func(result outcome) bool {
		sent := sentAt[result.id]
		return sent.After(changedAt.Add(-result.took)) && sent.Before(changedAt.Add(configTime+time.Second)) && result.took < result.deadline*7/10
	})
	for name, count := range ends() {
		fmt.Printf("%s ended by itself %d times\n", name, count)
	}
	return checker.summary(), nil
}
