// Command standins runs one case of the review: it starts entry hosts as separate processes beside a stand-in store,
// stand-in searchers and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// environment is what a case runs with.
type environment struct {
	record    *record
	folder    string // temporary files
	disrupted bool   // false with TROUBLE=0
	cleanups  []func()
}

// cleanUp ends everything that the case started, last first.
func (env *environment) cleanUp() {
	for i := len(env.cleanups) - 1; i >= 0; i-- {
		env.cleanups[i]()
	}
	env.cleanups = nil
}

// defers registers a function for cleanUp.
func (env *environment) defers(cleanup func()) { env.cleanups = append(env.cleanups, cleanup) }

// caseFunc returns whether the rule was broken, or an error if the case could not run.
type caseFunc func(env *environment) (broken bool, err error)

func main() { os.Exit(run()) }

func run() int {
	cases := cases()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		return exitNotRun
	}
	output, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer output.Close()
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	env := &environment{record: &record{output: output, started: time.Now()}, folder: folder, disrupted: os.Getenv("TROUBLE") != "0"}
	env.defers(func() { _ = os.RemoveAll(folder) })
	var once sync.Once
	defer once.Do(env.cleanUp)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		once.Do(env.cleanUp)
		os.Exit(exitNotRun)
	}()
	env.record.write("case %s, with the disruption: %v", os.Args[1], env.disrupted)
	broken, err := cases[os.Args[1]](env)
	switch {
	case err != nil:
		env.record.write("the case could not run: %v", err)
		return exitNotRun
	case broken:
		env.record.write("result: the rule was BROKEN")
		return exitBroken
	}
	env.record.write("result: the rule held")
	return exitHeld
}
