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
			sample.Load.BytesPerHost, sample.Load.MostBytes, sample.Load.MessagesPerHost, sample.Load.PlatformCalls, sample.CPUPercent, sample.MemoryMB)
	}
	writeLine(table, "\nhosts\tcondition\tp50\tp99\tmax\tmissed")
	for _, wave := range report.Waves {
		write(table, "%d\t%s\t%v\t%v\t%v\t%d\n", wave.Hosts, wave.Condition, rounded(wave.P50), rounded(wave.P99), rounded(wave.Max), wave.Missed)
	}
	writeLine(table, "\nfit\tagainst\tunit\tintercept\terror\tslope\terror")
	for _, fit := range report.Fits {
		write(table, "%s\t%s\t%s\t%.4g\t%.2g\t%.4g\t%.2g\n", fit.Quantity, fit.Against, fit.Unit,
			fit.Intercept, fit.InterceptError, fit.Slope, fit.SlopeError)
	}
	write(table, "\nat %d hosts, %d tickets/day\tunit\tfigure\terror\tbudget\tkept\tbasis\n", targetHosts, targetTickets)
	for _, line := range report.Target {
		budget, kept := "-", "-"
		if line.Budget > 0 {
			budget, kept = fmt.Sprintf("%.4g", line.Budget), fmt.Sprint(line.Kept())
		}
		write(table, "%s\t%s\t%.4g\t%.2g\t%s\t%s\t%s\n", line.Quantity, line.Unit, line.Figure, line.Error, budget, kept, line.Basis)
	}
	for _, violation := range report.Violations {
		writeLine(table, "violation:", violation)
	}
	return table.Flush()
}

// write leaves errors to the table's Flush.
func write(table *tabwriter.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(table, format, values...)
}

func writeLine(table *tabwriter.Writer, values ...any) { _, _ = fmt.Fprintln(table, values...) }

func rounded(span time.Duration) time.Duration { return span.Round(100 * time.Microsecond) }

// Verdict returns an error that names every broken budget line and the first broken invariant.
func (report *Report) Verdict() error {
	var causes []error
	for _, line := range report.Broken() {
		causes = append(causes, fmt.Errorf("budget broken: %s is %.4g %s, budget %.4g; repeat with: carobctl capacity --seed %d",
			line.Quantity, line.Figure, line.Unit, line.Budget, report.Seed))
	}
	if len(report.Violations) > 0 {
		causes = append(causes, fmt.Errorf("%d invariants broken, the first: %s", len(report.Violations), report.Violations[0]))
	}
	return errors.Join(causes...)
}
