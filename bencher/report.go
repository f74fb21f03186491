package bencher

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// ReportFile is the name of the report in its directory.
const ReportFile = "report.md"

// sweepMedians returns the deadlines of the sweep in median query latencies.
func sweepMedians() []float64 { return []float64{0.75, 1, 1.25, 1.5, 2, 3, 4, 6, 8, 12} }

// report collects the text of a report and saves its plots to the directory.
type report struct {
	directory string
	text      strings.Builder
}

// WriteReport writes a Markdown report with plots; results holds the results of runs, in the same order.
//
// It executes further runs for the plots of coverage against the deadline.
func WriteReport(directory string, runs []Run, results []*Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	report := &report{directory: directory}
	report.text.WriteString("# Benchmark of the query path on virtual time\n\n")
	for _, note := range Notes(results) {
		report.text.WriteString(note + "\n\n")
	}
	report.writeTable(results)
	if err := report.writeComparisons(runs, results); err != nil {
		return err
	}
	if err := report.writeExtraLoads(results); err != nil {
		return err
	}
	path := filepath.Join(directory, ReportFile)
	if err := os.WriteFile(path, []byte(report.text.String()), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (report *report) writeTable(results []*Result) {
	header := tableHeader()
	report.writeRow(header)
	report.writeRow(slices.Repeat([]string{"---"}, len(header)))
	for _, result := range results {
		report.writeRow(tableRow(result))
	}
	report.text.WriteString("\n")
}

func (report *report) writeRow(cells []string) {
	report.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// writeComparisons plots latency and coverage for each group of runs that differ only in the policy.
func (report *report) writeComparisons(runs []Run, results []*Result) error {
	for start := 0; start < len(runs); {
		end := start + 1
		for end < len(runs) && differOnlyInPolicy(runs[start], runs[end]) {
			end++
		}
		title := fmt.Sprintf("%s, fault %s, seed %d", results[start].Scenario, results[start].Fault, results[start].Seed)
		fmt.Fprintf(&report.text, "## %s\n\n", title)
		name := fmt.Sprintf("%s-%s-%d", results[start].Scenario, strings.ReplaceAll(results[start].Fault, ",", "-"), results[start].Seed)
		latency, err := latencyPlot(results[start:end])
		if err != nil {
			return err
		}
		if err := report.savePlot("latency-"+name, "Latency distribution", latency); err != nil {
			return err
		}
		coverage, err := coveragePlot(title, runDeadlineSweep(runs[start:end]))
		if err != nil {
			return err
		}
		if err := report.savePlot("coverage-"+name, "Coverage against deadline", coverage); err != nil {
			return err
		}
		start = end
	}
	return nil
}

func differOnlyInPolicy(one, other Run) bool {
	return one.Scenario.Name == other.Scenario.Name && FaultNames(one.Faults) == FaultNames(other.Faults) && one.Seed == other.Seed
}

// runDeadlineSweep executes each run with all deadlines of the sweep and returns one list of results per run.
func runDeadlineSweep(runs []Run) [][]*Result {
	medians := sweepMedians()
	sweepRuns := []Run{}
	for _, run := range runs {
		for _, median := range medians {
			run.Scenario = run.Scenario.Short().WithDeadline(median)
			sweepRuns = append(sweepRuns, run)
		}
	}
	return slices.Collect(slices.Chunk(ExecuteAll(sweepRuns), len(medians)))
}

// writeExtraLoads plots the extra attempts by fault, one plot per scenario, as the mean over the seeds.
func (report *report) writeExtraLoads(results []*Result) error {
	report.text.WriteString("## Extra load\n\n")
	scenarios, policies, faults := []string{}, []string{}, []string{}
	shares := map[string]map[string][]float64{}
	for _, result := range results {
		scenarios = appendUnique(scenarios, result.Scenario)
		policies = appendUnique(policies, result.Policy)
		faults = appendUnique(faults, result.Fault)
		key := result.Scenario + " " + result.Policy
		if shares[key] == nil {
			shares[key] = map[string][]float64{}
		}
		shares[key][result.Fault] = append(shares[key][result.Fault], 100*result.ExtraShare)
	}
	for _, scenario := range scenarios {
		values := map[string]plotter.Values{}
		for _, policy := range policies {
			for _, fault := range faults {
				values[policy] = append(values[policy], mean(shares[scenario+" "+policy][fault]))
			}
		}
		chart, err := extraPlot(scenario, policies, faults, values)
		if err != nil {
			return err
		}
		if err := report.savePlot("extra-"+scenario, "Extra load", chart); err != nil {
			return err
		}
	}
	return nil
}

func appendUnique(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

func (report *report) savePlot(name, caption string, chart *plot.Plot) error {
	file := name + ".svg"
	if err := chart.Save(plotWidth, plotHeight, filepath.Join(report.directory, file)); err != nil {
		return fmt.Errorf("write plot %s: %w", file, err)
	}
	fmt.Fprintf(&report.text, "![%s](%s)\n\n", caption, file)
	return nil
}
