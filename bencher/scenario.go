package bencher

import (
	"cmp"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"carobthread"
)

// Parameters of the lognormal distribution of the fake searchers' service times.
const (
	medianServiceTime = 4 * time.Millisecond
	serviceTimeSigma  = 0.3 // standard deviation of the logarithm
)

// Deadlines of the services, counted from the intended start time of a request.
const (
	softDeadline  = 140 * time.Millisecond // leaves 20 ms of the 160 ms target for the network to the caller
	hardDeadline  = 300 * time.Millisecond
	coverageFloor = 0.9
)

const (
	// admissionFactor is the number of requests that all hosts together admit, as a multiple of the slots of a shard.
	// At this limit a request takes about 10 mean service times, far below the deadlines.
	admissionFactor = 10
	// noExtraAttempts disables second attempts.
	noExtraAttempts = -1
)

const (
	utilization        = 0.5                    // arrival rate as a share of capacity
	overloadFactor     = 4                      // raises the load from half the capacity to twice the capacity
	localDelay         = 100 * time.Microsecond // one way, within a data centre
	searcherQueueLimit = 32                     // requests that a searcher queues before it sheds load
	serviceName        = "search"
	firstSnapshot      = uint64(1)
	firstLayout        = uint32(1)
	tickPeriod         = time.Millisecond
	sampleTickPeriod   = 25 * time.Millisecond
	replicasPerShard   = 3
)

// shortFaultSpan is long enough that a draining searcher stays up for more than the 3 s after which it must get no new work.
const shortFaultSpan = 3750 * time.Millisecond

// Scenario defines the size, the network and the timing of one workload. CentreDelay is the one-way network delay between
// data centres, ClientDelay that between a caller and an entry host; ConnectTime is the time to open a connection.
type Scenario struct {
	Name string `json:"name"`
	// Execute marks a workload of requests that must not be repeated. It has one shard, which any of Searchers can serve.
	Execute     bool                   `json:"execute"`
	Shards      int                    `json:"shards"`
	Searchers   int                    `json:"searchers"`
	Slots       int                    `json:"slots"`
	Connections int                    `json:"connections"`
	ConnectTime time.Duration          `json:"connect-time"`
	CentreDelay time.Duration          `json:"centre-delay"`
	ClientDelay time.Duration          `json:"client-delay"`
	Preference  carobthread.Preference `json:"preference"`
	// WarmUp is the time before queries are measured; Measured is the time during which measured queries arrive.
	WarmUp   time.Duration `json:"warm-up"`
	Measured time.Duration `json:"measured"`
	// FaultSpan is the duration of faults that end.
	FaultSpan time.Duration `json:"fault-span"`
	// Deadline, if not 0, replaces the soft and the hard deadline.
	Deadline time.Duration `json:"deadline,omitempty"`
	// Rate, if not 0, replaces the arrival rate, in queries per second.
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
		singleShard(kerala, "kerala-bookings", 20, 3, 100),
		singleShard(kerala, "kerala-payments", 10, 3, 100),
		fanOut(greece, "greece-fair-search", 10, carobthread.CoverageFirst),
		fanOut(greece, "greece-portal", 15, carobthread.LatencyFirst),
		singleShard(greece, "greece-registrar", 30, 2, 35),
		singleShard(greece, "greece-results", 15, 2, 35),
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
	base.Searchers = shards * replicasPerShard
	base.Slots = 3
	base.Connections = 30
	base.ConnectTime = 6 * time.Millisecond
	base.Preference = preference
	return withDurations(base)
}

func singleShard(base Scenario, name string, searchers, slots, connections int) Scenario {
	base.Name = name
	base.Execute = true
	base.Shards = 1
	base.Searchers = searchers
	base.Slots = slots
	base.Connections = connections
	base.ConnectTime = time.Millisecond
	base.Preference = carobthread.CoverageFirst
	base.Tick = tickPeriod
	// These workloads have arrival rates several times higher, so a shorter run gives as many samples.
	return base.Short()
}

func withDurations(base Scenario) Scenario {
	base.WarmUp = 2 * time.Second
	base.Measured = 10 * time.Second
	base.FaultSpan = 6 * time.Second
	base.Tick = tickPeriod
	return base
}

// Short returns the scenario with the shortest times in which every fault still has an effect.
func (scenario Scenario) Short() Scenario {
	scenario.WarmUp, scenario.Measured, scenario.FaultSpan = time.Second, shortFaultSpan, shortFaultSpan
	return scenario
}

// WithDeadline returns the scenario with the soft and the hard deadline set to a multiple of the median query latency.
func (scenario Scenario) WithDeadline(medians float64) Scenario {
	scenario.Deadline = time.Duration(medians * float64(scenario.medianLatency()))
	return scenario
}

// medianLatency returns the median latency of a query on idle searchers: the network delays plus the median service time of
// the slowest shard.
func (scenario Scenario) medianLatency() time.Duration {
	distribution := distuv.LogNormal{Mu: math.Log(medianServiceTime.Seconds()), Sigma: serviceTimeSigma}
	slowest := distribution.Quantile(math.Pow(0.5, 1/float64(scenario.Shards)))
	return 2*scenario.ClientDelay + 2*scenario.CentreDelay + time.Duration(slowest*float64(time.Second))
}

// Sample returns a variant with 3 shards and few queries, small enough to record.
func (scenario Scenario) Sample() Scenario {
	if !scenario.Execute {
		scenario.Shards = 3
		scenario.Searchers = scenario.Shards * replicasPerShard
	}
	scenario.WarmUp = 200 * time.Millisecond
	scenario.Measured = 3 * time.Second
	scenario.FaultSpan = 2400 * time.Millisecond // longer than viewLag
	scenario.Rate = 50
	scenario.Tick = sampleTickPeriod
	return scenario
}

// rate returns the arrival rate in queries per second: Rate, or half the capacity.
func (scenario Scenario) rate() float64 {
	if scenario.Rate > 0 {
		return scenario.Rate
	}
	mean := medianServiceTime.Seconds() * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
	return utilization * float64(scenario.slotsPerShard()) / mean
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
		MaxInFlight:   admissionFactor * scenario.slotsPerShard() / len(hostDataCentres()),
		Layout:        firstLayout,
	}
	if scenario.Execute {
		service.ExtraAttemptRatio = noExtraAttempts
	}
	return service
}

// slotsPerShard returns the number of requests that the replicas of one shard run concurrently.
func (scenario Scenario) slotsPerShard() int {
	return scenario.Slots * scenario.Searchers / scenario.Shards
}
