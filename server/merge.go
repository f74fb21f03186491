package server

import (
	"cmp"
	"slices"

	"carobthread/rpc/carobthreadv1"
)

// defaultHits limits the hits of an answer if the request sets no limit.
const defaultHits = 20

// merge builds the response from the merged replies, with the hits sorted by descending score, then by id.
func (search *Search) merge(request *carobthreadv1.SearchRequest, outcome Outcome) *carobthreadv1.SearchResponse {
	hits := []*carobthreadv1.Hit{}
	for _, reply := range outcome.Replies {
		for _, hit := range reply.Hits {
			hits = append(hits, &carobthreadv1.Hit{Id: hit.ID, Score: hit.Score, Payload: hit.Payload})
		}
	}
	slices.SortFunc(hits, func(left, right *carobthreadv1.Hit) int {
		return cmp.Or(cmp.Compare(right.GetScore(), left.GetScore()), cmp.Compare(left.GetId(), right.GetId()))
	})
	limit := int(request.GetLimit())
	if limit == 0 {
		limit = defaultHits
	}
	coverage := &carobthreadv1.Coverage{Answered: outcome.Answer.Coverage.Answered, Total: outcome.Answer.Coverage.Total}
	for _, missing := range outcome.Answer.Coverage.Missing {
		coverage.Missing = append(coverage.Missing, &carobthreadv1.MissingShard{Shard: missing.Shard, Reason: string(missing.Reason)})
	}
	return &carobthreadv1.SearchResponse{
		Hits:          hits[:min(limit, len(hits))],
		Coverage:      coverage,
		Snapshot:      outcome.Answer.Snapshot,
		SnapshotAgeUs: outcome.Answer.SnapshotAgeMicros,
		Layout:        outcome.Answer.Layout,
		Attempts:      outcome.Answer.Attempts,
		Host:          search.options.Host,
	}
}
