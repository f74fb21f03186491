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

// Sizes of the test's deployment.
const (
	frontHosts    = 3
	frontShards   = 4
	frontReplicas = 3
	frontSlots    = 8
	frontWork     = 10 * time.Millisecond
	frontTarget   = 300 * time.Millisecond
	frontTimeout  = 2 * time.Second
	shardRecords  = 30
	// frontPatience is how long a caller may be kept beyond its time limit, on a machine that is busy with other tests.
	frontPatience  = time.Second
	topRecords     = 20
	ledgerSearcher = 4
)

// front is a deployment of daemons that forward plain HTTP requests.
type front struct {
	store     *standin.Store
	shards    [][]*standin.Forwarded
	ledger    []*standin.Forwarded
	processes []*process
	config    standin.StoredConfig
	// storeProxy stands between the hosts and the store, which the searchers write to directly.
	storeProxy *standin.Proxy
}

func startFront(t *testing.T) *front {
	t.Helper()
	started := &front{}
	var err error
	started.store, err = standin.NewStore()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, started.store.Close()) })
	started.storeProxy, err = standin.NewProxy(started.store.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, started.storeProxy.Close()) })
	started.config = standin.StoredConfig{Version: 1, Limits: map[string]int{
		"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
	gather := standin.StoredRoute{
		Name: "search", Host: "a.example", Prefix: "/search/", Kind: "safe", TimeoutMs: int(frontTimeout.Milliseconds()),
		TargetLatencyMs: int(frontTarget.Milliseconds()), MaxAttempts: 2, TopK: topRecords, MinShardRatio: 0.75,
	}
	for shard := range frontShards {
		group := fmt.Sprintf("shard-%d", shard)
		started.shards = append(started.shards, started.group(t, group, frontReplicas, shardRecords))
		gather.Gather = append(gather.Gather, group)
	}
	started.ledger = started.group(t, "ledger", ledgerSearcher, 0)
	book := standin.StoredRoute{
		Name: "book", Host: "a.example", Prefix: "/book/", Kind: "unsafe", TimeoutMs: int(frontTimeout.Milliseconds()),
		TargetLatencyMs: int(frontTarget.Milliseconds()), MaxAttempts: 2, Service: "ledger",
	}
	started.config.Routes = []standin.StoredRoute{gather, book}
	assert.NilError(t, started.store.PutConfig(&started.config))
	var seeds []string
	for index := range frontHosts {
		entry := &process{name: fmt.Sprintf("front-%d", index+1), addresses: freeAddresses(t)}
		started.processes = append(started.processes, entry)
		seeds = append(seeds, entry.addresses[1])
	}
	for _, entry := range started.processes {
		entry.settings = filepath.Join(t.TempDir(), entry.name+".ini")
		started.writeSettings(t, entry, seeds, 50)
		entry.startFront(t)
	}
	started.awaitReady(t)
	return started
}

func (started *front) writeSettings(t *testing.T, entry *process, seeds []string, slack int) {
	t.Helper()
	content := fmt.Sprintf("[host]\nname = %s\ndata-centre = one\ncaller-address = %s\npeer-address = %s\noperator-address = %s\n"+
		"[store]\naddress = %s\n[forward]\nretry-slack = %d\n[peers]\naddresses = %s\n[stop]\ngrace = 0s\nlimit = 3s\n",
		entry.name, entry.addresses[0], entry.addresses[1], entry.addresses[2], started.storeProxy.Address(), slack, strings.Join(seeds, ","))
	// The daemon must not read half a file when it starts.
	assert.NilError(t, os.WriteFile(entry.settings+".new", []byte(content), 0o600))
	assert.NilError(t, os.Rename(entry.settings+".new", entry.settings))
}

func (started *front) group(t *testing.T, name string, count, records int) []*standin.Forwarded {
	t.Helper()
	var searchers []*standin.Forwarded
	for index := range count {
		searcher, err := standin.NewForwarded(standin.ForwardedOptions{
			ID: fmt.Sprintf("%s-%d", name, index), Group: name, DataCentre: "one", Slots: frontSlots, Work: frontWork,
			Records: records, Headers: platform.Headers(), Store: started.store, Proxied: true,
		})
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, searcher.Close()) })
		searchers = append(searchers, searcher)
	}
	started.config.Services = append(started.config.Services, standin.StoredService{Name: name, MaxConns: 50})
	return searchers
}

func (entry *process) startFront(t *testing.T) {
	t.Helper()
	entry.log = &output{}
	entry.startFrontTo(t, entry.log)
}

// startFrontTo starts the daemon with the given standard output.
func (entry *process) startFrontTo(t *testing.T, logs io.Writer) {
	t.Helper()
	entry.command = exec.Command(os.Args[0])
	entry.command.Env = append(os.Environ(), daemonVariable+"=1", platform.SettingsVariable+"="+entry.settings)
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

func (started *front) awaitReady(t *testing.T) {
	t.Helper()
	(&site{processes: started.processes}).awaitReady(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the searchers may come later than the routing table
		for _, entry := range started.processes {
			answer := send(&http.Client{Timeout: frontTimeout}, entry, http.MethodGet, "/search/1", "ready-"+entry.name, nil)
			if answer.status != http.StatusOK || answer.missing != "0" {
				return poll.Continue("%s answers %d, missing %q", entry.name, answer.status, answer.missing)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
}

// reply is what a caller got; err says that the connection ended without a whole answer.
type reply struct {
	status     int
	body       []byte
	seals      string
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
	request.GetBody = nil // a request that may not be repeated must not be by this client either
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.TimeLeft, strconv.FormatInt(frontTimeout.Milliseconds(), 10))
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{
		took:   time.Since(began),
		status: response.StatusCode, body: content, err: err, seals: response.Header.Get(names.Seals),
		missing: response.Header.Get(names.MissingShards), retryAfter: response.Header.Get("Retry-After"),
	}
}

// frontLoad sends searches and bookings to the ready hosts over kept connections, and keeps what became of them.
type frontLoad struct {
	started  *front
	answered atomic.Int64
	mutex    sync.Mutex
	// booked holds the answer of each booking, wrong what a caller must never see.
	booked  map[string]reply
	wrong   []string
	stop    context.CancelFunc
	running sync.WaitGroup
}

func (started *front) startLoad() *frontLoad {
	ctx, cancel := context.WithCancel(context.Background())
	work := &frontLoad{started: started, booked: map[string]reply{}, stop: cancel}
	followReadiness(ctx, &work.running, started.processes, 100*time.Millisecond)
	const callers = 6
	for caller := range callers {
		work.running.Go(func() {
			client := &http.Client{Timeout: 2 * frontTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for turn := 0; ctx.Err() == nil; turn++ {
				if entry := (&site{processes: started.processes}).pick(turn % frontHosts); entry != nil {
					work.search(client, entry, fmt.Sprintf("s-%d-%d", caller, turn))
					work.book(client, entry, fmt.Sprintf("b-%d-%d", caller, turn))
				}
				time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
			}
		})
	}
	return work
}

func (work *frontLoad) search(client *http.Client, entry *process, id string) {
	answer := send(client, entry, http.MethodGet, "/search/x?q=1", id, nil)
	work.bound(entry, id, answer)
	switch {
	case answer.err != nil:
		work.note("search %s at %s: %v", id, entry.name, answer.err)
		return
	case answer.status != http.StatusOK:
		return
	}
	work.answered.Add(1)
	seals := strings.Split(answer.seals, ", ")
	groups := map[string]bool{}
	for _, seal := range seals {
		fields := strings.Split(seal, ".")
		if fields[0] != id || groups[fields[1]] {
			work.note("search %s: seals %q", id, answer.seals)
		}
		groups[fields[1]] = true
	}
	if missing, err := strconv.Atoi(answer.missing); err != nil || len(seals)+missing != frontShards || missing > 1 {
		work.note("search %s: %d seals, missing %q", id, len(seals), answer.missing)
	}
	if len(answer.body) != topRecords*16 {
		work.note("search %s: %d bytes", id, len(answer.body))
	}
}

func (work *frontLoad) book(client *http.Client, entry *process, id string) {
	answer := send(client, entry, http.MethodPost, "/book/x", id, []byte("sitter "+id))
	work.bound(entry, id, answer)
	work.mutex.Lock()
	defer work.mutex.Unlock()
	work.booked[id] = answer
}

// bound notes a caller who was kept waiting beyond the time limit by the first host, which no test stops.
func (work *frontLoad) bound(entry *process, id string, answer reply) {
	if entry == work.started.processes[0] && answer.took > frontTimeout+frontPatience {
		work.note("request %s at %s was kept waiting for %s", id, entry.name, answer.took)
	}
}

func (work *frontLoad) note(format string, arguments ...any) {
	work.mutex.Lock()
	defer work.mutex.Unlock()
	work.wrong = append(work.wrong, fmt.Sprintf(format, arguments...))
}

// end stops the load and checks what callers were told against what ran; it returns the bookings that ended without an answer.
func (work *frontLoad) end(t *testing.T) (cut int) {
	t.Helper()
	work.stop()
	work.running.Wait()
	runs := map[string]int{}
	for _, searcher := range work.started.ledger {
		for id, count := range searcher.Runs() {
			runs[id] += count
		}
	}
	done := 0
	for id, answer := range work.booked {
		assert.Check(t, runs[id] <= 1, "booking %s ran %d times", id, runs[id])
		switch {
		case answer.err != nil:
			cut++
		case answer.status == http.StatusOK:
			done++
			assert.Check(t, runs[id] == 1 && string(answer.body) == "sitter "+id, "booking %s got %q", id, answer.body)
		case answer.status == http.StatusServiceUnavailable:
			assert.Check(t, runs[id] == 0, "booking %s was refused as not run and ran", id)
			assert.Check(t, answer.retryAfter != "", "booking %s was refused without a time to come back", id)
		}
	}
	t.Logf("searches %d, bookings %d, done %d, cut %d", work.answered.Load(), len(work.booked), done, cut)
	assert.Check(t, work.answered.Load() > 0 && done > 0)
	return cut
}

// Guards against SIGHUP or a changed settings file that ends the process or cuts a request.
func TestFrontReloadCutsNothing(t *testing.T) {
	started := startFront(t)
	work := started.startLoad()
	var seeds []string
	for _, entry := range started.processes {
		seeds = append(seeds, entry.addresses[1])
	}
	for round := range 3 {
		for _, entry := range started.processes {
			started.writeSettings(t, entry, seeds, 60+round)
			assert.NilError(t, entry.command.Process.Signal(syscall.SIGHUP))
			time.Sleep(100 * time.Millisecond)
		}
	}
	cut := work.end(t)
	assert.Equal(t, cut, 0)
	assert.Equal(t, len(work.wrong), 0, strings.Join(work.wrong, "\n"))
	for _, entry := range started.processes {
		assert.Check(t, strings.Contains(entry.log.String(), `"event":"reloaded"`), entry.log.String())
	}
}

// Guards against a planned stop that cuts a request, and against one that outlasts its limit.
func TestFrontRollingStopCutsNothing(t *testing.T) {
	started := startFront(t)
	work := started.startLoad()
	for _, entry := range started.processes {
		time.Sleep(200 * time.Millisecond)
		asked := time.Now()
		assert.NilError(t, entry.command.Process.Signal(syscall.SIGTERM))
		<-entry.ended
		assert.Check(t, time.Since(asked) < 3*time.Second)
		assert.Equal(t, entry.command.ProcessState.ExitCode(), 0, entry.log.String())
		entry.startFront(t)
		started.awaitReady(t)
	}
	cut := work.end(t)
	assert.Equal(t, cut, 0)
	assert.Equal(t, len(work.wrong), 0, strings.Join(work.wrong, "\n"))
}

// Guards against a host that cannot start while the store is away, and against one that forgets what it knows then.
func TestFrontStartsFromPeersWithoutStore(t *testing.T) {
	started := startFront(t)
	started.config.Version = 7
	assert.NilError(t, started.store.PutConfig(&started.config))
	time.Sleep(time.Second)
	started.store.Refuse(http.StatusServiceUnavailable, false)
	entry := started.processes[0]
	assert.NilError(t, entry.command.Process.Kill())
	<-entry.ended
	entry.startFront(t)
	started.awaitReady(t)
	assert.Check(t, strings.Contains(entry.log.String(), `"version":7`), entry.log.String())
}

// Guards against a reader of the logs that stalls and so holds up requests.
func TestFrontStalledOutputDelaysNothing(t *testing.T) {
	started := startFront(t)
	entry := started.processes[0]
	assert.NilError(t, entry.command.Process.Kill())
	<-entry.ended
	reader, writer, err := os.Pipe()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, errors.Join(reader.Close(), writer.Close())) }()
	assert.NilError(t, writer.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = writer.Write(make([]byte, 8<<20)) // more than a pipe holds
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	entry.startFrontTo(t, writer)
	started.awaitReady(t)
	client := &http.Client{Timeout: 2 * frontTimeout}
	defer client.CloseIdleConnections()
	const requests = 600
	late := 0
	for turn := range requests {
		// Every second request has no route, which is logged each time.
		target, status := "/search/x", http.StatusOK
		if turn%2 == 1 {
			target, status = "/none/x", http.StatusNotFound
		}
		asked := time.Now()
		answer := send(client, entry, http.MethodGet, target, fmt.Sprintf("stalled-%d", turn), nil)
		assert.Equal(t, answer.status, status, "%v", answer.err)
		if time.Since(asked) > frontTimeout { // a write that waits for the reader would not end at all
			late++
		}
	}
	assert.Equal(t, late, 0)
}

// Guards against a booking that runs twice or is refused falsely when answers are lost and hosts are killed.
func TestFrontLostAnswersRunNothingTwice(t *testing.T) {
	started := startFront(t)
	work := started.startLoad()
	for _, searcher := range started.ledger {
		searcher.LoseAnswers(5)
	}
	time.Sleep(300 * time.Millisecond)
	entry := started.processes[1]
	assert.NilError(t, entry.command.Process.Kill())
	<-entry.ended
	entry.startFront(t)
	started.awaitReady(t)
	work.end(t)
}

// Guards against a searcher that gets new work long after it has said that it leaves.
func TestFrontLeavesDrainingSearchers(t *testing.T) {
	started := startFront(t)
	work := started.startLoad()
	leaving := started.ledger[0]
	time.Sleep(300 * time.Millisecond)
	leaving.Drain()
	time.Sleep(1500 * time.Millisecond)
	before := leaving.Late()
	time.Sleep(time.Second)
	work.end(t)
	assert.Equal(t, leaving.Late(), before)
}

// Guards against a host whose state operators cannot ask for, or that tells an old one.
func TestFrontTellsItsStatus(t *testing.T) {
	started := startFront(t)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, entry := range started.processes {
			response, err := http.Get("http://" + entry.addresses[2] + "/status")
			if err != nil {
				return poll.Error(err)
			}
			var status runner.FrontStatus
			err = errors.Join(json.NewDecoder(response.Body).Decode(&status), response.Body.Close())
			if err != nil {
				return poll.Error(err)
			}
			known := status.Directory
			if status.Host != entry.name || !status.Ready || status.Stopping || known.Version != 1 || known.Hosts != frontHosts ||
				known.Searchers != frontShards*frontReplicas+ledgerSearcher || known.KnowledgeAgeMicros < 0 {
				return poll.Continue("%s tells %+v", entry.name, status)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}
