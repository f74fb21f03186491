package main

import (
	"fmt"
	"net/http"
	"time"
)

// Names that the cases share.
const (
	hostName    = "fair.example"
	serviceName = "registrar"
	routePrefix = "/entry/"
	maxAttempts = 2
)

// zones are the data centres of the sheet of feta-fair-hub.
func zones() []string { return []string{"larisa-a", "ioannina-a", "heraklion-a"} }

// putRoute writes a configuration with one route to one service.
func putRoute(store *store, kind string) {
	store.put("op/config", config{
		Version: 7, Limits: standardLimits(), Services: []service{newService(serviceName)},
		Routes: []route{{
			Name: "r-xmibw6k", Host: hostName, Prefix: routePrefix, Kind: kind, TimeoutMs: 4000, TargetLatencyMs: 600, Priority: 2,
			MaxAttempts: maxAttempts, Service: serviceName,
		}},
	})
}

// newRequest returns a client attempt on the route.
func newRequest(method string, body []byte) *request {
	return &request{method: method, host: hostName, target: routePrefix + "1", id: newRequestID(), deadline: 4 * time.Second, body: body}
}

// startSearchers starts the searchers of the service, spread over the zones; prepare sets what each does.
func startSearchers(env *environment, store *store, count int, prepare func(index int, searcher *searcher)) error {
	for i := range count {
		created, err := newSearcher(fmt.Sprintf("i-7f3a%04x", i), serviceName, zones()[i%len(zones())])
		if err != nil {
			return err
		}
		prepare(i, created)
		created.start(env, store)
	}
	return nil
}

// startHosts starts one entry host in each zone and waits until they are ready and know all searchers.
func startHosts(env *environment, store *store, searchers int, zones ...string) ([]*daemon, error) {
	hosts, err := newDaemons(env, store, zones...)
	if err != nil {
		return nil, err
	}
	for _, host := range hosts {
		if err := host.launch(); err != nil {
			return nil, err
		}
	}
	for _, host := range hosts {
		if err := host.waitReady(10 * time.Second); err != nil {
			return nil, err
		}
		if err := host.waitSearchers(searchers); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

// refused reports whether the answer promises that the request has not run.
func (answer *answer) refused() bool {
	switch answer.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return answer.err == nil
	}
	return false
}
