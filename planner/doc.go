// Package planner builds the configuration of the query path from a routing table and the searchers' registrations.
//
// A route over shards becomes one service. Any other route becomes one service
// with a single shard for each of its backends. The generation of each layout is
// the table's version, so an answer never merges replies of two versions.
package planner
