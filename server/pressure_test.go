package server_test

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/gatherer"
	"carobthread/server"
	"carobthread/timer"
)

// queueingCore is a core with a given number of waiting attempts.
type queueingCore struct {
	*gatherer.Gatherer
	waiting int
}

func (core *queueingCore) Waiting() int { return core.waiting }

// Guards against waiting attempts that the log does not show, and against a line for each short gap between them.
func TestSearchLogsWaitingAttempts(t *testing.T) {
	output := strings.Builder{}
	clock, core := timer.NewManual(carobthread.Instant(time.Hour)), &queueingCore{Gatherer: gatherer.New(1, gatherer.Options{})}
	search := server.NewSearch(server.SearchOptions{Decider: core, QueryCore: core, Timer: clock, Logger: zerolog.New(&output)})
	for _, waiting := range []int{0, 3, 0, 5, 0, 0, 0} {
		core.waiting = waiting
		search.Tick(clock.Now(), 0)
		clock.Advance(600 * time.Millisecond)
	}
	assert.Equal(t, strings.Count(output.String(), "\n"), 2, output.String())
	assert.Assert(t, strings.Contains(output.String(), `"event":"waiting-began","queues":[],"most":3`), output.String())
	assert.Assert(t, strings.Contains(output.String(), `"event":"waiting-ended","queues":[],"most":5,"lasted-us":1200000`), output.String())
}
