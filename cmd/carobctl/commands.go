package main

import "github.com/jessevdk/go-flags"

// command is a subcommand; its runner holds the flags and is called with the remaining arguments.
type command struct {
	name   string
	short  string
	runner flags.Commander
}

// commands returns the subcommands; each one has its own file.
func commands() []command {
	return []command{
		{name: "check", short: "Check settings, tickets and routing tables.", runner: &checkCommand{}},
		{name: "capacity", short: "Extrapolate the measured control traffic to the target size.", runner: &capacityCommand{}},
		{name: "demo", short: "Run a demonstration against embedded stand-ins.", runner: &demoCommand{}},
		{name: "query", short: "Send one query to an entry host.", runner: &queryCommand{}},
		{name: "place", short: "Print where an entry host would send a request now, and why.", runner: &placeCommand{}},
		{name: "status", short: "Print the status of an entry host.", runner: &statusCommand{}},
		{name: "submit", short: "Publish a ticket to the platform.", runner: &submitCommand{}},
		{name: "explain", short: "Print the history of one request from log files.", runner: &explainCommand{}},
		{name: "explore", short: "Explore schedules of requests that must not be repeated.", runner: &exploreCommand{}},
		{name: "bench", short: "Measure the query path in virtual time.", runner: &benchCommand{}},
		{name: "replay", short: "Replay recorded traces through the core and compare the actions.", runner: &replayCommand{}},
	}
}
