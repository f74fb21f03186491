package gatherer

// Where searchers report what they have to do, the replica that is expected to complete the request first is chosen. Estimates
// are kept only while some searcher's reports call for them, so that nothing is spent elsewhere.

import (
	"time"

	"carobthread"
	"carobthread/predictor"
)

const (
	// predictionAge is how long a searcher's reports call for prediction after the last one that states how long work takes.
	predictionAge = 10 * time.Second
	// predictionTie is the ratio within which two expected times count as equal.
	predictionTie = 1.1
)

// searcherPrediction is what is known of one searcher for prediction.
type searcherPrediction struct {
	load predictor.Load
	// work is the cost of any request.
	work predictor.Estimate
	// calledUntil is the end of the time in which the searcher's reports call for prediction.
	calledUntil carobthread.Instant
}

// centreCost is what one service's requests cost in one data centre.
type centreCost struct {
	centre *centreRow
	work   predictor.Estimate
	// latency is the least time of any reply.
	latency predictor.Floor
}

// replicaPrediction is what one service's requests cost at one searcher.
type replicaPrediction struct {
	work   predictor.Estimate
	centre *centreCost
}

// recordLoad records a report for prediction, if it or an earlier one calls for that.
func (gatherer *Gatherer) recordLoad(searcher *searcherRow, report *carobthread.ReportArrived) {
	if !gatherer.usesCurrentPolicy() {
		return
	}
	prediction := searcher.prediction
	if report.Slowness > 0 {
		if prediction == nil {
			prediction = &searcherPrediction{}
			searcher.prediction = prediction
		}
		prediction.calledUntil = gatherer.now.Add(predictionAge)
		gatherer.predictedUntil = prediction.calledUntil
	}
	if prediction != nil {
		prediction.load.Reported(gatherer.now, report.Running, report.Queued, report.Slowness)
	}
}

// predicts reports whether reports of a shard's searchers call for prediction. It applies to replica groups only, as
// preferLocal does.
func (gatherer *Gatherer) predicts(row *shardRow) bool {
	if gatherer.now >= gatherer.predictedUntil || row.group == nil {
		return false
	}
	for i := range row.replicas {
		prediction := row.replicas[i].row.searcher.prediction
		if prediction != nil && gatherer.now < prediction.calledUntil {
			return true
		}
	}
	return false
}

// pickPredicted returns the usable replica that is expected to complete the request first; of nearly equal ones, that with
// fewer attempts of this host. Replicas in data centres that may be cut off are skipped if there are others.
func (gatherer *Gatherer) pickPredicted(row *shardRow) (int, replicaClass) {
	best, bestTime, bestSuspect := -1, 0.0, false
	first := gatherer.random.IntN(len(row.replicas)) // equal ones are chosen at random, or all hosts would choose the same
	for i := range row.replicas {
		index := (first + i) % len(row.replicas)
		if gatherer.classes[index] > classRemote {
			continue
		}
		replica := row.replicas[index].row
		suspect := !replica.searcher.local && replica.searcher.centre.suspect()
		expected := gatherer.expectedTime(replica)
		better := best < 0 || bestSuspect && !suspect
		if !better && suspect == bestSuspect {
			better = expected*predictionTie < bestTime ||
				expected < bestTime*predictionTie && replica.searcher.limit.Running() < row.replicas[best].row.searcher.limit.Running()
		}
		if better {
			best, bestTime, bestSuspect = index, expected, suspect
		}
	}
	gatherer.stats.Predicted++
	return best, gatherer.classes[best]
}

// expectedTime returns the time in nanoseconds in which the replica is expected to complete a request.
func (gatherer *Gatherer) expectedTime(replica *replicaRow) float64 {
	known := gatherer.predictionInputs(replica)
	forecast := predictor.NewForecast(gatherer.now, &known)
	return forecast.Expected(&gatherer.belief) * (1 + failureCost*replica.searcher.recentFailureRate(gatherer.now))
}

// predictionInputs returns what is known of the replica. Estimates that are unknown or too old are replaced by those of the
// data centre's searchers and then of the service.
func (gatherer *Gatherer) predictionInputs(replica *replicaRow) predictor.Replica {
	searcher, service := replica.searcher, replica.service
	inputs := predictor.Replica{
		Cost: float64(max(time.Millisecond, service.latency.median)), Slots: searcher.config.Slots,
	}
	if cost, known := service.work.At(gatherer.now, gatherer.resumedAt); known {
		inputs.Cost = cost
	}
	inputs.Network = gatherer.networkTime(replica, inputs.Cost)
	if prediction := replica.prediction; prediction != nil {
		if cost, known := prediction.centre.work.At(gatherer.now, gatherer.resumedAt); known {
			inputs.Cost = cost
		}
		if cost, known := prediction.work.At(gatherer.now, gatherer.resumedAt); known {
			inputs.Cost = cost
		}
	}
	inputs.RequestCost = inputs.Cost
	if prediction := searcher.prediction; prediction != nil {
		inputs.Load = &prediction.load
		if cost, known := prediction.work.At(gatherer.now, gatherer.resumedAt); known {
			inputs.RequestCost = cost
		}
	}
	return inputs
}

// networkTime returns the time that the network adds for a replica beyond that to the nearest data centre: the difference of
// the least latencies of the service there. A data centre without any reply yet counts as a request farther, so that it is not
// tried while the own one does well.
func (gatherer *Gatherer) networkTime(replica *replicaRow, cost float64) float64 {
	own, least := 0.0, 0.0
	for _, centre := range replica.service.centreCosts {
		value := centre.latency.Value()
		if value == 0 {
			continue
		}
		if centre.centre == replica.searcher.centre {
			own = value
		}
		if least == 0 || value < least {
			least = value
		}
	}
	switch {
	case own > 0:
		return own - least
	case replica.searcher.local:
		return 0
	}
	return (localBias - 1) * cost
}

// recordSent counts an attempt for prediction, if there is any.
func (gatherer *Gatherer) recordSent(attempt *attemptRow) {
	prediction := attempt.replica.searcher.prediction
	if prediction == nil {
		return
	}
	known := gatherer.predictionInputs(attempt.replica)
	attempt.forecast = predictor.NewForecast(gatherer.now, &known)
	prediction.load.Sent(gatherer.now, known.Cost)
}

// recordEnded counts the end of an attempt that recordSent has counted.
func (attempt *attemptRow) recordEnded() {
	if attempt.forecast.Cost > 0 {
		attempt.replica.searcher.prediction.load.Ended(attempt.sentAt, attempt.forecast.Cost)
	}
}

// recordWork records what a request has cost by the latency of its reply.
func (gatherer *Gatherer) recordWork(attempt *attemptRow, latency time.Duration) {
	if gatherer.now >= gatherer.predictedUntil {
		return
	}
	if attempt.forecast.Cost > 0 {
		gatherer.belief.Record(&attempt.forecast, float64(latency))
	}
	replica := attempt.replica
	if replica.prediction == nil || replica.prediction.centre.centre != replica.searcher.centre {
		replica.prediction = &replicaPrediction{centre: replica.service.centreCost(replica.searcher.centre)}
	}
	replica.prediction.centre.latency.Record(gatherer.now, float64(latency))
	known := gatherer.predictionInputs(replica)
	work := predictor.Work(gatherer.now, float64(latency), &known, &gatherer.belief)
	replica.prediction.work.Record(gatherer.now, work)
	replica.prediction.centre.work.Record(gatherer.now, work)
	replica.service.work.Record(gatherer.now, work)
	if prediction := replica.searcher.prediction; prediction != nil {
		prediction.work.Record(gatherer.now, work)
	}
}

// recordUnfinished records the time that a cancelled attempt has taken so far, if it is more than its expected cost.
func (gatherer *Gatherer) recordUnfinished(replica *replicaRow, elapsed time.Duration) {
	if gatherer.now >= gatherer.predictedUntil || replica.prediction == nil {
		return
	}
	known := gatherer.predictionInputs(replica)
	if work := predictor.Work(gatherer.now, float64(elapsed), &known, &gatherer.belief); work > known.Cost {
		replica.prediction.work.Record(gatherer.now, work)
	}
}

// centreCost returns what the service's requests cost in a data centre.
func (service *serviceRow) centreCost(centre *centreRow) *centreCost {
	for _, cost := range service.centreCosts {
		if cost.centre == centre {
			return cost
		}
	}
	cost := &centreCost{centre: centre}
	service.centreCosts = append(service.centreCosts, cost)
	return cost
}
