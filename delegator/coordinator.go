package delegator

// The coordinators of a host are the live hosts with at least MinCapacityRatio times its capacity. Rendezvous hashing by route
// and request bucket sends the same requests of all hosts to the same coordinators; the bound on the load of each spreads
// what exceeds its share.

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

const (
	// MinCapacityRatio is how many times the capacity of a host its coordinators must have: with less, the work of both hosts
	// for the delegation outweighs the spare capacity.
	MinCapacityRatio = 2
	// requestBuckets is the number of groups of requests that a route's requests are divided into.
	requestBuckets = 16
	// loadFactor is the factor by which a coordinator's outstanding queries of this host may exceed its share.
	loadFactor = 1.25
	// maxOutstanding bounds the outstanding queries at one coordinator; a link carries 64 calls, some of them exchanges.
	maxOutstanding = 48
	// overloadPause is how long a coordinator is passed over after it refused a query because it is overloaded.
	overloadPause = 100 * time.Millisecond
	// stopPause is how long a coordinator is passed over after it refused a query because it stops or is not ready; the
	// membership shows the change by then.
	stopPause = 2 * time.Second
	// minSilencePause and maxSilencePause bound how long a coordinator is passed over after it was silent; the time doubles with
	// each silence in a row.
	minSilencePause = 250 * time.Millisecond
	maxSilencePause = 4 * time.Second
)

// coordinator is a host that may coordinate queries of this host.
type coordinator struct {
	host        carobthread.Host
	hash        uint64
	outstanding int
	// acceptMean and acceptDeviation are moving averages of the time until the acceptance and of its deviation, or 0.
	acceptMean      time.Duration
	acceptDeviation time.Duration
	avoidedUntil    carobthread.Instant
	silentUntil     carobthread.Instant
	silence         time.Duration
}

// recordAccept records that the coordinator answers and how long that took.
func (target *coordinator) recordAccept(took time.Duration) {
	const weight = 8
	target.silence, target.silentUntil = 0, 0
	if target.acceptMean == 0 {
		target.acceptMean, target.acceptDeviation = took, took/2
		return
	}
	took = min(took, 2*target.acceptTimeout()) // one pause must not raise the time that later ones are waited for by much
	deviation := (took - target.acceptMean).Abs()
	target.acceptDeviation += (deviation - target.acceptDeviation) / weight
	target.acceptMean += (took - target.acceptMean) / weight
}

// acceptTimeout returns the time within which the coordinator accepts unless something is wrong.
func (target *coordinator) acceptTimeout() time.Duration {
	const deviations = 4
	if target.acceptMean == 0 {
		return initialAcceptTime + acceptSlack
	}
	return target.acceptMean + deviations*target.acceptDeviation + acceptSlack
}

// avoidSilent passes the coordinator over for a time that doubles with each silence in a row.
func (target *coordinator) avoidSilent(now carobthread.Instant) {
	if target.silent(now) {
		return
	}
	target.silence = min(max(2*target.silence, minSilencePause), maxSilencePause)
	target.silentUntil = now.Add(target.silence)
}

func (target *coordinator) avoidRefusing(now carobthread.Instant, reason carobthread.Reason, retryAfter time.Duration) {
	switch reason {
	case carobthread.ReasonLayoutMissing, carobthread.ReasonCutOff:
	case carobthread.ReasonOverload, carobthread.ReasonMemory:
		target.avoidedUntil = now.Add(max(retryAfter, overloadPause))
	case carobthread.ReasonStopping, carobthread.ReasonNotReady:
		target.avoidedUntil = now.Add(stopPause)
	default:
		target.avoidSilent(now)
	}
}

func (target *coordinator) silent(now carobthread.Instant) bool { return now < target.silentUntil }

func (target *coordinator) available(now carobthread.Instant) bool {
	return now >= target.avoidedUntil && !target.silent(now) && target.outstanding < maxOutstanding
}

// Coordinates reports whether the host may coordinate queries of the other one, by their stated capacities.
func Coordinates(host, other *carobthread.Host) bool {
	return other.Capacity > 0 && host.Capacity >= MinCapacityRatio*other.Capacity
}

// CoordinatorCount counts the hosts that may coordinate queries of another one.
type CoordinatorCount struct {
	// All is their number in all data centres, Local that in this host's.
	All   int
	Local int
	// Self is set if this host is one of them.
	Self bool
}

// CountCoordinators counts the coordinators of a view. Hosts that are leaving do not count; hosts that are silent do, since
// they may be merely unreachable.
func CountCoordinators(view *carobthread.View) CoordinatorCount {
	count, self, least := CoordinatorCount{}, carobthread.Host{}, carobthread.Host{}
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if host.Name == view.Self {
			self = *host
		}
		if host.State != carobthread.HostLeaving && host.Capacity > 0 && (least.Capacity == 0 || host.Capacity < least.Capacity) {
			least = *host
		}
	}
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if host.State == carobthread.HostLeaving || !Coordinates(host, &least) {
			continue
		}
		count.All++
		if host.DataCentre == self.DataCentre {
			count.Local++
		}
		count.Self = count.Self || host.Name == view.Self
	}
	return count
}

// applyView replaces the coordinators by the live hosts with enough capacity and keeps what is known of them.
func (delegator *Delegator) applyView(view *carobthread.View) {
	for i := range view.Hosts {
		if view.Hosts[i].Name == view.Self {
			delegator.self = view.Hosts[i]
		}
	}
	delegator.otherCentres = nil
	for i := range view.Hosts {
		if centre := view.Hosts[i].DataCentre; centre != delegator.self.DataCentre && !slices.Contains(delegator.otherCentres, centre) {
			delegator.otherCentres = append(delegator.otherCentres, centre)
		}
	}
	previous := delegator.coordinators
	delegator.coordinators = map[string]*coordinator{}
	delegator.centres = map[string][]*coordinator{}
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if host.State != carobthread.HostLive || host.Name == view.Self || !Coordinates(host, &delegator.self) {
			continue
		}
		target := previous[host.Name]
		if target == nil || target.host.Incarnation != host.Incarnation {
			target = &coordinator{hash: xxhash.Sum64String(host.Name)}
		}
		target.host = *host
		delegator.coordinators[host.Name] = target
		delegator.centres[host.DataCentre] = append(delegator.centres[host.DataCentre], target)
	}
}

// choose returns the coordinator for the next try of a query, or nil if none is left.
func (delegator *Delegator) choose(row *query) (*coordinator, ChoiceReason) {
	const centresTried = 2
	tried := 0
	for _, centre := range delegator.centreOrder(row.service) {
		if len(delegator.centres[centre]) == 0 || centre != delegator.self.DataCentre && delegator.CutOff(delegator.now) {
			continue
		}
		if target, first := delegator.chooseIn(centre, row); target != nil {
			switch {
			case tried > 0:
				return target, ChoiceOtherCentre
			case first:
				return target, ChoiceFirst
			}
			return target, ChoiceNext
		}
		if tried++; tried == centresTried {
			break
		}
	}
	return nil, ""
}

// centreOrder returns the data centres that hold searchers of the service in the order in which they are tried: this host's
// own one first if it holds enough shards, then the others that do, then the rest.
func (delegator *Delegator) centreOrder(service *service) []string {
	order := slices.Clone(service.centres)
	rank := func(centre string) (class int, weight uint64) {
		switch {
		case !service.holdsEnough(centre):
			class = 2
		case centre != delegator.self.DataCentre:
			class = 1
		}
		return class, xxhash.Sum64String(service.name + "\x00" + delegator.self.Name + "\x00" + centre)
	}
	slices.SortFunc(order, func(left, right string) int {
		leftClass, leftWeight := rank(left)
		rightClass, rightWeight := rank(right)
		switch {
		case leftClass != rightClass:
			return leftClass - rightClass
		case leftWeight > rightWeight:
			return -1
		}
		return 1
	})
	return order
}

// chooseIn returns the available coordinator of the data centre with the greatest weight whose load is within its share;
// first is set if no other has a greater weight.
func (delegator *Delegator) chooseIn(centre string, row *query) (best *coordinator, first bool) {
	total, capacity := 1, 0.0
	for _, target := range delegator.centres[centre] {
		if target.available(delegator.now) {
			total += target.outstanding
			capacity += target.host.Capacity
		}
	}
	bucket := xxhash.Sum64String(row.request) % requestBuckets
	key := xxhash.Sum64String(row.service.name) + bucket*0x9e3779b97f4a7c15 // spreads the buckets over the range of the hash
	bestScore, topScore := math.Inf(-1), math.Inf(-1)
	for _, target := range delegator.centres[centre] {
		score := rendezvousScore(key, target)
		topScore = max(topScore, score)
		bound := math.Ceil(loadFactor * float64(total) * target.host.Capacity / capacity)
		if !target.available(delegator.now) || float64(target.outstanding) >= bound || slices.Contains(row.tried, target.host.Name) {
			continue
		}
		if score > bestScore {
			best, bestScore = target, score
		}
	}
	return best, best != nil && bestScore == topScore
}

// rendezvousScore returns the weight of a coordinator for a key; the share of the keys for which it is the greatest is
// proportional to the coordinator's capacity.
func rendezvousScore(key uint64, target *coordinator) float64 {
	const mantissaBits = 53
	mixed := (key ^ target.hash) * 0xff51afd7ed558ccd // a 64-bit mix, since the two hashes are combined without another pass
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	mixed ^= mixed >> 33
	uniform := (float64(mixed>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -target.host.Capacity / math.Log(uniform)
}

// service is what the delegation of a service's queries depends on.
type service struct {
	name         string
	softDeadline time.Duration
	maxSearchers int
	delegable    bool
	shards       int
	// definition is Layout.Definition.
	definition uint64
	// centres holds the data centres with a searcher of any shard in the order of their names, held the number of their shards.
	centres []string
	held    map[string]int
}

// holdsEnough reports whether the data centre has a searcher of at least half of the shards.
func (service *service) holdsEnough(centre string) bool {
	return 2*service.held[centre] >= service.shards
}

func (service *service) hedgeDelay() time.Duration { return service.softDeadline / hedgeDelayDivisor }

// Delegable reports whether queries of the service may be delegated: another host may repeat them at a second searcher of
// each shard, and there is more than one shard.
func Delegable(config *carobthread.Service, shards int) bool {
	return config.Kind == carobthread.KindSearch && config.MaxSearchers >= 2 && !config.AtMostOnce && config.FloorRequired &&
		config.SoftDeadline > 0 && shards > 1
}

func (delegator *Delegator) configure(config *carobthread.Config) {
	centreOf := make(map[string]string, len(config.Searchers))
	for i := range config.Searchers {
		if searcher := &config.Searchers[i]; !searcher.Leaving {
			centreOf[searcher.Name] = searcher.DataCentre
		}
	}
	layouts := make(map[string]*carobthread.Layout, len(config.Layouts))
	for i := range config.Layouts {
		layouts[config.Layouts[i].Service] = &config.Layouts[i]
	}
	delegator.services = make(map[string]*service, len(config.Services))
	for i := range config.Services {
		current := &config.Services[i]
		if layout := layouts[current.Name]; layout != nil && Delegable(current, len(layout.Shards)) {
			delegator.services[current.Name] = newService(current, layout, centreOf)
		}
	}
}

func newService(config *carobthread.Service, layout *carobthread.Layout, centreOf map[string]string) *service {
	row := &service{
		name: config.Name, softDeadline: config.SoftDeadline, maxSearchers: config.MaxSearchers, delegable: true,
		shards: len(layout.Shards), definition: layout.Definition, held: map[string]int{},
	}
	for _, searchers := range layout.Shards {
		var counted []string
		for _, name := range searchers {
			if centre, found := centreOf[name]; found && !slices.Contains(counted, centre) {
				counted = append(counted, centre)
				row.held[centre]++
			}
		}
	}
	for centre := range row.held {
		row.centres = append(row.centres, centre)
	}
	slices.SortFunc(row.centres, strings.Compare)
	return row
}
