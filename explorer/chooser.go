package explorer

import (
	"math/rand/v2"
	"time"
)

// Weights of the kinds of steps in percent; faults share the schedule's own weight.
const (
	weightCall    = 16
	weightAdvance = 8
	weightTick    = 12
)

// choose picks the next step; most steps deliver a message, so that requests make progress between faults.
func (world *world) choose(random *rand.Rand) Step {
	roll := random.IntN(100)
	switch {
	case roll < world.header.FaultWeight:
		return world.chooseFault(random)
	case roll < world.header.FaultWeight+weightCall || len(world.messages) == 0:
		return world.chooseCall(random)
	case roll < world.header.FaultWeight+weightCall+weightAdvance:
		return Step{Kind: StepAdvance, Micros: random.Int64N([]time.Duration{hardDeadline / 2, 3 * hardDeadline}[random.IntN(2)].Microseconds())}
	case roll < world.header.FaultWeight+weightCall+weightAdvance+weightTick:
		return Step{Kind: StepTick, Host: random.IntN(len(world.hosts))}
	default:
		return Step{Kind: StepDeliver, Message: world.anyMessage(random)}
	}
}

func (world *world) chooseCall(random *rand.Rand) Step {
	step := Step{Kind: StepCall, Caller: random.IntN(len(world.callers)), Host: random.IntN(len(world.hosts)), Call: callExecute}
	if world.callers[step.Caller].key == "" {
		step.Call = callReserve
		return step
	}
	switch roll := random.IntN(20); {
	case roll < 2:
		step.Call = callOutcome
		step.Other = random.IntN(len(world.callers[step.Caller].past) + 1)
	case roll < 3:
		step.Call = callAltered
	}
	return step
}

func (world *world) chooseFault(random *rand.Rand) Step {
	host := random.IntN(len(world.hosts))
	switch random.IntN(16) {
	case 0, 1, 2:
		return Step{Kind: StepDrop, Message: world.anyMessage(random)}
	case 3, 4, 5:
		return Step{Kind: StepDuplicate, Message: world.anyMessage(random)}
	case 6, 14, 15:
		return world.chooseMisroute(random)
	case 7:
		if world.hosts[host].up {
			return Step{Kind: StepCrash, Host: host}
		}
		return Step{Kind: StepRestart, Host: host}
	case 8, 9:
		if world.hosts[host].paused {
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
		lag := random.Int64N(4_000_000) - 2_000_000
		return Step{Kind: StepUpstream, Upstream: random.IntN(len(world.modes)), Mode: mode, Micros: lag}
	}
}

func (world *world) anyMessage(random *rand.Rand) int {
	if len(world.messages) == 0 {
		return 0
	}
	return world.messages[random.IntN(len(world.messages))].id
}

// chooseMisroute picks an answer and another request of the same kind that may take it.
func (world *world) chooseMisroute(random *rand.Rand) Step {
	pairs := []Step{{Kind: StepTick}}
	for _, content := range world.messages {
		for _, target := range world.messages {
			if misroutable(content, target) {
				pairs = append(pairs, Step{Kind: StepMisroute, Message: content.id, Other: target.id})
			}
		}
	}
	return pairs[random.IntN(len(pairs))]
}
