package estimator

import (
	"math"

	"carobthread/assigner"
)

// extend fits the samples and adds the lines of the target size.
//
// A host keeps one row for each host of the fleet, so its memory and CPU are
// extended along a line over the number of hosts. Its neighbours, children and
// exchanges are bounded, and only the depth of the tree and the repeats of
// rumours grow, with the logarithm of the fleet, so traffic and propagation are
// extended along a line over log2(hosts). Both fits of the traffic are printed.
// Restarts add their own line against the rate of the whole fleet, scaled by
// the repeats of a rumour.
func (run *measurement) extend() error {
	run.fit("bytes", "B/s per host", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.Load.BytesPerHost })
	bytes := run.fit("bytes", "B/s per host", "log2(hosts)", run.bySize, logHostsOf, func(sample Sample) float64 { return sample.Load.BytesPerHost })
	run.fit("messages", "1/s per host", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.Load.MessagesPerHost })
	messages := run.fit("messages", "1/s per host", "log2(hosts)", run.bySize, logHostsOf, func(sample Sample) float64 { return sample.Load.MessagesPerHost })
	run.fit("CPU", "% of a core per host", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.CPUPercent })
	memory := run.fit("memory", "MB per host", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.MemoryMB })
	run.fit("platform calls", "1/s", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.Load.PlatformCalls })
	run.fit("bytes", "B/s per host", "tickets a day", run.byTicket, ticketsOf, func(sample Sample) float64 { return sample.Load.BytesPerHost })
	run.fit("messages", "1/s per host", "tickets a day", run.byTicket, ticketsOf, func(sample Sample) float64 { return sample.Load.MessagesPerHost })
	run.fit("CPU", "% of a core per host", "tickets a day", run.byTicket, ticketsOf, func(sample Sample) float64 { return sample.CPUPercent })
	calls := run.fit("platform calls", "1/s", "tickets a day", run.byTicket, ticketsOf, func(sample Sample) float64 { return sample.Load.PlatformCalls })
	changes := run.fit("bytes of rumours", "B/s per host", "restarts a day", run.byChange, restartsOf, rumourBytes)
	peers := run.targetBytes(bytes, changes)
	run.targetReader(peers)
	run.targetMemory(memory)
	run.addAt("messages", messages, math.Log2(targetHosts), 0, "line over log2(hosts)")
	run.targetCalls(calls)
	run.targetPropagation()
	return run.targetCPU()
}

// targetCPU extends the CPU of a pair of hosts along the size of their tables, at the target's rates.
func (run *measurement) targetCPU() error {
	var hosts, percents, bytes []float64
	for _, known := range []int{900, 2700, 4500, targetHosts} {
		percent, rate, err := pairLoad(known, targetObjects)
		if err != nil {
			return err
		}
		hosts = append(hosts, float64(known))
		percents = append(percents, percent)
		bytes = append(bytes, rate)
	}
	fit := run.addFit(NewFit("CPU with 32,000 objects", "% of a core per host", "known hosts", hosts, percents))
	exchanges := run.addFit(NewFit("bytes of exchanges with 32,000 objects", "B/s per host", "known hosts", hosts, bytes))
	run.addAt("bytes of exchanges", exchanges, targetHosts, 0, "pair of hosts with the target's tables; checks the lines of bytes and of rumours")
	run.addAt("CPU", fit, targetHosts, budgetCPU, "pair of hosts with the target's tables; cores and encoding, without TCP")
	return nil
}

// rumourBytes leaves out what one start costs by itself, which is extended on its own.
func rumourBytes(sample Sample) float64 {
	return sample.Load.BytesPerHost - sample.Load.kind("join") - sample.Load.kind("fetch")
}

func hostsOf(sample Sample) float64    { return float64(sample.Hosts) }
func logHostsOf(sample Sample) float64 { return math.Log2(float64(sample.Hosts)) }
func ticketsOf(sample Sample) float64  { return sample.TicketsPerDay }
func restartsOf(sample Sample) float64 { return sample.RestartsPerDay }

func (run *measurement) fit(quantity, unit, against string, samples []Sample, x, y func(Sample) float64) Fit {
	var xs, ys []float64
	for _, sample := range samples {
		xs = append(xs, x(sample))
		ys = append(ys, y(sample))
	}
	return run.addFit(NewFit(quantity, unit, against, xs, ys))
}

func (run *measurement) addFit(fit Fit) Fit {
	run.report.Fits = append(run.report.Fits, fit)
	return fit
}

func (run *measurement) add(line Line) { run.report.Target = append(run.report.Target, line) }

func (run *measurement) addAt(quantity string, fit Fit, at, budget float64, basis string) {
	figure, deviation := fit.At(at)
	run.add(Line{Quantity: quantity, Unit: fit.Unit, Figure: figure, Error: deviation, Budget: budget, Basis: basis})
}

// targetBytes adds the lines of the traffic between hosts and returns their sum.
func (run *measurement) targetBytes(bytes, changes Fit) Line {
	base, baseError := bytes.At(math.Log2(targetHosts))
	run.add(Line{Quantity: "bytes without restarts", Unit: bytes.Unit, Figure: base, Error: baseError, Basis: "line over log2(hosts) at 18,000 tickets a day"})
	repeats := repeatsOf(targetHosts) / repeatsOf(run.options.Sizes[len(run.options.Sizes)-1])
	rumours := changes.Slope * targetRestarts * repeats
	rumoursError := changes.SlopeError * targetRestarts * repeats
	run.add(Line{Quantity: "bytes of rumours", Unit: bytes.Unit, Figure: rumours, Error: rumoursError, Basis: "line over restarts x the growth of repeats"})
	starts, startsError := run.startBytes()
	run.add(Line{Quantity: "bytes of starts", Unit: bytes.Unit, Figure: starts, Error: startsError, Basis: "membership and state that a start fetches, both ends"})
	total := math.Sqrt(baseError*baseError + rumoursError*rumoursError + startsError*startsError)
	sum := Line{Quantity: "bytes", Unit: bytes.Unit, Figure: base + rumours + starts, Error: total, Budget: budgetBytes, Basis: "sum of the three"}
	run.add(sum)
	return sum
}

func repeatsOf(hosts int) float64 { return math.Ceil(math.Log2(float64(hosts+1))) + 2 }

// startBytes returns the bytes per second and host of fetches and joins at the target.
func (run *measurement) startBytes() (figure, deviation float64) {
	perHost := float64(targetRestarts) / secondsOfDay / targetHosts
	var objects, fetched []float64
	for _, searchers := range []int{200, 1000, 2000, 4000} {
		objects = append(objects, float64(searchers))
		fetched = append(fetched, run.fetchBytes(searchers))
	}
	fetch := run.addFit(NewFit("bytes of a fetch", "B, both ends", "objects", objects, fetched))
	var hosts []float64
	for _, size := range run.options.Sizes {
		hosts = append(hosts, float64(size))
	}
	join := run.addFit(NewFit("bytes of a join", "B, both ends", "hosts", hosts, run.joins))
	fetchBytes, fetchError := fetch.At(targetObjects)
	joinBytes, joinError := join.At(targetHosts)
	return perHost * (fetchBytes + joinBytes), perHost * math.Sqrt(fetchError*fetchError+joinError*joinError)
}

// fetchBytes returns what the start of one of four hosts moves for a state of that size.
func (run *measurement) fetchBytes(searchers int) float64 {
	fleet := NewFleet(Settings{Hosts: 4, Centres: 1, Searchers: searchers, Seed: run.options.Seed})
	fleet.Run(settleSpan * 4)
	fleet.ResetTraffic()
	fleet.Restart(fleet.nodes[3].host.Name)
	fleet.Run(settleSpan)
	run.report.Violations = append(run.report.Violations, fleet.Violations()...)
	return fleet.Load().kind("fetch") * settleSpan.Seconds() * float64(len(fleet.nodes))
}

func (run *measurement) targetMemory(memory Fit) {
	var objects, heaps []float64
	for _, searchers := range []int{4000, 8000, 16000, 32000} {
		objects = append(objects, float64(searchers))
		heaps = append(heaps, stateMemory(searchers))
	}
	state := run.addFit(NewFit("memory of the state", "MB", "objects", objects, heaps))
	hosts, hostsError := memory.At(targetHosts)
	held, heldError := state.At(targetObjects)
	run.add(Line{
		Quantity: "memory", Unit: "MB", Figure: hosts + held, Error: math.Hypot(hostsError, heldError),
		Budget: budgetMemory, Basis: "line over hosts + line over objects; heap of the cores",
	})
}

// targetCalls scales the calls for each reader to the readers of the target, and adds two reads for each start.
func (run *measurement) targetCalls(calls Fit) {
	readers := float64(3 * assigner.ReadersPerCentre)
	scale := targetCentres * assigner.ReadersPerCentre / readers
	figure, deviation := calls.At(targetTickets)
	starts := 2.0 * targetRestarts / secondsOfDay
	run.add(Line{
		Quantity: "platform calls", Unit: "1/s", Figure: figure*scale + starts, Error: deviation * scale,
		Budget: budgetCalls, Basis: "calls for each reader x 18 readers + 2 for each start",
	})
}

// targetPropagation takes the line over the sizes for each condition, but never less than what was measured.
func (run *measurement) targetPropagation() {
	for _, condition := range []string{"none", "reader-killed", "centre-cut-off"} {
		var hosts, spans []float64
		most, missed := 0.0, 0
		for _, wave := range run.report.Waves {
			if wave.Condition != condition {
				continue
			}
			hosts = append(hosts, math.Log2(float64(wave.Hosts)))
			spans = append(spans, wave.Max.Seconds())
			most = max(most, wave.Max.Seconds())
			missed += wave.Missed
		}
		fit := run.addFit(NewFit("slowest propagation, "+condition, "s", "log2(hosts)", hosts, spans))
		figure, deviation := fit.At(math.Log2(targetHosts))
		if missed > 0 {
			most = math.MaxFloat64 // JSON has no infinity
		}
		run.add(Line{
			Quantity: fit.Quantity, Unit: "s", Figure: max(figure, most), Error: deviation,
			Budget: budgetPropagate, Basis: "line over log2(hosts), at least the slowest measured",
		})
	}
}
