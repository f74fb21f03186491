// Package deployer starts a whole small deployment in one process for the demonstration and the tests.
//
// It has a stand-in platform, stand-in searchers in the sizes of the Kerala
// workloads and entry hosts that run the same code as the daemon, all on
// loopback TCP. The configuration reaches the hosts only as published tickets.
package deployer
