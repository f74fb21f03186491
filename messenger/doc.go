// Package messenger connects the hosts of the system with JSON-RPC 2.0 over TCP.
//
// Each host dials the peers that it calls and accepts links from the others. A
// link starts with a hello in which both ends identify themselves. A peer that
// is not expected is disconnected before any other request is served, unless
// the messenger accepts hosts that are neither in the view nor seeds.
package messenger
