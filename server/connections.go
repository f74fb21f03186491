package server

import "carobthread"

// ConnectionOpener is an Upstream that can open connections in advance of requests.
type ConnectionOpener interface {
	// SetConnections sets the number of connections to keep open to the searcher.
	SetConnections(searcher carobthread.Searcher, count int)
}

// DepartureHandler is an Upstream that sends no requests to searchers that are leaving.
type DepartureHandler interface {
	// SetLeaving sets whether the searcher is leaving or evacuated; if so, requests that have not been written fail as not run.
	SetLeaving(searcher string, leaving bool)
	// Forget releases the state of a searcher that is gone.
	Forget(searcher string)
}

// updateLeaving tells the upstream which searchers are leaving or gone, so that no unwritten request is sent to them.
func (search *Search) updateLeaving(previous map[string]carobthread.Searcher) {
	handler, ok := search.options.Upstream.(DepartureHandler)
	if !ok {
		return
	}
	search.evacuationDueAt = 0
	now := search.options.Timer.Now()
	for name, searcher := range search.searchers {
		evacuated := searcher.EvacuatedAt(now)
		handler.SetLeaving(name, searcher.Leaving || evacuated)
		if searcher.Evacuated && !evacuated && (search.evacuationDueAt == 0 || searcher.EvacuationEnd < search.evacuationDueAt) {
			search.evacuationDueAt = searcher.EvacuationEnd
		}
	}
	for name := range previous {
		if _, known := search.searchers[name]; !known {
			handler.SetLeaving(name, true)
		}
	}
}

func (search *Search) setConnections(action *carobthread.SetConnections) {
	searcher, known := search.searchers[action.Searcher]
	if opener, ok := search.options.Upstream.(ConnectionOpener); ok && known {
		opener.SetConnections(searcher, action.Count)
	}
	if handler, ok := search.options.Upstream.(DepartureHandler); ok && !known && action.Count == 0 {
		handler.Forget(action.Searcher)
	}
}
