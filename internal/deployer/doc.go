// Package deployer starts a small but complete deployment in one process for the demonstration and the tests.
//
// A deployment consists of a fake platform, fake searchers in the sizes of
// the Kerala workloads and entry hosts that run the same code as the daemon,
// all on loopback TCP. Hosts receive the configuration only through published
// tickets.
package deployer
