package bencher

import (
	"cmp"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"carobthread"
)

// Service times of the fake searchers follow a lognormal distribution.
const (
	medianServiceTime = 4 * time.Millisecond
	serviceTimeSigma  = 0.3 // standard deviation of the logarithm
)

// Deadlines of the services, from the moment a request should have started.
const (
	softDeadline  = 140 * time.Millisecond // leaves 20 ms of the 160 ms target for the way to the caller
	hardDeadline  = 300 * time.Millisecond
	coverageFloor = 0.9
)

const (
	// admittedTimes is the requests admitted by all hosts as a multiple of the slots of a shard.
	// A service that is full then takes about 10 mean service times for a request, far below the deadlines.
	admittedTimes = 10
	// noExtraShare permits no second attempts.
	noExtraShare = -1
)

const (
	loadShare       = 0.5 // arrivals as a share of capacity
	overloadFactor  = 4   // raises half of capacity to twice the capacity
	localDelay      = 100 * time.Microsecond
	searcherQueue   = 32 // requests that a searcher keeps waiting before it sheds
	serviceName     = "search"
	firstSnapshot   = uint64(1)
	firstLayout     = uint32(1)
	tickPeriod      = time.Millisecond
	sampleTick      = 25 * time.Millisecond
	replicasOfShard = 3
)

// shortFaultSpan still keeps draining searchers up for longer than the bound of 3 s on new work.
const shortFaultSpan = 3750 * time.Millisecond

// Scenario is the size and the network of one workload; delays are one way.
type Scenario struct {
	Name string `json:"name"`
	// Execute marks requests that may not be repeated: one shard, served by any of Searchers.
	Execute     bool                   `json:"execute"`
	Shards      int                    `json:"shards"`
	Searchers   int                    `json:"searchers"`
	Slots       int                    `json:"slots"`
	Connections int                    `json:"connections"`
	ConnectTime time.Duration          `json:"connect-time"`
	CentreDelay time.Duration          `json:"centre-delay"`
	ClientDelay time.Duration          `json:"client-delay"`
	Preference  carobthread.Preference `json:"preference"`
	// WarmUp passes before queries are measured, Measured is the time of measured arrivals.
	WarmUp   time.Duration `json:"warm-up"`
	Measured time.Duration `json:"measured"`
	// FaultSpan is how long a fault with an end lasts.
	FaultSpan time.Duration `json:"fault-span"`
	// Deadline replaces the soft and the hard deadline if it is not 0.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Rate replaces the arrivals a second if it is not 0.
	Rate float64       `json:"rate,omitempty"`
	Tick time.Duration `json:"tick"`
}

// Scenarios returns all scenarios in the order of the report.
func Scenarios() []Scenario {
	kerala := Scenario{CentreDelay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond}
	greece := Scenario{CentreDelay: 500 * time.Microsecond, ClientDelay: time.Millisecond}
	target := fanOut(greece, "target-fan-out", 120, carobthread.LatencyFirst)
	target = target.Short()
	return []Scenario{
		fanOut(kerala, "kerala-matching", 10, carobthread.LatencyFirst),
		fanOut(kerala, "kerala-roster", 15, carobthread.LatencyFirst),
		single(kerala, "kerala-bookings", 20, 3, 100),
		single(kerala, "kerala-payments", 10, 3, 100),
		fanOut(greece, "greece-fair-search", 10, carobthread.CoverageFirst),
		fanOut(greece, "greece-portal", 15, carobthread.LatencyFirst),
		single(greece, "greece-registrar", 30, 2, 35),
		single(greece, "greece-results", 15, 2, 35),
		target,
	}
}

// FindScenario returns the scenario of that name.
func FindScenario(name string) (Scenario, bool) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}

func fanOut(base Scenario, name string, shards int, preference carobthread.Preference) Scenario {
	base.Name = name
	base.Shards = shards
	base.Searchers = shards * replicasOfShard
	base.Slots = 3
	base.Connections = 30
	base.ConnectTime = 6 * time.Millisecond
	base.Preference = preference
	return withTimes(base)
}

func single(base Scenario, name string, searchers, slots, connections int) Scenario {
	base.Name = name
	base.Execute = true
	base.Shards = 1
	base.Searchers = searchers
	base.Slots = slots
	base.Connections = connections
	base.ConnectTime = time.Millisecond
	base.Preference = carobthread.CoverageFirst
	base.Tick = tickPeriod
	// The rates of these workloads are several times higher, so fewer seconds give as many samples.
	return base.Short()
}

func withTimes(base Scenario) Scenario {
	base.WarmUp = 2 * time.Second
	base.Measured = 10 * time.Second
	base.FaultSpan = 6 * time.Second
	base.Tick = tickPeriod
	return base
}

// Short returns the scenario with the least time in which every fault still shows.
func (scenario Scenario) Short() Scenario {
	scenario.WarmUp, scenario.Measured, scenario.FaultSpan = time.Second, shortFaultSpan, shortFaultSpan
	return scenario
}

// WithDeadline returns the scenario with a soft and hard deadline of this many medians of a query's latency.
func (scenario Scenario) WithDeadline(medians float64) Scenario {
	scenario.Deadline = time.Duration(medians * float64(scenario.medianLatency()))
	return scenario
}

// medianLatency is the median latency of a query on idle searchers: the network and the median of the slowest shard.
func (scenario Scenario) medianLatency() time.Duration {
	slowest := distuv.LogNormal{Mu: math.Log(medianServiceTime.Seconds()), Sigma: serviceTimeSigma}
	service := slowest.Quantile(math.Pow(0.5, 1/float64(scenario.Shards)))
	return 2*scenario.ClientDelay + 2*scenario.CentreDelay + time.Duration(service*float64(time.Second))
}

// Sample returns a scenario of 3 shards and few queries, small enough to record it.
func (scenario Scenario) Sample() Scenario {
	if !scenario.Execute {
		scenario.Shards = 3
		scenario.Searchers = scenario.Shards * replicasOfShard
	}
	scenario.WarmUp = 200 * time.Millisecond
	scenario.Measured = 3 * time.Second
	scenario.FaultSpan = 2400 * time.Millisecond // longer than the lag of the view
	scenario.Rate = 50
	scenario.Tick = sampleTick
	return scenario
}

// rate returns arrivals a second at half of capacity.
func (scenario Scenario) rate() float64 {
	if scenario.Rate > 0 {
		return scenario.Rate
	}
	mean := medianServiceTime.Seconds() * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
	return loadShare * float64(scenario.slotsOfShard()) / mean
}

func (scenario Scenario) softDeadline() time.Duration {
	return cmp.Or(scenario.Deadline, softDeadline)
}

func (scenario Scenario) hardDeadline() time.Duration {
	return cmp.Or(scenario.Deadline, hardDeadline)
}

// service returns the configuration of the scenario's service.
func (scenario Scenario) service() carobthread.Service {
	service := carobthread.Service{
		Name:          serviceName,
		Kind:          carobthread.KindSearch,
		Preference:    scenario.Preference,
		SoftDeadline:  scenario.softDeadline(),
		HardDeadline:  scenario.hardDeadline(),
		CoverageFloor: coverageFloor,
		MaxInFlight:   admittedTimes * scenario.slotsOfShard() / len(hostCentres()),
		Layout:        firstLayout,
	}
	if scenario.Execute {
		service.ExtraShare = noExtraShare
	}
	return service
}

// slotsOfShard is the number of requests that the replicas of one shard run at once.
func (scenario Scenario) slotsOfShard() int {
	return scenario.Slots * scenario.Searchers / scenario.Shards
}
