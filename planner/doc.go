// Package planner builds the configuration of the query path from a routing table and the searchers' registrations.
//
// A route over shards becomes one service. Any other route becomes one service
// per backend, each with a single shard. The generation of each layout is the
// table's version, so an answer never merges replies of two versions.
package planner
