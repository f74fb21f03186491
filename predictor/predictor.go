package predictor

import "carobthread"

// Replica is what is known of one replica when an attempt is to be sent; times are in nanoseconds.
type Replica struct {
	// Network is the time on the network beyond that to the nearest data centre.
	Network float64
	// Cost is the expected cost of the request at this replica while its machine is as fast as usual, RequestCost that of any
	// request there.
	Cost        float64
	RequestCost float64
	Slots       int
	Load        *Load
}

// Forecast is what is expected of a request that is sent now; the zero value is unknown.
type Forecast struct {
	// Cost is the expected cost of the request.
	Cost float64
	// Unreported is the expected time without the searcher's reports: the time on the network, the cost, and the wait behind
	// this host's own attempts. Queue and Slowness are the times that the reports add: the wait behind the requests of others,
	// and what the machine takes longer than usual.
	Unreported float64
	Queue      float64
	Slowness   float64
}

// NewForecast returns the forecast for a request that is sent now.
func NewForecast(now carobthread.Instant, replica *Replica) Forecast {
	forecast := Forecast{Cost: replica.Cost, Unreported: replica.Network + replica.Cost}
	if replica.Load == nil {
		return forecast
	}
	own, others := replica.Load.Wait(now, max(1, replica.Slots), replica.RequestCost)
	forecast.Unreported += own
	forecast.Queue = others
	forecast.Slowness = (own + others + replica.Cost) * (replica.Load.Slowness(now) - 1)
	return forecast
}

// Expected returns the expected time, of which the parts that follow from reports count as far as these are believed.
func (forecast *Forecast) Expected(belief *Belief) float64 {
	return forecast.Unreported + belief.Queue.Weight()*forecast.Queue + belief.Slowness.Weight()*forecast.Slowness
}

// Work returns the cost that follows from a reply: its latency less the time on the network and in queue, as if the machine had
// been as fast as usual. The searcher's report in the reply counts as far as reports are believed.
func Work(now carobthread.Instant, latency float64, replica *Replica, belief *Belief) float64 {
	const leastRatio = 0.25 // of the latency; the other times are estimates and may be too long
	if replica.Load == nil {
		return max(latency-replica.Network, leastRatio*latency)
	}
	slowness := 1 + belief.Slowness.Weight()*(replica.Load.Slowness(now)-1)
	queue := belief.Queue.Weight() * float64(replica.Load.Queued(now)) / float64(max(1, replica.Slots)) * replica.RequestCost * slowness
	return max(latency-replica.Network-queue, leastRatio*latency) / slowness
}

// Belief is how far the parts of the searchers' reports are believed.
type Belief struct {
	Queue    Trust
	Slowness Trust
}

// NewBelief returns full belief.
func NewBelief() Belief { return Belief{Queue: newTrust(), Slowness: newTrust()} }

// Record compares a forecast with the latency that followed.
func (belief *Belief) Record(forecast *Forecast, latency float64) {
	beyond := (latency - forecast.Unreported) / forecast.Cost
	belief.Queue.record(forecast.Queue/forecast.Cost, beyond)
	belief.Slowness.record(forecast.Slowness/forecast.Cost, beyond)
}

const (
	// trustWeight is the weight of one reply in the averages of a Trust.
	trustWeight = 0.005
	// maxResidual bounds the difference of one latency from its forecast in multiples of the cost, so that a few replies from
	// a tail do not decide.
	maxResidual = 3
	// priorVariance is the variance of the reported parts with which a Trust begins, as if all of them had been right.
	priorVariance = 0.02
	// trustGain multiplies the slope. Reports that were right when written are out of date by the time a request arrives, and
	// the replicas chosen are those with small reported parts; both make the measured slope smaller than the true one.
	trustGain = 2
)

// Trust tells how much of one part of the reports to believe. Reports that are old or wrong make forecasts worse, and nothing in
// them shows that. It keeps moving averages, in multiples of the cost, of that part of the forecasts and of the latencies beyond
// what was expected without reports.
type Trust struct {
	reported   float64
	beyond     float64
	variance   float64
	covariance float64
}

// newTrust returns a Trust that believes reports until replies contradict them.
func newTrust() Trust { return Trust{variance: priorVariance, covariance: priorVariance} }

func (trust *Trust) record(reported, beyond float64) {
	reported = min(reported, maxResidual) - trust.reported
	beyond = max(-maxResidual, min(beyond, maxResidual)) - trust.beyond
	trust.reported += trustWeight * reported
	trust.beyond += trustWeight * beyond
	trust.variance += trustWeight * (reported*reported - trust.variance)
	trust.covariance += trustWeight * (reported*beyond - trust.covariance)
}

// Weight returns how much of the reported part of a forecast has come true, from 0 to 1: the slope of the latencies over the
// reported parts.
func (trust *Trust) Weight() float64 {
	if trust.covariance <= 0 {
		return 0
	}
	return min(1, trustGain*trust.covariance/trust.variance)
}
