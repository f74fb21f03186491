package bencher

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// StandInNote says what the figures of single-request workloads stand for.
const StandInNote = "Requests that may not be repeated run as one-shard searches without second attempts; " +
	"a broken connection or a timeout counts as an unknown outcome. Their searchers hold no index, so index-roll changes nothing for them."

// baselineNote explains a count that baselines have by design.
const baselineNote = "wait-for-all keeps no limit of attempts in flight, so its over-slots counts are expected."

// WriteTable prints one line a result and the notes that apply.
func WriteTable(out io.Writer, results []*Result) error {
	var text strings.Builder
	writeRow(&text, tableHeader())
	for _, result := range results {
		writeRow(&text, tableRow(result))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return fmt.Errorf("print results: %w", err)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print results: %w", err)
	}
	if _, err := io.WriteString(out, strings.Join(Notes(results), "\n")+"\n"); err != nil {
		return fmt.Errorf("print results: %w", err)
	}
	return nil
}

// Notes returns what a reader of these results has to know.
func Notes(results []*Result) []string {
	notes := []string{baselineNote}
	if hasStandIn(results) {
		notes = append(notes, StandInNote)
	}
	return notes
}

func writeRow(text *strings.Builder, cells []string) {
	text.WriteString(strings.Join(cells, "\t") + "\t\n")
}

func tableHeader() []string {
	return []string{
		"scenario", "fault", "policy", "seed", "queries", "p50 ms", "p99 ms", "p99.9 ms",
		"coverage mean", "least", "complete", "avoidable", "extra", "refused", "unknown", "broken",
	}
}

func tableRow(result *Result) []string {
	return []string{
		result.Scenario, result.Fault, result.Policy, fmt.Sprint(result.Seed), fmt.Sprint(result.Queries),
		millis(result.P50Micros), millis(result.P99Micros), millis(result.P999Micros),
		fmt.Sprintf("%.6f", result.CoverageMean), fmt.Sprintf("%.3f", result.CoverageLeast),
		percent(result.CompleteShare), fmt.Sprint(result.AvoidablePartial), percent(result.ExtraShare),
		fmt.Sprint(result.Refusals), fmt.Sprint(result.Unknown), brokenText(result),
	}
}

func millis(micros int64) string { return fmt.Sprintf("%.2f", float64(micros)/1000) }

func percent(share float64) string { return fmt.Sprintf("%.2f%%", share*100) }

// brokenText names the broken invariants with their counts.
func brokenText(result *Result) string {
	parts := []string{}
	for _, invariant := range Invariants() {
		if count := result.Broken[invariant]; count > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", invariant, count))
		}
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ",")
}

// hasStandIn reports whether a result is of a single-request workload.
func hasStandIn(results []*Result) bool {
	return slices.ContainsFunc(results, func(result *Result) bool {
		scenario, _ := FindScenario(result.Scenario)
		return scenario.Execute
	})
}
