package bencher

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// pairScenario is the scenario in which the check runs every pair of faults.
const pairScenario = "kerala-matching"

// Breach is a measured figure that exceeds its limit.
type Breach struct {
	Bound    string  `json:"bound"`
	Scenario string  `json:"scenario"`
	Fault    string  `json:"fault"`
	Seed     uint64  `json:"seed"`
	Measure  string  `json:"measure"`
	Figure   float64 `json:"figure"`
	Limit    float64 `json:"limit"`
	// Detail lists the violated invariants if the measure counts them.
	Detail  string `json:"detail,omitempty"`
	Command string `json:"command"`
}

// String formats the breach with the command that reproduces it.
func (breach Breach) String() string {
	text := fmt.Sprintf("%s: %s, fault %s, seed %d: %s is %s, limit %s",
		breach.Bound, breach.Scenario, breach.Fault, breach.Seed, breach.Measure, formatFigure(breach.Figure), formatFigure(breach.Limit))
	if breach.Detail != "" {
		text += " (" + breach.Detail + ")"
	}
	return text + "\n  " + breach.Command
}

// formatFigure formats a figure with at most four decimals.
func formatFigure(figure float64) string {
	return strconv.FormatFloat(math.Round(figure*10_000)/10_000, 'f', -1, 64)
}

// CheckResult is the result of a check.
type CheckResult struct {
	Runs        int
	Comparisons int
	Breaches    []Breach
}

// Check executes the selected runs and compares their results with the bounds.
//
// If the selection names no faults, Check runs without faults, with each single fault, with each pair of faults in one
// scenario, and with the shorter deadlines that bounds require. All runs use the short variant of their scenario.
func Check(selection Selection, bounds *Bounds) (*CheckResult, error) {
	if len(selection.Seeds) == 0 {
		selection.Seeds = bounds.Seeds
	}
	runs, err := bounds.runs(selection)
	if err != nil {
		return nil, err
	}
	baselineIndex := map[int]int{}
	for i, run := range runs[:len(runs):len(runs)] {
		if bounds.needsBaseline(run) {
			baselineIndex[i] = len(runs)
			run.Policy = baselinePolicy()
			runs = append(runs, run)
		}
	}
	results := ExecuteAll(runs)
	check := &CheckResult{Runs: len(runs)}
	for i, run := range runs[:len(runs)-len(baselineIndex)] {
		var baseline *Result
		if index, known := baselineIndex[i]; known {
			baseline = results[index]
		}
		check.compare(bounds, run, results[i], baseline)
	}
	return check, nil
}

func currentPolicy() Policy { return Policies()[0] }

func baselinePolicy() Policy { return Policies()[1] }

// runs returns the runs of the check, all with the current policy.
func (bounds *Bounds) runs(selection Selection) ([]Run, error) {
	runs, err := selection.Runs([]Policy{currentPolicy()})
	if err != nil {
		return nil, err
	}
	if len(selection.Faults) == 0 {
		runs = append(runs, pairRuns(runs)...)
	}
	if selection.DeadlineMedians == 0 && len(selection.Faults) == 0 {
		for _, bound := range bounds.Bounds {
			deadlines, err := bound.deadlineRuns(selection)
			if err != nil {
				return nil, err
			}
			runs = append(runs, deadlines...)
		}
	}
	for i := range runs {
		runs[i].Scenario = runs[i].Scenario.Short()
	}
	return runs, nil
}

// deadlineRuns returns the additional runs for a bound that replaces the deadline.
func (bound *Bound) deadlineRuns(selection Selection) ([]Run, error) {
	if bound.DeadlineMedians == 0 {
		return nil, nil
	}
	selection.DeadlineMedians = bound.DeadlineMedians
	runs, err := selection.Runs([]Policy{currentPolicy()})
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(runs, func(run Run) bool { return !bound.appliesTo(run) }), nil
}

// pairRuns returns a run for each pair of faults for every run of pairScenario without faults.
func pairRuns(runs []Run) []Run {
	pairs := []Run{}
	for _, run := range runs {
		if run.Scenario.Name != pairScenario || len(run.Faults) > 0 {
			continue
		}
		faults := Faults()
		for i := range faults {
			for j := range i {
				run.Faults = []Fault{faults[j], faults[i]}
				pairs = append(pairs, run)
			}
		}
	}
	return pairs
}

func (bounds *Bounds) needsBaseline(run Run) bool {
	for _, bound := range bounds.Bounds {
		if !bound.appliesTo(run) {
			continue
		}
		for _, limit := range bound.Limits {
			if limit.Measure == p99ToBaseline {
				return true
			}
		}
	}
	return false
}

func (check *CheckResult) compare(bounds *Bounds, run Run, result, baseline *Result) {
	for _, bound := range bounds.Bounds {
		if !bound.appliesTo(run) {
			continue
		}
		for _, limit := range bound.Limits {
			check.Comparisons++
			figure := measures()[limit.Measure](result, baseline)
			if figure <= limit.Value {
				continue
			}
			breach := Breach{
				Bound:    bound.Name,
				Scenario: result.Scenario,
				Fault:    result.Fault,
				Seed:     result.Seed,
				Measure:  limit.Measure,
				Figure:   figure,
				Limit:    limit.Value,
				Command:  reproductionCommand(result),
			}
			if limit.Measure == "broken" {
				breach.Detail = formatBroken(result)
			}
			check.Breaches = append(check.Breaches, breach)
		}
	}
}

func reproductionCommand(result *Result) string {
	command := fmt.Sprintf("go run ./cmd/carobctl bench --check --scenario %s --fault %s --seed %d",
		result.Scenario, result.Fault, result.Seed)
	if result.DeadlineMedians > 0 {
		command += fmt.Sprintf(" --deadline-medians %g", result.DeadlineMedians)
	}
	return command
}
