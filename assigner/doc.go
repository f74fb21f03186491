// Package assigner computes which host has which role, from the view alone.
//
// Every host computes the same roles from the same view and needs no agreement.
// Two views that differ give at most some roles twice or, for a short time, not at all.
package assigner
