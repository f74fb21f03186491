// Package router selects the route and the replica group of a request.
//
// A Router serves one version of the routing table. It chooses among a route's
// backends by smooth weighted round robin, so each backend's share is exact on
// every host.
package router
