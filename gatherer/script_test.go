package gatherer_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/gatherer"
)

// TestScripts runs the scripts in testdata; the head of each one names the failures that it guards against.
// Each input line is a command; each output line has the number of a command and the actions that it caused.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			run := &script{t: t, now: carobthread.Instant(time.Hour), core: gatherer.New(1, gatherer.Options{})}
			output := strings.Builder{}
			for i, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
				command := datadriven.TestData{Pos: fmt.Sprintf("%s: line %d", data.Pos, i+1)}
				var err error
				if command.Cmd, command.CmdArgs, err = datadriven.ParseLine(line); err != nil {
					command.Fatalf(t, "%v", err)
				}
				if actions := strings.TrimSpace(run.command(&command)); actions != "" {
					fmt.Fprintf(&output, "%d %s\n", i+1, strings.ReplaceAll(actions, "\n", "; "))
				}
			}
			return output.String()
		})
	})
}

// script runs the commands of one test case against a gatherer.
type script struct {
	t     *testing.T
	core  *gatherer.Gatherer
	now   carobthread.Instant
	sends map[carobthread.AttemptID]*carobthread.SendAttempt
	query carobthread.QueryID
	// blocked explains the missing shards of the last answer.
	blocked []carobthread.BlockedShard
}

func (run *script) command(data *datadriven.TestData) string {
	run.now = run.now.Add(run.duration(data, "after"))
	switch data.Cmd {
	case "new":
		run.core = gatherer.New(1, gatherer.Options{RandomReplica: data.HasArg("random"), OriginalPolicy: data.HasArg("first")})
		return ""
	case "config":
		output, _, _ := strings.Cut(run.step(carobthread.Event{Config: &carobthread.ConfigChanged{Config: run.config(data)}}), "connect")
		return output
	case "view":
		return run.step(carobthread.Event{View: &carobthread.ViewChanged{View: run.view(data)}})
	case "warm-up":
		run.warmUp(run.text(data, "service", "matching"), run.number(data, "queries", 0), run.duration(data, "latency"), run.text(data, "fail", ""))
		return ""
	case "query":
		output := ""
		for range run.number(data, "times", 1) {
			run.query++
			arrived := carobthread.QueryArrived{Query: run.query, Service: run.text(data, "service", "matching"), Size: run.number(data, "size", 0)}
			if data.HasArg("deadline") {
				arrived.Deadline = run.now.Add(run.duration(data, "deadline"))
			}
			arrived.QueryLimits = carobthread.QueryLimits{
				Withheld: data.HasArg("withheld"), Repeated: data.HasArg("repeated"),
				MaxSearchers: run.number(data, "searchers", 0), Definition: uint64(run.number(data, "definition", 0)),
			}
			output += run.step(carobthread.Event{Query: &arrived})
		}
		return output
	case "grant":
		return run.step(carobthread.Event{Grant: &carobthread.GrantArrived{Query: carobthread.QueryID(run.number(data, "query", 0))}})
	case "reply":
		return run.replies(data)
	case "report":
		output := ""
		for _, searcher := range strings.Split(run.text(data, "searchers", ""), "+") {
			output += run.step(carobthread.Event{Report: &carobthread.ReportArrived{
				Searcher: searcher, Healthy: !data.HasArg("unhealthy"), Draining: data.HasArg("draining"), HeldSnapshots: run.snapshots(data),
			}})
		}
		return output
	case "peers":
		return run.step(carobthread.Event{Peers: &carobthread.ObservationsArrived{Observations: []carobthread.Observation{{
			Searcher: run.text(data, "searcher", ""), Answered: run.number(data, "answered", 0), Failed: run.number(data, "failed", 0),
			Late: run.number(data, "late", 0), FirstLateMicros: run.duration(data, "first").Microseconds(),
			LastLateMicros: run.duration(data, "last").Microseconds(), LastReplyMicros: run.duration(data, "replied").Microseconds(),
		}}}})
	case "stop":
		return run.step(carobthread.Event{Stop: &carobthread.StopBegun{AnswerBy: run.now.Add(run.duration(data, "in"))}})
	case "reach":
		return run.step(carobthread.Event{Reach: &carobthread.DataCentreReached{DataCentre: run.text(data, "centre", "")}})
	case "spread":
		return run.spread(run.number(data, "queries", 0))
	case "replica-groups":
		return fmt.Sprintln(run.core.Groups())
	case "cut-off":
		return fmt.Sprintln(run.core.CutOffDataCentres())
	case "observations":
		return fmt.Sprintln(run.core.Observations())
	case "tick":
		return run.step(carobthread.Event{Tick: &carobthread.TickArrived{LateMicros: run.duration(data, "late").Microseconds()}})
	case "stats":
		return run.stats()
	case "blocked":
		return fmt.Sprintln(run.blocked, run.core.Stats().BlockedShards)
	}
	data.Fatalf(run.t, "unknown command %s", data.Cmd)
	return ""
}

func (run *script) text(data *datadriven.TestData, key, fallback string) string {
	data.MaybeScanArgs(run.t, key, &fallback)
	return fallback
}

func (run *script) number(data *datadriven.TestData, key string, fallback int) int {
	data.MaybeScanArgs(run.t, key, &fallback)
	return fallback
}

func (run *script) duration(data *datadriven.TestData, key string) time.Duration {
	duration, err := time.ParseDuration(run.text(data, key, "0s"))
	if err != nil {
		data.Fatalf(run.t, "%v", err)
	}
	return duration
}

func (run *script) snapshots(data *datadriven.TestData) []uint64 {
	snapshots := []uint64{}
	for _, text := range strings.FieldsFunc(run.text(data, "held", ""), func(char rune) bool { return char == '+' }) {
		snapshot, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			data.Fatalf(run.t, "%v", err)
		}
		snapshots = append(snapshots, snapshot)
	}
	return snapshots
}

// config returns a configuration with two layouts; the second has one more shard, on the searchers of the first shard.
// In the script, evacuated names data centres that are evacuated from now on over a time, max sets the service's MaxInFlight, attempts its MaxSearchers and once its AtMostOnce.
func (run *script) config(data *datadriven.TestData) carobthread.Config {
	config := fleet(run.number(data, "shards", 1), run.number(data, "slots", 3))
	config.Services[0].MaxInFlight = run.number(data, "max", 0)
	config.Services[0].HardDeadline = max(config.Services[0].HardDeadline, run.duration(data, "hard"))
	config.Services[0].MaxRequestSize = 1000
	config.Services[0].Layout = uint32(run.number(data, "layout", 1))
	first := config.Layouts[0].Shards
	second := carobthread.Layout{Service: "matching", Generation: 2, Shards: append(slices.Clone(first), first[0])}
	config.Layouts = append(config.Layouts, second)
	for i := range config.Layouts {
		config.Layouts[i].Definition = uint64(run.number(data, "definition", 0))
	}
	config.Services[0].MaxSearchers = run.number(data, "attempts", 0)
	config.Services[0].AtMostOnce = data.HasArg("once")
	if data.HasArg("soft") {
		config.Services[0].Preference, config.Services[0].SoftDeadline = carobthread.LatencyFirst, run.duration(data, "soft")
	}
	if data.HasArg("groups") { // The replicas of each shard share a retry budget, and three quarters of the shards are required.
		config.RetryBudget = carobthread.RetryBudget{Ratio: 0.2, Slack: float64(run.number(data, "slack", 300)), Window: 10 * time.Second}
		config.Services[0].CoverageFloor, config.Services[0].FloorRequired = 0.75, true
		for i := range config.Layouts {
			for shard := range config.Layouts[i].Shards {
				config.Layouts[i].Groups = append(config.Layouts[i].Groups, fmt.Sprintf("%s-%d", run.text(data, "group-prefix", "group"), shard))
			}
		}
	}
	if data.HasArg("urgent") { // A service of higher priority, with the given soft deadline, uses the same searchers.
		urgent, layout := config.Services[0], config.Layouts[0]
		urgent.Name, urgent.SoftDeadline, layout.Service = "urgent", run.duration(data, "urgent"), "urgent"
		config.Services[0].Priority = 1
		config.Services, config.Layouts = append(config.Services, urgent), append(config.Layouts, layout)
	}
	for i := range config.Searchers {
		searcher := &config.Searchers[i]
		searcher.Connections = run.number(data, "connections", searcher.Connections)
		if slices.Contains(strings.Split(run.text(data, "evacuated", ""), "+"), searcher.DataCentre) {
			searcher.Evacuated, searcher.EvacuationStart, searcher.EvacuationEnd = true, run.now, run.now.Add(run.duration(data, "over"))
		}
	}
	if data.HasArg("cold-limit") { // cold=NAME+NAME are the searchers that have cold-left by their heartbeat.
		coldNames := strings.Split(run.text(data, "cold", ""), "+")
		for i := range config.Searchers {
			cold := carobthread.ColdState{Limit: float64(run.number(data, "cold-limit", 0)), Span: 3 * time.Second, Started: 1, Heartbeat: 1}
			if slices.Contains(coldNames, config.Searchers[i].Name) {
				cold.Left, cold.Heartbeat = run.duration(data, "cold-left"), int64(run.number(data, "heartbeat", 1))
			}
			config.Searchers[i].Cold = cold
		}
	}
	for _, name := range strings.Split(run.text(data, "drop", ""), "+") {
		config = withoutSearcher(config, name)
	}
	return config
}

// view parses hosts=NAME@DATA-CENTRE:CAPACITY+...; the first one is this host, and the capacity may be left out.
func (run *script) view(data *datadriven.TestData) carobthread.View {
	view := carobthread.View{}
	for _, host := range strings.Split(run.text(data, "hosts", ""), "+") {
		name, dataCentre, _ := strings.Cut(host, "@")
		dataCentre, capacity, _ := strings.Cut(dataCentre, ":")
		row := carobthread.Host{Name: name, DataCentre: dataCentre, State: carobthread.HostLive}
		if capacity != "" {
			_, err := fmt.Sscan(capacity, &row.Capacity)
			assert.NilError(run.t, err)
		}
		view.Hosts = append(view.Hosts, row)
	}
	view.Self = view.Hosts[0].Name
	return view
}

// warmUp runs queries one after the other, to fill budgets and latency quantiles; the searcher named by fail fails every
// attempt.
func (run *script) warmUp(service string, queries int, latency time.Duration, fail string) {
	for range queries {
		run.query++
		arrived := carobthread.QueryArrived{Query: run.query, Service: service}
		actions := run.core.Step(carobthread.Event{At: run.now, Query: &arrived})
		run.now = run.now.Add(latency)
		for i := 0; i < len(actions); i++ {
			if actions[i].Send == nil {
				continue
			}
			reply := replyTo(actions[i].Send)
			if actions[i].Send.Searcher == fail {
				reply.Status = carobthread.ReplyFailed
			}
			actions = append(actions, run.core.Step(carobthread.Event{At: run.now, Reply: &reply})...)
		}
	}
}

// spread runs queries that are replied to at once and returns the share of their attempts in each data centre.
func (run *script) spread(queries int) string {
	counts := map[string]int{}
	for range queries {
		run.query++
		arrived := carobthread.QueryArrived{Query: run.query, Service: "matching"}
		for _, action := range run.core.Step(carobthread.Event{At: run.now, Query: &arrived}) {
			if action.Send != nil {
				_, replica, _ := strings.Cut(action.Send.Searcher, "-")
				counts["dc"+replica]++
				reply := replyTo(action.Send)
				run.core.Step(carobthread.Event{At: run.now, Reply: &reply})
			}
		}
	}
	return fmt.Sprintln(counts)
}

func replyTo(send *carobthread.SendAttempt) carobthread.ReplyArrived {
	return carobthread.ReplyArrived{
		Query: send.Query, Attempt: send.Attempt, Shard: send.Shard, Snapshot: max(1, send.Snapshot),
		Layout: send.Layout, Status: carobthread.ReplyOK,
	}
}

// replies sends replies to attempts=N+N in order, which name the rate-limit or retry-after; query, shard, snapshot, layout and status override the values that the
// attempt was sent with.
func (run *script) replies(data *datadriven.TestData) string {
	output := ""
	for _, text := range strings.Split(run.text(data, "attempts", ""), "+") {
		id, err := strconv.Atoi(text)
		if err != nil {
			data.Fatalf(run.t, "%v", err)
		}
		reply := carobthread.ReplyArrived{Attempt: carobthread.AttemptID(id)}
		if send := run.sends[reply.Attempt]; send != nil {
			reply = replyTo(send)
		}
		reply.Query = carobthread.QueryID(run.number(data, "query", int(reply.Query)))
		reply.Shard = uint32(run.number(data, "shard", int(reply.Shard)))
		reply.Snapshot = uint64(run.number(data, "snapshot", int(reply.Snapshot)))
		reply.Layout = uint32(run.number(data, "layout", int(reply.Layout)))
		reply.Status = carobthread.ReplyStatus(run.text(data, "status", string(reply.Status)))
		reply.HeldSnapshots = run.snapshots(data)
		if data.HasArg("rate-limit") {
			reply.Searcher = run.sends[reply.Attempt].Searcher
			reply.Backpressure = &carobthread.Backpressure{RateLimit: float64(run.number(data, "rate-limit", 0))}
		}
		if data.HasArg("retry-after") {
			reply.Searcher = run.sends[reply.Attempt].Searcher
			reply.Backpressure = &carobthread.Backpressure{RetryAfterMicros: run.duration(data, "retry-after").Microseconds()}
		}
		output += run.step(carobthread.Event{Reply: &reply})
	}
	return output
}

func (run *script) step(event carobthread.Event) string {
	event.At = run.now
	return run.format(run.core.Step(event))
}

// format prints one action per line, and all connection changes on a last one.
func (run *script) format(actions []carobthread.Action) string {
	if run.sends == nil {
		run.sends = map[carobthread.AttemptID]*carobthread.SendAttempt{}
	}
	output, connects := strings.Builder{}, strings.Builder{}
	for _, action := range actions {
		switch {
		case action.Send != nil:
			send := action.Send
			run.sends[send.Attempt] = send
			fmt.Fprintf(&output, "%s %d: query %d to %s snapshot %d layout %d\n", send.Kind, send.Attempt, send.Query, send.Searcher, send.Snapshot, send.Layout)
		case action.Cancel != nil:
			fmt.Fprintf(&output, "cancel %d\n", action.Cancel.Attempt)
		case action.Answer != nil:
			answer := action.Answer
			run.blocked = answer.Blocked
			fmt.Fprintf(&output, "answer query %d: %d/%d snapshot %d layout %d merge %v missing %v", answer.Query, answer.Coverage.Answered, answer.Coverage.Total, answer.Snapshot, answer.Layout, answer.Merge, answer.Coverage.Missing)
			if answer.Failed {
				fmt.Fprintf(&output, " failed not-run %v", answer.NotRun)
			}
			output.WriteString("\n")
		case action.Refuse != nil:
			fmt.Fprintf(&output, "refuse query %d: %s retry after %d us\n", action.Refuse.Query, action.Refuse.Reason, action.Refuse.RetryAfterMicros)
		case action.Want != nil:
			fmt.Fprintf(&output, "want grant of query %d\n", action.Want.Query)
		case action.Connect != nil:
			fmt.Fprintf(&connects, " %s=%d", action.Connect.Searcher, action.Connect.Count)
		case action.Cold != nil:
			fmt.Fprintf(&output, "cold %s left %d us share %d\n", action.Cold.Searcher, action.Cold.LeftMicros, action.Cold.Share)
		}
	}
	if connects.Len() > 0 {
		fmt.Fprintf(&output, "connect%s\n", connects.String())
	}
	return output.String()
}

func (run *script) stats() string {
	stats := run.core.Stats()
	return fmt.Sprintf(
		"late %d duplicate %d misrouted %d moved %d ejected %d capped %d refused %v\n",
		stats.LateReplies, stats.DuplicateReplies, stats.MisroutedReplies, stats.QueriesMoved, stats.Ejections, stats.EjectionsCapped, stats.Refusals,
	)
}
