package router

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"carobthread"
)

// Router selects routes of one version of the routing table; it is safe for concurrent use.
type Router struct {
	version uint64
	limits  carobthread.ClientLimits
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*candidate
}

// candidate is a route with the state of its weighted choice.
type candidate struct {
	route carobthread.Route
	mutex sync.Mutex
	// credit of each backend: the one with the most is next.
	credit []int
}

// Choice is a selected route; Group is empty for a route over shards.
type Choice struct {
	Route *carobthread.Route
	Group string
}

// New returns a router for a version of the table.
func New(table *carobthread.RoutingTable) *Router {
	router := &Router{version: table.Version, limits: table.Limits, byHost: map[string][]*candidate{}}
	for _, route := range table.Routes {
		host := strings.ToLower(route.Host)
		entry := &candidate{route: route, credit: make([]int, len(route.Backends))}
		router.byHost[host] = append(router.byHost[host], entry)
	}
	for _, routes := range router.byHost {
		slices.SortStableFunc(routes, func(left, right *candidate) int {
			return cmp.Compare(len(right.route.Prefix), len(left.route.Prefix))
		})
	}
	return router
}

// Version returns the version of the table.
func (router *Router) Version() uint64 { return router.version }

// Limits returns the bounds on what callers may send.
func (router *Router) Limits() carobthread.ClientLimits { return router.limits }

// Choose returns the route of a request by its Host header and the path of its target, and the replica group for this request.
func (router *Router) Choose(host, target string) (Choice, bool) {
	path, _, _ := strings.Cut(target, "?")
	for _, entry := range router.byHost[hostName(host)] {
		if strings.HasPrefix(path, entry.route.Prefix) {
			return Choice{Route: &entry.route, Group: entry.next()}, true
		}
	}
	return Choice{}, false
}

// hostName returns the lower-case name of a Host header without its port.
func hostName(header string) string {
	name, port, found := strings.Cut(header, ":")
	if found && strings.Trim(port, "0123456789") != "" {
		name = header
	}
	return strings.ToLower(name)
}

// next returns the backend that the weights call for.
func (entry *candidate) next() string {
	backends := entry.route.Backends
	switch len(backends) {
	case 0:
		return ""
	case 1:
		return backends[0].Group
	}
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	total, best := 0, 0
	for i := range backends {
		entry.credit[i] += backends[i].Weight
		total += backends[i].Weight
		if entry.credit[i] > entry.credit[best] {
			best = i
		}
	}
	entry.credit[best] -= total
	return backends[best].Group
}
