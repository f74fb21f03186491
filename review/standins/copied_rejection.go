package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment of copiedRejection: registrations that may run once at most, at searchers with two slots.
const (
	registrars          = 9
	registrationTimeout = 4 * time.Second
	registrationsPerS   = 200
	// registrationWork is the mean work on a registration.
	registrationWork = 60 * time.Millisecond
)

// The disruptions of copiedRejection, with the figures of the site file feta-fair-hub.toml: searchers turn a part of their
// requests away as not run ("srv_grey", "shed"), and some of the answers come a second time, late ("garble", "extra late").
const (
	shedShare, shedRatio, shedSpan = 0.8, 0.25, 9 * time.Second
	copyShare, copyRatio, copySpan = 0.6, 0.03, 5 * time.Second
	copyDelayLow, copyDelayHigh    = 20 * time.Millisecond, 150 * time.Millisecond
	rounds, roundPeriod            = 7, 12 * time.Second
	budgetWarmUp                   = 11 * time.Second // a window of the retry budget
)

// copiedRejection sends registrations, with pauses between rounds of the disruptions.
func copiedRejection(fleet *fleet, trouble bool) (int, error) {
	zones := []string{"larisa-a", "ioannina-a", "heraklion-a"}
	dice := newDice()
	var shedding, copying atomic.Bool
	index := 0
	err := fleet.addSearchers("registrar", zones, registrars, func(member *searcher) {
		sheds, copies := float64(index) < shedShare*registrars, float64(index) < copyShare*registrars
		index++
		member.slots = 2
		member.work = func() time.Duration { return dice.between(registrationWork/2, 3*registrationWork/2) }
		member.fault = func(string, bool) fault {
			spec := fault{reject: sheds && shedding.Load() && dice.float() < shedRatio}
			if copies && copying.Load() && dice.float() < copyRatio {
				spec.copyAfter = dice.between(copyDelayLow, copyDelayHigh)
			}
			return spec
		}
	})
	if err != nil {
		return 0, err
	}
	fleet.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-entry", "host": "fair.example", "prefix": "/entry/", "kind": "unsafe", "timeoutMs": registrationTimeout.Milliseconds(),
			"targetLatencyMs": 600, "priority": 2, "service": "registrar", "maxAttempts": 1,
		}},
		"services": []map[string]any{{"name": "registrar", "healthPath": "/healthz", "maxConns": 35, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := fleet.addHosts(zones...); err != nil {
		return 0, err
	}
	if err := fleet.startAll(); err != nil {
		return 0, err
	}
	checker := newChecker(fleet)
	var clients sync.WaitGroup
	began := time.Now()
	length := budgetWarmUp + rounds*roundPeriod
	const callers = 70
	for i := range callers {
		clients.Go(func() {
			client := &client{}
			defer client.close()
			for n := 0; time.Since(began) < length; n++ {
				id := fmt.Sprintf("e-%d-%d", i, n)
				checker.add(client.do(fleet.hosts[i%len(fleet.hosts)].caller, call{
					id: id, method: "POST", host: "fair.example", target: "/entry/" + id, body: []byte("entry " + id),
					deadline: registrationTimeout, unsafe: true,
				}))
				time.Sleep(dice.between(0, 2*callers*time.Second/registrationsPerS) - registrationWork)
			}
		})
	}
	time.Sleep(budgetWarmUp)
	for range rounds {
		if trouble {
			fleet.record.printf("searchers begin to turn requests away")
			shedding.Store(true)
			time.Sleep((shedSpan - copySpan) / 2)
			fleet.record.printf("some answers come twice from now on")
			copying.Store(true)
			time.Sleep(copySpan)
			copying.Store(false)
			fleet.record.printf("answers come once again")
			time.Sleep((shedSpan - copySpan) / 2)
			shedding.Store(false)
			fleet.record.printf("searchers turn no requests away")
		} else {
			time.Sleep(shedSpan)
		}
		time.Sleep(roundPeriod - shedSpan)
	}
	clients.Wait()
	time.Sleep(time.Second)
	checker.finish()
	return checker.summary(), nil
}
