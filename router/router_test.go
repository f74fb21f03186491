package router_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"carobthread"
	"carobthread/router"
)

// TestScripts runs the scripts in testdata; each case states the failure that it guards against.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := carobthread.RoutingTable{Version: 1}
		var routes *router.Router
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "table":
				table.Routes = nil
				for _, line := range strings.Split(data.Input, "\n") {
					table.Routes = append(table.Routes, parseRoute(t, data, line))
				}
				routes = router.New(&table)
				return ""
			case "choose":
				output := strings.Builder{}
				for _, line := range strings.Split(data.Input, "\n") {
					fields := strings.Fields(line)
					choice, found := routes.Choose(fields[0], fields[1])
					if !found {
						fmt.Fprintf(&output, "%s: none\n", line)
						continue
					}
					fmt.Fprintf(&output, "%s: %s\n", line, choice.Route.Name)
				}
				return output.String()
			case "shares":
				var host, target string
				var times int
				data.ScanArgs(t, "host", &host)
				data.ScanArgs(t, "target", &target)
				data.ScanArgs(t, "times", &times)
				counts := map[string]int{}
				for range times {
					choice, _ := routes.Choose(host, target)
					counts[choice.Group]++
				}
				return fmt.Sprintln(counts)
			}
			data.Fatalf(t, "unknown command %s", data.Cmd)
			return ""
		})
	})
}

// parseRoute parses "NAME HOST PREFIX GROUP:WEIGHT...".
func parseRoute(t *testing.T, data *datadriven.TestData, line string) carobthread.Route {
	t.Helper()
	fields := strings.Fields(line)
	route := carobthread.Route{Name: fields[0], Host: fields[1], Prefix: fields[2]}
	for _, field := range fields[3:] {
		backend := carobthread.Backend{}
		name, weight, _ := strings.Cut(field, ":")
		backend.Group = name
		if _, err := fmt.Sscan(weight, &backend.Weight); err != nil {
			data.Fatalf(t, "%v", err)
		}
		route.Backends = append(route.Backends, backend)
	}
	return route
}
