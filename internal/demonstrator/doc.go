// Package demonstrator runs the main job on embedded stand-ins: searchers of today's sizes, entry hosts, queries and faults.
package demonstrator
