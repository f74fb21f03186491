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

// sweepMedians returns the deadlines of the sweep in medians of a query's latency.
func sweepMedians() []float64 { return []float64{0.75, 1, 1.25, 1.5, 2, 3, 4, 6, 8, 12} }

// report collects the text and the plots of one directory.
type report struct {
	directory string
	text      strings.Builder
}

// WriteReport writes a Markdown report with plots; results are those of the runs, in their order.
//
// The plots of coverage against the deadline need further runs, which it performs.
func WriteReport(directory string, runs []Run, results []*Result) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	report := &report{directory: directory}
	report.text.WriteString("# Benchmark of the query path on virtual time\n\n")
	for _, note := range Notes(results) {
		report.text.WriteString(note + "\n\n")
	}
	report.table(results)
	if err := report.comparisons(runs, results); err != nil {
		return err
	}
	if err := report.extraLoads(results); err != nil {
		return err
	}
	path := filepath.Join(directory, ReportFile)
	if err := os.WriteFile(path, []byte(report.text.String()), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (report *report) table(results []*Result) {
	header := tableHeader()
	report.row(header)
	report.row(slices.Repeat([]string{"---"}, len(header)))
	for _, result := range results {
		report.row(tableRow(result))
	}
	report.text.WriteString("\n")
}

func (report *report) row(cells []string) {
	report.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// comparisons plots latency and coverage for each group of runs that differ in the policy alone.
func (report *report) comparisons(runs []Run, results []*Result) error {
	for start := 0; start < len(runs); {
		end := start + 1
		for end < len(runs) && sameBut(runs[start], runs[end]) {
			end++
		}
		title := fmt.Sprintf("%s, fault %s, seed %d", results[start].Scenario, results[start].Fault, results[start].Seed)
		fmt.Fprintf(&report.text, "## %s\n\n", title)
		name := fmt.Sprintf("%s-%s-%d", results[start].Scenario, strings.ReplaceAll(results[start].Fault, ",", "-"), results[start].Seed)
		latency, err := latencyPlot(results[start:end])
		if err != nil {
			return err
		}
		if err := report.save("latency-"+name, "Latency distribution", latency); err != nil {
			return err
		}
		coverage, err := coveragePlot(title, sweepDeadlines(runs[start:end]))
		if err != nil {
			return err
		}
		if err := report.save("coverage-"+name, "Coverage against deadline", coverage); err != nil {
			return err
		}
		start = end
	}
	return nil
}

func sameBut(one, other Run) bool {
	return one.Scenario.Name == other.Scenario.Name && FaultNames(one.Faults) == FaultNames(other.Faults) && one.Seed == other.Seed
}

// sweepDeadlines repeats each run with all deadlines of the sweep.
func sweepDeadlines(runs []Run) [][]*Result {
	medians := sweepMedians()
	repeated := []Run{}
	for _, run := range runs {
		for _, median := range medians {
			run.Scenario = run.Scenario.Short().WithDeadline(median)
			repeated = append(repeated, run)
		}
	}
	return slices.Collect(slices.Chunk(ExecuteAll(repeated), len(medians)))
}

// extraLoads plots the extra attempts by fault, one plot a scenario, as the mean over the seeds.
func (report *report) extraLoads(results []*Result) error {
	report.text.WriteString("## Extra load\n\n")
	scenarios, policies, faults := []string{}, []string{}, []string{}
	shares := map[string]map[string][]float64{}
	for _, result := range results {
		scenarios = appendNew(scenarios, result.Scenario)
		policies = appendNew(policies, result.Policy)
		faults = appendNew(faults, result.Fault)
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
		if err := report.save("extra-"+scenario, "Extra load", chart); err != nil {
			return err
		}
	}
	return nil
}

func appendNew(names []string, name string) []string {
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

func (report *report) save(name, caption string, chart *plot.Plot) error {
	file := name + ".svg"
	if err := chart.Save(plotWidth, plotHeight, filepath.Join(report.directory, file)); err != nil {
		return fmt.Errorf("write plot %s: %w", file, err)
	}
	fmt.Fprintf(&report.text, "![%s](%s)\n\n", caption, file)
	return nil
}
