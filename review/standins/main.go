// Command standins plays the cases of the review: it starts the project's hosts as processes, beside stand-ins of the store,
// the searchers and the clients, and checks the rules from what these see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

func main() {
	cases := map[string]func(*fleet, bool) (int, error){
		"copied-rejection":   copiedRejection,
		"large-top-k":        largeTopK,
		"fractional-weights": fractionalWeights,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE REPOSITORY RECORD")
		os.Exit(exitUnusable)
	}
	os.Exit(play(cases[os.Args[1]]))
}

func play(play func(*fleet, bool) (int, error)) int {
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	fleet, err := newFleet(root, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	defer fleet.close()
	trouble := os.Getenv("TROUBLE") != "0"
	status, err := play(fleet, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitUnusable
	}
	return status
}
