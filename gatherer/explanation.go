package gatherer

import (
	"math/rand/v2"
	"time"

	"carobthread"
)

// Explain returns where the first attempts of a query of the service would go now, or false if the service is unknown or has
// no layout. It changes no state that later decisions depend on.
func (gatherer *Gatherer) Explain(now carobthread.Instant, service string) (carobthread.Placement, bool) {
	row := gatherer.services[service]
	if row == nil || !row.known {
		return carobthread.Placement{}, false
	}
	defer gatherer.borrowChoice(now)()
	plan := gatherer.bestPlan(row, nil)
	if plan.layout == nil {
		return carobthread.Placement{}, false
	}
	query := &queryRow{
		sequence: gatherer.nextQuery + 1, service: row, maxSearchers: row.maxSearchers(),
		current: candidate{
			layout: plan.layout, snapshot: plan.snapshot, pinned: plan.pinned, shards: make([]shardState, len(plan.layout.shards)),
		},
	}
	query.setDeadlines(gatherer.now, gatherer.now.Add(row.config.HardDeadline), 0)
	placement := carobthread.Placement{Service: service, Layout: plan.layout.generation}
	for shard := range plan.layout.shards {
		placement.Shards = append(placement.Shards, gatherer.explainShard(query, uint32(shard)))
	}
	return placement, true
}

// borrowChoice sets the time and a random generator for choices without effect, and returns the function that restores what
// decisions depend on.
func (gatherer *Gatherer) borrowChoice(now carobthread.Instant) (restore func()) {
	before, random, predicted := gatherer.now, gatherer.random, gatherer.stats.Predicted
	gatherer.now = max(gatherer.now, now)
	gatherer.random = rand.New(rand.NewPCG(uint64(now), 0))
	return func() { gatherer.now, gatherer.random, gatherer.stats.Predicted = before, random, predicted }
}

func (gatherer *Gatherer) explainShard(query *queryRow, shard uint32) carobthread.ShardPlacement {
	row := &query.current.layout.shards[shard]
	for i := range row.replicas {
		searcher := row.replicas[i].row.searcher
		rate := searcher.rate
		defer func() { searcher.rate = rate }() // reading it refills its tokens in steps, which rounds differently
	}
	index, class := gatherer.choose(query, shard)
	placement := carobthread.ShardPlacement{Shard: shard, Class: class.String(), Waiting: len(row.waiting)}
	if groups := query.current.layout.groups; int(shard) < len(groups) {
		placement.Group = groups[shard]
	}
	switch {
	case index >= 0:
		placement.Chosen = row.replicas[index].row.searcher.config.Name
	case class.waits():
		placement.Waits = true
	default:
		placement.Reason = reasonForClass(class)
	}
	for i := range row.replicas {
		placement.Replicas = append(placement.Replicas, gatherer.explainReplica(row, i))
	}
	return placement
}

func (gatherer *Gatherer) explainReplica(row *shardRow, index int) carobthread.ReplicaPlacement {
	replica := row.replicas[index].row
	searcher, cost := replica.searcher, gatherer.cost(replica)
	if gatherer.predicts(row) {
		cost = gatherer.expectedTime(replica)
	}
	return carobthread.ReplicaPlacement{
		Searcher:          searcher.config.Name,
		DataCentre:        searcher.config.DataCentre,
		Class:             gatherer.classes[index].String(),
		CostMicros:        time.Duration(cost).Microseconds(),
		InFlight:          searcher.limit.Running(),
		Limit:             searcher.limit.Limit(),
		FailureRate:       searcher.recentFailureRate(gatherer.now),
		EstimateMicros:    time.Duration(replica.latency).Microseconds(),
		EstimateAgeMicros: gatherer.ageMicros(replica.sampledAt),
		ReplyAgeMicros:    gatherer.ageMicros(searcher.repliedAt),
	}
}

// ageMicros returns the microseconds since the time, or nil for 0.
func (gatherer *Gatherer) ageMicros(since carobthread.Instant) *int64 {
	if since == 0 {
		return nil
	}
	age := gatherer.now.Sub(since).Microseconds()
	return &age
}
