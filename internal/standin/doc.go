// Package standin provides fakes of the external systems, searchers and the platform, over real TCP on loopback.
//
// They implement only the published protocols. The demonstration and the tests
// use them; the daemon never does.
package standin
