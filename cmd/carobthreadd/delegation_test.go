package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread/delegator"
	"carobthread/explainer"
)

const (
	smallHost = "[runtime]\nprocessors = 1\nprocessor-share = 0.192\nlink = 26Mbps\n"
	largeHost = "[runtime]\nprocessors = 1\nprocessor-share = 0.8\nlink = 200Mbps\n"
)

func (fleet *forwardingSite) delegations(t *testing.T) delegator.Stats {
	t.Helper()
	status, err := fleet.processes[0].forwardingStatus()
	assert.NilError(t, err)
	return status.Delegation
}

// startDelegating starts a small host, which the first process is, and two that may coordinate its queries.
func startDelegating(t *testing.T) *forwardingSite {
	t.Helper()
	// In a short window, the retry budget permits the fallbacks of this test also on a machine that is so busy that
	// coordinators seem silent.
	const window = "retry-window = 200ms\n"
	fleet := startForwardingWith(t, [hostCount]string{window + smallHost, window + largeHost, window + largeHost})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		send(&http.Client{Timeout: requestTimeout}, fleet.processes[0], http.MethodGet, "/search/1", "warm-up", nil)
		status, err := fleet.processes[0].forwardingStatus()
		if err != nil {
			return poll.Error(err)
		}
		if len(status.Delegation.Coordinators) != 2 || status.Delegation.Answered == 0 {
			return poll.Continue("%+v", status.Delegation)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	return fleet
}

// checkRuns checks that no search ran at more searchers of a shard than permitted, and that none ran that was refused.
func (fleet *forwardingSite) checkRuns(t *testing.T, answers map[string]reply) {
	t.Helper()
	for shard, searchers := range fleet.shards {
		reached := map[string]int{}
		for _, searcher := range searchers {
			for id := range searcher.Runs() {
				reached[id]++
			}
		}
		for id, count := range reached {
			assert.Check(t, count <= 2, "search %s ran at %d searchers of shard %d", id, count, shard)
		}
		for id, answer := range answers {
			if answer.status == http.StatusServiceUnavailable {
				assert.Check(t, reached[id] == 0, "search %s was refused as not run but ran at shard %d", id, shard)
			}
		}
	}
}

// searchWhile sends searches to the small host, one every few milliseconds, until the disruption returns.
func (fleet *forwardingSite) searchWhile(name string, disrupt func()) map[string]reply {
	type result struct {
		id     string
		answer reply
	}
	client := &http.Client{Timeout: 2 * requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	done := make(chan struct{})
	go func() {
		disrupt()
		close(done)
	}()
	results, sent := make(chan result, 1000), 0
	for running := true; running && sent < cap(results); sent++ {
		id := fmt.Sprintf("%s-%d", name, sent)
		go func() { results <- result{id, send(client, fleet.processes[0], http.MethodGet, "/search/x", id, nil)} }()
		select {
		case <-done:
			running = false
		case <-time.After(5 * time.Millisecond):
		}
	}
	answers := map[string]reply{}
	for range sent {
		next := <-results
		answers[next.id] = next.answer
	}
	return answers
}

func countAnswered(answers map[string]reply) int {
	count := 0
	for _, answer := range answers {
		if answer.status == http.StatusOK {
			count++
		}
	}
	return count
}

// Guards against queries of a small host that fail, reach too many searchers or are refused although they ran, while the
// coordinators are killed or paused.
func TestDelegationSurvivesLostCoordinators(t *testing.T) {
	fleet := startDelegating(t)
	answers := map[string]reply{}
	for number := range 60 { // one at a time, so that a busy machine delays them but does not pile them up
		id := fmt.Sprintf("calm-%d", number)
		answers[id] = send(&http.Client{Timeout: 2 * requestTimeout}, fleet.processes[0], http.MethodGet, "/search/x", id, nil)
		assert.Equal(t, answers[id].status, http.StatusOK, "%s: %q %v", id, answers[id].body, answers[id].err)
	}
	for _, id := range []string{"calm-0", "calm-1"} {
		assert.Equal(t, answers[id].missing, "0")
		assert.Equal(t, len(strings.Split(answers[id].signatures, ", ")), shardCount)
	}
	before := fleet.delegations(t)
	assert.Check(t, before.Answered+20 >= uint64(len(answers)), "%+v", before)

	for number := 0; ; number++ {
		// Successful requests whose ID has such a hash are logged.
		id := fmt.Sprintf("explain-%d", number)
		if xxhash.Sum64String(id)%256 != 0 {
			continue
		}
		assert.Equal(t, send(&http.Client{Timeout: requestTimeout}, fleet.processes[0], http.MethodGet, "/search/x", id, nil).status, http.StatusOK)
		var hosts []explainer.HostLog
		poll.WaitOn(t, func(poll.LogT) poll.Result { // the hosts write their logs in the background
			reader := explainer.NewReader(id)
			for _, entry := range fleet.processes {
				assert.NilError(t, reader.Read(strings.NewReader(entry.log.String())))
			}
			if hosts = reader.History().HostLogs; len(hosts) != 2 {
				return poll.Continue("%+v", hosts)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
		assert.Equal(t, hosts[0].Decisions[0].Event, "delegated")
		assert.Equal(t, hosts[0].Decisions[0].Fields["coordinator"], hosts[1].Host)
		assert.Equal(t, hosts[1].Decisions[len(hosts[1].Decisions)-1].Fields["entry-host"], hosts[0].Host)
		break
	}

	paused := fleet.processes[1]
	answers = fleet.searchWhile("paused", func() {
		time.Sleep(200 * time.Millisecond)
		assert.Check(t, paused.command.Process.Signal(syscall.SIGSTOP))
		time.Sleep(700 * time.Millisecond)
		assert.Check(t, paused.command.Process.Signal(syscall.SIGCONT))
		time.Sleep(300 * time.Millisecond)
	})
	time.Sleep(100 * time.Millisecond)
	fleet.checkRuns(t, answers)
	t.Logf("paused: %d of %d answered; %+v", countAnswered(answers), len(answers), fleet.delegations(t))
	assert.Check(t, countAnswered(answers) >= len(answers)*9/10)

	answers = fleet.searchWhile("killed", func() {
		time.Sleep(200 * time.Millisecond)
		assert.Check(t, fleet.processes[2].command.Process.Kill())
		<-fleet.processes[2].ended
		time.Sleep(300 * time.Millisecond)
	})
	fleet.checkRuns(t, answers)
	t.Logf("killed: %d of %d answered; %+v", countAnswered(answers), len(answers), fleet.delegations(t))
	assert.Check(t, countAnswered(answers) >= len(answers)*9/10)
}
