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
	// weights holds the weight of each backend and currentWeights its current weight; the backend with the greatest current
	// weight is selected.
	weights, currentWeights []float64
}

// maxExactWeight bounds the sum of a route's weights. Above it, sums of floating-point numbers lose whole units.
const maxExactWeight = 1 << 53

// newWeightedRoute returns a route whose weights are scaled down if their sum could not be computed exactly.
func newWeightedRoute(route carobthread.Route) *weightedRoute {
	count := len(route.Backends)
	weighted := &weightedRoute{route: route, weights: make([]float64, count), currentWeights: make([]float64, count)}
	greatest := 0.0
	for i, backend := range route.Backends {
		weighted.weights[i] = max(0, backend.Weight)
		greatest = max(greatest, backend.Weight)
	}
	if greatest > maxExactWeight/float64(max(1, count)) {
		for i := range weighted.weights {
			weighted.weights[i] /= greatest
		}
	}
	return weighted
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
		router.routesByHost[host] = append(router.routesByHost[host], newWeightedRoute(route))
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

// Match returns the route that Choose selects, without selecting a replica group.
func (router *Router) Match(host, target string) (*carobthread.Route, bool) {
	path, _, _ := strings.Cut(target, "?")
	for _, weighted := range router.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, weighted.route.Prefix) {
			return &weighted.route, true
		}
	}
	return nil, false
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
	total, best := 0.0, 0
	for i, weight := range weighted.weights {
		weighted.currentWeights[i] += weight
		total += weight
		if weighted.currentWeights[i] > weighted.currentWeights[best] {
			best = i
		}
	}
	weighted.currentWeights[best] -= total
	return backends[best].Group
}
