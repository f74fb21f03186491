package main

import (
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one process of the deploy file's role.
type host struct {
	name, zone                    string
	caller, peer, operator, ready string
	settings                      string
	command                       *exec.Cmd
	ended                         chan struct{}
}

// fleet is a small deployment: a store, searchers and hosts, all on loopback.
type fleet struct {
	root    string // the repository
	folder  string // temporary files
	store   *store
	ledger  *ledger
	record  *recorder
	hosts   []*host
	members []*searcher
	config  map[string]any
	graceS  int
}

func newFleet(root, recordPath string) (*fleet, error) {
	record, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fleet{root: root, folder: folder, store: store, ledger: newLedger(), record: record, graceS: 6}, nil
}

// addresses returns free loopback addresses with ports below those that the kernel gives to outgoing connections; the
// listeners stay open until all are drawn, so that no two are the same.
func addresses(count int) ([]string, error) {
	const lowest, highest, tries = 10_000, 32_000, 1000
	var drawn []string
	for range tries {
		if len(drawn) == count {
			return drawn, nil
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowest+rand.Intn(highest-lowest)))
		if err != nil {
			continue
		}
		defer listener.Close()
		drawn = append(drawn, listener.Addr().String())
	}
	return nil, errors.New("no free ports")
}

// addHosts prepares one host in each of the zones; settings are rendered as the platform does with deploy/settings.ini.
func (fleet *fleet) addHosts(zones ...string) error {
	drawn, err := addresses(4 * len(zones))
	if err != nil {
		return err
	}
	for i, zone := range zones {
		own := drawn[4*i:]
		fleet.hosts = append(fleet.hosts, &host{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, caller: own[0], peer: own[1], operator: own[2], ready: own[3],
			settings: filepath.Join(fleet.folder, fmt.Sprintf("settings-%d", i+1)),
		})
	}
	var seeds []string
	for _, host := range fleet.hosts {
		if len(seeds) < 3 {
			seeds = append(seeds, host.peer)
		}
	}
	for _, host := range fleet.hosts {
		content := fmt.Sprintf(`[host]
name = %s
data-centre = %s
caller-address = %s
peer-address = %s
operator-address = %s

[store]
address = %s
freshness = 3000ms

[forward]
ready-address = %s
retry-ratio = 0.2
retry-slack = 54
retry-window = 10s

[peers]
addresses = %s=%s,%s

[stop]
grace = 0s
limit = %ds

[runtime]
processors = 1
memory = 414MB
`, host.name, host.zone, host.caller, host.peer, host.operator, fleet.store.address, host.ready, host.name, host.peer,
			strings.Join(seeds, ","), fleet.graceS)
		if err := os.WriteFile(host.settings, []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts a host with the command of the deploy file.
func (fleet *fleet) start(host *host) error {
	log, err := os.OpenFile(host.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(fleet.root, "target", "carobthreadd"))
	command.Dir = fleet.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "CAROBTHREAD_NODE_FILE=" + host.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	host.command, host.ended = command, make(chan struct{})
	ended := host.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	fleet.record.printf("%s starts", host.name)
	return nil
}

func (fleet *fleet) startAll() error {
	for _, host := range fleet.hosts {
		if err := fleet.start(host); err != nil {
			return err
		}
	}
	for _, host := range fleet.hosts {
		if err := host.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// restartEnded starts hosts again that end by themselves, as the platform does; the result counts these ends.
func (fleet *fleet) restartEnded(until time.Time, delay time.Duration) func() map[string]int {
	var mutex sync.Mutex
	counts := map[string]int{}
	for _, host := range fleet.hosts {
		go func() {
			for {
				<-host.ended
				if time.Now().After(until) {
					return
				}
				fleet.record.printf("%s has ended by itself: %v", host.name, host.command.ProcessState)
				mutex.Lock()
				counts[host.name]++
				mutex.Unlock()
				time.Sleep(delay)
				if fleet.start(host) != nil {
					return
				}
			}
		}()
	}
	return func() map[string]int {
		mutex.Lock()
		defer mutex.Unlock()
		return maps.Clone(counts)
	}
}

func (host *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + host.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (host *host) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if host.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", host.name, limit)
}

// signal sends a signal to a host that the fleet started.
func (fleet *fleet) signal(host *host, signal syscall.Signal) {
	fleet.record.printf("%s gets %s", host.name, signal)
	_ = host.command.Process.Signal(signal)
}

// close ends the hosts and removes the temporary files; KEEP keeps them.
func (fleet *fleet) close() {
	for _, host := range fleet.hosts {
		if host.command != nil {
			_ = host.command.Process.Kill()
			<-host.ended
		}
	}
	fleet.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.folder)
	} else {
		fmt.Println("kept", fleet.folder)
	}
}

// addSearchers starts the searchers of one service, spread over the zones.
func (fleet *fleet) addSearchers(service string, zones []string, count int, set func(*searcher)) error {
	for i := range count {
		member := &searcher{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zones[i%len(zones)], slots: 3, queue: 12,
			store: fleet.store, ledger: fleet.ledger, record: fleet.record,
			work:  func() time.Duration { return 20 * time.Millisecond },
			body:  func(id string, body []byte) []byte { return []byte("done " + id + " " + hash(body)) },
			fault: func(string, bool) fault { return fault{} },
		}
		set(member)
		if err := member.start(); err != nil {
			return err
		}
		fleet.members = append(fleet.members, member)
	}
	return nil
}
