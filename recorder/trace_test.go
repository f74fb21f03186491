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

// rerecord records the committed traces again, which is needed after an intended change of the gatherer's decisions.
var rerecord = flag.Bool("rerecord", false, "record the traces in testdata again") //nolint:gochecknoglobals // a test flag

// maxTraceBytes limits the size of the committed traces.
const maxTraceBytes = 100_000

// recordedTrace is a fault of the simulation and the texts that a trace must contain to show it.
type recordedTrace struct {
	fault     string
	wantTexts []string
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

// missingText returns the first wanted text that the trace does not contain, or "".
func (recorded *recordedTrace) missingText(content []byte) string {
	for _, text := range recorded.wantTexts {
		if !bytes.Contains(content, []byte(text)) {
			return text
		}
	}
	return ""
}

// recordMatching records a trace with the first seed for which the fault shows on the recorded host.
func (recorded *recordedTrace) recordMatching(t *testing.T) []byte {
	t.Helper()
	const seeds = 100
	for seed := range uint64(seeds) {
		content := record(t, recorded.fault, seed+1)
		if recorded.missingText(content) == "" {
			return content
		}
	}
	t.Fatalf("fault %s: no seed up to %d shows %q", recorded.fault, seeds, recorded.wantTexts)
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
	runs[0].WrapDecider = func(seed uint64, options gatherer.Options, decider carobthread.Decider) carobthread.Decider {
		trace = recorder.New(&buffer, seed, options, decider)
		return trace
	}
	runs[0].Execute()
	assert.NilError(t, trace.Err())
	return buffer.Bytes()
}

// TestRecordedTraces guards against unnoticed changes of decisions. The flag -rerecord accepts new decisions.
func TestRecordedTraces(t *testing.T) {
	for _, recorded := range recordedTraces() {
		t.Run(recorded.fault, func(t *testing.T) {
			path := filepath.Join("testdata", recorded.fault+".jsonl")
			if *rerecord {
				assert.NilError(t, os.WriteFile(path, recorded.recordMatching(t), 0o600))
			}
			content, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.Assert(t, len(content) < maxTraceBytes)
			assert.Equal(t, recorded.missingText(content), "")
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

// TestReplayFindsChangedActions guards against a replay that does not report a changed action.
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
