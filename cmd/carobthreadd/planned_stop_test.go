package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread/internal/standin"
	"carobthread/platform"
)

const (
	// longServiceTime is more than what is left of the stop limit when the balancer has removed the host.
	longServiceTime = 1500 * time.Millisecond
	longTimeout     = 12 * time.Second
	// longCallers send requests to a host until its process has ended.
	longCallers = 8
)

// addLongRoutes adds routes to the ledger whose requests take longer than the stop limit permits, one of them at most once.
func (fleet *forwardingSite) addLongRoutes(t *testing.T) {
	t.Helper()
	for _, kind := range []string{"safe", "unsafe"} {
		fleet.config.Routes = append(fleet.config.Routes, standin.StoredRoute{
			Name: "long-" + kind, Host: "a.example", Prefix: "/" + kind + "/", Kind: kind, TimeoutMs: int(longTimeout.Milliseconds()),
			TargetLatencyMs: int(longTimeout.Milliseconds()), MaxAttempts: 2, Service: "ledger",
		})
	}
	fleet.config.Version++
	assert.NilError(t, fleet.store.PutConfig(&fleet.config))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, entry := range fleet.processes {
			if answer := send(&http.Client{Timeout: longTimeout}, entry, http.MethodPost, "/safe/1", "known-"+entry.name, nil); answer.status != http.StatusOK {
				return poll.Continue("%s: %d %v", entry.name, answer.status, answer.err)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	for _, searcher := range fleet.ledger {
		searcher.SetServiceTime(longServiceTime)
	}
}

// rawCaller sends requests over one connection at a time, and keeps it open unless the host closes it.
type rawCaller struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// errNotConnected is returned if the host accepts no connection.
var errNotConnected = errors.New("not connected")

// post sends one request and returns the status of its complete answer.
func (caller *rawCaller) post(ctx context.Context, target, id string) (int, error) {
	if caller.conn == nil {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", caller.address)
		if err != nil {
			return 0, errors.Join(errNotConnected, err)
		}
		caller.conn, caller.reader = conn, bufio.NewReader(conn)
	}
	status, keep, err := caller.exchange(target, id)
	if err != nil || !keep {
		_ = caller.conn.Close()
		caller.conn = nil
	}
	return status, err
}

func (caller *rawCaller) exchange(target, id string) (status int, keep bool, err error) {
	names := platform.Headers()
	_, err = fmt.Fprintf(caller.conn, "POST %s HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: 4\r\n\r\nbody",
		target, names.RequestID, id, names.TimeLeft, longTimeout.Milliseconds())
	if err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, !response.Close, err
}

// Guards against a planned stop that passes requests on which it cuts at its end without an answer, at-most-once requests
// among them, and against a false statement on whether a request has run.
func TestForwardingStopAnswersLongRequests(t *testing.T) {
	fleet := startForwarding(t)
	fleet.addLongRoutes(t)
	entry := fleet.processes[0]
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	var mutex sync.Mutex
	statuses, closed := map[string]int{}, map[string]bool{}
	var callers sync.WaitGroup
	for index := range longCallers {
		callers.Go(func() {
			caller := &rawCaller{address: entry.addresses[0]}
			for turn := 0; ctx.Err() == nil; turn++ {
				target := []string{"/safe/1", "/unsafe/1"}[(index+turn)%2]
				id := fmt.Sprintf("long-%d-%d", index, turn)
				status, err := caller.post(ctx, target, id)
				if errors.Is(err, errNotConnected) {
					return
				}
				mutex.Lock()
				statuses[id], closed[id] = status, err != nil
				mutex.Unlock()
				if status == http.StatusServiceUnavailable {
					time.Sleep(50 * time.Millisecond) // as the host asks for
				}
			}
		})
	}
	time.Sleep(3 * longServiceTime) // until the host knows how long requests take
	signalled := time.Now()
	assert.NilError(t, entry.command.Process.Signal(syscall.SIGTERM))
	<-entry.ended
	assert.Check(t, time.Since(signalled) < 3*time.Second)
	assert.Equal(t, entry.command.ProcessState.ExitCode(), 0, entry.log.String())
	callers.Wait()
	runs := map[string]int{}
	for _, searcher := range fleet.ledger {
		for id, count := range searcher.Runs() {
			runs[id] += count
		}
	}
	counts := map[int]int{}
	for id, status := range statuses {
		counts[status]++
		assert.Check(t, !closed[id] || runs[id] == 0, "request %s ran but was cut without an answer", id)
		assert.Check(t, status != http.StatusServiceUnavailable || runs[id] == 0, "request %s was refused as not run but ran", id)
		assert.Check(t, status != http.StatusOK || runs[id] > 0, "request %s was answered but did not run", id)
	}
	t.Logf("answers by status, 0 for connections closed before the request was read: %v", counts)
	assert.Check(t, counts[http.StatusOK] > longCallers && counts[http.StatusServiceUnavailable] > 0, "%v", counts)
}
