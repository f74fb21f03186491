package recorder_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/gatherer"
	"carobthread/recorder"
)

// TestFindings guards against malformed lines that are accepted or reported at the wrong position.
func TestFindings(t *testing.T) {
	datadriven.RunTest(t, filepath.Join("testdata", "findings.txt"), func(_ *testing.T, test *datadriven.TestData) string {
		trace, err := recorder.Read("trace", strings.NewReader(test.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%d steps\n", len(trace.Steps))
	})
}

type failingWriter struct{ remaining int }

func (writer *failingWriter) Write(content []byte) (int, error) {
	if writer.remaining == 0 {
		return 0, errors.New("no space left")
	}
	writer.remaining--
	return len(content), nil
}

// TestStepAfterFailedWrite guards against a failed write, such as on a full disk, that stops the daemon's decisions.
func TestStepAfterFailedWrite(t *testing.T) {
	recording := recorder.New(&failingWriter{remaining: 1}, 1, gatherer.Options{}, gatherer.New(1, gatherer.Options{}))
	actions := recording.Step(carobthread.Event{At: 1, Query: &carobthread.QueryArrived{Query: 1, Service: "unknown"}})
	assert.Equal(t, len(actions), 1)
	assert.ErrorContains(t, recording.Err(), "no space left")
}

// TestReadDelegatedQuery guards against a trace of a delegated query, its want of a grant and its grant that can't be read.
func TestReadDelegatedQuery(t *testing.T) {
	trace := `{"header":{"format":1,"seed":1,"options":{}}}
{"event":{"at":1,"query":{"query":1,"service":"unknown","deadline":0,"size":0,"withheld":true}}}
{"actions":[{"want":{"query":1}}]}
{"event":{"at":1,"grant":{"query":1}}}
`
	read, err := recorder.Read("delegated", strings.NewReader(trace))
	assert.NilError(t, err)
	assert.Equal(t, len(read.Steps), 2)
}

// FuzzRead guards against input that crashes the reader, malformed input that is rejected without a position, and valid
// traces that cannot be replayed or that differ once they are recorded again.
func FuzzRead(f *testing.F) {
	f.Add([]byte("{\"header\":{\"format\":1,\"seed\":1,\"options\":{}}}\n{\"event\":{\"at\":1,\"tick\":{}}}\n"))
	paths, err := filepath.Glob(filepath.Join("testdata", "*.jsonl"))
	assert.NilError(f, err)
	for _, path := range paths {
		content, err := os.ReadFile(path)
		assert.NilError(f, err)
		f.Add(content[:min(len(content), 4000)])
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		trace, err := recorder.Read("fuzz", bytes.NewReader(content))
		if err != nil {
			var findings carobthread.Findings
			assert.Assert(t, errors.As(err, &findings))
			for _, finding := range findings {
				assert.Assert(t, finding.Line > 0 && finding.Column > 0)
			}
			return
		}
		if _, err := recorder.Replay(trace); err != nil {
			t.Fatal(err)
		}
		var output bytes.Buffer
		header := &trace.Header
		recording := recorder.New(&output, header.Seed, header.Options, gatherer.New(header.Seed, header.Options))
		for _, step := range trace.Steps {
			recording.Step(step.Event)
		}
		again, err := recorder.Read("again", &output)
		assert.NilError(t, err)
		assert.Equal(t, len(again.Steps), len(trace.Steps))
		for i, step := range trace.Steps {
			assert.Equal(t, encode(t, again.Steps[i].Event), encode(t, step.Event))
		}
	})
}

func encode(t *testing.T, event carobthread.Event) string {
	t.Helper()
	text, err := json.Marshal(event)
	assert.NilError(t, err)
	return string(text)
}
