package bencher

import (
	"fmt"
	"math"
	"slices"
	"strconv"
)

// pairScenario is the scenario in which the check combines each fault with each other one.
const pairScenario = "kerala-matching"

// Breach is a figure beyond its bound.
type Breach struct {
	Bound    string  `json:"bound"`
	Scenario string  `json:"scenario"`
	Fault    string  `json:"fault"`
	Seed     uint64  `json:"seed"`
	Measure  string  `json:"measure"`
	Figure   float64 `json:"figure"`
	Limit    float64 `json:"limit"`
	// Detail names the broken invariants, if the bound counts them.
	Detail  string `json:"detail,omitempty"`
	Command string `json:"command"`
}

// String formats the breach with the command that repeats it.
func (breach Breach) String() string {
	text := fmt.Sprintf("%s: %s, fault %s, seed %d: %s is %s, limit %s",
		breach.Bound, breach.Scenario, breach.Fault, breach.Seed, breach.Measure, figureText(breach.Figure), figureText(breach.Limit))
	if breach.Detail != "" {
		text += " (" + breach.Detail + ")"
	}
	return text + "\n  " + breach.Command
}

// figureText prints at most four decimals.
func figureText(figure float64) string {
	return strconv.FormatFloat(math.Round(figure*10_000)/10_000, 'f', -1, 64)
}

// Checked is the outcome of a check.
type Checked struct {
	Runs     int
	Compared int
	Breaches []Breach
}

// Check runs the selection and compares its figures with the bounds.
//
// Without faults in the selection it takes no fault, each single fault, in one scenario each pair of faults,
// and the shorter deadlines that bounds name. All runs take the short variant of their scenario.
func Check(selection Selection, bounds *Bounds) (*Checked, error) {
	if len(selection.Seeds) == 0 {
		selection.Seeds = bounds.Seeds
	}
	runs, err := bounds.runs(selection)
	if err != nil {
		return nil, err
	}
	baselineOf := map[int]int{}
	for i, run := range runs[:len(runs):len(runs)] {
		if bounds.needBaseline(run) {
			baselineOf[i] = len(runs)
			run.Policy = baselinePolicy()
			runs = append(runs, run)
		}
	}
	results := ExecuteAll(runs)
	checked := &Checked{Runs: len(runs)}
	for i, run := range runs[:len(runs)-len(baselineOf)] {
		var baseline *Result
		if at, known := baselineOf[i]; known {
			baseline = results[at]
		}
		checked.compare(bounds, run, results[i], baseline)
	}
	return checked, nil
}

func currentPolicy() Policy { return Policies()[0] }

func baselinePolicy() Policy { return Policies()[1] }

// runs returns the runs of the current policy.
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

// deadlineRuns returns the runs that the bound needs for a deadline of its own.
func (bound *Bound) deadlineRuns(selection Selection) ([]Run, error) {
	if bound.DeadlineMedians == 0 {
		return nil, nil
	}
	selection.DeadlineMedians = bound.DeadlineMedians
	runs, err := selection.Runs([]Policy{currentPolicy()})
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(runs, func(run Run) bool { return !bound.covers(run) }), nil
}

// pairRuns returns one run for each pair of faults in the pair scenario if the runs contain it.
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

func (bounds *Bounds) needBaseline(run Run) bool {
	for _, bound := range bounds.Bounds {
		if !bound.covers(run) {
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

func (checked *Checked) compare(bounds *Bounds, run Run, result, baseline *Result) {
	for _, bound := range bounds.Bounds {
		if !bound.covers(run) {
			continue
		}
		for _, limit := range bound.Limits {
			checked.Compared++
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
				Command:  repeatCommand(result),
			}
			if limit.Measure == "broken" {
				breach.Detail = brokenText(result)
			}
			checked.Breaches = append(checked.Breaches, breach)
		}
	}
}

func repeatCommand(result *Result) string {
	command := fmt.Sprintf("go run ./cmd/carobctl bench --check --scenario %s --fault %s --seed %d",
		result.Scenario, result.Fault, result.Seed)
	if result.DeadlineMedians > 0 {
		command += fmt.Sprintf(" --deadline-medians %g", result.DeadlineMedians)
	}
	return command
}
