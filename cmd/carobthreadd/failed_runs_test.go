package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread/internal/standin"
)

// Guards against an answer with a status that promises "not run" to a request that a searcher has run and failed: callers then
// send a booking again, and it runs twice. Requests that may be repeated run at a second searcher first.
func TestForwardingFailedRunsAreNotAnsweredAsNotRun(t *testing.T) {
	const (
		requests    = 5
		readTimeout = 200 * time.Millisecond // a request that may be repeated is tried again until then
	)
	fleet := startForwarding(t)
	entry, client := fleet.processes[0], &http.Client{Timeout: 2 * requestTimeout}
	defer client.CloseIdleConnections()
	fleet.config.Routes = append(fleet.config.Routes, standin.StoredRoute{
		Name: "read", Host: "a.example", Prefix: "/read/", Kind: "safe", TimeoutMs: int(readTimeout.Milliseconds()),
		TargetLatencyMs: int(readTimeout.Milliseconds()), MaxAttempts: 2, Service: "ledger",
	})
	fleet.config.Version++
	assert.NilError(t, fleet.store.PutConfig(&fleet.config))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if answer := send(client, entry, http.MethodPost, "/read/1", "known", nil); answer.status != http.StatusOK {
			return poll.Continue("%d %v", answer.status, answer.err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	for _, failure := range []struct{ status, want int }{
		{http.StatusRequestTimeout, http.StatusBadGateway},
		{http.StatusMisdirectedRequest, http.StatusBadGateway},
		{http.StatusTooManyRequests, http.StatusBadGateway},
		{http.StatusServiceUnavailable, http.StatusBadGateway},
		{http.StatusInternalServerError, http.StatusInternalServerError},
		{http.StatusGatewayTimeout, http.StatusGatewayTimeout},
	} {
		for _, searcher := range fleet.ledger {
			searcher.FailRuns(failure.status)
		}
		for _, target := range []string{"/book/x", "/read/x"} {
			for turn := range requests {
				id := fmt.Sprintf("%d%s-%d", failure.status, target, turn)
				answer := send(client, entry, http.MethodPost, target, id, []byte("x"))
				assert.NilError(t, answer.err)
				runs := 0
				for _, searcher := range fleet.ledger {
					runs += searcher.Runs()[id]
				}
				if runs == 0 { // refused: the searchers are avoided after many failures
					assert.Equal(t, answer.status, http.StatusServiceUnavailable, "request %s", id)
					continue
				}
				timedOut := target == "/read/x" && answer.status == http.StatusGatewayTimeout
				assert.Check(t, answer.status == failure.want || timedOut, "request %s ran %d times and was answered %d", id, runs, answer.status)
				assert.Check(t, target == "/read/x" || runs == 1, "booking %s ran %d times", id, runs)
			}
		}
	}
}
