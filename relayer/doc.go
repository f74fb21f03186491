// Package relayer propagates the configuration and the membership between hosts.
//
// A few hosts of each data centre read the platform and push changes along a
// tree; exchanges with random peers repair what the tree missed, and the
// readers of the data centres exchange with each other. The configuration
// state itself is behind the interface State.
package relayer
