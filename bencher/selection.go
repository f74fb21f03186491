package bencher

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Selection selects runs; an empty list means the default.
type Selection struct {
	// Scenarios holds names and defaults to all scenarios.
	Scenarios []string
	// Faults holds comma-separated lists of faults to combine, and defaults to no fault and each single fault.
	Faults []string
	// Seeds defaults to seed 1.
	Seeds []uint64
	// DeadlineMedians, if not 0, replaces the deadlines of the scenarios by this many median latencies.
	DeadlineMedians float64
	// Sample selects a small variant of each scenario.
	Sample bool
}

// Runs returns the runs of the selection. Runs that differ only in the policy are adjacent.
func (selection Selection) Runs(policies []Policy) ([]Run, error) {
	scenarios, err := selection.scenarios()
	if err != nil {
		return nil, err
	}
	faults, err := selection.faults()
	if err != nil {
		return nil, err
	}
	seeds := selection.Seeds
	if len(seeds) == 0 {
		seeds = []uint64{1}
	}
	runs := []Run{}
	for _, scenario := range scenarios {
		if selection.Sample {
			scenario = scenario.Sample()
		}
		if selection.DeadlineMedians > 0 {
			scenario = scenario.WithDeadline(selection.DeadlineMedians)
		}
		for _, combined := range faults {
			for _, seed := range seeds {
				for _, policy := range policies {
					runs = append(runs, Run{
						Scenario:        scenario,
						Faults:          combined,
						Policy:          policy,
						Seed:            seed,
						DeadlineMedians: selection.DeadlineMedians,
					})
				}
			}
		}
	}
	return runs, nil
}

func (selection Selection) scenarios() ([]Scenario, error) {
	if len(selection.Scenarios) == 0 {
		return Scenarios(), nil
	}
	scenarios := []Scenario{}
	for _, name := range selection.Scenarios {
		scenario, known := FindScenario(name)
		if !known {
			return nil, fmt.Errorf("unknown scenario %q", name)
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

func (selection Selection) faults() ([][]Fault, error) {
	if len(selection.Faults) == 0 {
		return append([][]Fault{nil}, SingleFaults()...), nil
	}
	lists := [][]Fault{}
	for _, text := range selection.Faults {
		faults, err := ParseFaults(text)
		if err != nil {
			return nil, err
		}
		lists = append(lists, faults)
	}
	return lists, nil
}

// SingleFaults returns one list per fault, which holds only that fault.
func SingleFaults() [][]Fault {
	lists := [][]Fault{}
	for _, fault := range Faults() {
		lists = append(lists, []Fault{fault})
	}
	return lists
}

// WriteList prints the names of all scenarios and faults.
func WriteList(out io.Writer) error {
	var text strings.Builder
	for _, scenario := range Scenarios() {
		fmt.Fprintf(&text, "scenario\t%s\t%d shards, %d searchers, %.0f requests/s\n",
			scenario.Name, scenario.Shards, scenario.Searchers, scenario.rate())
	}
	fmt.Fprintf(&text, "fault\t%s\tno fault\n", NoFault)
	for _, fault := range Faults() {
		fmt.Fprintf(&text, "fault\t%s\t%s\n", fault.Name, fault.Summary)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return fmt.Errorf("print list: %w", err)
	}
	return table.Flush()
}
