// Package runner assembles the parts of one entry host and runs them until it is told to stop.
package runner
