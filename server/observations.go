package server

// Hosts share their observations of searchers and data centres in the exchanges of the directory: the hosts of a data centre
// aggregate their observations at the host that reads the store for them, and a host whose data centre seems cut off probes
// the hosts of the other data centres until they answer again.

import (
	"slices"

	"carobthread"
	"carobthread/aggregator"
)

// Observer tracks the results of attempts at searchers.
type Observer interface {
	// Observations returns what other hosts need to know about this host's attempts since the last call.
	Observations() []carobthread.Observation
	// Observe adds the observations of other hosts.
	Observe(observations []carobthread.Observation)
	// CutOffDataCentres returns the data centres that do not answer, if hosts elsewhere can serve callers better than this one.
	CutOffDataCentres() []string
	// MarkReachable records that a host of the data centre has answered.
	MarkReachable(dataCentre string)
}

var _ Observer = (*Search)(nil)

// observationsMessage carries the sender's observations in a request and those of the other hosts in a response.
type observationsMessage struct {
	Observations []carobthread.Observation `json:"observations,omitempty"`
	// After is the position in the aggregator up to which the requesting host has received observations. In a response, it
	// includes the observations of that response.
	After uint64 `json:"after,omitempty"`
}

// nextCutOffHostLocked returns, for every other exchange, a host of a data centre whose searchers do not answer. The exchange
// detects when the data centre is reachable again, since a host that is not ready gets no requests that would show this.
func (directory *Directory) nextCutOffHostLocked() string {
	if directory.options.Observer == nil || directory.exchangeCount%2 == 0 {
		return ""
	}
	centres := directory.options.Observer.CutOffDataCentres()
	if anyCutOff := len(centres) > 0; anyCutOff != directory.cutOff {
		directory.cutOff = anyCutOff
		directory.options.Logger.Info().Str("event", "reach-changed").Bool("serving", !anyCutOff).Strs("cut-off", centres).
			Msg("reachability of other data centres changed")
	}
	if len(centres) == 0 {
		return ""
	}
	return directory.options.Tracker.RandomHost(centres[directory.random.IntN(len(centres))])
}

// reportReachedLocked tells the query path that the peer has answered, if its data centre was cut off.
func (directory *Directory) reportReachedLocked(peer string) {
	if directory.options.Observer == nil {
		return
	}
	centre := directory.options.Tracker.DataCentre(peer)
	if slices.Contains(directory.options.Observer.CutOffDataCentres(), centre) {
		directory.options.Observer.MarkReachable(centre)
		directory.options.Logger.Info().Str("event", "data-centre-reached").Str("peer", peer).Str("peer-data-centre", centre).
			Msg("data centre answers again after being cut off")
	}
}

// observationsRequestLocked returns this host's observations if the peer is the reader of this host's data centre, and nil
// otherwise.
func (directory *Directory) observationsRequestLocked(peer string) *observationsMessage {
	reader, found := directory.roles.FirstReader(directory.options.Self.DataCentre)
	if directory.options.Observer == nil || !found || reader != peer {
		return nil
	}
	if directory.aggregatorHost != reader {
		directory.aggregatorHost, directory.aggregatorCursor = reader, 0
	}
	own := aggregator.Worst(directory.options.Observer.Observations(), directory.observationLimit)
	return &observationsMessage{Observations: own, After: directory.aggregatorCursor}
}

// handleObservationsLocked adds the peer's and this host's observations to the aggregator and returns those that the peer
// lacks.
func (directory *Directory) handleObservationsLocked(peer string, request *observationsMessage) *observationsMessage {
	if directory.options.Observer == nil || request == nil {
		return nil
	}
	now := directory.options.Timer.Now()
	directory.aggregator.Add(now, directory.options.Self.Name, directory.options.Observer.Observations())
	directory.aggregator.Add(now, peer, request.Observations)
	if len(request.Observations) > 0 {
		directory.options.Observer.Observe(request.Observations)
	}
	answer := &observationsMessage{}
	answer.Observations, answer.After = directory.aggregator.Since(now, peer, request.After, directory.observationLimit)
	return answer
}

// applyObservationsLocked passes the observations of the other hosts to the observer.
func (directory *Directory) applyObservationsLocked(peer string, answer *observationsMessage) {
	if answer == nil || directory.options.Observer == nil || peer != directory.aggregatorHost {
		return
	}
	directory.aggregatorCursor = answer.After
	if len(answer.Observations) > 0 {
		directory.options.Observer.Observe(answer.Observations)
	}
}
