package estimator

import (
	"fmt"
	"runtime"
	"time"
)

// The target size and its budgets.
const (
	targetHosts              = 6900
	targetDataCentres        = 9
	targetObjects            = 32000
	targetTicketsPerDay      = 18000
	targetRestartsPerDay     = 13000
	secondsPerDay            = 24 * 60 * 60
	budgetBytesPerSecond     = 3000 // per host
	budgetCPUPercent         = 2.1  // percent of a core per host
	budgetMemoryMB           = 256  // per host
	budgetPlatformCalls      = 2000 // per second, whole fleet
	budgetPropagationSeconds = 4.0
)

// Durations in virtual time. The warm-up is longer than the gossip that follows the start of all hosts at once.
const (
	warmUpTime  = 100 * time.Second
	minLoadTime = 60 * time.Second
	// minHostSeconds makes small fleets run longer, so that each CPU sample covers as many host-seconds.
	minHostSeconds      = 12000
	restartWarmUpTime   = 30 * time.Second
	ticketInterval      = 700 * time.Millisecond
	ticketsPerCondition = 10
	settleTime          = 4 * time.Second
)

// Options configure a measurement.
type Options struct {
	// Sizes are the host counts of the fleets, ascending. The largest fleet is also measured at several ticket and
	// restart rates.
	Sizes []int
	Seed  uint64
}

// DefaultFleetSizes returns the fleet sizes that the design specifies.
func DefaultFleetSizes() []int { return []int{4, 50, 100, 200} }

// Sample is the measurement of one fleet at one ticket and restart rate.
type Sample struct {
	Hosts          int     `json:"hosts"`
	TicketsPerDay  float64 `json:"tickets-per-day"`
	RestartsPerDay float64 `json:"restarts-per-day"`
	Load           Load    `json:"load"`
	// CPUPercent is the real time spent in the state machines of a host, in percent of a CPU core.
	CPUPercent float64 `json:"cpu-percent"`
	// MemoryMB is the heap size per host.
	MemoryMB float64 `json:"memory-mb"`
}

// PropagationSample is the time that tickets took to reach the hosts of one fleet under one fault condition.
type PropagationSample struct {
	Hosts     int           `json:"hosts"`
	Condition string        `json:"condition"`
	P50       time.Duration `json:"p50-ns"`
	P99       time.Duration `json:"p99-ns"`
	Max       time.Duration `json:"max-ns"`
	Missed    int           `json:"missed"`
}

// Projection is one quantity extrapolated to the target size, with its budget.
type Projection struct {
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	Figure   float64 `json:"figure"`
	Error    float64 `json:"error"`
	// Budget is 0 for a quantity without a budget.
	Budget float64 `json:"budget,omitempty"`
	Basis  string  `json:"basis"`
}

// InBudget reports whether the figure is within its budget.
func (projection Projection) InBudget() bool {
	return projection.Budget == 0 || projection.Figure <= projection.Budget
}

// Report holds the results of a measurement.
type Report struct {
	Seed         uint64              `json:"seed"`
	Samples      []Sample            `json:"samples"`
	Propagations []PropagationSample `json:"waves"`
	Fits         []Fit               `json:"fits"`
	Target       []Projection        `json:"target"`
	Violations   []string            `json:"violations"`
}

// OverBudget returns the projections that exceed their budgets.
func (report *Report) OverBudget() []Projection {
	var exceeded []Projection
	for _, projection := range report.Target {
		if !projection.InBudget() {
			exceeded = append(exceeded, projection)
		}
	}
	return exceeded
}

// measurement collects the samples that the fits need.
type measurement struct {
	options       Options
	report        *Report
	bySize        []Sample
	byTicketRate  []Sample
	byRestartRate []Sample
	bytesPerJoin  []float64 // sent and received by both ends, per fleet size
}

// Measure runs the fleets and extrapolates their figures to the target size.
func Measure(options Options) (*Report, error) {
	if len(options.Sizes) < 3 {
		return nil, fmt.Errorf("at least three fleet sizes are needed to estimate the error of a slope, got %d", len(options.Sizes))
	}
	run := &measurement{options: options, report: &Report{Seed: options.Seed}}
	for i, size := range options.Sizes {
		if err := run.measureSize(size, i == len(options.Sizes)-1); err != nil {
			return nil, err
		}
	}
	return run.report, run.extrapolate()
}

// measureSize measures a fleet of that many hosts. The largest fleet is also measured at other ticket and restart rates.
func (run *measurement) measureSize(hosts int, largest bool) error {
	before := heapBytes()
	fleet := NewFleet(FleetOptions{Hosts: hosts, Centres: 3, Searchers: 20, Seed: run.options.Seed})
	fleet.Run(warmUpTime)
	memory := float64(heapBytes()-before) / float64(hosts) / (1 << 20)
	span := max(minLoadTime, minHostSeconds/time.Duration(hosts)*time.Second)
	sample := run.measureLoad(fleet, targetTicketsPerDay, 0, span)
	sample.MemoryMB = memory
	run.report.Samples[len(run.report.Samples)-1].MemoryMB = memory
	run.bySize = append(run.bySize, sample)
	run.byTicketRate = append(run.byTicketRate, sample)
	if largest {
		run.byTicketRate = []Sample{sample}
		for _, factor := range []float64{0, 2, 4} {
			run.byTicketRate = append(run.byTicketRate, run.measureLoad(fleet, factor*targetTicketsPerDay, 0, minLoadTime))
		}
		run.byRestartRate = []Sample{sample}
		for _, factor := range []float64{0.5, 1, 2} {
			run.measureLoad(fleet, targetTicketsPerDay, factor*targetRestartsPerDay, restartWarmUpTime)
			run.byRestartRate = append(run.byRestartRate, run.measureLoad(fleet, targetTicketsPerDay, factor*targetRestartsPerDay, minLoadTime))
		}
		fleet.Run(warmUpTime)
	}
	run.measureJoin(fleet)
	err := run.measurePropagation(fleet)
	run.report.Violations = append(run.report.Violations, fleet.Violations()...)
	return err
}

// measureLoad applies a load to the fleet for the given time, and records and returns the sample. Rates are per day.
func (run *measurement) measureLoad(fleet *Fleet, tickets, restarts float64, span time.Duration) Sample {
	coreTimeBefore := fleet.coreTime
	fleet.generateLoad(tickets, restarts, span)
	hostSeconds := span.Seconds() * float64(len(fleet.nodes))
	sample := Sample{
		Hosts: len(fleet.nodes), TicketsPerDay: tickets, RestartsPerDay: restarts, Load: fleet.Load(),
		CPUPercent: 100 * (fleet.coreTime - coreTimeBefore).Seconds() / hostSeconds,
	}
	run.report.Samples = append(run.report.Samples, sample)
	return sample
}

// generateLoad resets the traffic counters, then publishes tickets and restarts random hosts at even intervals for
// the given time. Rates are per day.
func (fleet *Fleet) generateLoad(tickets, restarts float64, span time.Duration) {
	fleet.ResetTraffic()
	end := fleet.now.Add(span)
	published, restarted := 0, 0
	for began := fleet.now; fleet.now < end; {
		fleet.Run(100 * time.Millisecond)
		elapsed := fleet.now.Sub(began).Seconds()
		if float64(published+1) <= elapsed*tickets/secondsPerDay {
			fleet.Publish(1 + published%3)
			published++
		}
		if float64(restarted+1) <= elapsed*restarts/secondsPerDay {
			fleet.Restart(fleet.nodes[fleet.random.IntN(len(fleet.nodes))].host.Name)
			restarted++
		}
	}
	fleet.DiscardTickets()
}

// measureJoin records the bytes of one join, which is the cost of a start without the fetch of its objects, counted at
// both ends.
func (run *measurement) measureJoin(fleet *Fleet) {
	fleet.ResetTraffic()
	fleet.Restart(fleet.nodes[len(fleet.nodes)-1].host.Name)
	fleet.Run(settleTime)
	run.bytesPerJoin = append(run.bytesPerJoin, fleet.Load().methodLoad("join")*settleTime.Seconds()*float64(len(fleet.nodes)))
}

// measurePropagation measures propagation without a fault, with a killed reader and with a data centre cut off from
// the platform.
func (run *measurement) measurePropagation(fleet *Fleet) error {
	fleet.Run(settleTime)
	run.measureCondition(fleet, "none")
	reader, err := fleet.Reader("dc1")
	if err != nil {
		return err
	}
	fleet.Kill(reader)
	run.measureCondition(fleet, "reader-killed")
	fleet.Restart(reader)
	fleet.Run(warmUpTime)
	fleet.CutPlatform("dc2", true)
	run.measureCondition(fleet, "centre-cut-off")
	return nil
}

// measureCondition publishes tickets and records their propagation under a fault condition.
func (run *measurement) measureCondition(fleet *Fleet, condition string) {
	for i := range ticketsPerCondition {
		fleet.Publish(1 + i%3)
		fleet.Run(ticketInterval)
	}
	fleet.Run(settleTime)
	delays := fleet.Propagation()
	fleet.DiscardTickets()
	run.report.Propagations = append(run.report.Propagations, PropagationSample{
		Hosts: len(fleet.nodes), Condition: condition, P50: delays.P50, P99: delays.P99, Max: delays.Max, Missed: delays.Missed,
	})
}

// methodLoad returns the bytes per second and host of a method.
func (load Load) methodLoad(method string) float64 {
	for _, methodLoad := range load.BytesByMethod {
		if methodLoad.Method == method {
			return methodLoad.BytesPerHost
		}
	}
	return 0
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// stateMemory returns the heap size, in MB, of a configuration state with that many searchers.
func stateMemory(searchers int) float64 {
	before := heapBytes()
	state, _ := searcherState(searchers)
	memory := float64(heapBytes()-before) / (1 << 20)
	runtime.KeepAlive(state)
	return memory
}
