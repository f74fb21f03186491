package main

import "github.com/jessevdk/go-flags"

// command is one subcommand; its runner holds the flags and is called with the remaining arguments.
type command struct {
	name   string
	short  string
	runner flags.Commander
}

// commands lists the subcommands; each one stands in a file of its own.
func commands() []command {
	return []command{
		{name: "bench", short: "measure the query path on virtual time", runner: &benchCommand{}},
		{name: "replay", short: "run recorded traces through the core and compare", runner: &replayCommand{}},
	}
}
