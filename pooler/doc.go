// Package pooler keeps what the hosts of a data centre tell each other of the searchers that they use.
package pooler
