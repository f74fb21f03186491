package follower_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/follower"
	"carobthread/platform"
)

// TestScripts runs the scripts in testdata on two followers, a and b; each case states the failure that it guards against.
//
// Each line of input is an item, "KEY REVISION VALUE". The value is "-" for a tombstone, "vN" for a routing table with that
// version, "ready" or "draining" for an entry in that state, optionally followed by "sequence=N born=N" or "created=N", and
// otherwise the raw content. The input of "run" has one command a line, with its items after " : " and separated by commas.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		run := &script{now: carobthread.Instant(time.Hour)}
		run.reset()
		datadriven.RunTest(t, path, run.command)
	})
}

type script struct {
	now   carobthread.Instant
	hosts map[string]*follower.Follower
	late  follower.Delta
}

// deltaFor returns what the named host lacks, as the other one computes it.
func (run *script) deltaFor(name string) follower.Delta {
	other := run.hosts[map[string]string{"a": "b", "b": "a"}[name]]
	return other.DeltaFor(run.now, run.hosts[name].Digest())
}

func (run *script) reset() {
	run.hosts = map[string]*follower.Follower{"a": follower.New(platform.Decoder{}), "b": follower.New(platform.Decoder{})}
}

// commands runs the commands of one script and returns their numbered results.
func (run *script) commands(t *testing.T, data *datadriven.TestData) string {
	t.Helper()
	output := strings.Builder{}
	for i, line := range strings.Split(data.Input, "\n") {
		line, items, _ := strings.Cut(line, " : ")
		command := &datadriven.TestData{Pos: data.Pos, Input: strings.ReplaceAll(items, ", ", "\n")}
		var err error
		command.Cmd, command.CmdArgs, err = datadriven.ParseLine(line)
		assert.NilError(t, err)
		if result := run.command(t, command); result != "" {
			fmt.Fprintf(&output, "%d %s", i+1, result)
		}
	}
	return output.String()
}

func (run *script) command(t *testing.T, data *datadriven.TestData) string {
	var change follower.Change
	name := "a"
	asOf, era := 0, 0
	data.MaybeScanArgs(t, "host", &name)
	data.MaybeScanArgs(t, "as-of", &asOf)
	data.MaybeScanArgs(t, "era", &era)
	run.now = run.now.Add(run.duration(t, data, "after"))
	host := run.hosts[name]
	switch data.Cmd {
	case "new":
		run.reset()
		return ""
	case "run":
		run.reset()
		return run.commands(t, data)
	case "list":
		change = host.ApplyList(run.now, "store", carobthread.StoreItems{Items: parseItems(t, data), AsOf: uint64(asOf), Era: uint64(era)})
	case "watch":
		change = host.ApplyChanges(run.now, "store", carobthread.StoreItems{Items: parseItems(t, data), AsOf: uint64(asOf), Era: uint64(era)})
	case "fail":
		host.RecordFailure(run.now)
	case "tick":
		change = host.Tick(run.now, run.duration(t, data, "age"))
	case "sync": // the other host sends the named one what it lacks
		change = host.ApplyDelta(run.now, "peer", run.deltaFor(name))
	case "prepare": // the other host computes what the named one lacks, which arrives late
		run.late = run.deltaFor(name)
	case "deliver":
		change = host.ApplyDelta(run.now, "peer", run.late)
	case "restart":
		run.hosts[name] = follower.New(platform.Decoder{})
		return ""
	default:
		data.Fatalf(t, "unknown command %s", data.Cmd)
	}
	return formatState(host, change)
}

func (*script) duration(t *testing.T, data *datadriven.TestData, key string) time.Duration {
	t.Helper()
	text := "0s"
	data.MaybeScanArgs(t, key, &text)
	duration, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return duration
}

func parseItems(t *testing.T, data *datadriven.TestData) []carobthread.StoreItem {
	t.Helper()
	var items []carobthread.StoreItem
	for _, line := range strings.Split(data.Input, "\n") {
		if line == "" {
			continue
		}
		fields := strings.SplitN(line, " ", 3)
		revision, err := strconv.ParseUint(fields[1], 10, 64)
		if err != nil {
			data.Fatalf(t, "%v", err)
		}
		item := carobthread.StoreItem{Key: fields[0], Revision: revision, Content: []byte(fields[2])}
		if _, created, found := strings.Cut(fields[2], "created="); found {
			item.Created, err = strconv.ParseUint(created, 10, 64)
			assert.NilError(t, err)
		}
		version, isTable := strings.CutPrefix(fields[2], "v")
		switch {
		case fields[2] == "-":
			item.Content, item.Removed = nil, true
		case isTable:
			item.Content = []byte(`{"version":` + version + `}`)
		case strings.HasPrefix(fields[2], "ready"), strings.HasPrefix(fields[2], "draining"):
			item.Content = heartbeat(fields[2], revision)
		}
		items = append(items, item)
	}
	return items
}

// heartbeat returns the content of an entry for "STATE [sequence=N born=N] [cold=MS]". By default, the sequence number is the
// revision and the start time is not stated.
func heartbeat(text string, revision uint64) []byte {
	state, rest, _ := strings.Cut(text, " ")
	sequence, startedMillis := revision, uint64(0)
	_, _ = fmt.Sscanf(rest, "sequence=%d born=%d", &sequence, &startedMillis)
	coldLeft := 0
	if _, cold, found := strings.Cut(rest, "cold="); found {
		_, _ = fmt.Sscan(cold, &coldLeft)
	}
	content := fmt.Sprintf(`{"service":"one","address":"10.0.0.1:80","zone":"z","version":"v1","slots":3,"coldLeftMs":%d,"state":%q,"sequence":%d`, coldLeft, state, sequence)
	if startedMillis != 0 {
		content += fmt.Sprintf(`,"born":%d`, startedMillis)
	}
	return []byte(content + "}")
}

func formatState(host *follower.Follower, change follower.Change) string {
	output := strings.Builder{}
	digest := host.Digest()
	fmt.Fprintf(&output, "version %d as of %d:", digest.Version, digest.AsOf)
	for _, registration := range host.Registrations() {
		fmt.Fprintf(&output, " %s", registration.ID)
		if registration.Draining {
			output.WriteString("(draining)")
		}
	}
	for _, evacuation := range host.Evacuations() {
		fmt.Fprintf(&output, " evacuated %s by %d", evacuation.DataCentre, evacuation.Revision)
	}
	for _, evacuation := range change.Evacuations {
		verb := "evacuate"
		if evacuation.Restored {
			verb = "restore"
		}
		fmt.Fprintf(&output, "; %s %s", verb, evacuation.DataCentre)
	}
	if change.Table {
		output.WriteString("; table changed")
	}
	if change.Searchers {
		output.WriteString("; searchers changed")
	}
	for _, decodeError := range change.DecodeErrors {
		fmt.Fprintf(&output, "; %v", decodeError)
	}
	return output.String() + "\n"
}
