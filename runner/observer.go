package runner

import "carobthread/server"

// observer is the query path as the directory sees it: what this host has found itself, and what the coordinators of its
// queries have found for it.
type observer struct {
	*server.Search
	host *ForwardingHost // its delegation is built after the directory
}

var _ server.Observer = (*observer)(nil)

func (host *ForwardingHost) observer() *observer { return &observer{Search: host.search, host: host} }

// CutOffDataCentres returns the data centres that do not answer, if hosts elsewhere can serve callers better than this one.
func (observer *observer) CutOffDataCentres() []string {
	if cutOff := observer.host.delegation.CutOffDataCentres(); len(cutOff) > 0 {
		return cutOff
	}
	return observer.Search.CutOffDataCentres()
}

// MarkReachable records that a host of the data centre has answered.
func (observer *observer) MarkReachable(dataCentre string) {
	observer.Search.MarkReachable(dataCentre)
	observer.host.delegation.MarkReachable(dataCentre)
}
