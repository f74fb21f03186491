package explorer

import (
	"math/rand/v2"
	"time"
)

// Weights of the step kinds in percent. All faults together have the weight that the schedule's header sets.
const (
	weightCall    = 16
	weightAdvance = 8
	weightTick    = 12
)

// chooseStep picks the next step. Most steps deliver a message, so that requests make progress between faults.
func (simulation *simulation) chooseStep(random *rand.Rand) Step {
	roll := random.IntN(100)
	switch {
	case roll < simulation.header.FaultWeight:
		return simulation.chooseFault(random)
	case roll < simulation.header.FaultWeight+weightCall || len(simulation.messages) == 0:
		return simulation.chooseCall(random)
	case roll < simulation.header.FaultWeight+weightCall+weightAdvance:
		return Step{Kind: StepAdvance, Micros: random.Int64N([]time.Duration{hardDeadline / 2, 3 * hardDeadline}[random.IntN(2)].Microseconds())}
	case roll < simulation.header.FaultWeight+weightCall+weightAdvance+weightTick:
		return Step{Kind: StepTick, Host: random.IntN(len(simulation.hosts))}
	default:
		return Step{Kind: StepDeliver, Message: simulation.randomMessage(random)}
	}
}

func (simulation *simulation) chooseCall(random *rand.Rand) Step {
	step := Step{Kind: StepCall, Caller: random.IntN(len(simulation.callers)), Host: random.IntN(len(simulation.hosts)), Call: callExecute}
	if simulation.callers[step.Caller].key == "" {
		step.Call = callReserve
		return step
	}
	switch roll := random.IntN(20); {
	case roll < 2:
		step.Call = callOutcome
		step.Other = random.IntN(len(simulation.callers[step.Caller].keys) + 1)
	case roll < 3:
		step.Call = callAltered
	}
	return step
}

func (simulation *simulation) chooseFault(random *rand.Rand) Step {
	host := random.IntN(len(simulation.hosts))
	switch random.IntN(16) {
	case 0, 1, 2:
		return Step{Kind: StepDrop, Message: simulation.randomMessage(random)}
	case 3, 4, 5:
		return Step{Kind: StepDuplicate, Message: simulation.randomMessage(random)}
	case 6, 14, 15:
		return simulation.chooseMisroute(random)
	case 7:
		if simulation.hosts[host].up {
			return Step{Kind: StepCrash, Host: host}
		}
		return Step{Kind: StepRestart, Host: host}
	case 8, 9:
		if simulation.hosts[host].paused {
			return Step{Kind: StepWake, Host: host}
		}
		return Step{Kind: StepPause, Host: host}
	case 10:
		return Step{Kind: StepClock, Host: host, Micros: random.Int64N(4_000_000) - 2_000_000}
	case 11:
		return Step{Kind: StepView, Host: host}
	case 12:
		if random.IntN(4) == 0 {
			return Step{Kind: StepStop, Host: host, Mode: []string{modeDraining, ""}[random.IntN(2)]}
		}
		return Step{Kind: StepAdvance, Micros: random.Int64N(2 * keyLifetime.Microseconds())}
	default:
		mode := []string{modeServing, modeDraining, modeShedding}[random.IntN(3)]
		clockLagMicros := random.Int64N(4_000_000) - 2_000_000
		return Step{Kind: StepUpstream, Upstream: random.IntN(len(simulation.upstreamModes)), Mode: mode, Micros: clockLagMicros}
	}
}

func (simulation *simulation) randomMessage(random *rand.Rand) int {
	if len(simulation.messages) == 0 {
		return 0
	}
	return simulation.messages[random.IntN(len(simulation.messages))].id
}

// chooseMisroute picks an answer and a request of the same kind to which the answer does not belong.
func (simulation *simulation) chooseMisroute(random *rand.Rand) Step {
	candidates := []Step{{Kind: StepTick}}
	for _, answer := range simulation.messages {
		for _, target := range simulation.messages {
			if misroutable(answer, target) {
				candidates = append(candidates, Step{Kind: StepMisroute, Message: answer.id, Other: target.id})
			}
		}
	}
	return candidates[random.IntN(len(candidates))]
}
