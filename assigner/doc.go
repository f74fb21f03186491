// Package assigner assigns roles to hosts by rendezvous hashing over the membership view.
//
// Every host computes the same roles from the same view, without coordination.
// While the views of hosts differ, some roles may be held twice or, for a short
// time, by no host.
package assigner
