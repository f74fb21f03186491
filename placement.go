package carobthread

// Placement explains where the first attempts of a query that arrived now would go.
type Placement struct {
	Service string `json:"service"`
	// Weight is the share of the route's requests that the service receives, or 0 if it receives all.
	Weight float64          `json:"weight,omitempty"`
	Layout uint32           `json:"layout"`
	Shards []ShardPlacement `json:"shards"`
}

// ShardPlacement explains the choice among the replicas of one shard.
type ShardPlacement struct {
	Shard uint32 `json:"shard"`
	Group string `json:"group,omitempty"`
	// Chosen is the searcher that an attempt would be sent to, or empty. Among more than two replicas of the best class, two
	// random ones are compared, so that other requests may go to other replicas.
	Chosen string `json:"chosen,omitempty"`
	// Class is the class of the chosen replica, or the best class if none is chosen.
	Class string `json:"class"`
	// Waits is set if an attempt would wait for a slot; otherwise Reason is why none would be sent.
	Waits   bool   `json:"waits,omitempty"`
	Reason  Reason `json:"reason,omitempty"`
	Waiting int    `json:"attempts-waiting"`

	Replicas []ReplicaPlacement `json:"replicas"`
}

// ReplicaPlacement is what the choice is based on for one replica; ages are in microseconds and missing without a sample.
type ReplicaPlacement struct {
	Searcher   string `json:"searcher"`
	DataCentre string `json:"data-centre"`
	Class      string `json:"class"`
	// CostMicros is compared between replicas of one class, and between all local and remote ones where reports call for
	// prediction; it is then the expected time until the reply.
	CostMicros  int64   `json:"cost-us"`
	InFlight    int     `json:"in-flight"`
	Limit       int     `json:"limit"`
	FailureRate float64 `json:"failure-rate"`
	// EstimateMicros is the moving average of the latency, which counts for some seconds after its last sample.
	EstimateMicros    int64  `json:"estimate-us"`
	EstimateAgeMicros *int64 `json:"estimate-age-us,omitempty"`
	ReplyAgeMicros    *int64 `json:"reply-age-us,omitempty"`
}
