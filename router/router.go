package router

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"carobthread"
)

// Router selects routes from one version of the routing table; it is safe for concurrent use.
type Router struct {
	version uint64
	limits  carobthread.ClientLimits
	// routesByHost holds the routes of each host name, longest prefix first.
	routesByHost map[string][]*weightedRoute
}

// weightedRoute is a route with the state of its weighted round robin.
type weightedRoute struct {
	route carobthread.Route
	mutex sync.Mutex
	// currentWeights holds the current weight of each backend; the backend with the greatest is selected.
	currentWeights []int
}

// Choice is the route and the replica group selected for a request; Group is empty for a route over shards.
type Choice struct {
	Route *carobthread.Route
	Group string
}

// New returns a router for one version of the routing table.
func New(table *carobthread.RoutingTable) *Router {
	router := &Router{version: table.Version, limits: table.Limits, routesByHost: map[string][]*weightedRoute{}}
	for _, route := range table.Routes {
		host := strings.ToLower(route.Host)
		weighted := &weightedRoute{route: route, currentWeights: make([]int, len(route.Backends))}
		router.routesByHost[host] = append(router.routesByHost[host], weighted)
	}
	for _, routes := range router.routesByHost {
		slices.SortStableFunc(routes, func(left, right *weightedRoute) int {
			return cmp.Compare(len(right.route.Prefix), len(left.route.Prefix))
		})
	}
	return router
}

// Version returns the version of the routing table.
func (router *Router) Version() uint64 { return router.version }

// Limits returns the limits on callers' requests.
func (router *Router) Limits() carobthread.ClientLimits { return router.limits }

// Choose selects the route with the longest matching prefix for a Host header and a request target, and the replica
// group that serves this request. It returns false if no route matches.
func (router *Router) Choose(host, target string) (Choice, bool) {
	path, _, _ := strings.Cut(target, "?")
	for _, weighted := range router.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, weighted.route.Prefix) {
			return Choice{Route: &weighted.route, Group: weighted.nextGroup()}, true
		}
	}
	return Choice{}, false
}

// hostName returns the host name of a Host header in lower case, without the port.
func hostName(header string) string {
	name, port, found := strings.Cut(header, ":")
	if found && strings.Trim(port, "0123456789") != "" {
		name = header
	}
	return strings.ToLower(name)
}

// nextGroup returns the replica group of the next backend by smooth weighted round robin, or "" for a route over shards.
func (weighted *weightedRoute) nextGroup() string {
	backends := weighted.route.Backends
	switch len(backends) {
	case 0:
		return ""
	case 1:
		return backends[0].Group
	}
	weighted.mutex.Lock()
	defer weighted.mutex.Unlock()
	total, best := 0, 0
	for i := range backends {
		weighted.currentWeights[i] += backends[i].Weight
		total += backends[i].Weight
		if weighted.currentWeights[i] > weighted.currentWeights[best] {
			best = i
		}
	}
	weighted.currentWeights[best] -= total
	return backends[best].Group
}
