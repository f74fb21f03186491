package server

// What hosts see of searchers and data centres travels with the exchanges of the directory: the hosts of a data centre pool
// their observations at the host that reads the store for them, and a host whose data centre seems cut off looks for
// hosts of the others that answer again.

import (
	"slices"

	"carobthread"
	"carobthread/pooler"
)

// Observer sees how attempts at searchers end.
type Observer interface {
	// Observations returns what other hosts should know of this host's attempts since the last call.
	Observations() []carobthread.Observation
	// Observe takes what other hosts have seen.
	Observe(observations []carobthread.Observation)
	// CutOff returns the data centres that answer nothing while callers are better served by hosts elsewhere.
	CutOff() []string
	// Reached tells that a host of the data centre has answered.
	Reached(dataCentre string)
}

var _ Observer = (*Search)(nil)

// poolMessage holds the own observations in a request and those of other hosts in an answer.
type poolMessage struct {
	Observations []carobthread.Observation `json:"observations,omitempty"`
	// After is up to where the observations of other hosts are known.
	After uint64 `json:"after,omitempty"`
}

// cutOffLocked returns, at every other turn, a host of a data centre whose searchers answer nothing, to see when it can
// be reached again: a host that is not ready gets no requests that would show it.
func (directory *Directory) cutOffLocked() string {
	if directory.options.Observer == nil || directory.turn%2 == 0 {
		return ""
	}
	centres := directory.options.Observer.CutOff()
	if cut := len(centres) > 0; cut != directory.cutOff {
		directory.cutOff = cut
		directory.options.Logger.Info().Str("event", "reach-changed").Bool("serving", !cut).Strs("cut-off", centres).
			Msg("the reach of other data centres changed")
	}
	if len(centres) == 0 {
		return ""
	}
	return directory.options.Tracker.Contact(centres[directory.random.IntN(len(centres))])
}

// reachedLocked tells the query path that a host of a data centre that was cut off has answered.
func (directory *Directory) reachedLocked(peer string) {
	if directory.options.Observer == nil {
		return
	}
	centre := directory.options.Tracker.DataCentre(peer)
	if slices.Contains(directory.options.Observer.CutOff(), centre) {
		directory.options.Observer.Reached(centre)
		directory.options.Logger.Info().Str("event", "data-centre-reached").Str("peer", peer).Str("peer-data-centre", centre).
			Msg("a data centre that was cut off answers")
	}
}

// poolRequestLocked returns the own observations for the reader of the data centre, or nil for any other peer.
func (directory *Directory) poolRequestLocked(peer string) *poolMessage {
	reader, found := directory.roles.First(directory.options.Self.DataCentre)
	if directory.options.Observer == nil || !found || reader != peer {
		return nil
	}
	if directory.poolHost != reader {
		directory.poolHost, directory.pooled = reader, 0
	}
	own := pooler.Worst(directory.options.Observer.Observations(), directory.poolLimit)
	return &poolMessage{Observations: own, After: directory.pooled}
}

// poolLocked adds a host's observations to the pool and returns those of the others with the own ones.
func (directory *Directory) poolLocked(peer string, request *poolMessage) *poolMessage {
	if directory.options.Observer == nil || request == nil {
		return nil
	}
	now := directory.options.Timer.Now()
	directory.pool.Add(now, directory.options.Self.Name, directory.options.Observer.Observations())
	directory.pool.Add(now, peer, request.Observations)
	if len(request.Observations) > 0 {
		directory.options.Observer.Observe(request.Observations)
	}
	answer := &poolMessage{}
	answer.Observations, answer.After = directory.pool.Since(now, peer, request.After, directory.poolLimit)
	return answer
}

// poolAnswerLocked takes the observations of the other hosts.
func (directory *Directory) poolAnswerLocked(peer string, answer *poolMessage) {
	if answer == nil || directory.options.Observer == nil || peer != directory.poolHost {
		return
	}
	directory.pooled = answer.After
	if len(answer.Observations) > 0 {
		directory.options.Observer.Observe(answer.Observations)
	}
}
