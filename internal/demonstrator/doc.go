// Package demonstrator demonstrates queries, bookings and faults on an embedded deployment of entry hosts and fake
// searchers, in the sizes of today's workloads.
package demonstrator
