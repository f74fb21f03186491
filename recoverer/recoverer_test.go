package recoverer_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"carobthread/recoverer"
)

// Guards against a panic that ends the process or that is logged without its place.
func TestRunReturnsThePanicAndLogsItsPlace(t *testing.T) {
	output := &bytes.Buffer{}
	logger := zerolog.New(output)
	var table map[string]int
	err := recoverer.Run(&logger, "test-work", func() { table["a"] = 1 })
	var failure *recoverer.PanicError
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Work, "test-work")
	assert.Check(t, strings.Contains(output.String(), `"event":"panic","work":"test-work"`), output.String())
	assert.Check(t, strings.Contains(output.String(), "recoverer_test.go"), output.String())
	assert.NilError(t, recoverer.Run(&logger, "test-work", func() {}))
}
