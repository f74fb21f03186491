package gatherer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/gatherer"
)

// queryTime is the deadline of each query and the time from one to the next.
const queryTime = 20 * time.Millisecond

// extrasAfterRestart returns the requests of a host in its first window, and its attempts beyond the first ones while all
// searchers fail. The host is one of four.
func extrasAfterRestart(othersStart carobthread.Instant) (requests, extras int) {
	now := carobthread.Instant(time.Hour)
	core := gatherer.New(1, gatherer.Options{})
	config := largeShard(3, 2)
	config.RetryBudget.Slack = 0
	config.Services[0].HardDeadline = queryTime
	core.Step(carobthread.Event{At: now, Config: &carobthread.ConfigChanged{Config: config}})
	view := carobthread.View{Self: "a"}
	for _, name := range []string{"a", "b", "c", "d"} {
		host := carobthread.Host{Name: name, DataCentre: "dc0", State: carobthread.HostLive, Incarnation: carobthread.Incarnation{Start: othersStart}}
		if name == view.Self {
			host.Incarnation.Start = now
		}
		view.Hosts = append(view.Hosts, host)
	}
	core.Step(carobthread.Event{At: now, View: &carobthread.ViewChanged{View: view}})
	for end := now.Add(config.RetryBudget.Window); now < end; requests++ {
		next := now.Add(queryTime)
		searchers := failingQuery(core, &now, carobthread.QueryID(requests+1), carobthread.ReplyFailed)
		extras += max(0, len(searchers)-1)
		now = max(now, next)
	}
	return requests, extras
}

// Guards against a host that spends the retry budget of a window that its earlier run has spent, where all hosts were killed at
// the same time, and against one that holds it back although the other hosts have run for long.
func TestRetryBudgetAfterRestartFollowsOthersStarts(t *testing.T) {
	now := carobthread.Instant(time.Hour)
	requests, extras := extrasAfterRestart(now)
	assert.Assert(t, float64(extras) <= 0.02*float64(requests), "%d extra attempts for %d requests after a restart of all hosts", extras, requests)
	requests, alone := extrasAfterRestart(now.Add(-time.Hour))
	assert.Assert(t, float64(alone) <= 0.08*float64(requests), "%d extra attempts for %d requests after a restart of one host in four", alone, requests)
	assert.Assert(t, alone > extras, "%d and %d extra attempts", alone, extras)
}
