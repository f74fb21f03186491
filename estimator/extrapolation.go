package estimator

import (
	"math"

	"carobthread/assigner"
)

// extrapolate fits the samples and adds the projections to the target size.
//
// A host keeps one row for each host of the fleet, so its memory and CPU are
// extrapolated linearly in the number of hosts. Its neighbours, its children in
// the relay tree and its exchanges are bounded. Only the depth of the tree and
// the transmissions of each membership update grow, with the logarithm of the
// fleet size, so traffic and propagation are extrapolated linearly in
// log2(hosts). Both fits of the traffic are printed. The traffic of restarts is
// fitted separately against the restart rate of the whole fleet, and scaled by
// the transmissions of an update. The report calls these updates rumours.
func (run *measurement) extrapolate() error {
	run.fit("bytes", "B/s per host", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.Load.BytesPerHost })
	bytes := run.fit("bytes", "B/s per host", "log2(hosts)", run.bySize, logHostsOf, func(sample Sample) float64 { return sample.Load.BytesPerHost })
	run.fit("messages", "1/s per host", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.Load.MessagesPerHost })
	messages := run.fit("messages", "1/s per host", "log2(hosts)", run.bySize, logHostsOf, func(sample Sample) float64 { return sample.Load.MessagesPerHost })
	run.fit("CPU", "% of a core per host", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.CPUPercent })
	memory := run.fit("memory", "MB per host", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.MemoryMB })
	run.fit("platform calls", "1/s", "hosts", run.bySize, hostsOf, func(sample Sample) float64 { return sample.Load.PlatformCalls })
	run.fit("bytes", "B/s per host", "tickets a day", run.byTicketRate, ticketsOf, func(sample Sample) float64 { return sample.Load.BytesPerHost })
	run.fit("messages", "1/s per host", "tickets a day", run.byTicketRate, ticketsOf, func(sample Sample) float64 { return sample.Load.MessagesPerHost })
	run.fit("CPU", "% of a core per host", "tickets a day", run.byTicketRate, ticketsOf, func(sample Sample) float64 { return sample.CPUPercent })
	calls := run.fit("platform calls", "1/s", "tickets a day", run.byTicketRate, ticketsOf, func(sample Sample) float64 { return sample.Load.PlatformCalls })
	changes := run.fit("bytes of rumours", "B/s per host", "restarts a day", run.byRestartRate, restartsOf, membershipUpdateBytes)
	hostTraffic := run.extrapolateBytes(bytes, changes)
	run.addReaderBytes(hostTraffic)
	run.extrapolateMemory(memory)
	run.addFitted("messages", messages, math.Log2(targetHosts), 0, "line over log2(hosts)")
	run.extrapolatePlatformCalls(calls)
	run.extrapolatePropagation()
	return run.extrapolateCPU()
}

// extrapolateCPU fits the CPU of a pair of hosts against the size of their membership tables, at the target's rates.
func (run *measurement) extrapolateCPU() error {
	var hosts, percents, bytes []float64
	for _, known := range []int{900, 2700, 4500, targetHosts} {
		percent, rate, err := measurePair(known, targetObjects)
		if err != nil {
			return err
		}
		hosts = append(hosts, float64(known))
		percents = append(percents, percent)
		bytes = append(bytes, rate)
	}
	fit := run.addFit(NewFit("CPU with 32,000 objects", "% of a core per host", "known hosts", hosts, percents))
	exchanges := run.addFit(NewFit("bytes of exchanges with 32,000 objects", "B/s per host", "known hosts", hosts, bytes))
	run.addFitted("bytes of exchanges", exchanges, targetHosts, 0, "pair of hosts with the target's tables; checks the lines of bytes and of rumours")
	run.addFitted("CPU", fit, targetHosts, budgetCPUPercent, "pair of hosts with the target's tables; cores and encoding, without TCP")
	return nil
}

// membershipUpdateBytes excludes the joins and fetches of starts, which startBytes extrapolates separately.
func membershipUpdateBytes(sample Sample) float64 {
	return sample.Load.BytesPerHost - sample.Load.methodLoad("join") - sample.Load.methodLoad("fetch")
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

func (run *measurement) add(entry Projection) { run.report.Target = append(run.report.Target, entry) }

func (run *measurement) addFitted(quantity string, fit Fit, at, budget float64, basis string) {
	figure, deviation := fit.At(at)
	run.add(Projection{Quantity: quantity, Unit: fit.Unit, Figure: figure, Error: deviation, Budget: budget, Basis: basis})
}

// extrapolateBytes adds the projections of the traffic between hosts and returns their sum.
func (run *measurement) extrapolateBytes(bytes, changes Fit) Projection {
	base, baseError := bytes.At(math.Log2(targetHosts))
	run.add(Projection{Quantity: "bytes without restarts", Unit: bytes.Unit, Figure: base, Error: baseError, Basis: "line over log2(hosts) at 18,000 tickets a day"})
	growth := updateTransmissions(targetHosts) / updateTransmissions(run.options.Sizes[len(run.options.Sizes)-1])
	updates := changes.Slope * targetRestartsPerDay * growth
	updatesError := changes.SlopeError * targetRestartsPerDay * growth
	run.add(Projection{Quantity: "bytes of rumours", Unit: bytes.Unit, Figure: updates, Error: updatesError, Basis: "line over restarts x the growth of repeats"})
	starts, startsError := run.startBytes()
	run.add(Projection{Quantity: "bytes of starts", Unit: bytes.Unit, Figure: starts, Error: startsError, Basis: "membership and state that a start fetches, both ends"})
	total := math.Sqrt(baseError*baseError + updatesError*updatesError + startsError*startsError)
	sum := Projection{Quantity: "bytes", Unit: bytes.Unit, Figure: base + updates + starts, Error: total, Budget: budgetBytesPerSecond, Basis: "sum of the three"}
	run.add(sum)
	return sum
}

// updateTransmissions returns how often a host transmits a membership update, as the tracker does.
func updateTransmissions(hosts int) float64 { return math.Ceil(math.Log2(float64(hosts+1))) + 2 }

// startBytes returns the bytes per second and host of the fetches and joins of starting hosts at the target size.
func (run *measurement) startBytes() (figure, deviation float64) {
	perHost := float64(targetRestartsPerDay) / secondsPerDay / targetHosts
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
	join := run.addFit(NewFit("bytes of a join", "B, both ends", "hosts", hosts, run.bytesPerJoin))
	fetchBytes, fetchError := fetch.At(targetObjects)
	joinBytes, joinError := join.At(targetHosts)
	return perHost * (fetchBytes + joinBytes), perHost * math.Sqrt(fetchError*fetchError+joinError*joinError)
}

// fetchBytes returns the bytes that one of four hosts fetches at its start, both ends, with that many searchers.
func (run *measurement) fetchBytes(searchers int) float64 {
	fleet := NewFleet(FleetOptions{Hosts: 4, Centres: 1, Searchers: searchers, Seed: run.options.Seed})
	fleet.Run(settleTime * 4)
	fleet.ResetTraffic()
	fleet.Restart(fleet.nodes[3].host.Name)
	fleet.Run(settleTime)
	run.report.Violations = append(run.report.Violations, fleet.Violations()...)
	return fleet.Load().methodLoad("fetch") * settleTime.Seconds() * float64(len(fleet.nodes))
}

// extrapolateMemory adds the memory of the membership tables and of the configuration state.
func (run *measurement) extrapolateMemory(memory Fit) {
	var objects, heaps []float64
	for _, searchers := range []int{4000, 8000, 16000, 32000} {
		objects = append(objects, float64(searchers))
		heaps = append(heaps, stateMemory(searchers))
	}
	state := run.addFit(NewFit("memory of the state", "MB", "objects", objects, heaps))
	hosts, hostsError := memory.At(targetHosts)
	objectsMemory, objectsError := state.At(targetObjects)
	run.add(Projection{
		Quantity: "memory", Unit: "MB", Figure: hosts + objectsMemory, Error: math.Hypot(hostsError, objectsError),
		Budget: budgetMemoryMB, Basis: "line over hosts + line over objects; heap of the cores",
	})
}

// extrapolatePlatformCalls scales the calls per reader to the readers of the target, and adds two reads for each start.
func (run *measurement) extrapolatePlatformCalls(calls Fit) {
	readers := float64(3 * assigner.ReadersPerCentre)
	scale := targetDataCentres * assigner.ReadersPerCentre / readers
	figure, deviation := calls.At(targetTicketsPerDay)
	starts := 2.0 * targetRestartsPerDay / secondsPerDay
	run.add(Projection{
		Quantity: "platform calls", Unit: "1/s", Figure: figure*scale + starts, Error: deviation * scale,
		Budget: budgetPlatformCalls, Basis: "calls for each reader x 18 readers + 2 for each start",
	})
}

// extrapolatePropagation adds the slowest propagation for each condition: the fit over the fleet sizes, but at least the
// slowest measured. A host that was not reached counts as an unbounded delay.
func (run *measurement) extrapolatePropagation() {
	for _, condition := range []string{"none", "reader-killed", "centre-cut-off"} {
		var hosts, spans []float64
		slowest, missed := 0.0, 0
		for _, sample := range run.report.Propagations {
			if sample.Condition != condition {
				continue
			}
			hosts = append(hosts, math.Log2(float64(sample.Hosts)))
			spans = append(spans, sample.Max.Seconds())
			slowest = max(slowest, sample.Max.Seconds())
			missed += sample.Missed
		}
		fit := run.addFit(NewFit("slowest propagation, "+condition, "s", "log2(hosts)", hosts, spans))
		figure, deviation := fit.At(math.Log2(targetHosts))
		if missed > 0 {
			slowest = math.MaxFloat64 // JSON has no infinity
		}
		run.add(Projection{
			Quantity: fit.Quantity, Unit: "s", Figure: max(figure, slowest), Error: deviation,
			Budget: budgetPropagationSeconds, Basis: "line over log2(hosts), at least the slowest measured",
		})
	}
}
