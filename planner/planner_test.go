package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/planner"
	"carobthread/platform"
)

// TestScripts runs the scripts in testdata. The input of "table" is a routing table in JSON, that of "plan" has one
// searcher per line as "ID GROUP DATA-CENTRE [draining] [STARTED-MILLIS]".
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
				config := planner.Plan(&planner.Input{Table: &table, Registrations: parseRegistrations(data.Input), Evacuations: parseEvacuations(t, data), ColdRule: carobthread.ColdRule{Over: 1.5, Slack: 5}})
				return formatConfig(&config)
			}
			data.Fatalf(t, "unknown command %s", data.Cmd)
			return ""
		})
	})
}

// parseEvacuations returns the evacuation of the data centre that the argument evacuated names, if any.
func parseEvacuations(t *testing.T, data *datadriven.TestData) []carobthread.Evacuation {
	t.Helper()
	if !data.HasArg("evacuated") {
		return nil
	}
	evacuation := carobthread.Evacuation{LearnedAt: 5, CompleteAt: 7}
	data.ScanArgs(t, "evacuated", &evacuation.DataCentre)
	return []carobthread.Evacuation{evacuation}
}

func parseRegistrations(text string) []carobthread.Registration {
	var registrations []carobthread.Registration
	for _, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		registration := carobthread.Registration{ID: fields[0], Group: fields[1], DataCentre: fields[2], Slots: 3, Address: "10.0.0.1:80"}
		for _, field := range fields[3:] {
			if field == "draining" {
				registration.Draining = true
				continue
			}
			_, _ = fmt.Sscan(field, &registration.StartedMillis)
		}
		registrations = append(registrations, registration)
	}
	return registrations
}

func formatConfig(config *carobthread.Config) string {
	output := strings.Builder{}
	for i := range config.Services {
		service := &config.Services[i]
		layout, _ := config.Layout(service.Name, service.Layout)
		fmt.Fprintf(&output, "service %s: soft deadline %s, hard deadline %s, floor %g, searchers %d, rank %v, once %v, layout %d groups %v shards %v\n",
			service.Name, service.SoftDeadline, service.HardDeadline, service.CoverageFloor, service.MaxSearchers, service.Priority, service.AtMostOnce,
			layout.Generation, layout.Groups, layout.Shards)
	}
	for _, searcher := range config.Searchers {
		fmt.Fprintf(&output, "searcher %s: instance %s, connections %d, leaving %v", searcher.Name, searcher.Instance, searcher.Connections, searcher.Leaving)
		if searcher.Evacuated {
			fmt.Fprintf(&output, ", evacuated from %d to %d", searcher.EvacuationStart, searcher.EvacuationEnd)
		}
		if cold := searcher.Cold; cold != (carobthread.ColdState{}) {
			fmt.Fprintf(&output, ", at most %v a second for %s from %s", cold.Limit, cold.Span, cold.Started.Time().Format(time.RFC3339Nano))
		}
		output.WriteString("\n")
	}
	return output.String()
}

// Guards against load that moves gradually past the bound because the host learned of the request late, or not at all.
func TestEvacuationEnd(t *testing.T) {
	const learnedAt = carobthread.Instant(time.Hour)
	for age, gradual := range map[time.Duration]bool{0: true, 1499 * time.Millisecond: true, 1500 * time.Millisecond: false, 24 * time.Hour: false} {
		assert.Equal(t, planner.EvacuationEnd(learnedAt, age, 5*time.Second) > learnedAt, gradual, "%v", age)
	}
	assert.Equal(t, planner.EvacuationEnd(learnedAt, 0, 0), learnedAt, "without a bound")
}

// Guards against hosts with different versions of the routing table that refuse each other's queries although their route is
// the same, and against one that answers them by another definition.
func TestPlanDefinition(t *testing.T) {
	definition := func(version uint64, change func(route *carobthread.Route)) uint64 {
		table := carobthread.RoutingTable{Version: version, Routes: []carobthread.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Idempotent: true, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
			MaxSearchers: 2, Shards: []string{"s1", "s2"}, TopK: 5, MinShardRatio: 0.5,
		}}}
		change(&table.Routes[0])
		return planner.Plan(&planner.Input{Table: &table}).Layouts[0].Definition
	}
	same := definition(1, func(*carobthread.Route) {})
	assert.Assert(t, same != 0)
	assert.Equal(t, definition(2, func(*carobthread.Route) {}), same)
	for name, change := range map[string]func(route *carobthread.Route){
		"shards":   func(route *carobthread.Route) { route.Shards = []string{"s1", "s3"} },
		"order":    func(route *carobthread.Route) { route.Shards = []string{"s2", "s1"} },
		"records":  func(route *carobthread.Route) { route.TopK = 6 },
		"floor":    func(route *carobthread.Route) { route.MinShardRatio = 0.6 },
		"timeout":  func(route *carobthread.Route) { route.Timeout = 2 * time.Second },
		"priority": func(route *carobthread.Route) { route.Priority = 1 },
	} {
		assert.Assert(t, definition(1, change) != same, name)
	}
}
