// Package estimator measures the control traffic of a fleet and extends it to the target size.
//
// A Fleet runs the real cores of many hosts in one process on virtual time,
// with fake links and a fake platform, so that every figure but CPU and memory
// repeats from its seed.
package estimator
