package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"carobthread/explorer"
)

type exploreCommand struct {
	Schedules int    `long:"schedules" default:"10000" description:"number of schedules to run"`
	Seed      uint64 `long:"seed" default:"1" description:"seed of the schedules"`
	Replay    string `long:"replay" value-name:"FILE" description:"run the schedule of this trace instead"`
	Output    string `long:"output" value-name:"FILE" description:"also write the trace of a broken schedule to this file"`
	JSON      bool   `long:"json" description:"print the report as one JSON object"`
}

// Execute runs the schedules or replays one trace; it fails if a rule is violated.
func (command *exploreCommand) Execute(arguments []string) error {
	if len(arguments) > 0 || command.Schedules < 1 {
		return &usageError{errors.New("explore takes no arguments and needs at least one schedule")}
	}
	report, err := command.explore()
	if err != nil {
		return err
	}
	if err := command.print(&report); err != nil {
		return err
	}
	if report.First == nil {
		return nil
	}
	return fmt.Errorf("schedule %d of seed %d violates %s after step %d: %s: %s", report.Trace.Header.Schedule,
		report.Trace.Header.Seed, report.First.Rule, report.First.Step, report.First.Key, report.First.Detail)
}

func (command *exploreCommand) explore() (explorer.Report, error) {
	if command.Replay == "" {
		return explorer.Explore(explorer.Options{Schedules: command.Schedules, Seed: command.Seed}), nil
	}
	file, err := os.Open(command.Replay)
	if err != nil {
		return explorer.Report{}, &usageError{err}
	}
	defer func() { _ = file.Close() }() // the file is only read
	trace, err := explorer.ReadTrace(command.Replay, file)
	if err != nil {
		return explorer.Report{}, &usageError{err}
	}
	return explorer.Replay(trace, explorer.NewExecutor), nil
}

// print writes the counts and, for a broken schedule, its trace.
func (command *exploreCommand) print(report *explorer.Report) error {
	if command.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	} else {
		printCounts(&report.Counts)
	}
	if report.First == nil {
		return nil
	}
	if command.Output != "" {
		if err := command.writeTrace(report.Trace); err != nil {
			return err
		}
	}
	return report.Trace.Write(os.Stdout)
}

func (command *exploreCommand) writeTrace(trace *explorer.Trace) error {
	file, err := os.Create(command.Output)
	if err != nil {
		return &usageError{err}
	}
	return errors.Join(trace.Write(file), file.Close())
}

func printCounts(counts *explorer.Counts) {
	fmt.Printf("schedules %d, steps %d, calls %d, keys %d, runs %d\n",
		counts.Schedules, counts.Steps, counts.Calls, counts.Keys, counts.Runs)
	fmt.Printf("answers: done %d, not run %d, unknown %d, in progress %d\n",
		counts.Done, counts.NotRun, counts.Unknown, counts.InProgress)
	fmt.Printf("faults: dropped %d, duplicated %d, misrouted %d, crashes %d, pauses %d\n",
		counts.Dropped, counts.Duplicated, counts.Misrouted, counts.Crashes, counts.Pauses)
	fmt.Printf("broken schedules: double run %d, false not-run %d, other key %d, unstable outcome %d\n",
		counts.DoubleRuns, counts.FalseNotRuns, counts.OtherKeys, counts.Unstable)
}
