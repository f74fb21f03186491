// Package estimator measures the control traffic of a fleet and extrapolates it to the target size.
//
// A Fleet is a deterministic simulation: it runs the production state machines
// of many hosts in one process on virtual time, over simulated links and a
// simulated platform. Every figure but CPU and memory is reproducible from the
// seed.
package estimator
