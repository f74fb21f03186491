package logger_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/logger"
)

// stalledOutput blocks writes until it is released.
type stalledOutput struct {
	released chan struct{}
	content  bytes.Buffer
}

func (output *stalledOutput) Write(line []byte) (int, error) {
	<-output.released
	return output.content.Write(line)
}

// Guards against a stalled output that blocks the code that logs, and against lines that are lost without being counted.
func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	const lines = 10_000
	output := &stalledOutput{released: make(chan struct{})}
	writer := logger.NewWriter(output)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, err := io.WriteString(writer, "line\n")
			assert.Check(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks on the stalled output")
	}
	assert.Assert(t, writer.Dropped() > 0)
	close(output.released)
	select {
	case <-writer.Close():
	case <-time.After(10 * time.Second):
		t.Fatal("the writer does not finish after Close")
	}
	assert.Equal(t, strings.Count(output.content.String(), "\n")+int(writer.Dropped()), lines)
}

// Guards against a kind of line that exceeds its limit, and against lines that are suppressed without being counted.
func TestLimiter(t *testing.T) {
	var output bytes.Buffer
	limiter := logger.NewLimiter(zerolog.New(&output), 3)
	now := carobthread.Instant(time.Hour)
	allowed := 0
	for range 10 {
		if limiter.Allow(now, "late") {
			allowed++
		}
	}
	assert.Assert(t, limiter.Allow(now, "refused"))
	assert.Equal(t, allowed, 3)
	assert.Assert(t, limiter.Allow(now.Add(time.Second), "late"))
	assert.Assert(t, strings.Contains(output.String(), `"kind":"late","count":7`), output.String())
}
