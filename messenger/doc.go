// Package messenger links the hosts of the system with JSON-RPC 2.0 over TCP.
//
// Each host dials the peers that it calls and accepts links from the others. A
// link opens with a hello in which both ends state who they are; an end that
// is not expected is disconnected before any other request is served, unless
// the messenger is open to hosts that no list names.
package messenger
