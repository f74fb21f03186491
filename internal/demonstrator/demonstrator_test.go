package demonstrator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread/internal/demonstrator"
)

// Guards against an answer that does not state its coverage or snapshot, and against a stop that cuts a request.
func TestDemonstrationAnswersEveryQuery(t *testing.T) {
	output := new(bytes.Buffer)
	demo, err := demonstrator.New(context.Background(), output, true)
	assert.NilError(t, err)
	assert.NilError(t, demo.Run(context.Background()))
	assert.NilError(t, demo.Close())
	decoder := json.NewDecoder(output)
	answers := 0
	for {
		var result demonstrator.Result
		err := decoder.Decode(&result)
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		assert.Equal(t, result.Error, "")
		if result.Outcome == "" {
			assert.Assert(t, result.Coverage != "" && result.Snapshot != 0)
		} else {
			assert.Equal(t, result.Runs, 1)
		}
		answers++
	}
	assert.Assert(t, answers == 104, "answers: %d", answers)
}
