package gatherer

import (
	"carobthread"
)

// shardState is one shard of one query.
type shardState struct {
	attempts []carobthread.AttemptID
	reply    carobthread.AttemptID
	reason   carobthread.Reason
	sent     int
}

// queryRow is one query in progress.
type queryRow struct {
	id       carobthread.QueryID
	service  *serviceRow
	layout   *carobthread.Layout
	snapshot uint64
	arrived  carobthread.Instant
	soft     carobthread.Instant
	deadline carobthread.Instant
	shards   []shardState
	answered int
	sent     uint32
	age      int64
}

// attemptRow is one attempt in flight.
type attemptRow struct {
	id       carobthread.AttemptID
	query    carobthread.QueryID
	shard    uint32
	searcher *searcherRow
	sentAt   carobthread.Instant
	kind     carobthread.AttemptKind
}

// searcherRow is what this host knows of one searcher.
type searcherRow struct {
	config   carobthread.Searcher
	inFlight int
	draining bool
	held     []uint64
	age      int64
}

// serviceRow is one service with its layouts in force.
type serviceRow struct {
	config  carobthread.Service
	layouts []carobthread.Layout
}

func (service *serviceRow) layout(generation uint32) *carobthread.Layout {
	for i := range service.layouts {
		if service.layouts[i].Generation == generation {
			return &service.layouts[i]
		}
	}
	return nil
}
