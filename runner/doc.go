// Package runner builds the components of one entry host and runs them until it is asked to stop.
package runner
