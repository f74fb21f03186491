package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// daemon is one entry host, started as the deploy file says.
type daemon struct {
	name    string
	address string // of the callers' API
	ready   string
	control string
	ip      string
	zone    string
	file    string
	log     *os.File
	env     *environment
	command *exec.Cmd
	ended   chan struct{}
}

// freePort returns a port that is free on the loopback address.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// newDaemons writes the settings of one entry host for each zone, all in one fleet.
func newDaemons(env *environment, store *store, zones ...string) ([]*daemon, error) {
	var daemons []*daemon
	var seeds []string
	for i, zone := range zones {
		created := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("127.%d.%d.%d", 40+os.Getpid()%200, (os.Getpid()/200)%250, i+1), zone: zone, env: env}
		for _, address := range []*string{&created.address, &created.ready, &created.control} {
			free, err := freePort(created.ip)
			if err != nil {
				return nil, err
			}
			*address = free
		}
		daemons = append(daemons, created)
		if len(seeds) < 3 {
			seeds = append(seeds, created.control)
		}
	}
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		return nil, err
	}
	for _, created := range daemons {
		created.file = filepath.Join(env.folder, created.name+".ini")
		if err := os.WriteFile(created.file, render(template, created.fields(store, seeds)), 0o600); err != nil {
			return nil, err
		}
		if created.log, err = os.Create(filepath.Join(env.folder, created.name+".log")); err != nil {
			return nil, err
		}
	}
	return daemons, nil
}

// fields are the platform's fields of DEPLOY.md that the template uses, with the figures of the sheet.
func (daemon *daemon) fields(store *store, seeds []string) map[string]any {
	return map[string]any{
		"nodeName": daemon.name, "zone": daemon.zone, "ip": daemon.ip,
		"listen.front": daemon.address, "listen.ready": daemon.ready, "listen.control": daemon.control,
		"platform.address": store.address, "seeds": seeds,
		"bounds.drainMs": 3000, "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 54, "bounds.budgetWindowS": 10, "bounds.graceS": 6,
		"limits.cores": 1, "limits.memoryMb": 414, "limits.cpuShare": 0.608, "limits.linkMbps": 1500.0,
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills in the template by the rules of DEPLOY.md, as far as the template uses them.
func render(template []byte, fields map[string]any) []byte {
	filled := section.ReplaceAllFunc(template, func(match []byte) []byte {
		groups := section.FindSubmatch(match)
		value, found := fields[string(groups[1])]
		if !found {
			return nil
		}
		values, isList := value.([]string)
		if !isList {
			values = []string{fmt.Sprint(value)}
		}
		var output []byte
		for _, current := range values {
			output = append(output, bytes.ReplaceAll(groups[2], []byte("{{.}}"), []byte(current))...)
		}
		return output
	})
	return placeholder.ReplaceAllFunc(filled, func(match []byte) []byte {
		return []byte(fmt.Sprint(fields[strings.Trim(string(match), "{}")]))
	})
}

// start starts the process and waits until it is ready.
func (daemon *daemon) start() error {
	if err := daemon.launch(); err != nil {
		return err
	}
	return daemon.waitReady(10 * time.Second)
}

func (daemon *daemon) launch() error {
	command := exec.Command("target/carobthreadd")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "CAROBTHREAD_NODE_FILE=" + daemon.file}
	command.Stdout, command.Stderr = daemon.log, daemon.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	daemon.command, daemon.ended = command, ended
	go func() {
		err := command.Wait()
		daemon.env.record.write("process %s (%d) ended: %v", daemon.name, command.Process.Pid, err)
		close(ended)
	}()
	daemon.env.record.write("process %s (%d) started", daemon.name, command.Process.Pid)
	daemon.env.defers(func() {
		select {
		case <-ended:
		default:
			_ = command.Process.Kill()
			<-ended
		}
	})
	return nil
}

// waitReady waits until the host answers its readiness probe with 200.
func (daemon *daemon) waitReady(timeout time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + daemon.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("host " + daemon.name + " does not become ready")
}

// searchers returns the number of searchers that the host knows, from its status page.
func (daemon *daemon) searchers() int {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + daemon.ip + ":9464/status")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	var status struct {
		Directory struct {
			Searchers int `json:"searchers"`
		} `json:"directory"`
	}
	if json.NewDecoder(response.Body).Decode(&status) != nil {
		return -1
	}
	return status.Directory.Searchers
}

// waitSearchers waits until the host knows so many searchers.
func (daemon *daemon) waitSearchers(count int) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if daemon.searchers() == count {
			return nil
		}
	}
	return fmt.Errorf("host %s knows %d searchers, not %d", daemon.name, daemon.searchers(), count)
}

// signal sends a signal to the process.
func (daemon *daemon) signal(sent syscall.Signal) {
	daemon.env.record.write("%s to %s", sent, daemon.name)
	_ = daemon.command.Process.Signal(sent)
}
