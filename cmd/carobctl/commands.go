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
		{name: "check", short: "Check settings and tickets.", runner: &checkCommand{}},
		{name: "capacity", short: "Extend the measured control traffic to the target size.", runner: &capacityCommand{}},
		{name: "demo", short: "Run the main job on embedded stand-ins.", runner: &demoCommand{}},
		{name: "query", short: "Send one query to an entry host.", runner: &queryCommand{}},
		{name: "status", short: "Print the status of an entry host.", runner: &statusCommand{}},
		{name: "submit", short: "Publish a ticket to the platform.", runner: &submitCommand{}},
		{name: "explain", short: "Tell the story of one request from log files.", runner: &explainCommand{}},
		{name: "explore", short: "Explore schedules of requests that may not be repeated.", runner: &exploreCommand{}},
		{name: "bench", short: "Measure the query path on virtual time.", runner: &benchCommand{}},
		{name: "replay", short: "Run recorded traces through the core and compare.", runner: &replayCommand{}},
	}
}
