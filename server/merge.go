package server

import (
	"cmp"
	"slices"

	"carobthread/rpc/carobthreadv1"
)

// defaultHits bounds the hits of an answer when the caller states no limit.
const defaultHits = 20

// merge orders the hits of all merged shards by falling score, then by id.
func (search *Search) merge(request *carobthreadv1.SearchRequest, end Outcome) *carobthreadv1.SearchResponse {
	hits := []*carobthreadv1.Hit{}
	for _, reply := range end.Replies {
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
	coverage := &carobthreadv1.Coverage{Answered: end.Answer.Coverage.Answered, Total: end.Answer.Coverage.Total}
	for _, missing := range end.Answer.Coverage.Missing {
		coverage.Missing = append(coverage.Missing, &carobthreadv1.MissingShard{Shard: missing.Shard, Reason: string(missing.Reason)})
	}
	return &carobthreadv1.SearchResponse{
		Hits:          hits[:min(limit, len(hits))],
		Coverage:      coverage,
		Snapshot:      end.Answer.Snapshot,
		SnapshotAgeUs: end.Answer.SnapshotAgeMicros,
		Layout:        end.Answer.Layout,
		Attempts:      end.Answer.Attempts,
		Host:          search.options.Host,
	}
}
