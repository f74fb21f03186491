// Package gatherer is the core of the query path: it turns one query into attempts at all shards and one answer.
//
// Gatherer is a state machine over tables of services, searchers, queries and
// attempts. Queries in progress stand in a heap by the time at which they need
// attention next, so an event costs work only for the queries that it concerns.
// These always hold:
//
//   - an answer merges replies of one snapshot and one layout only;
//   - its coverage counts exactly the shards whose replies it merges;
//   - a reply counts only for the attempt and query that it names, once;
//   - no attempt is sent at or after its query's deadline;
//   - no attempt is sent to a searcher whose attempts in flight have reached its limit;
//   - hedges are at most 5%, and all extra attempts at most 10%, of the first attempts sent so far;
//     in a replica group, extra attempts in any sliding window are bounded by its budget instead;
//   - after an attempt that may have run, a request that may run once is not sent again;
//   - at most half of a shard's replicas are ejected at once;
//   - a refused query has sent no attempt;
//   - the same seed and events give the same actions.
//
// The shell keeps the body of every successful reply until the query is
// answered, since the answer may come from an earlier snapshot than the last.
package gatherer
