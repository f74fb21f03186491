// Package aggregator aggregates the observations of searchers that the hosts of a data centre share with each other.
package aggregator
