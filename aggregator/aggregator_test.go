package aggregator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"carobthread"
	"carobthread/aggregator"
)

// TestScripts runs the scripts in testdata; each case states the failure that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			subject, now := aggregator.New(), carobthread.Instant(time.Hour)
			hosts := 1
			data.MaybeScanArgs(t, "hosts", &hosts)
			limit := aggregator.MaxSearchersPerMessage(hosts)
			output := &strings.Builder{}
			for _, line := range strings.Split(data.Input, "\n") {
				fields := strings.Fields(line)
				switch fields[0] {
				case "add": // add HOST SEARCHER:ANSWERED:FAILED[:LATE:FIRST:LAST:REPLY]...
					var observations []carobthread.Observation
					for _, field := range fields[2:] {
						parts := strings.Split(field, ":")
						observation := carobthread.Observation{Searcher: parts[0]}
						counts := []any{
							&observation.Answered, &observation.Failed, &observation.Late,
							&observation.FirstLateMicros, &observation.LastLateMicros, &observation.LastReplyMicros,
						}
						_, err := fmt.Sscan(strings.Join(parts[1:], " "), counts[:len(parts)-1]...)
						if err != nil {
							data.Fatalf(t, "%s: %v", line, err)
						}
						observations = append(observations, observation)
					}
					subject.Add(now, fields[1], observations)
				case "wait": // wait DURATION
					duration, err := time.ParseDuration(fields[1])
					if err != nil {
						data.Fatalf(t, "%s: %v", line, err)
					}
					now = now.Add(duration)
				case "since": // since HOST SEQUENCE
					var after uint64
					if _, err := fmt.Sscan(fields[2], &after); err != nil {
						data.Fatalf(t, "%s: %v", line, err)
					}
					totals, next := subject.Since(now, fields[1], after, limit)
					fmt.Fprintf(output, "%s: %v next %d\n", line, totals, next)
				default:
					data.Fatalf(t, "unknown command %s", line)
				}
			}
			return output.String()
		})
	})
}
