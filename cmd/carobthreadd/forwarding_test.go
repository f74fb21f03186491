package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread/internal/standin"
	"carobthread/platform"
	"carobthread/runner"
)

// Sizes and times of the test deployment.
const (
	hostCount      = 3
	shardCount     = 4
	replicaCount   = 3
	searcherSlots  = 8
	serviceTime    = 10 * time.Millisecond
	targetLatency  = 300 * time.Millisecond
	requestTimeout = 2 * time.Second
	shardRecords   = 30 // records in a shard's response
	// latencySlack is how long a response may exceed the caller's time limit on a machine that is busy with other tests.
	latencySlack    = time.Second
	topRecords      = 20 // records in a merged answer
	ledgerSearchers = 4
	// evacuationBound is the time after a request to evacuate a data centre by which no attempt may reach it.
	evacuationBound = 5 * time.Second
	// coldTime is how long a searcher is cold, coldRate the requests per second that it takes meanwhile, and coldLimit the limit
	// that follows by the default rule.
	coldTime  = time.Second
	coldRate  = 10.0
	coldLimit = coldRate*1.5 + 5
)

// The hosts and most searchers are in homeCentre, the last searcher of each group in remoteCentre.
const (
	homeCentre   = "one"
	remoteCentre = "two"
)

// forwardingSite is a deployment of daemons that forward plain HTTP requests.
type forwardingSite struct {
	store     *standin.Store
	shards    [][]*standin.HTTPSearcher
	ledger    []*standin.HTTPSearcher
	processes []*process
	config    standin.StoredConfig
	// storeProxy is the proxy between the hosts and the store; searchers write to the store directly.
	storeProxy *standin.Proxy
}

func startForwarding(t *testing.T) *forwardingSite {
	t.Helper()
	return startForwardingWith(t, [hostCount]string{0: "[runtime]\nmemory = 184MB\n"})
}

// startForwardingWith starts a deployment whose hosts have the given lines in their settings, after those of section [forward].
func startForwardingWith(t *testing.T, moreSettings [hostCount]string) *forwardingSite {
	t.Helper()
	fleet := &forwardingSite{}
	var err error
	fleet.store, err = standin.NewStore()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, fleet.store.Close()) })
	fleet.storeProxy, err = standin.NewProxy(fleet.store.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, fleet.storeProxy.Close()) })
	fleet.config = standin.StoredConfig{Version: 1, Limits: map[string]int{
		"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
	searchRoute := standin.StoredRoute{
		Name: "search", Host: "a.example", Prefix: "/search/", Kind: "safe", TimeoutMs: int(requestTimeout.Milliseconds()),
		TargetLatencyMs: int(targetLatency.Milliseconds()), MaxAttempts: 2, TopK: topRecords, MinShardRatio: 0.75,
	}
	for shard := range shardCount {
		group := fmt.Sprintf("shard-%d", shard)
		fleet.shards = append(fleet.shards, fleet.group(t, group, replicaCount, shardRecords))
		searchRoute.Gather = append(searchRoute.Gather, group)
	}
	fleet.ledger = fleet.group(t, "ledger", ledgerSearchers, 0)
	bookRoute := standin.StoredRoute{
		Name: "book", Host: "a.example", Prefix: "/book/", Kind: "unsafe", TimeoutMs: int(requestTimeout.Milliseconds()),
		TargetLatencyMs: int(targetLatency.Milliseconds()), MaxAttempts: 2, Service: "ledger",
	}
	fleet.config.Routes = []standin.StoredRoute{searchRoute, bookRoute}
	assert.NilError(t, fleet.store.PutConfig(&fleet.config))
	var seeds []string
	ports := newPortSequence()
	for index := range hostCount {
		entry := &process{name: fmt.Sprintf("entry-%d", index+1), addresses: ports.addresses(t), moreSettings: moreSettings[index]}
		fleet.processes = append(fleet.processes, entry)
		seeds = append(seeds, entry.addresses[1])
	}
	for _, entry := range fleet.processes {
		entry.settings = filepath.Join(t.TempDir(), entry.name+".ini")
		fleet.writeSettings(t, entry, seeds, 50)
		entry.startForwarding(t)
	}
	fleet.awaitReady(t)
	return fleet
}

func (fleet *forwardingSite) writeSettings(t *testing.T, entry *process, seeds []string, slack int) {
	t.Helper()
	content := fmt.Sprintf("[host]\nname = %s\ndata-centre = "+homeCentre+"\ncaller-address = %s\npeer-address = %s\noperator-address = %s\n"+
		"[store]\naddress = %s\nevacuation-bound = "+evacuationBound.String()+"\n[forward]\nretry-slack = %d\n%s[peers]\naddresses = %s\n[stop]\ngrace = 0s\nlimit = 3s\n",
		entry.name, entry.addresses[0], entry.addresses[1], entry.addresses[2], fleet.storeProxy.Address(), slack, entry.moreSettings, strings.Join(seeds, ","))
	// The rename is atomic, so a daemon never reads a partly written file.
	assert.NilError(t, os.WriteFile(entry.settings+".new", []byte(content), 0o600))
	assert.NilError(t, os.Rename(entry.settings+".new", entry.settings))
}

func (fleet *forwardingSite) group(t *testing.T, name string, count, records int) []*standin.HTTPSearcher {
	t.Helper()
	var searchers []*standin.HTTPSearcher
	for index := range count {
		dataCentre := homeCentre
		if index == count-1 {
			dataCentre = remoteCentre
		}
		searcher, err := standin.NewHTTPSearcher(standin.HTTPSearcherOptions{
			ID: fmt.Sprintf("%s-%d", name, index), Group: name, DataCentre: dataCentre, Slots: searcherSlots, ServiceTime: serviceTime,
			Records: records, Headers: platform.Headers(), Store: fleet.store, BehindProxy: true, ColdTime: coldTime,
		})
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, searcher.Close()) })
		searchers = append(searchers, searcher)
	}
	fleet.config.Services = append(fleet.config.Services, standin.StoredService{Name: name, MaxConns: 50, ColdStartS: coldTime.Seconds(), ColdPerS: coldRate})
	return searchers
}

func (entry *process) startForwarding(t *testing.T) {
	t.Helper()
	entry.log = &output{}
	entry.startForwardingTo(t, entry.log)
}

// startForwardingTo starts the daemon with the given writer as its standard output.
func (entry *process) startForwardingTo(t *testing.T, logs io.Writer) {
	t.Helper()
	entry.command = exec.Command(os.Args[0])
	entry.command.Env = append(os.Environ(), daemonVariable+"=1", platform.SettingsFileVariable+"="+entry.settings)
	entry.command.Stdout, entry.command.Stderr = logs, entry.log
	assert.NilError(t, entry.command.Start())
	command, ended := entry.command, make(chan struct{})
	entry.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
	})
}

func (fleet *forwardingSite) awaitReady(t *testing.T) {
	t.Helper()
	(&site{processes: fleet.processes}).awaitReady(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result { // searchers may become known later than the routing table
		for _, entry := range fleet.processes {
			answer := send(&http.Client{Timeout: requestTimeout}, entry, http.MethodGet, "/search/1", "ready-"+entry.name, nil)
			if answer.status != http.StatusOK || answer.missing != "0" {
				return poll.Continue("%s answers with status %d, missing %q", entry.name, answer.status, answer.missing)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// reply is the response to a caller; err means that the connection ended before the whole response arrived.
type reply struct {
	status     int
	body       []byte
	signatures string
	missing    string
	retryAfter string
	took       time.Duration
	err        error
}

func send(client *http.Client, entry *process, method, target, id string, body []byte) reply {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+entry.addresses[0]+target, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	names := platform.Headers()
	request.Host = "a.example"
	request.GetBody = nil // so that the client does not retry a request that must not be repeated
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.TimeLeft, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{
		took:   time.Since(began),
		status: response.StatusCode, body: content, err: err, signatures: response.Header.Get(names.Signatures),
		missing: response.Header.Get(names.MissingShards), retryAfter: response.Header.Get("Retry-After"),
	}
}

// forwardingLoad sends searches and bookings to the ready hosts over keep-alive connections and records the results.
type forwardingLoad struct {
	fleet    *forwardingSite
	answered atomic.Int64
	mutex    sync.Mutex
	// booked holds the reply to each booking, unexpected describes results that a caller must never see.
	booked     map[string]reply
	unexpected []string
	stop       context.CancelFunc
	running    sync.WaitGroup
}

func (fleet *forwardingSite) startLoad() *forwardingLoad {
	ctx, cancel := context.WithCancel(context.Background())
	workload := &forwardingLoad{fleet: fleet, booked: map[string]reply{}, stop: cancel}
	followReadiness(ctx, &workload.running, fleet.processes, 100*time.Millisecond)
	const callers = 6
	for caller := range callers {
		workload.running.Go(func() {
			client := &http.Client{Timeout: 2 * requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for turn := 0; ctx.Err() == nil; turn++ {
				if entry := (&site{processes: fleet.processes}).pickReady(turn % hostCount); entry != nil {
					workload.search(client, entry, fmt.Sprintf("s-%d-%d", caller, turn))
					workload.book(client, entry, fmt.Sprintf("b-%d-%d", caller, turn))
				}
				time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
			}
		})
	}
	return workload
}

func (workload *forwardingLoad) search(client *http.Client, entry *process, id string) {
	answer := send(client, entry, http.MethodGet, "/search/x?q=1", id, nil)
	workload.checkLatency(entry, id, answer)
	switch {
	case answer.err != nil:
		workload.addUnexpected("search %s at %s: %v", id, entry.name, answer.err)
		return
	case answer.status != http.StatusOK:
		return
	}
	workload.answered.Add(1)
	signatures := strings.Split(answer.signatures, ", ")
	groups := map[string]bool{}
	for _, signature := range signatures {
		fields := strings.Split(signature, ".")
		if fields[0] != id || groups[fields[1]] {
			workload.addUnexpected("search %s: signatures %q", id, answer.signatures)
		}
		groups[fields[1]] = true
	}
	if missing, err := strconv.Atoi(answer.missing); err != nil || len(signatures)+missing != shardCount || missing > 1 {
		workload.addUnexpected("search %s: %d signatures, missing %q", id, len(signatures), answer.missing)
	}
	if len(answer.body) != topRecords*16 {
		workload.addUnexpected("search %s: %d bytes", id, len(answer.body))
	}
}

func (workload *forwardingLoad) book(client *http.Client, entry *process, id string) {
	answer := send(client, entry, http.MethodPost, "/book/x", id, []byte("sitter "+id))
	workload.checkLatency(entry, id, answer)
	workload.mutex.Lock()
	defer workload.mutex.Unlock()
	workload.booked[id] = answer
}

// checkLatency reports a request to the first host, which no test kills or pauses under load, that exceeded the time limit.
func (workload *forwardingLoad) checkLatency(entry *process, id string, answer reply) {
	if entry == workload.fleet.processes[0] && answer.took > requestTimeout+latencySlack {
		workload.addUnexpected("request %s at %s took %s", id, entry.name, answer.took)
	}
}

func (workload *forwardingLoad) addUnexpected(format string, arguments ...any) {
	workload.mutex.Lock()
	defer workload.mutex.Unlock()
	workload.unexpected = append(workload.unexpected, fmt.Sprintf(format, arguments...))
}

// end stops the load and checks the replies to bookings against the runs at the searchers; it returns the number of
// bookings without an answer.
func (workload *forwardingLoad) end(t *testing.T) (unanswered int) {
	t.Helper()
	workload.stop()
	workload.running.Wait()
	runs := map[string]int{}
	for _, searcher := range workload.fleet.ledger {
		for id, count := range searcher.Runs() {
			runs[id] += count
		}
	}
	done := 0
	for id, answer := range workload.booked {
		assert.Check(t, runs[id] <= 1, "booking %s ran %d times", id, runs[id])
		switch {
		case answer.err != nil:
			unanswered++
		case answer.status == http.StatusOK:
			done++
			assert.Check(t, runs[id] == 1 && string(answer.body) == "sitter "+id, "booking %s got %q", id, answer.body)
		case answer.status == http.StatusServiceUnavailable:
			assert.Check(t, runs[id] == 0, "booking %s was refused as not run but ran", id)
			assert.Check(t, answer.retryAfter != "", "booking %s was refused without Retry-After", id)
		case answer.status == http.StatusRequestTimeout, answer.status == http.StatusMisdirectedRequest, answer.status == http.StatusTooManyRequests:
			t.Errorf("booking %s was answered %d, which promises that it has not run", id, answer.status)
		}
	}
	t.Logf("searches %d, bookings %d, done %d, unanswered %d", workload.answered.Load(), len(workload.booked), done, unanswered)
	assert.Check(t, workload.answered.Load() > 0 && done > 0)
	return unanswered
}

// Guards against SIGHUP or a changed settings file that ends the process or loses a request.
func TestForwardingReloadLosesNoRequest(t *testing.T) {
	fleet := startForwarding(t)
	workload := fleet.startLoad()
	var seeds []string
	for _, entry := range fleet.processes {
		seeds = append(seeds, entry.addresses[1])
	}
	for round := range 3 {
		for _, entry := range fleet.processes {
			fleet.writeSettings(t, entry, seeds, 60+round)
			assert.NilError(t, entry.command.Process.Signal(syscall.SIGHUP))
			time.Sleep(100 * time.Millisecond)
		}
	}
	unanswered := workload.end(t)
	assert.Equal(t, unanswered, 0)
	assert.Equal(t, len(workload.unexpected), 0, strings.Join(workload.unexpected, "\n"))
	for _, entry := range fleet.processes {
		assert.Check(t, strings.Contains(entry.log.String(), `"event":"reloaded"`), entry.log.String())
	}
}

// Guards against a planned stop that loses a request or exceeds its limit.
func TestForwardingRollingRestartLosesNoRequest(t *testing.T) {
	fleet := startForwarding(t)
	workload := fleet.startLoad()
	for _, entry := range fleet.processes {
		time.Sleep(200 * time.Millisecond)
		signalled := time.Now()
		assert.NilError(t, entry.command.Process.Signal(syscall.SIGTERM))
		<-entry.ended
		assert.Check(t, time.Since(signalled) < 3*time.Second)
		assert.Equal(t, entry.command.ProcessState.ExitCode(), 0, entry.log.String())
		entry.startForwarding(t)
		fleet.awaitReady(t)
	}
	unanswered := workload.end(t)
	assert.Equal(t, unanswered, 0)
	assert.Equal(t, len(workload.unexpected), 0, strings.Join(workload.unexpected, "\n"))
}

// Guards against a host that cannot start while the store is unavailable, and against hosts that then lose the routing
// table that they already have.
func TestForwardingStartsFromPeersWithoutStore(t *testing.T) {
	fleet := startForwarding(t)
	fleet.config.Version = 7
	assert.NilError(t, fleet.store.PutConfig(&fleet.config))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, entry := range fleet.processes {
			if !strings.Contains(entry.log.String(), `"event":"table-active","version":7`) {
				return poll.Continue("%s has not taken version 7", entry.name)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(defaultFreshness), poll.WithDelay(10*time.Millisecond))
	fleet.store.SetFailure(http.StatusServiceUnavailable, false)
	entry := fleet.processes[0]
	assert.NilError(t, entry.command.Process.Kill())
	<-entry.ended
	entry.startForwarding(t)
	fleet.awaitReady(t)
	assert.Check(t, strings.Contains(entry.log.String(), `"version":7`), entry.log.String())
	assert.Check(t, !strings.Contains(entry.log.String(), `"version":1,`), entry.log.String())
}

// Guards against a stalled reader of the log output that delays requests.
func TestForwardingStalledOutputDelaysNoRequest(t *testing.T) {
	fleet := startForwarding(t)
	entry := fleet.processes[0]
	assert.NilError(t, entry.command.Process.Kill())
	<-entry.ended
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, errors.Join(reader.Close(), writer.Close())) }()
	assert.NilError(t, writer.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = writer.Write(make([]byte, 8<<20)) // more than the capacity of a pipe
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	entry.startForwardingTo(t, writer)
	fleet.awaitReady(t)
	client := &http.Client{Timeout: 2 * requestTimeout}
	defer client.CloseIdleConnections()
	const requests = 600
	slow := 0
	for turn := range requests {
		// Every second request matches no route, which logs a line each time.
		target, status := "/search/x", http.StatusOK
		if turn%2 == 1 {
			target, status = "/none/x", http.StatusNotFound
		}
		began := time.Now()
		answer := send(client, entry, http.MethodGet, target, fmt.Sprintf("stalled-%d", turn), nil)
		assert.Equal(t, answer.status, status, "%v", answer.err)
		if time.Since(began) > requestTimeout { // a blocked log write would never return
			slow++
		}
	}
	assert.Equal(t, slow, 0)
}

// Guards against a booking that runs twice or is wrongly refused as not run when answers are lost and hosts are killed.
func TestForwardingLostAnswersRunNoBookingTwice(t *testing.T) {
	fleet := startForwarding(t)
	workload := fleet.startLoad()
	for _, searcher := range fleet.ledger {
		searcher.DropResponses(5)
	}
	time.Sleep(300 * time.Millisecond)
	entry := fleet.processes[1]
	assert.NilError(t, entry.command.Process.Kill())
	<-entry.ended
	entry.startForwarding(t)
	fleet.awaitReady(t)
	workload.end(t)
}

// Guards against a searcher that receives new requests long after it has registered as draining.
func TestForwardingStopsUsingDrainingSearchers(t *testing.T) {
	fleet := startForwarding(t)
	workload := fleet.startLoad()
	leaving := fleet.ledger[0]
	time.Sleep(300 * time.Millisecond)
	leaving.Drain()
	time.Sleep(1500 * time.Millisecond)
	before := leaving.RequestsWhileDraining()
	time.Sleep(time.Second)
	workload.end(t)
	assert.Equal(t, leaving.RequestsWhileDraining(), before)
}

// remoteRequests returns the number of requests that have arrived at the searchers in remoteCentre.
func (fleet *forwardingSite) remoteRequests() int64 {
	requests := int64(0)
	for _, group := range append(fleet.shards, fleet.ledger) {
		for _, searcher := range group {
			if searcher.DataCentre() == remoteCentre {
				requests += searcher.Requests()
			}
		}
	}
	return requests
}

// awaitStatus waits until the status of every host meets the condition.
func (fleet *forwardingSite) awaitStatus(t *testing.T, condition func(status *runner.ForwardingStatus) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, entry := range fleet.processes {
			status, err := entry.forwardingStatus()
			if err != nil {
				return poll.Error(err)
			}
			if !condition(&status) {
				return poll.Continue("%s reports %+v, evacuated %+v", entry.name, status.Directory, status.Evacuated)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(evacuationBound), poll.WithDelay(20*time.Millisecond))
}

func (entry *process) forwardingStatus() (status runner.ForwardingStatus, err error) {
	response, err := http.Get("http://" + entry.addresses[2] + "/status")
	if err != nil {
		return status, err
	}
	return status, errors.Join(json.NewDecoder(response.Body).Decode(&status), response.Body.Close())
}

// Guards against requests that reach an evacuated data centre or a searcher that has left: through a host that restarts while
// the store refuses it, or after the store has come back from an older copy. Also guards against lost answers while load moves,
// against an older version of the routing table, and against hosts that miss what is written under revisions issued again.
func TestForwardingEvacuationOutlivesStoreRollback(t *testing.T) {
	fleet := startForwarding(t)
	workload := fleet.startLoad()
	fleet.store.Copy()
	fleet.config.Version = 5
	assert.NilError(t, fleet.store.PutConfig(&fleet.config))
	fleet.store.Evacuate(remoteCentre)
	leaving := fleet.ledger[0]
	leaving.Drain()
	leaving.PauseHeartbeats(true)
	fleet.store.Remove("servers/" + leaving.ID())
	era := uint64(0)
	evacuated := func(status *runner.ForwardingStatus) bool {
		return len(status.Evacuated) == 1 && status.Evacuated[0].DataCentre == remoteCentre && status.Evacuated[0].Complete &&
			status.Directory.Era == era && status.Directory.Version == 5 && status.Directory.Searchers == shardCount*replicaCount+ledgerSearchers-1
	}
	fleet.awaitStatus(t, evacuated)
	time.Sleep(10 * serviceTime) // requests that are being written arrive
	before, beforeLeaving := fleet.remoteRequests(), leaving.Requests()
	fleet.store.SetFailure(http.StatusServiceUnavailable, false)
	entry := fleet.processes[1]
	assert.NilError(t, entry.command.Process.Kill())
	<-entry.ended
	entry.startForwarding(t)
	fleet.awaitReady(t)
	fleet.store.RollBack()
	fleet.store.SetFailure(0, false)
	time.Sleep(time.Second)
	fleet.store.Evacuate(remoteCentre)
	era = 1
	fleet.awaitStatus(t, evacuated)
	time.Sleep(defaultFreshness)
	assert.Equal(t, fleet.remoteRequests(), before)
	assert.Equal(t, leaving.Requests(), beforeLeaving)
	fleet.config.Version = 6
	assert.NilError(t, fleet.store.PutConfig(&fleet.config))
	fleet.store.EndEvacuation(remoteCentre)
	fleet.awaitStatus(t, func(status *runner.ForwardingStatus) bool {
		return status.Directory.Version == 6 && len(status.Evacuated) == 0
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fleet.remoteRequests() == before {
			return poll.Continue("the searchers are not used again")
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	workload.end(t)
	for _, unexpected := range workload.unexpected { // the killed process closes its connections
		assert.Check(t, strings.Contains(unexpected, "EOF") || strings.Contains(unexpected, "connection re"), unexpected)
	}
}

// Guards against a status page that is unavailable or reports an outdated state.
func TestForwardingStatusPage(t *testing.T) {
	fleet := startForwarding(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, entry := range fleet.processes {
			status, err := entry.forwardingStatus()
			if err != nil {
				return poll.Error(err)
			}
			directory := status.Directory
			if status.Host != entry.name || !status.Ready || status.Stopping || directory.Version != 1 || directory.Hosts != hostCount ||
				directory.Searchers != shardCount*replicaCount+ledgerSearchers || directory.KnowledgeAgeMicros < 0 {
				return poll.Continue("%s reports %+v", entry.name, status)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

// Guards against a placement that leaves out shards or back ends, that sends anything, or that misses a failure.
func TestForwardingPlacement(t *testing.T) {
	fleet := startForwarding(t)
	sent := fleet.remoteRequests()
	place := func(path string) (answer runner.PlaceAnswer, status int) {
		response, err := http.Get("http://" + fleet.processes[0].addresses[2] + "/place?host=A.example:80&path=" + path)
		assert.NilError(t, err)
		defer func() { assert.NilError(t, response.Body.Close()) }()
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
		return answer, response.StatusCode
	}
	search, status := place("/search/x")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(search.Placements), 1)
	assert.Equal(t, len(search.Placements[0].Shards), shardCount)
	for _, shard := range search.Placements[0].Shards {
		assert.Equal(t, len(shard.Replicas), replicaCount)
		assert.Assert(t, shard.Waits != (shard.Chosen != "") && shard.Reason == "", "%+v", shard) // they may be cold
		assert.Assert(t, shard.Waits || shard.Class == "local" || shard.Class == "remote", "%+v", shard)
		for _, replica := range shard.Replicas {
			assert.Assert(t, replica.Searcher != shard.Chosen || replica.Class == shard.Class, "%+v", shard)
		}
	}
	book, _ := place("/book/1")
	assert.Equal(t, len(book.Placements[0].Shards[0].Replicas), ledgerSearchers)
	none, status := place("/nowhere")
	assert.Assert(t, status == http.StatusNotFound && none.Error != "", "%d", status)
	assert.Equal(t, fleet.remoteRequests(), sent)
}
