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

// The soak runs real daemons as processes of their own and troubles them from outside, in series that overlap. While it
// runs, callers check each answer; at its end, all bookings are checked against what the searchers ran, and the fleet
// has to serve again. go test ./cmd/carobthreadd -run Soak -soak-seeds 50 -soak-first 1000 plays fresh seeds.
var (
	soakSeeds = flag.Int("soak-seeds", 1, "number of seeds that the soak plays")                   //nolint:gochecknoglobals // a test flag
	soakFirst = flag.Uint64("soak-first", 1, "first seed of the soak")                             //nolint:gochecknoglobals // a test flag
	soakSpan  = flag.Duration("soak-span", 5*time.Second, "how long each seed troubles the fleet") //nolint:gochecknoglobals // a test flag
)

// keptSeeds failed once; each stands with its cause.
func keptSeeds() []uint64 { return nil }

const (
	// soakTroubles is how many troubles may be under way at once.
	soakTroubles = 3
	longestSpell = 2 * time.Second
	recoverSpan  = 12 * time.Second
	// leaveBound is the time after which a searcher that leaves must get no requests, the hosts' default freshness.
	leaveBound = 3 * time.Second
	// touchSpan is how long hosts and store must have been left alone before that bound holds.
	touchSpan = 2 * time.Second
)

// trouble harms the deployment for a spell and then undoes it.
type trouble struct {
	name string
	run  func(soak *soak, random *rand.Rand, spell time.Duration)
}

// soak is one seed's run.
type soak struct {
	t       *testing.T
	started *front
	seeds   []string
	// hosts holds a token for each host that no trouble stops at present.
	hosts   chan int
	version chan uint64
	// touched is held for reading while a host or the store is troubled, and for writing while neither may be.
	touched sync.RWMutex
}

func troubles() []trouble {
	return []trouble{
		{"searcher-proxy", (*soak).troubleProxy},
		{"searcher-slow", (*soak).slowSearcher},
		{"answers-lost", (*soak).loseAnswers},
		{"store-refuses", (*soak).refuseStore},
		{"store-proxy", (*soak).troubleStoreProxy},
		{"host-killed", (*soak).killHost},
		{"host-paused", (*soak).pauseHost},
		{"host-stopped", (*soak).stopHost},
		{"reload", (*soak).reloadHost},
		{"configuration", (*soak).changeConfiguration},
		{"heartbeats-lost", (*soak).loseHeartbeats},
		{"searcher-leaves", (*soak).leaveSearcher},
	}
}

// TestSoak guards against promises that a fault breaks while another one is under way.
func TestSoak(t *testing.T) {
	seeds := keptSeeds()
	for index := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(index))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { playSeed(t, seed) })
	}
}

func playSeed(t *testing.T, seed uint64) {
	run := &soak{t: t, started: startFront(t), hosts: make(chan int, frontHosts), version: make(chan uint64, 1)}
	run.version <- 1
	for index, entry := range run.started.processes {
		run.seeds = append(run.seeds, entry.addresses[1])
		if index > 0 { // one host is always left alone
			run.hosts <- index
		}
	}
	work := run.started.startLoad()
	series := make(chan struct{}, soakTroubles)
	end := time.Now().Add(*soakSpan)
	for index := range soakTroubles {
		random := rand.New(rand.NewPCG(seed, uint64(index)))
		go func() {
			for time.Now().Before(end) {
				chosen := troubles()[random.IntN(len(troubles()))]
				spell := time.Duration(random.Int64N(int64(longestSpell)))
				t.Logf("%s for %s", chosen.name, spell.Round(time.Millisecond))
				chosen.run(run, random, spell)
			}
			series <- struct{}{}
		}()
	}
	for range soakTroubles {
		<-series
	}
	run.awaitRecovery()
	work.end(t)
	for _, wrong := range work.wrong {
		// Connections end with the processes that are killed; everything else is a broken promise.
		assert.Check(t, strings.Contains(wrong, "EOF") || strings.Contains(wrong, "connection re") || strings.Contains(wrong, "exceeded"), wrong)
	}
	if t.Failed() {
		for _, entry := range run.started.processes {
			path := filepath.Join(os.TempDir(), fmt.Sprintf("carobthread-soak-%d-%s.log", seed, entry.name))
			assert.Check(t, os.WriteFile(path, []byte(entry.log.String()), 0o600))
			t.Logf("log of %s: %s", entry.name, path)
		}
	}
}

// awaitRecovery waits until every host serves whole answers by the newest configuration.
func (run *soak) awaitRecovery() {
	version := <-run.version
	target := fmt.Sprintf("/v%d/1", version)
	client := &http.Client{Timeout: frontTimeout}
	deadline := time.Now().Add(recoverSpan)
	for index, entry := range run.started.processes {
		for turn := 0; ; turn++ {
			answer := send(client, entry, http.MethodGet, "/search/1", fmt.Sprintf("end-%d-%d", index, turn), nil)
			newest := version == 1 || send(client, entry, http.MethodGet, target, fmt.Sprintf("new-%d-%d", index, turn), nil).status == http.StatusOK
			if answer.status == http.StatusOK && answer.missing == "0" && newest {
				break
			}
			if time.Now().After(deadline) {
				run.t.Errorf("%s does not serve again: status %d, missing %q, version %d in force: %v", entry.name, answer.status, answer.missing, version, newest)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (run *soak) anySearcher(random *rand.Rand) *standin.Forwarded {
	if random.IntN(3) == 0 {
		return run.started.ledger[random.IntN(len(run.started.ledger))]
	}
	group := run.started.shards[random.IntN(len(run.started.shards))]
	return group[random.IntN(len(group))]
}

func (run *soak) troubleProxy(random *rand.Rand, spell time.Duration) {
	proxy := run.anySearcher(random).Proxy()
	modes := []standin.ProxyMode{standin.ProxyDelay, standin.ProxyReset, standin.ProxySilent, standin.ProxyOneWay}
	proxy.Set(modes[random.IntN(len(modes))], 50*time.Millisecond)
	time.Sleep(spell)
	proxy.Set(standin.ProxyPass, 0)
}

// leaveSearcher lets a searcher leave and come back; hosts that are in touch must send it nothing once the bound is over.
func (run *soak) leaveSearcher(random *rand.Rand, _ time.Duration) {
	if !run.touched.TryLock() {
		return
	}
	defer run.touched.Unlock()
	time.Sleep(touchSpan)
	searcher := run.anySearcher(random)
	searcher.Drain()
	time.Sleep(leaveBound)
	before := searcher.Late()
	time.Sleep(longestSpell / 4)
	if assert.Check(run.t, searcher.Late() == before, "%s got %d requests long after it had said that it leaves", searcher.ID(), searcher.Late()-before) {
		run.t.Logf("%s left and got nothing after %s", searcher.ID(), leaveBound)
	}
	searcher.Return()
}

func (run *soak) troubleStoreProxy(random *rand.Rand, spell time.Duration) {
	run.touched.RLock()
	defer run.touched.RUnlock()
	modes := []standin.ProxyMode{standin.ProxyDelay, standin.ProxyReset, standin.ProxySilent, standin.ProxyOneWay}
	run.started.storeProxy.Set(modes[random.IntN(len(modes))], 200*time.Millisecond)
	time.Sleep(spell)
	run.started.storeProxy.Set(standin.ProxyPass, 0)
}

func (run *soak) slowSearcher(random *rand.Rand, spell time.Duration) {
	searcher := run.anySearcher(random)
	searcher.Slow(10 * frontWork)
	time.Sleep(spell)
	searcher.Slow(frontWork)
}

func (run *soak) loseAnswers(random *rand.Rand, spell time.Duration) {
	run.anySearcher(random).LoseAnswers(1 + random.IntN(5))
	time.Sleep(spell)
}

func (run *soak) loseHeartbeats(random *rand.Rand, spell time.Duration) {
	run.touched.RLock()
	defer run.touched.RUnlock()
	searcher := run.anySearcher(random)
	searcher.Pause(true)
	run.started.store.Remove("servers/" + searcher.ID())
	time.Sleep(spell)
	searcher.Pause(false)
}

func (run *soak) refuseStore(random *rand.Rand, spell time.Duration) {
	run.touched.RLock()
	defer run.touched.RUnlock()
	run.started.store.Refuse([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)], random.IntN(3) == 0)
	time.Sleep(spell)
	run.started.store.Refuse(0, false)
}

// withHost runs a trouble of one host that no other trouble stops, if there is any.
func (run *soak) withHost(harm func(entry *process)) {
	run.touched.RLock()
	defer run.touched.RUnlock()
	select {
	case index := <-run.hosts:
		harm(run.started.processes[index])
		run.hosts <- index
	default:
	}
}

func (run *soak) killHost(_ *rand.Rand, spell time.Duration) {
	run.withHost(func(entry *process) {
		_ = entry.command.Process.Kill()
		<-entry.ended
		time.Sleep(spell / 4)
		run.restart(entry)
	})
}

// restart starts a host whose process has ended, and waits until it handles signals.
func (run *soak) restart(entry *process) {
	entry.startFront(run.t)
	for deadline := time.Now().Add(recoverSpan); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-entry.ended:
			run.t.Errorf("%s ended by itself: %s", entry.name, entry.log)
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

func (run *soak) pauseHost(_ *rand.Rand, spell time.Duration) {
	run.withHost(func(entry *process) {
		_ = entry.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(spell)
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

func (run *soak) reloadHost(random *rand.Rand, spell time.Duration) {
	run.withHost(func(entry *process) {
		if random.IntN(2) == 0 {
			run.started.writeSettings(run.t, entry, run.seeds, 40+random.IntN(20))
		} else {
			content, err := os.ReadFile(entry.settings)
			assert.Check(run.t, err)
			assert.Check(run.t, os.WriteFile(entry.settings, []byte("[host"), 0o600)) // half a file, for a moment
			defer func() { assert.Check(run.t, os.WriteFile(entry.settings, content, 0o600)) }()
		}
		_ = entry.command.Process.Signal(syscall.SIGHUP)
		time.Sleep(spell / 4)
	})
}

// changeConfiguration publishes a version with a route of its own beside the lasting ones.
func (run *soak) changeConfiguration(random *rand.Rand, spell time.Duration) {
	version := <-run.version + uint64(1+random.IntN(3))
	config := run.started.config
	config.Version = version
	newest := config.Routes[0]
	newest.Name, newest.Prefix = fmt.Sprintf("v%d", version), fmt.Sprintf("/v%d/", version)
	config.Routes = append([]standin.StoredRoute{newest}, config.Routes...)
	assert.Check(run.t, run.started.store.PutConfig(&config))
	run.version <- version
	time.Sleep(spell)
}
