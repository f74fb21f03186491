package recorder_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/bencher"
	"carobthread/gatherer"
	"carobthread/recorder"
)

// rerecord writes the committed traces anew, which a wanted change of the core's decisions needs.
var rerecord = flag.Bool("rerecord", false, "record the traces in testdata anew") //nolint:gochecknoglobals // a test flag

// maxTrace keeps committed traces small, in bytes.
const maxTrace = 100_000

// recordedTrace is the class of failure of one trace, and texts of which each shows it in the trace.
type recordedTrace struct {
	fault string
	shows []string
}

func recordedTraces() []recordedTrace {
	return []recordedTrace{
		{"straggler", []string{`"kind":"hedge"`, `"cancel":`}},
		{"replica-lost", []string{`"status":"failed"`, `"kind":"retry"`}},
		{"repartition", []string{`"generation":2`, `"layout":2`}},
		{"index-roll", []string{`"held-snapshots":[1,2]`, `"held-snapshots":[2]`}},
		{"config-stale", []string{`"status":"failed"`}},
		{"pause", []string{`"late-us":`, `"reason":"deadline-passed"`}},
		{"partition", []string{`"state":"suspect"`, `"kind":"hedge"`}},
		{"shed", []string{`"status":"shed"`, `"kind":"retry"`}},
		{"drain", []string{`"draining":true`}},
	}
}

// missing returns the first text that the trace does not contain.
func (recorded *recordedTrace) missing(content []byte) string {
	for _, text := range recorded.shows {
		if !bytes.Contains(content, []byte(text)) {
			return text
		}
	}
	return ""
}

// recordShowing records with the first seed that shows the failure on the recorded host.
func (recorded *recordedTrace) recordShowing(t *testing.T) []byte {
	t.Helper()
	const seeds = 100
	for seed := range uint64(seeds) {
		content := record(t, recorded.fault, seed+1)
		if recorded.missing(content) == "" {
			return content
		}
	}
	t.Fatalf("fault %s: no seed up to %d shows %q", recorded.fault, seeds, recorded.shows)
	return nil
}

func record(t *testing.T, fault string, seed uint64) []byte {
	t.Helper()
	selection := bencher.Selection{
		Scenarios: []string{"kerala-matching"},
		Faults:    []string{fault},
		Seeds:     []uint64{seed},
		Sample:    true,
	}
	runs, err := selection.Runs(bencher.Policies()[:1])
	assert.NilError(t, err)
	var buffer bytes.Buffer
	var trace *recorder.Recorder
	runs[0].Wrap = func(seed uint64, options gatherer.Options, decider carobthread.Decider) carobthread.Decider {
		trace = recorder.New(&buffer, seed, options, decider)
		return trace
	}
	runs[0].Execute()
	assert.NilError(t, trace.Err())
	return buffer.Bytes()
}

// TestRecordedTraces guards against decisions that change unnoticed; -rerecord accepts the new ones.
func TestRecordedTraces(t *testing.T) {
	for _, recorded := range recordedTraces() {
		t.Run(recorded.fault, func(t *testing.T) {
			path := filepath.Join("testdata", recorded.fault+".jsonl")
			if *rerecord {
				assert.NilError(t, os.WriteFile(path, recorded.recordShowing(t), 0o600))
			}
			content, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.Assert(t, len(content) < maxTrace)
			assert.Equal(t, recorded.missing(content), "")
			trace, err := recorder.Read(path, bytes.NewReader(content))
			assert.NilError(t, err)
			differences, err := recorder.Replay(trace)
			assert.NilError(t, err)
			for _, difference := range differences {
				t.Error(difference)
			}
		})
	}
}

// TestReplayFindsChangedActions guards against a replay that accepts any decision.
func TestReplayFindsChangedActions(t *testing.T) {
	changed := bytes.Replace(record(t, "shed", 1), []byte(`"answered":3`), []byte(`"answered":2`), 1)
	trace, err := recorder.Read("changed", bytes.NewReader(changed))
	assert.NilError(t, err)
	differences, err := recorder.Replay(trace)
	assert.NilError(t, err)
	assert.Equal(t, len(differences), 1)
	line := strings.Split(string(changed), "\n")[differences[0].Line]
	assert.Assert(t, strings.Contains(line, `"answered":2`))
	assert.Assert(t, strings.HasPrefix(differences[0].String(), "changed:"))
}
