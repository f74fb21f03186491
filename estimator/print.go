package estimator

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes the report as tables.
func (report *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeLine(table, "hosts\ttickets/day\trestarts/day\tB/s per host\tB/s busiest\tmessages/s per host\tplatform calls/s\tCPU %\tMB")
	for _, sample := range report.Samples {
		write(table, "%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.3f\t%.2f\n", sample.Hosts, sample.TicketsPerDay, sample.RestartsPerDay,
			sample.Load.BytesPerHost, sample.Load.BusiestHostBytes, sample.Load.MessagesPerHost, sample.Load.PlatformCalls, sample.CPUPercent, sample.MemoryMB)
	}
	writeLine(table, "\nhosts\tcondition\tp50\tp99\tmax\tmissed")
	for _, propagation := range report.Propagations {
		write(table, "%d\t%s\t%v\t%v\t%v\t%d\n", propagation.Hosts, propagation.Condition, rounded(propagation.P50), rounded(propagation.P99), rounded(propagation.Max), propagation.Missed)
	}
	writeLine(table, "\nfit\tagainst\tunit\tintercept\terror\tslope\terror")
	for _, fit := range report.Fits {
		write(table, "%s\t%s\t%s\t%.4g\t%.2g\t%.4g\t%.2g\n", fit.Quantity, fit.Against, fit.Unit,
			fit.Intercept, fit.InterceptError, fit.Slope, fit.SlopeError)
	}
	write(table, "\nat %d hosts, %d tickets/day\tunit\tfigure\terror\tbudget\twithin budget\tbasis\n", targetHosts, targetTicketsPerDay)
	for _, projection := range report.Target {
		budget, within := "-", "-"
		if projection.Budget > 0 {
			budget, within = fmt.Sprintf("%.4g", projection.Budget), fmt.Sprint(projection.InBudget())
		}
		write(table, "%s\t%s\t%.4g\t%.2g\t%s\t%s\t%s\n", projection.Quantity, projection.Unit, projection.Figure, projection.Error, budget, within, projection.Basis)
	}
	for _, violation := range report.Violations {
		writeLine(table, "violation:", violation)
	}
	return table.Flush()
}

// write ignores errors, since the table's Flush returns them.
func write(table *tabwriter.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(table, format, values...)
}

func writeLine(table *tabwriter.Writer, values ...any) { _, _ = fmt.Fprintln(table, values...) }

func rounded(span time.Duration) time.Duration { return span.Round(100 * time.Microsecond) }

// Verdict returns an error that names every exceeded budget and the first violated invariant, or nil.
func (report *Report) Verdict() error {
	var causes []error
	for _, projection := range report.OverBudget() {
		causes = append(causes, fmt.Errorf("budget exceeded: %s is %.4g %s, budget %.4g; reproduce with: carobctl capacity --seed %d",
			projection.Quantity, projection.Figure, projection.Unit, projection.Budget, report.Seed))
	}
	if len(report.Violations) > 0 {
		causes = append(causes, fmt.Errorf("%d invariants violated, the first: %s", len(report.Violations), report.Violations[0]))
	}
	return errors.Join(causes...)
}
