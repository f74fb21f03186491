package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carobthread"
	"carobthread/internal/deployer"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/server"
)

// daemonVariable makes the test binary run as the daemon.
const daemonVariable = "CAROBTHREADD_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// process is one daemon process with the client of its callers.
type process struct {
	name      string
	addresses [3]string
	settings  string
	command   *exec.Cmd
	ended     chan struct{}
	log       *output
	client    carobthreadv1connect.QueryServiceClient
	transport *http.Transport
	ready     atomic.Bool
}

// output holds what a process writes and may be read while it runs.
type output struct {
	mutex sync.Mutex
	text  strings.Builder
}

// Write appends to the output.
func (output *output) Write(content []byte) (int, error) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.text.Write(content)
}

// String returns what was written so far.
func (output *output) String() string {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.text.String()
}

// site is a deployment whose entry hosts are processes of their own.
type site struct {
	deployment *deployer.Deployment
	processes  []*process
}

func startSite(t *testing.T) *site {
	t.Helper()
	deployment, err := deployer.NewUpstreams(deployer.Options{})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, deployment.Close()) })
	started := &site{deployment: deployment}
	centres := []string{"kochi", "kochi", "kollam", "thiruvananthapuram"}
	for index, centre := range centres {
		entry := &process{name: fmt.Sprintf("entry-%d", index+1), addresses: freeAddresses(t)}
		entry.settings = filepath.Join(t.TempDir(), entry.name+".ini")
		content := fmt.Sprintf("[host]\nname = %s\ndata-centre = %s\ncaller-address = %s\npeer-address = %s\noperator-address = %s\n"+
			"[platform]\naddress = %s\n[stop]\ngrace = 1s\nlimit = 20s\n",
			entry.name, centre, entry.addresses[0], entry.addresses[1], entry.addresses[2], deployment.PlatformAddress())
		assert.NilError(t, os.WriteFile(entry.settings, []byte(content), 0o600))
		deployment.Platform.SetHost(carobthread.Host{Name: entry.name, DataCentre: centre, PeerAddress: entry.addresses[1], State: carobthread.HostLive})
		started.processes = append(started.processes, entry)
		entry.start(t)
	}
	started.awaitReady(t)
	return started
}

func (entry *process) start(t *testing.T) {
	t.Helper()
	entry.command = exec.Command(os.Args[0], "--settings", entry.settings)
	entry.command.Env = append(os.Environ(), daemonVariable+"=1")
	entry.log = &output{}
	entry.command.Stderr = entry.log
	assert.NilError(t, entry.command.Start())
	entry.transport = &http.Transport{MaxIdleConnsPerHost: 64}
	entry.client = carobthreadv1connect.NewQueryServiceClient(&http.Client{Transport: entry.transport}, "http://"+entry.addresses[0])
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

// firstPort is below the range from which systems take ports of outgoing connections: a port of that range may be
// in use by a connection when a daemon starts again.
const (
	firstPort = 20000
	portCount = 8000
)

func freeAddresses(t *testing.T) (addresses [3]string) {
	t.Helper()
	for index := 0; index < len(addresses); {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		addresses[index] = address
		index++
	}
	return addresses
}

// poll asks for readiness as a balancer does.
func (entry *process) poll() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + entry.addresses[2] + "/readyz")
	if err == nil {
		_ = response.Body.Close()
	}
	ready := err == nil && response.StatusCode == http.StatusOK
	entry.ready.Store(ready)
	return ready
}

func (started *site) awaitReady(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, entry := range started.processes {
			select {
			case <-entry.ended:
				return poll.Error(fmt.Errorf("%s has ended: %s", entry.name, entry.log))
			default:
			}
			if !entry.poll() {
				return poll.Continue("%s is not ready", entry.name)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// pick returns a ready process, as a balancer does, or nil.
func (started *site) pick(turn int) *process {
	for offset := range started.processes {
		if entry := started.processes[(turn+offset)%len(started.processes)]; entry.ready.Load() {
			return entry
		}
	}
	return nil
}

// load sends queries and bookings until it is stopped and counts what callers were told.
type load struct {
	answers, bookings, unknown, cut atomic.Int64
	mutex                           sync.Mutex
	failures                        []string
	done                            map[string]carobthreadv1.ExecutionStatus
	stop                            context.CancelFunc
	running                         sync.WaitGroup
}

// followReadiness asks each process for its readiness until the context ends, as a balancer does.
func followReadiness(ctx context.Context, running *sync.WaitGroup, processes []*process, period time.Duration) {
	for _, entry := range processes {
		running.Go(func() {
			for ctx.Err() == nil {
				entry.poll()
				time.Sleep(period)
			}
		})
	}
}

func (started *site) startLoad() *load {
	ctx, cancel := context.WithCancel(context.Background())
	work := &load{done: map[string]carobthreadv1.ExecutionStatus{}, stop: cancel}
	followReadiness(ctx, &work.running, started.processes, 20*time.Millisecond)
	const callers = 8
	for caller := range callers {
		work.running.Go(func() {
			for turn := caller; ctx.Err() == nil; turn++ {
				if entry := started.pick(turn); entry != nil {
					work.query(entry)
					work.book(entry, started.pick(turn+1))
				}
			}
		})
	}
	return work
}

func (work *load) query(entry *process) {
	response, err := entry.client.Search(context.Background(), connect.NewRequest(&carobthreadv1.SearchRequest{Service: deployer.Matching, Query: []byte("q")}))
	if err != nil {
		work.fail("query", err)
		return
	}
	if response.Msg.GetCoverage().GetTotal() == deployer.Shards {
		work.answers.Add(1)
	}
}

// book reserves a key at one host and executes it through another.
func (work *load) book(minter, other *process) {
	reserved, err := minter.client.Reserve(context.Background(), connect.NewRequest(&carobthreadv1.ReserveRequest{Service: deployer.Bookings}))
	if err != nil {
		work.fail("reserve", err)
		return
	}
	if other == nil {
		other = minter
	}
	key := reserved.Msg.GetKey()
	response, err := other.client.Execute(context.Background(), connect.NewRequest(&carobthreadv1.ExecuteRequest{Key: key, Service: deployer.Bookings, Payload: []byte("sitter")}))
	if err != nil {
		work.fail("execute", err)
		return
	}
	work.bookings.Add(1)
	if response.Msg.GetStatus() == carobthreadv1.ExecutionStatus_EXECUTION_STATUS_UNKNOWN {
		work.unknown.Add(1)
	}
	work.mutex.Lock()
	defer work.mutex.Unlock()
	work.done[key] = response.Msg.GetStatus()
}

// fail counts a request that ended without an answer or a true refusal.
func (work *load) fail(kind string, err error) {
	if server.RequestErrorOf(err).State == carobthread.NotRun {
		return
	}
	work.cut.Add(1)
	work.mutex.Lock()
	defer work.mutex.Unlock()
	work.failures = append(work.failures, kind+": "+err.Error())
}

// end stops the load and checks that no booking ran twice and that each answer about one is true.
func (work *load) end(t *testing.T, started *site) {
	t.Helper()
	work.stop()
	work.running.Wait()
	for key, status := range work.done {
		runs := 0
		for _, searcher := range started.deployment.Bookings {
			runs += searcher.Runs(key)
		}
		assert.Check(t, runs <= 1, "key %s ran %d times", key, runs)
		assert.Check(t, status != carobthreadv1.ExecutionStatus_EXECUTION_STATUS_DONE || runs == 1, "key %s was done without a run", key)
		assert.Check(t, status != carobthreadv1.ExecutionStatus_EXECUTION_STATUS_NOT_RUN || runs == 0, "key %s was refused as not run but ran", key)
	}
	t.Logf("answers %d, bookings %d, unknown %d, cut %d", work.answers.Load(), work.bookings.Load(), work.unknown.Load(), work.cut.Load())
}

// Guards against a planned stop that cuts a request, exits with an error, or leaves outcomes unknown because the
// other hosts have not yet heard of the restarted host's new incarnation.
func TestRollingStopCutsNoRequest(t *testing.T) {
	started := startSite(t)
	work := started.startLoad()
	for _, entry := range started.processes {
		time.Sleep(200 * time.Millisecond)
		assert.NilError(t, entry.command.Process.Signal(syscall.SIGTERM))
		<-entry.ended
		assert.Equal(t, entry.command.ProcessState.ExitCode(), 0, entry.log.String())
		entry.transport.CloseIdleConnections()
		entry.start(t)
		started.awaitReady(t)
	}
	work.end(t, started)
	assert.Check(t, work.answers.Load() > 0 && work.bookings.Load() > 0)
	assert.Equal(t, work.cut.Load(), int64(0), strings.Join(work.failures, "\n"))
	assert.Equal(t, work.unknown.Load(), int64(0), "a planned stop left outcomes unknown")
}

// Guards against a killed or paused host that makes a booking run twice or lets the other hosts stop answering.
func TestKillAndPauseRunNothingTwice(t *testing.T) {
	started := startSite(t)
	work := started.startLoad()
	time.Sleep(300 * time.Millisecond)
	paused := started.processes[1].command.Process
	assert.NilError(t, paused.Signal(syscall.SIGSTOP))
	time.Sleep(3 * time.Second)
	assert.NilError(t, paused.Signal(syscall.SIGCONT))
	assert.NilError(t, started.processes[2].command.Process.Kill())
	<-started.processes[2].ended
	before := work.answers.Load()
	time.Sleep(500 * time.Millisecond)
	assert.Check(t, work.answers.Load() > before, "no answer after a host was killed")
	started.processes[2].start(t)
	started.awaitReady(t)
	work.end(t, started)
}
