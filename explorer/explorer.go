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

// Factory returns the core of one incarnation.
type Factory func(options executor.Options) executor.StateMachine

// Real returns the core that entry hosts run.
func Real(options executor.Options) executor.StateMachine { return executor.New(options) }

// Options selects the schedules to run.
type Options struct {
	Schedules int
	Seed      uint64
	Factory   Factory
}

// Counts is what happened in all schedules.
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

	// Broken schedules, each counted by the first rule that it broke.
	DoubleRuns   int `json:"double-runs"`
	FalseNotRuns int `json:"false-not-runs"`
	OtherKeys    int `json:"other-keys"`
	Unstable     int `json:"unstable-outcomes"`
}

// Of returns the number of schedules that broke the rule first.
func (counts *Counts) Of(rule Rule) int { return *counts.place(rule) }

func (counts *Counts) place(rule Rule) *int {
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

func (counts *Counts) answer(status executor.Status) {
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

// Report is the result of an exploration; First and Trace belong to the broken schedule of the lowest number.
type Report struct {
	Counts Counts     `json:"counts"`
	First  *Violation `json:"first,omitempty"`
	Trace  *Trace     `json:"-"`
}

// Explore runs the schedules on all processors; the report depends on the options alone.
func Explore(options Options) Report {
	if options.Factory == nil {
		options.Factory = Real
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

// Replay runs the steps of a trace.
func Replay(trace *Trace, factory Factory) Report {
	report := Report{Trace: trace}
	world := newWorld(trace.Header, factory, &report.Counts)
	for i, step := range trace.Steps {
		world.checker.step = i
		world.apply(step)
	}
	report.finish(world, trace)
	return report
}

func (report *Report) finish(world *world, trace *Trace) {
	report.Counts.Schedules = 1
	report.Counts.Steps = len(trace.Steps)
	report.First = world.checker.first
	if report.First != nil {
		*report.Counts.place(report.First.Rule) = 1
		report.Trace = trace
	}
}

// scheduleSteps is the length of the random part; longer schedules find no mutant that shorter ones miss.
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
	world := newWorld(header, factory, &report.Counts)
	apply := func(step Step) {
		world.checker.step = len(trace.Steps)
		trace.Steps = append(trace.Steps, step)
		world.apply(step)
	}
	for range scheduleSteps {
		apply(world.choose(random))
	}
	world.repair(apply)
	report.finish(world, trace)
	return report
}

// repair ends all faults, asks for every key through at least one host and delivers what is left.
func (world *world) repair(apply func(step Step)) {
	for i := range world.hosts {
		apply(Step{Kind: StepWake, Host: i})
		apply(Step{Kind: StepRestart, Host: i})
		apply(Step{Kind: StepView, Host: i})
	}
	for i := range world.modes {
		apply(Step{Kind: StepUpstream, Upstream: i, Mode: modeServing})
	}
	world.drain(apply)
	for host := range world.hosts {
		for i, caller := range world.callers {
			for past := host % 2; past < len(caller.past); past += 2 {
				apply(Step{Kind: StepCall, Caller: i, Host: host, Call: callOutcome, Other: past + 1})
			}
		}
		world.drain(apply)
		apply(Step{Kind: StepAdvance, Micros: hardDeadline.Microseconds() + 1})
		apply(Step{Kind: StepTick, Host: host})
		world.drain(apply)
	}
}

func (world *world) drain(apply func(step Step)) {
	for len(world.messages) > 0 {
		apply(Step{Kind: StepDeliver, Message: world.messages[0].id})
	}
}

func (world *world) apply(step Step) {
	host := world.hosts[step.Host]
	switch step.Kind {
	case StepDeliver:
		world.deliver(step.Message)
	case StepDrop:
		world.drop(step.Message)
	case StepDuplicate:
		world.duplicate(step.Message)
	case StepMisroute:
		world.misroute(step.Message, step.Other)
	case StepCall:
		world.call(step.Caller, step.Host, step.Call, step.Other)
	case StepAdvance:
		world.now = world.now.Add(time.Duration(step.Micros) * time.Microsecond)
	case StepTick:
		world.step(step.Host, executor.Event{Tick: &carobthread.Ticked{}})
	case StepCrash:
		world.counts.Crashes++
		host.up = false
	case StepRestart:
		if !host.up {
			world.start(step.Host)
			world.refreshView(step.Host)
		}
	case StepPause:
		world.counts.Pauses++
		host.paused = true
	case StepWake:
		host.paused = false
	case StepClock:
		host.offset = time.Duration(step.Micros) * time.Microsecond
	case StepView:
		world.refreshView(step.Host)
	case StepStop:
		world.step(step.Host, executor.Event{Stop: &executor.StopCalled{AcceptKeys: step.Mode == modeDraining}})
	case StepUpstream:
		world.modes[step.Upstream] = step.Mode
		world.lags[step.Upstream] = time.Duration(step.Micros) * time.Microsecond
	}
}
