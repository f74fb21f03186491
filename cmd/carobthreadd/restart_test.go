package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread/internal/standin"
)

// bookingsAfterRestart is enough that each of the few searchers of the ledger would get some.
const bookingsAfterRestart = 40

// removedSearcher lets a searcher of the ledger leave, as known to all hosts, and returns it. It serves on at its address, so
// that requests to it are counted.
func (fleet *forwardingSite) removedSearcher(t *testing.T) *standin.HTTPSearcher {
	t.Helper()
	removed := fleet.ledger[0]
	removed.Drain()
	removed.PauseHeartbeats(true)
	fleet.store.Remove("servers/" + removed.ID())
	time.Sleep(defaultFreshness)
	return removed
}

// checkUnused sends bookings to a host and checks that none reaches the removed searcher.
func checkUnused(t *testing.T, entry *process, removed *standin.HTTPSearcher, when string) {
	t.Helper()
	before, client := removed.RequestsWhileDraining(), &http.Client{Timeout: 2 * requestTimeout}
	defer client.CloseIdleConnections()
	for turn := range bookingsAfterRestart {
		answer := send(client, entry, http.MethodPost, "/book/x", fmt.Sprintf("%s-%s-%d", when, entry.name, turn), []byte("sitter"))
		assert.Equal(t, answer.status, http.StatusOK, "%s: %v", when, answer.err)
	}
	assert.Equal(t, removed.RequestsWhileDraining(), before, "%s: %s uses a searcher that has left", when, entry.name)
}

func (fleet *forwardingSite) kill(t *testing.T, entries ...*process) {
	t.Helper()
	for _, entry := range entries {
		assert.NilError(t, entry.command.Process.Kill())
	}
	for _, entry := range entries {
		<-entry.ended
		entry.startForwarding(t)
	}
	fleet.awaitReady(t)
}

// Guards against a searcher that has left and is in use again after a restart of a host, of the reader of the store or of all
// hosts at once, while the store answers, is slow or refuses every call.
func TestForwardingRestartBringsNoSearcherBack(t *testing.T) {
	fleet := startForwarding(t)
	removed := fleet.removedSearcher(t)
	for _, entry := range fleet.processes { // one of them is the reader of the store
		fleet.kill(t, entry)
		checkUnused(t, entry, removed, "store answers")
	}
	fleet.storeProxy.Set(standin.ProxyDelay, 200*time.Millisecond)
	fleet.kill(t, fleet.processes[0])
	checkUnused(t, fleet.processes[0], removed, "store slow")
	fleet.storeProxy.Set(standin.ProxyPass, 0)
	fleet.store.SetFailure(http.StatusServiceUnavailable, false)
	fleet.kill(t, fleet.processes[1])
	checkUnused(t, fleet.processes[1], removed, "store refuses")
	fleet.store.SetFailure(0, false)
	fleet.kill(t, fleet.processes...)
	for _, entry := range fleet.processes {
		checkUnused(t, entry, removed, "all restarted")
	}
}
