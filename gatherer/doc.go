// Package gatherer is the core of the query path: it turns one query into attempts at all shards and one answer.
//
// Gatherer is a state machine over tables of services, searchers, queries and
// attempts. These always hold:
//
//   - an answer merges replies of one snapshot and one layout only;
//   - its coverage counts exactly the shards whose replies it merges;
//   - a reply counts only for the attempt and query that it names, once;
//   - no attempt is sent at or after its query's deadline;
//   - attempts in flight at a searcher never exceed its limit.
package gatherer
