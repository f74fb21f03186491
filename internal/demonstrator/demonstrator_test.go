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

// Guards against a response that does not state its coverage or snapshot, and against a stop that aborts a request.
func TestDemonstrationAnswersEveryQuery(t *testing.T) {
	output := new(bytes.Buffer)
	demo, err := demonstrator.New(context.Background(), output, true)
	assert.NilError(t, err)
	assert.NilError(t, demo.Run(context.Background()))
	assert.NilError(t, demo.Close())
	decoder := json.NewDecoder(output)
	responses := 0
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
		responses++
	}
	assert.Assert(t, responses == 104, "got %d responses, expected 104", responses)
}
