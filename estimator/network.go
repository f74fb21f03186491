package estimator

import (
	"time"

	"carobthread"
	"carobthread/messenger"
)

// Delays of the fake links: a data centre's network, the way between data centres of today's
// greatest distance, and the retransmission timeout of TCP.
const (
	delayWithin  = 250 * time.Microsecond
	delayBetween = 1500 * time.Microsecond
	delayJitter  = 500 * time.Microsecond
	retransmit   = 200 * time.Millisecond
	linkIdleSpan = time.Minute // as in the messenger
)

// network holds the faults of links; a blocked message never arrives.
type network struct {
	blocked func(from, to *node) bool
	links   map[[2]string]carobthread.Instant
}

// Block cuts the links from hosts to hosts that the filter names by host name; nil heals all.
func (fleet *Fleet) Block(filter func(from, to carobthread.Host) bool) {
	fleet.network.blocked = nil
	if filter != nil {
		fleet.network.blocked = func(from, to *node) bool { return filter(from.host, to.host) }
	}
}

// transmit runs the arrival of a message after the link's delay, or never.
func (fleet *Fleet) transmit(from, to *node, arrive func()) {
	if fleet.network.blocked != nil && fleet.network.blocked(from, to) {
		return
	}
	delay := delayWithin
	if from.host.DataCentre != to.host.DataCentre {
		delay = delayBetween
	}
	delay += fleet.between(0, delayJitter)
	if fleet.settings.Loss > 0 && fleet.random.Float64() < fleet.settings.Loss {
		delay += retransmit
	}
	fleet.after(delay, arrive)
}

// openLink counts the hello of a link that is not open.
func (fleet *Fleet) openLink(from, to *node) {
	key := [2]string{from.host.Name, to.host.Name}
	used, open := fleet.network.links[key]
	fleet.network.links[key] = fleet.now
	if open && fleet.now.Sub(used) < linkIdleSpan && used > from.began && used > to.began {
		return
	}
	request, reply, err := messenger.EncodeHello(from.host, to.host)
	if err != nil {
		fleet.violate("encode hello: %v", err)
	}
	for _, end := range []*node{from, to} {
		end.count("hello", len(request))
		end.count("hello", len(reply))
	}
}
