package planner_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"carobthread"
	"carobthread/planner"
	"carobthread/platform"
)

// TestScripts runs the scripts in testdata: a document, then one searcher a line as "ID GROUP DATA-CENTRE [draining] [BORN]".
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var table carobthread.RoutingTable
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "table":
				var err error
				table, _, err = platform.Decoder{}.Table(carobthread.StoreItem{Key: "op/config", Content: []byte(data.Input)})
				if err != nil {
					data.Fatalf(t, "%v", err)
				}
				return ""
			case "plan":
				config := planner.Plan(&table, readEntries(data.Input), carobthread.RetryBudget{})
				return format(&config)
			}
			data.Fatalf(t, "unknown command %s", data.Cmd)
			return ""
		})
	})
}

func readEntries(text string) []carobthread.Registration {
	var entries []carobthread.Registration
	for _, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		entry := carobthread.Registration{ID: fields[0], Group: fields[1], DataCentre: fields[2], Slots: 3, Address: "10.0.0.1:80"}
		for _, field := range fields[3:] {
			if field == "draining" {
				entry.Draining = true
				continue
			}
			_, _ = fmt.Sscan(field, &entry.Born)
		}
		entries = append(entries, entry)
	}
	return entries
}

func format(config *carobthread.Config) string {
	output := strings.Builder{}
	for i := range config.Services {
		service := &config.Services[i]
		layout, _ := config.Layout(service.Name, service.Layout)
		fmt.Fprintf(&output, "service %s: answer at %s to %s, floor %g, searchers %d, rank %d, once %v, layout %d groups %v shards %v\n",
			service.Name, service.SoftDeadline, service.HardDeadline, service.CoverageFloor, service.MaxAttempts, service.Rank, service.Once,
			layout.Generation, layout.Groups, layout.Shards)
	}
	for _, searcher := range config.Searchers {
		fmt.Fprintf(&output, "searcher %s: instance %s, connections %d, leaving %v\n", searcher.Name, searcher.Instance, searcher.Connections, searcher.Leaving)
	}
	return output.String()
}
