package estimator

import (
	"fmt"
	"runtime"
	"time"
)

// The target size and its budget lines.
const (
	targetHosts     = 6900
	targetCentres   = 9
	targetObjects   = 32000
	targetTickets   = 18000 // a day
	targetRestarts  = 13000 // a day
	secondsOfDay    = 24 * 60 * 60
	budgetBytes     = 3000 // per host and second
	budgetCPU       = 2.1  // percent of a core
	budgetMemory    = 256  // MB
	budgetCalls     = 2000 // platform calls per second of the fleet
	budgetPropagate = 4.0  // seconds
)

// Spans of the measurement in virtual time. The warm-up outlasts the rumours of a start of all hosts at once.
const (
	warmUp = 100 * time.Second
	phase  = 60 * time.Second
	// Small fleets run longer, so that each sample of CPU covers as many host-seconds.
	leastHostSeconds = 12000
	restartLeadIn    = 30 * time.Second
	ticketSpacing    = 700 * time.Millisecond
	ticketsOfWave    = 10
	settleSpan       = 4 * time.Second
)

// Options select what is measured.
type Options struct {
	// Sizes are the fleets' numbers of hosts, ascending; the last one also gives the slopes against rates.
	Sizes []int
	Seed  uint64
}

// DefaultSizes are the fleet sizes of the design.
func DefaultSizes() []int { return []int{4, 50, 100, 200} }

// Sample is the measurement of one fleet at one load.
type Sample struct {
	Hosts          int     `json:"hosts"`
	TicketsPerDay  float64 `json:"tickets-per-day"`
	RestartsPerDay float64 `json:"restarts-per-day"`
	Load           Load    `json:"load"`
	// CPUPercent is the real time spent in each host's cores, in percent of a core.
	CPUPercent float64 `json:"cpu-percent"`
	// MemoryMB is the heap for each host.
	MemoryMB float64 `json:"memory-mb"`
}

// Wave is the propagation of tickets under one condition.
type Wave struct {
	Hosts     int           `json:"hosts"`
	Condition string        `json:"condition"`
	P50       time.Duration `json:"p50-ns"`
	P99       time.Duration `json:"p99-ns"`
	Max       time.Duration `json:"max-ns"`
	Missed    int           `json:"missed"`
}

// Line is one figure at the target size beside its budget.
type Line struct {
	Quantity string  `json:"quantity"`
	Unit     string  `json:"unit"`
	Figure   float64 `json:"figure"`
	Error    float64 `json:"error"`
	// Budget is 0 for a figure that has none.
	Budget float64 `json:"budget,omitempty"`
	Basis  string  `json:"basis"`
}

// Kept reports whether the figure is within its budget.
func (line Line) Kept() bool { return line.Budget == 0 || line.Figure <= line.Budget }

// Report is the whole measurement.
type Report struct {
	Seed       uint64   `json:"seed"`
	Samples    []Sample `json:"samples"`
	Waves      []Wave   `json:"waves"`
	Fits       []Fit    `json:"fits"`
	Target     []Line   `json:"target"`
	Violations []string `json:"violations"`
}

// Broken returns the lines over their budgets.
func (report *Report) Broken() []Line {
	var broken []Line
	for _, line := range report.Target {
		if !line.Kept() {
			broken = append(broken, line)
		}
	}
	return broken
}

// measurement collects what the fits need.
type measurement struct {
	options  Options
	report   *Report
	bySize   []Sample
	byTicket []Sample
	byChange []Sample
	joins    []float64 // bytes of a join, both ends, for each size
}

// Measure runs the fleets and extends their figures to the target size.
func Measure(options Options) (*Report, error) {
	if len(options.Sizes) < 3 {
		return nil, fmt.Errorf("capacity needs three fleet sizes for a slope with an error, got %d", len(options.Sizes))
	}
	run := &measurement{options: options, report: &Report{Seed: options.Seed}}
	for i, size := range options.Sizes {
		if err := run.measureSize(size, i == len(options.Sizes)-1); err != nil {
			return nil, err
		}
	}
	return run.report, run.extend()
}

func (run *measurement) measureSize(hosts int, largest bool) error {
	before := heapSize()
	fleet := NewFleet(Settings{Hosts: hosts, Centres: 3, Searchers: 20, Seed: run.options.Seed})
	fleet.Run(warmUp)
	memory := float64(heapSize()-before) / float64(hosts) / (1 << 20)
	span := max(phase, leastHostSeconds/time.Duration(hosts)*time.Second)
	sample := run.load(fleet, targetTickets, 0, span)
	sample.MemoryMB = memory
	run.report.Samples[len(run.report.Samples)-1].MemoryMB = memory
	run.bySize = append(run.bySize, sample)
	run.byTicket = append(run.byTicket, sample)
	if largest {
		run.byTicket = []Sample{sample}
		for _, factor := range []float64{0, 2, 4} {
			run.byTicket = append(run.byTicket, run.load(fleet, factor*targetTickets, 0, phase))
		}
		run.byChange = []Sample{sample}
		for _, factor := range []float64{0.5, 1, 2} {
			run.load(fleet, targetTickets, factor*targetRestarts, restartLeadIn)
			run.byChange = append(run.byChange, run.load(fleet, targetTickets, factor*targetRestarts, phase))
		}
		fleet.Run(warmUp)
	}
	run.measureJoin(fleet)
	err := run.waves(fleet)
	run.report.Violations = append(run.report.Violations, fleet.Violations()...)
	return err
}

// load drives the fleet over the span and returns the sample.
func (run *measurement) load(fleet *Fleet, tickets, restarts float64, span time.Duration) Sample {
	workBefore := fleet.stepTime
	fleet.drive(tickets, restarts, span)
	hostSeconds := span.Seconds() * float64(len(fleet.nodes))
	sample := Sample{
		Hosts: len(fleet.nodes), TicketsPerDay: tickets, RestartsPerDay: restarts, Load: fleet.Load(),
		CPUPercent: 100 * (fleet.stepTime - workBefore).Seconds() / hostSeconds,
	}
	run.report.Samples = append(run.report.Samples, sample)
	return sample
}

// drive resets the traffic, and publishes and restarts at even spacing over the span; rates are a day.
func (fleet *Fleet) drive(tickets, restarts float64, span time.Duration) {
	fleet.ResetTraffic()
	end := fleet.now.Add(span)
	published, restarted := 0, 0
	for begin := fleet.now; fleet.now < end; {
		fleet.Run(100 * time.Millisecond)
		passed := fleet.now.Sub(begin).Seconds()
		if float64(published+1) <= passed*tickets/secondsOfDay {
			fleet.Publish(1 + published%3)
			published++
		}
		if float64(restarted+1) <= passed*restarts/secondsOfDay {
			fleet.Restart(fleet.nodes[fleet.random.IntN(len(fleet.nodes))].host.Name)
			restarted++
		}
	}
	fleet.ForgetTickets()
}

// measureJoin notes the bytes that one start costs beside its objects, both ends counted.
func (run *measurement) measureJoin(fleet *Fleet) {
	fleet.ResetTraffic()
	fleet.Restart(fleet.nodes[len(fleet.nodes)-1].host.Name)
	fleet.Run(settleSpan)
	run.joins = append(run.joins, fleet.Load().kind("join")*settleSpan.Seconds()*float64(len(fleet.nodes)))
}

// waves measures propagation with no fault, with a reader killed and with a data centre cut off from the platform.
func (run *measurement) waves(fleet *Fleet) error {
	fleet.Run(settleSpan)
	run.wave(fleet, "none")
	victim, err := fleet.Reader("dc1")
	if err != nil {
		return err
	}
	fleet.Kill(victim)
	run.wave(fleet, "reader-killed")
	fleet.Restart(victim)
	fleet.Run(warmUp)
	fleet.CutPlatform("dc2", true)
	run.wave(fleet, "centre-cut-off")
	return nil
}

func (run *measurement) wave(fleet *Fleet, condition string) {
	for i := range ticketsOfWave {
		fleet.Publish(1 + i%3)
		fleet.Run(ticketSpacing)
	}
	fleet.Run(settleSpan)
	spread := fleet.Propagation()
	fleet.ForgetTickets()
	run.report.Waves = append(run.report.Waves, Wave{
		Hosts: len(fleet.nodes), Condition: condition, P50: spread.P50, P99: spread.P99, Max: spread.Max, Missed: spread.Missed,
	})
}

func (load Load) kind(method string) float64 {
	for _, kind := range load.Kinds {
		if kind.Method == method {
			return kind.BytesPerHost
		}
	}
	return 0
}

func heapSize() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// stateMemory returns the heap of a configuration state with that number of searchers, in MB.
func stateMemory(searchers int) float64 {
	before := heapSize()
	state, _ := searcherState(searchers)
	memory := float64(heapSize()-before) / (1 << 20)
	runtime.KeepAlive(state)
	return memory
}
