// Package router selects the route and the replica group of a request.
//
// Router holds one version of the routing table and does not change; the
// weighted choice among backends is by smooth weighted round robin, so that
// each backend's share is exact on every host.
package router
