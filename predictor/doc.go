// Package predictor estimates when a searcher would complete a request sent now.
//
// It holds the pure parts of the decision: moving medians of what requests cost, the work that a searcher still has to do, and
// the sum of both. It reads no clock and sends nothing.
package predictor
