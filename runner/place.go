package runner

import (
	"net/http"

	"carobthread"
	"carobthread/planner"
)

// PlaceAnswer tells where a request would go now; exactly one of Placements and Error is set.
type PlaceAnswer struct {
	Host    string `json:"host"`
	Route   string `json:"route,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Coordinators is the number of hosts to which queries of the route may be delegated. A delegated query is placed by its
	// coordinator, and Placements hold for queries that this host handles itself.
	Coordinators int                     `json:"coordinators,omitempty"`
	Placements   []carobthread.Placement `json:"placements,omitempty"`
	Error        string                  `json:"error,omitempty"`
}

// place tells where a request would go now; the second result is the HTTP status of the answer.
func (host *ForwardingHost) place(name, path string) (PlaceAnswer, int) {
	answer := PlaceAnswer{Host: host.settings.Host.Name}
	routes := host.forwarder.Router()
	if routes == nil {
		answer.Error = "the host has no routing table yet"
		return answer, http.StatusServiceUnavailable
	}
	answer.Version = routes.Version()
	route, matched := routes.Match(name, path)
	if !matched {
		answer.Error = "no route matches the host name and path"
		return answer, http.StatusNotFound
	}
	answer.Route = route.Name
	groups := route.Backends
	if len(route.Shards) > 0 {
		groups = []carobthread.Backend{{}}
		answer.Coordinators = len(host.delegation.Stats().Coordinators)
	}
	for _, backend := range groups {
		placement, known := host.search.Explain(planner.ServiceName(route.Name, backend.Group))
		if !known {
			answer.Error = "the route's searchers are not configured yet"
			return answer, http.StatusServiceUnavailable
		}
		placement.Weight = backend.Weight
		answer.Placements = append(answer.Placements, placement)
	}
	return answer, http.StatusOK
}

func (host *ForwardingHost) servePlace(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	answer, status := host.place(query.Get("host"), query.Get("path"))
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	writeStatus(writer, answer, host.logger)
}
