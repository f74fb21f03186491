package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"carobthread/estimator"
)

// capacityCommand measures the control traffic and extrapolates it to the target size.
type capacityCommand struct {
	JSON bool   `long:"json" description:"print the report as JSON"`
	Seed uint64 `long:"seed" default:"1" description:"seed of the simulated fleets"`
}

// Execute prints the report and fails if a budget is exceeded or an invariant is violated.
func (command *capacityCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &usageError{cause: fmt.Errorf("capacity takes no arguments, got %s", strings.Join(arguments, " "))}
	}
	report, err := estimator.Measure(estimator.Options{Sizes: estimator.DefaultFleetSizes(), Seed: command.Seed})
	if err != nil {
		return err
	}
	if command.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = report.Print(os.Stdout)
	}
	if err != nil {
		return err
	}
	return report.Verdict()
}
