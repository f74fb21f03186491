// Package tracker maintains a host's view of the membership: which hosts are
// live, suspected, leaving or gone.
//
// It combines the platform's host list, which lags, with gossip between hosts.
// Each exchange between two hosts is a heartbeat of both. Changes are
// piggybacked on exchanges, each a bounded number of times.
package tracker
