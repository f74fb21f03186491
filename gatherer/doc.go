// Package gatherer implements the scatter-gather core of the query path: it fans a query out to all shards and merges the
// replies into one answer.
//
// Gatherer is a deterministic state machine over tables of services, searchers,
// queries and attempts. A heap orders the queries in progress by their next
// timer, so an event costs work only for the queries that it affects.
// It keeps these invariants:
//
//   - an answer merges replies of one snapshot and one layout only;
//   - its coverage counts exactly the shards whose replies it merges;
//   - a reply counts at most once, and only for the attempt and query that it names;
//   - no attempt is sent at or after its query's deadline;
//   - no attempt is sent to a searcher that already has as many attempts in flight as its limit allows;
//   - hedges are at most 5%, and all extra attempts at most 10%, of the first attempts sent so far;
//     in a replica group, the group's budget bounds the extra attempts in any sliding window instead;
//   - a request that must not run twice is not sent again after an attempt that may have run;
//   - at most half of a shard's replicas are ejected at once;
//   - a query is refused only before any of its attempts is sent;
//   - the same seed and events produce the same actions.
//
// The code that drives the state machine must keep the body of every successful
// reply until the query is answered, because the answer may be merged from a
// snapshot other than the one that was asked for last.
package gatherer
