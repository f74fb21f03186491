// Package standin holds stand-ins of the outside systems: searchers and the platform, over real TCP on loopback.
//
// They follow the published protocols only and serve the demonstration and the
// tests; the daemon never uses them.
package standin
