package recorder_test

import (
	"bytes"
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

// TestFindings guards against malformed lines that are accepted, or reported at another place.
func TestFindings(t *testing.T) {
	datadriven.RunTest(t, filepath.Join("testdata", "findings.txt"), func(_ *testing.T, test *datadriven.TestData) string {
		trace, err := recorder.Read("trace", strings.NewReader(test.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%d steps\n", len(trace.Steps))
	})
}

type brokenWriter struct{ left int }

func (writer *brokenWriter) Write(content []byte) (int, error) {
	if writer.left == 0 {
		return 0, errors.New("no space left")
	}
	writer.left--
	return len(content), nil
}

// TestFailedWriteKeepsDeciding guards against a full disk that stops the daemon's decisions.
func TestFailedWriteKeepsDeciding(t *testing.T) {
	core := recorder.New(&brokenWriter{left: 1}, 1, gatherer.Options{}, gatherer.New(1, gatherer.Options{}))
	actions := core.Step(carobthread.Event{At: 1, Query: &carobthread.QueryArrived{Query: 1, Service: "unknown"}})
	assert.Equal(t, len(actions), 1)
	assert.ErrorContains(t, core.Err(), "no space left")
}

// FuzzRead guards against input that crashes the reader, and against traces that change when they are written again.
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
	})
}
