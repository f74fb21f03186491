// Package planner turns a routing table and the searchers' entries into the configuration of the query path.
//
// Each pair of a route and a replica group that it may choose becomes a
// service with one shard; a route over shards becomes one service. The layout
// carries the version, so that an answer never merges replies of two versions.
package planner
