package estimator

import (
	"time"

	"carobthread"
	"carobthread/messenger"
)

// Delays of the simulated links: within a data centre, between data centres at the greatest distance in use today,
// and the retransmission timeout of TCP.
const (
	intraCentreDelay      = 250 * time.Microsecond
	interCentreDelay      = 1500 * time.Microsecond
	linkJitter            = 500 * time.Microsecond
	retransmissionTimeout = 200 * time.Millisecond
	linkIdleTimeout       = time.Minute // idleTimeout of the messenger
)

// network is the state of the simulated links. A blocked message never arrives.
type network struct {
	blocked  func(from, to *node) bool
	lastUsed map[[2]string]carobthread.Instant
}

// Block cuts the links for which the filter returns true; nil restores all links.
func (fleet *Fleet) Block(filter func(from, to carobthread.Host) bool) {
	fleet.network.blocked = nil
	if filter != nil {
		fleet.network.blocked = func(from, to *node) bool { return filter(from.host, to.host) }
	}
}

// transmit delivers a message by calling arrive after the delay of the link, or never if the link is cut.
func (fleet *Fleet) transmit(from, to *node, arrive func()) {
	if fleet.network.blocked != nil && fleet.network.blocked(from, to) {
		return
	}
	delay := intraCentreDelay
	if from.host.DataCentre != to.host.DataCentre {
		delay = interCentreDelay
	}
	delay += fleet.randomDuration(0, linkJitter)
	if fleet.options.Loss > 0 && fleet.random.Float64() < fleet.options.Loss {
		delay += retransmissionTimeout
	}
	fleet.after(delay, arrive)
}

// openLink counts the hello messages of a new connection, unless the link is open: used within the idle timeout and
// since both hosts started.
func (fleet *Fleet) openLink(from, to *node) {
	key := [2]string{from.host.Name, to.host.Name}
	used, open := fleet.network.lastUsed[key]
	fleet.network.lastUsed[key] = fleet.now
	if open && fleet.now.Sub(used) < linkIdleTimeout && used > from.startedAt && used > to.startedAt {
		return
	}
	request, reply, err := messenger.EncodeHello(from.host, to.host)
	if err != nil {
		fleet.addViolation("encode hello: %v", err)
	}
	for _, end := range []*node{from, to} {
		end.countMessage("hello", len(request))
		end.countMessage("hello", len(reply))
	}
}
