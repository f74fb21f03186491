package server

import (
	"cmp"
	"slices"

	"carobthread/rpc/carobthreadv1"
)

// defaultHits bounds the hits of an answer when the caller states no limit.
const defaultHits = 20

// merge orders the hits of all merged shards by falling score, then by id.
func (search *Search) merge(request *carobthreadv1.SearchRequest, end outcome) *carobthreadv1.SearchResponse {
	hits := []*carobthreadv1.Hit{}
	for _, response := range end.merge {
		hits = append(hits, response.GetHits()...)
	}
	slices.SortFunc(hits, func(left, right *carobthreadv1.Hit) int {
		return cmp.Or(cmp.Compare(right.GetScore(), left.GetScore()), cmp.Compare(left.GetId(), right.GetId()))
	})
	limit := int(request.GetLimit())
	if limit == 0 {
		limit = defaultHits
	}
	coverage := &carobthreadv1.Coverage{Answered: end.answer.Coverage.Answered, Total: end.answer.Coverage.Total}
	for _, missing := range end.answer.Coverage.Missing {
		coverage.Missing = append(coverage.Missing, &carobthreadv1.MissingShard{Shard: missing.Shard, Reason: string(missing.Reason)})
	}
	return &carobthreadv1.SearchResponse{
		Hits:          hits[:min(limit, len(hits))],
		Coverage:      coverage,
		Snapshot:      end.answer.Snapshot,
		SnapshotAgeUs: end.answer.SnapshotAgeMicros,
		Layout:        end.answer.Layout,
		Attempts:      end.answer.Attempts,
		Host:          search.options.Host,
	}
}
