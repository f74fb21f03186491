package bencher

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// ExecuteNote explains how workloads of requests that must not be repeated are simulated.
const ExecuteNote = "Requests that must not be repeated are simulated as one-shard searches without second attempts; " +
	"a broken connection or a timeout counts as an unknown outcome. Their searchers hold no index, so index-roll does not affect them."

// baselineNote explains a violation count that a baseline has by design.
const baselineNote = "wait-for-all does not limit attempts in flight, so its over-slots counts are expected."

// WriteTable writes one line per result, followed by the notes that apply.
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

// Notes returns the notes that a reader needs to interpret the results.
func Notes(results []*Result) []string {
	notes := []string{baselineNote}
	if hasExecuteScenario(results) {
		notes = append(notes, ExecuteNote)
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
		formatMillis(result.P50Micros), formatMillis(result.P99Micros), formatMillis(result.P999Micros),
		fmt.Sprintf("%.6f", result.CoverageMean), fmt.Sprintf("%.3f", result.CoverageLeast),
		formatPercent(result.CompleteShare), fmt.Sprint(result.AvoidablePartial), formatPercent(result.ExtraShare),
		fmt.Sprint(result.Refusals), fmt.Sprint(result.Unknown), formatBroken(result),
	}
}

func formatMillis(micros int64) string { return fmt.Sprintf("%.2f", float64(micros)/1000) }

func formatPercent(share float64) string { return fmt.Sprintf("%.2f%%", share*100) }

// formatBroken lists the violated invariants with their counts, or returns 0.
func formatBroken(result *Result) string {
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

// hasExecuteScenario reports whether a result belongs to an Execute scenario.
func hasExecuteScenario(results []*Result) bool {
	return slices.ContainsFunc(results, func(result *Result) bool {
		scenario, _ := FindScenario(result.Scenario)
		return scenario.Execute
	})
}
