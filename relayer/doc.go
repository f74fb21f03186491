// Package relayer propagates the configuration and the membership between hosts.
//
// A few hosts of each data centre, its readers, read the platform and push
// changes along a relay tree. Exchanges with random peers deliver what a push
// missed, and the readers of different data centres exchange with each other.
// The configuration itself is held by an applier.Applier.
package relayer
