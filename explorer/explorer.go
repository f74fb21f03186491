package explorer

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"carobthread"
	"carobthread/executor"
)

// Factory returns the state machine of one incarnation.
type Factory func(options executor.Options) executor.StateMachine

// NewExecutor returns the executor that entry hosts run.
func NewExecutor(options executor.Options) executor.StateMachine { return executor.New(options) }

// Options selects the schedules to run.
type Options struct {
	Schedules int
	Seed      uint64
	Factory   Factory
}

// Counts counts what happened in all schedules.
type Counts struct {
	Schedules  int `json:"schedules"`
	Steps      int `json:"steps"`
	Calls      int `json:"calls"`
	Keys       int `json:"keys"`
	Runs       int `json:"runs"`
	Done       int `json:"done"`
	NotRun     int `json:"not-run"`
	Unknown    int `json:"unknown"`
	InProgress int `json:"in-progress"`
	Dropped    int `json:"dropped"`
	Duplicated int `json:"duplicated"`
	Misrouted  int `json:"misrouted"`
	Crashes    int `json:"crashes"`
	Pauses     int `json:"pauses"`

	// Schedules that violated a rule, each counted under the first rule that it violated.
	DoubleRuns   int `json:"double-runs"`
	FalseNotRuns int `json:"false-not-runs"`
	OtherKeys    int `json:"other-keys"`
	Unstable     int `json:"unstable-outcomes"`
}

// Violations returns the number of schedules whose first violated rule is the given one.
func (counts *Counts) Violations(rule Rule) int { return *counts.counter(rule) }

func (counts *Counts) counter(rule Rule) *int {
	switch rule {
	case RuleDoubleRun:
		return &counts.DoubleRuns
	case RuleFalseNotRun:
		return &counts.FalseNotRuns
	case RuleOtherKey:
		return &counts.OtherKeys
	default:
		return &counts.Unstable
	}
}

func (counts *Counts) countAnswer(status executor.Status) {
	switch status {
	case executor.StatusDone:
		counts.Done++
	case executor.StatusNotRun:
		counts.NotRun++
	case executor.StatusUnknown:
		counts.Unknown++
	case executor.StatusInProgress:
		counts.InProgress++
	}
}

func (counts *Counts) add(other *Counts) {
	counts.Schedules += other.Schedules
	counts.Steps += other.Steps
	counts.Calls += other.Calls
	counts.Keys += other.Keys
	counts.Runs += other.Runs
	counts.Done += other.Done
	counts.NotRun += other.NotRun
	counts.Unknown += other.Unknown
	counts.InProgress += other.InProgress
	counts.Dropped += other.Dropped
	counts.Duplicated += other.Duplicated
	counts.Misrouted += other.Misrouted
	counts.Crashes += other.Crashes
	counts.Pauses += other.Pauses
	counts.DoubleRuns += other.DoubleRuns
	counts.FalseNotRuns += other.FalseNotRuns
	counts.OtherKeys += other.OtherKeys
	counts.Unstable += other.Unstable
}

// Report is the result of an exploration. First and Trace belong to the lowest-numbered schedule that violated a rule.
type Report struct {
	Counts Counts     `json:"counts"`
	First  *Violation `json:"first,omitempty"`
	Trace  *Trace     `json:"-"`
}

// Explore runs the schedules on all processors. The report depends only on the options.
func Explore(options Options) Report {
	if options.Factory == nil {
		options.Factory = NewExecutor
	}
	reports := make([]Report, options.Schedules)
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for index := int(next.Add(1)) - 1; index < options.Schedules; index = int(next.Add(1)) - 1 {
				reports[index] = explore(options.Seed, index, options.Factory)
			}
		})
	}
	workers.Wait()
	total := Report{}
	for i := range reports {
		total.Counts.add(&reports[i].Counts)
		if total.First == nil && reports[i].First != nil {
			total.First, total.Trace = reports[i].First, reports[i].Trace
		}
	}
	return total
}

// Replay runs the steps of a recorded trace.
func Replay(trace *Trace, factory Factory) Report {
	report := Report{Trace: trace}
	simulation := newSimulation(trace.Header, factory, &report.Counts)
	for i, step := range trace.Steps {
		simulation.checker.step = i
		simulation.apply(step)
	}
	report.finish(simulation, trace)
	return report
}

func (report *Report) finish(simulation *simulation, trace *Trace) {
	report.Counts.Schedules = 1
	report.Counts.Steps = len(trace.Steps)
	report.First = simulation.checker.firstViolation
	if report.First != nil {
		*report.Counts.counter(report.First.Rule) = 1
		report.Trace = trace
	}
}

// scheduleSteps is the number of random steps per schedule. Longer schedules found no mutant that shorter ones missed.
const scheduleSteps = 120

func explore(seed uint64, index int, factory Factory) Report {
	random := rand.New(rand.NewPCG(seed, uint64(index)))
	header := Header{
		Format:      Format,
		Seed:        seed,
		Schedule:    index,
		Hosts:       2 + random.IntN(maxHosts-1),
		Upstreams:   2 + random.IntN(maxUpstreams-1),
		Callers:     1 + random.IntN(3),
		MaxKeys:     []int{1, 3, 1000}[random.IntN(3)],
		Slots:       1 + random.IntN(3),
		FaultWeight: random.IntN(24),
	}
	report := Report{}
	trace := &Trace{Header: header}
	simulation := newSimulation(header, factory, &report.Counts)
	apply := func(step Step) {
		simulation.checker.step = len(trace.Steps)
		trace.Steps = append(trace.Steps, step)
		simulation.apply(step)
	}
	for range scheduleSteps {
		apply(simulation.chooseStep(random))
	}
	simulation.repair(apply)
	report.finish(simulation, trace)
	return report
}

// repair ends all faults, queries the outcome of every key through at least one host and delivers all remaining messages.
func (simulation *simulation) repair(apply func(step Step)) {
	for i := range simulation.hosts {
		apply(Step{Kind: StepWake, Host: i})
		apply(Step{Kind: StepRestart, Host: i})
		apply(Step{Kind: StepView, Host: i})
	}
	for i := range simulation.upstreamModes {
		apply(Step{Kind: StepUpstream, Upstream: i, Mode: modeServing})
	}
	simulation.deliverAll(apply)
	for host := range simulation.hosts {
		for i, caller := range simulation.callers {
			for keyIndex := host % 2; keyIndex < len(caller.keys); keyIndex += 2 {
				apply(Step{Kind: StepCall, Caller: i, Host: host, Call: callOutcome, Other: keyIndex + 1})
			}
		}
		simulation.deliverAll(apply)
		apply(Step{Kind: StepAdvance, Micros: hardDeadline.Microseconds() + 1})
		apply(Step{Kind: StepTick, Host: host})
		simulation.deliverAll(apply)
	}
}

func (simulation *simulation) deliverAll(apply func(step Step)) {
	for len(simulation.messages) > 0 {
		apply(Step{Kind: StepDeliver, Message: simulation.messages[0].id})
	}
}

func (simulation *simulation) apply(step Step) {
	host := simulation.hosts[step.Host]
	switch step.Kind {
	case StepDeliver:
		simulation.deliver(step.Message)
	case StepDrop:
		simulation.drop(step.Message)
	case StepDuplicate:
		simulation.duplicate(step.Message)
	case StepMisroute:
		simulation.misroute(step.Message, step.Other)
	case StepCall:
		simulation.call(step.Caller, step.Host, step.Call, step.Other)
	case StepAdvance:
		simulation.now = simulation.now.Add(time.Duration(step.Micros) * time.Microsecond)
	case StepTick:
		simulation.step(step.Host, executor.Event{Tick: &carobthread.TickArrived{}})
	case StepCrash:
		simulation.counts.Crashes++
		host.up = false
	case StepRestart:
		if !host.up {
			simulation.startHost(step.Host)
			simulation.updateView(step.Host)
		}
	case StepPause:
		simulation.counts.Pauses++
		host.paused = true
	case StepWake:
		host.paused = false
	case StepClock:
		host.clockOffset = time.Duration(step.Micros) * time.Microsecond
	case StepView:
		simulation.updateView(step.Host)
	case StepStop:
		simulation.step(step.Host, executor.Event{Stop: &executor.StopCalled{AcceptKeys: step.Mode == modeDraining}})
	case StepUpstream:
		simulation.upstreamModes[step.Upstream] = step.Mode
		simulation.clockLags[step.Upstream] = time.Duration(step.Micros) * time.Microsecond
	}
}
