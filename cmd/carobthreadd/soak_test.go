package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carobthread/internal/standin"
)

// The soak test runs daemons as separate processes and injects overlapping faults from outside. Meanwhile, callers check
// each answer; at the end, all bookings are compared with the runs at the searchers, and the fleet must have recovered.
// go test ./cmd/carobthreadd -run Soak -soak-seeds 50 -soak-first 1000 runs new seeds.
var (
	soakSeeds = flag.Int("soak-seeds", 1, "number of seeds that the soak test runs")                    //nolint:gochecknoglobals // a test flag
	soakFirst = flag.Uint64("soak-first", 1, "first seed of the soak test")                             //nolint:gochecknoglobals // a test flag
	soakSpan  = flag.Duration("soak-span", 5*time.Second, "how long faults are injected for each seed") //nolint:gochecknoglobals // a test flag
)

// soakSeed is a seed with the number of faults that it chooses from, the first ones of the list.
type soakSeed struct {
	seed       uint64
	faultCount int
}

// regressionSeeds returns seeds that failed once; each one is listed with its cause. They choose from the faults that there were
// then, since another number of them would make each seed choose others.
func regressionSeeds() []soakSeed {
	const faultCount = 17
	return []soakSeed{{501, faultCount}, {503, faultCount}} // a late copy of a rejection counted as the answer to the next try: bookings ran twice
}

const (
	// concurrentFaults is the maximum number of faults at the same time.
	concurrentFaults = 3
	maxFaultDuration = 2 * time.Second
	recoveryTimeout  = 12 * time.Second
	// defaultFreshness is the hosts' freshness without a setting: the time within which each must know of a change.
	defaultFreshness = 3 * time.Second
	// drainBound is the time after which a draining searcher must receive no requests.
	drainBound = defaultFreshness
	// settleTime is how long hosts and store must have been free of faults before that bound holds.
	settleTime = 2 * time.Second
)

// fault disrupts the deployment for a duration and then restores it.
type fault struct {
	name string
	run  func(soak *soak, random *rand.Rand, duration time.Duration)
}

// soak is the run of one seed.
type soak struct {
	t             *testing.T
	fleet         *forwardingSite
	peerAddresses []string
	// availableHosts holds the index of each host at which a fault may be injected now.
	availableHosts chan int
	version        chan uint64
	// faultLock is held for reading during a fault of a host or the store, and for writing while there must be none.
	faultLock sync.RWMutex
}

func faults() []fault {
	return []fault{
		{"searcher-proxy", (*soak).disruptSearcherProxy},
		{"searcher-slow", (*soak).slowSearcher},
		{"answers-lost", (*soak).dropResponses},
		{"rejections-copied", (*soak).copyRejections},
		{"store-refuses", (*soak).refuseStore},
		{"store-proxy", (*soak).disruptStoreProxy},
		{"connections-silenced", (*soak).silenceConnections},
		{"host-killed", (*soak).killHost},
		{"host-paused", (*soak).pauseHost},
		{"host-stopped", (*soak).stopHost},
		{"host-stopped-busy", (*soak).stopBusyHost},
		{"reload", (*soak).reloadHost},
		{"configuration", (*soak).changeConfiguration},
		{"heartbeats-lost", (*soak).loseHeartbeats},
		{"searcher-leaves", (*soak).drainSearcher},
		{"data-centre-evacuated", (*soak).evacuate},
		{"store-rolled-back", (*soak).rollBackStore},
		{"runs-failed", (*soak).failRuns}, // after the faults of the regression seeds
	}
}

// TestSoak guards against a fault that breaks a guarantee while another fault is active.
func TestSoak(t *testing.T) {
	seeds := regressionSeeds()
	for index := range *soakSeeds {
		seeds = append(seeds, soakSeed{*soakFirst + uint64(index), len(faults())})
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed.seed), func(t *testing.T) { runSeed(t, seed.seed, faults()[:seed.faultCount]) })
	}
}

func runSeed(t *testing.T, seed uint64, faults []fault) {
	// The faults of hosts are those of the coordinators of the first host.
	fleet := startForwardingWith(t, [hostCount]string{smallHost, largeHost, largeHost})
	run := &soak{t: t, fleet: fleet, availableHosts: make(chan int, hostCount), version: make(chan uint64, 1)}
	run.version <- 1
	for index, entry := range run.fleet.processes {
		run.peerAddresses = append(run.peerAddresses, entry.addresses[1])
		if index > 0 { // no fault stops the first host, whose latency is checked
			run.availableHosts <- index
		}
	}
	workload := run.fleet.startLoad()
	finished := make(chan struct{}, concurrentFaults)
	end := time.Now().Add(*soakSpan)
	for index := range concurrentFaults {
		random := rand.New(rand.NewPCG(seed, uint64(index)))
		go func() {
			for time.Now().Before(end) {
				chosen := faults[random.IntN(len(faults))]
				duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
				t.Logf("%s for %s", chosen.name, duration.Round(time.Millisecond))
				chosen.run(run, random, duration)
			}
			finished <- struct{}{}
		}()
	}
	for range concurrentFaults {
		<-finished
	}
	run.awaitRecovery()
	workload.end(t)
	run.fleet.checkRuns(t, nil)
	for _, unexpected := range workload.unexpected {
		// Killed processes close their connections; anything else violates a guarantee.
		assert.Check(t, strings.Contains(unexpected, "EOF") || strings.Contains(unexpected, "connection re") || strings.Contains(unexpected, "exceeded"), unexpected)
	}
	if t.Failed() {
		for _, entry := range run.fleet.processes {
			path := filepath.Join(os.TempDir(), fmt.Sprintf("carobthread-soak-%d-%s.log", seed, entry.name))
			assert.Check(t, os.WriteFile(path, []byte(entry.log.String()), 0o600))
			t.Logf("log of %s: %s", entry.name, path)
		}
	}
}

// awaitRecovery waits until every host serves complete answers with the newest configuration.
func (run *soak) awaitRecovery() {
	version := <-run.version
	target := fmt.Sprintf("/v%d/1", version)
	client := &http.Client{Timeout: requestTimeout}
	deadline := time.Now().Add(recoveryTimeout)
	for index, entry := range run.fleet.processes {
		for turn := 0; ; turn++ {
			answer := send(client, entry, http.MethodGet, "/search/1", fmt.Sprintf("end-%d-%d", index, turn), nil)
			newest := version == 1 || send(client, entry, http.MethodGet, target, fmt.Sprintf("new-%d-%d", index, turn), nil).status == http.StatusOK
			if answer.status == http.StatusOK && answer.missing == "0" && newest {
				break
			}
			if time.Now().After(deadline) {
				run.t.Errorf("%s has not recovered: status %d, missing %q, version %d active: %v", entry.name, answer.status, answer.missing, version, newest)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (run *soak) anySearcher(random *rand.Rand) *standin.HTTPSearcher {
	if random.IntN(3) == 0 {
		return run.fleet.ledger[random.IntN(len(run.fleet.ledger))]
	}
	group := run.fleet.shards[random.IntN(len(run.fleet.shards))]
	return group[random.IntN(len(group))]
}

func (run *soak) disruptSearcherProxy(random *rand.Rand, duration time.Duration) {
	proxy := run.anySearcher(random).Proxy()
	modes := []standin.ProxyMode{standin.ProxyDelay, standin.ProxyReset, standin.ProxySilent, standin.ProxyOneWay}
	proxy.Set(modes[random.IntN(len(modes))], 50*time.Millisecond)
	time.Sleep(duration)
	proxy.Set(standin.ProxyPass, 0)
}

// drainSearcher drains a searcher and then returns it to service as newly started; while no other fault affects hosts or the
// store, hosts must send it no requests after drainBound, and together at most coldLimit in a second while it is cold.
func (run *soak) drainSearcher(random *rand.Rand, _ time.Duration) {
	if !run.faultLock.TryLock() {
		return
	}
	defer run.faultLock.Unlock()
	time.Sleep(settleTime)
	searcher := run.anySearcher(random)
	searcher.Drain()
	time.Sleep(drainBound)
	before := searcher.RequestsWhileDraining()
	time.Sleep(maxFaultDuration / 4)
	if assert.Check(run.t, searcher.RequestsWhileDraining() == before, "%s received %d requests long after it had registered as draining", searcher.ID(), searcher.RequestsWhileDraining()-before) {
		run.t.Logf("%s drained and received nothing after %s", searcher.ID(), drainBound)
	}
	searcher.Reregister()
	time.Sleep(coldTime)
	if most := searcher.MostWhileCold(); assert.Check(run.t, most <= coldLimit, "%s received %d requests in a second while it was cold", searcher.ID(), most) {
		run.t.Logf("%s received at most %d requests in a second while it was cold", searcher.ID(), most)
	}
}

// evacuate evacuates a data centre and then returns it to service; while no other fault affects hosts or the store, hosts must
// send it no requests after evacuationBound, and neither may one that is restarted meanwhile and that the store refuses. In half
// of the cases the store loses the request, and the operator writes it again.
func (run *soak) evacuate(random *rand.Rand, _ time.Duration) {
	if !run.faultLock.TryLock() {
		return
	}
	defer run.faultLock.Unlock()
	time.Sleep(settleTime)
	run.fleet.store.Copy()
	run.fleet.store.Evacuate(remoteCentre)
	time.Sleep(evacuationBound)
	before := run.fleet.remoteRequests()
	run.fleet.store.SetFailure(http.StatusServiceUnavailable, false)
	entry := run.fleet.processes[hostCount-1] // no other fault uses a host now
	_ = entry.command.Process.Kill()
	<-entry.ended
	run.restart(entry)
	if random.IntN(2) == 0 {
		for deadline := time.Now().Add(recoveryTimeout); !entry.poll() && time.Now().Before(deadline); {
			time.Sleep(20 * time.Millisecond) // a host that has not heard from a peer has nothing to keep
		}
		run.fleet.store.RollBack()
		run.fleet.store.SetFailure(0, false)
		time.Sleep(maxFaultDuration / 4)
		run.fleet.store.Evacuate(remoteCentre)
		run.publish(0)
		time.Sleep(maxFaultDuration)
	}
	time.Sleep(maxFaultDuration / 4)
	if received := run.fleet.remoteRequests() - before; assert.Check(run.t, received == 0, "%d requests reached the evacuated data centre", received) {
		run.t.Logf("the data centre was evacuated and received nothing after %s", evacuationBound)
	}
	run.fleet.store.SetFailure(0, false)
	run.fleet.store.EndEvacuation(remoteCentre)
}

func (run *soak) disruptStoreProxy(random *rand.Rand, duration time.Duration) {
	run.faultLock.RLock()
	defer run.faultLock.RUnlock()
	modes := []standin.ProxyMode{standin.ProxyDelay, standin.ProxyReset, standin.ProxySilent, standin.ProxyOneWay}
	run.fleet.storeProxy.Set(modes[random.IntN(len(modes))], 200*time.Millisecond)
	time.Sleep(duration)
	run.fleet.storeProxy.Set(standin.ProxyPass, 0)
}

// silenceConnections makes the open connections to the store and to a searcher silent for good, while new ones work.
func (run *soak) silenceConnections(random *rand.Rand, duration time.Duration) {
	run.faultLock.RLock()
	defer run.faultLock.RUnlock()
	run.fleet.storeProxy.SilenceOpen()
	run.anySearcher(random).Proxy().SilenceOpen()
	time.Sleep(duration)
}

func (run *soak) slowSearcher(random *rand.Rand, duration time.Duration) {
	searcher := run.anySearcher(random)
	searcher.SetServiceTime(10 * serviceTime)
	time.Sleep(duration)
	searcher.SetServiceTime(serviceTime)
}

func (run *soak) dropResponses(random *rand.Rand, duration time.Duration) {
	run.anySearcher(random).DropResponses(1 + random.IntN(5))
	time.Sleep(duration)
}

// copyRejections makes the searchers of bookings reject some of them, each with a late second copy that a host must not take
// for the answer to its next try.
func (run *soak) copyRejections(_ *rand.Rand, duration time.Duration) {
	for _, searcher := range run.fleet.ledger {
		searcher.RejectWithCopies(true)
	}
	time.Sleep(duration)
	for _, searcher := range run.fleet.ledger {
		searcher.RejectWithCopies(false)
	}
}

// failRuns makes the searchers of bookings run them and fail with a status, which may be one that promises "not run".
func (run *soak) failRuns(random *rand.Rand, duration time.Duration) {
	statuses := []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError,
	}
	status := statuses[random.IntN(len(statuses))]
	for _, searcher := range run.fleet.ledger {
		searcher.FailRuns(status)
	}
	time.Sleep(duration)
	for _, searcher := range run.fleet.ledger {
		searcher.FailRuns(0)
	}
}

func (run *soak) loseHeartbeats(random *rand.Rand, duration time.Duration) {
	run.faultLock.RLock()
	defer run.faultLock.RUnlock()
	searcher := run.anySearcher(random)
	searcher.PauseHeartbeats(true)
	run.fleet.store.Remove("servers/" + searcher.ID())
	time.Sleep(duration)
	searcher.PauseHeartbeats(false)
}

func (run *soak) refuseStore(random *rand.Rand, duration time.Duration) {
	run.faultLock.RLock()
	defer run.faultLock.RUnlock()
	run.fleet.store.SetFailure([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)], random.IntN(3) == 0)
	time.Sleep(duration)
	run.fleet.store.SetFailure(0, false)
}

// withHost injects a fault at a host that no other fault uses, if there is one.
func (run *soak) withHost(inject func(entry *process)) {
	run.faultLock.RLock()
	defer run.faultLock.RUnlock()
	select {
	case index := <-run.availableHosts:
		inject(run.fleet.processes[index])
		run.availableHosts <- index
	default:
	}
}

func (run *soak) killHost(_ *rand.Rand, duration time.Duration) {
	run.withHost(func(entry *process) {
		_ = entry.command.Process.Kill()
		<-entry.ended
		time.Sleep(duration / 4)
		run.restart(entry)
	})
}

// restart starts a host whose process has exited and waits until it handles signals.
func (run *soak) restart(entry *process) {
	entry.startForwarding(run.t)
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-entry.ended:
			run.t.Errorf("%s exited unexpectedly: %s", entry.name, entry.log)
			return
		default:
		}
		if answer, err := http.Get("http://" + entry.addresses[2] + "/healthz"); err == nil {
			_ = answer.Body.Close()
			return
		}
	}
	run.t.Errorf("%s has not started: %s", entry.name, entry.log)
}

func (run *soak) pauseHost(_ *rand.Rand, duration time.Duration) {
	run.withHost(func(entry *process) {
		_ = entry.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		_ = entry.command.Process.Signal(syscall.SIGCONT)
	})
}

func (run *soak) stopHost(_ *rand.Rand, _ time.Duration) {
	run.withHost(func(entry *process) {
		_ = entry.command.Process.Signal(syscall.SIGTERM)
		<-entry.ended
		assert.Check(run.t, entry.command.ProcessState.ExitCode() == 0, "%s: %s", entry.name, entry.log)
		run.restart(entry)
	})
}

// stopBusyHost stops a host while bookings take half of its stop limit; the host must answer each one before it exits.
func (run *soak) stopBusyHost(_ *rand.Rand, _ time.Duration) {
	run.withHost(func(entry *process) {
		for _, searcher := range run.fleet.ledger {
			searcher.SetServiceTime(longServiceTime)
		}
		time.Sleep(longServiceTime / 2)
		_ = entry.command.Process.Signal(syscall.SIGTERM)
		<-entry.ended
		assert.Check(run.t, entry.command.ProcessState.ExitCode() == 0, "%s: %s", entry.name, entry.log)
		assert.Check(run.t, !strings.Contains(entry.log.String(), "cut short"), "%s: %s", entry.name, entry.log)
		for _, searcher := range run.fleet.ledger {
			searcher.SetServiceTime(serviceTime)
		}
		run.restart(entry)
	})
}

func (run *soak) reloadHost(random *rand.Rand, duration time.Duration) {
	run.withHost(func(entry *process) {
		if random.IntN(2) == 0 {
			run.fleet.writeSettings(run.t, entry, run.peerAddresses, 40+random.IntN(20))
		} else {
			content, err := os.ReadFile(entry.settings)
			assert.Check(run.t, err)
			assert.Check(run.t, os.WriteFile(entry.settings, []byte("[host"), 0o600)) // a truncated file for a short time
			defer func() { assert.Check(run.t, os.WriteFile(entry.settings, content, 0o600)) }()
		}
		_ = entry.command.Process.Signal(syscall.SIGHUP)
		time.Sleep(duration / 4)
	})
}

// rollBackStore lets the store fail and come back from an older copy. The searchers and the operator write again what it lost.
func (run *soak) rollBackStore(random *rand.Rand, duration time.Duration) {
	run.faultLock.RLock()
	defer run.faultLock.RUnlock()
	run.fleet.store.Copy()
	time.Sleep(duration)
	run.fleet.store.SetFailure(http.StatusServiceUnavailable, false)
	time.Sleep(duration / 4)
	run.fleet.store.RollBack()
	run.fleet.store.SetFailure(0, false)
	time.Sleep(time.Duration(random.Int64N(int64(maxFaultDuration))))
	run.publish(0)
}

// changeConfiguration publishes a new version that adds its own route to the permanent ones.
func (run *soak) changeConfiguration(random *rand.Rand, duration time.Duration) {
	run.publish(uint64(1 + random.IntN(3)))
	time.Sleep(duration)
}

// publish publishes the version that exceeds the newest one by the step.
func (run *soak) publish(step uint64) {
	version := <-run.version + step
	defer func() { run.version <- version }()
	config := run.fleet.config
	if version > 1 {
		config.Version = version
		newest := config.Routes[0]
		newest.Name, newest.Prefix = fmt.Sprintf("v%d", version), fmt.Sprintf("/v%d/", version)
		config.Routes = append([]standin.StoredRoute{newest}, config.Routes...)
	}
	assert.Check(run.t, run.fleet.store.PutConfig(&config))
}
