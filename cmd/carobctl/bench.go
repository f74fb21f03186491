package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"carobthread"
	"carobthread/bencher"
	"carobthread/gatherer"
	"carobthread/recorder"
)

// benchCommand measures the query path in virtual time.
type benchCommand struct {
	Scenario []string `long:"scenario" value-name:"NAME" description:"scenario to run; may be repeated (default: all)"`
	Fault    []string `long:"fault" value-name:"NAME[,NAME]" description:"faults to combine; may be repeated (default: none and each single fault)"`
	Seed     []uint64 `long:"seed" value-name:"N" description:"seed of a run; may be repeated (default: 1)"`
	Deadline float64  `long:"deadline-medians" value-name:"N" description:"replace the deadlines by N median latencies"`
	Record   string   `long:"record" value-name:"FILE" description:"record a trace of the first host in one run of the current policy"`
	Sample   bool     `long:"sample" description:"run a small scenario with few requests"`
	Output   string   `long:"output" value-name:"DIR" description:"write a report with plots to the directory"`
	Check    bool     `long:"check" description:"compare with the stated bounds; exit with status 1 if one is broken"`
	JSON     bool     `long:"json" description:"print the results as JSON lines"`
	List     bool     `long:"list" description:"list scenarios and faults"`
}

// Execute runs the command.
func (command *benchCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &usageError{fmt.Errorf("bench takes no arguments, got %q", arguments)}
	}
	if command.List {
		return bencher.WriteList(os.Stdout)
	}
	selection := bencher.Selection{Scenarios: command.Scenario, Faults: command.Fault, Seeds: command.Seed, DeadlineMedians: command.Deadline, Sample: command.Sample}
	if command.Check {
		return command.check(selection)
	}
	if command.Record != "" {
		return command.record(selection)
	}
	runs, err := selection.Runs(bencher.Policies())
	if err != nil {
		return &usageError{err}
	}
	results := bencher.ExecuteAll(runs)
	if command.Output != "" {
		if err := bencher.WriteReport(command.Output, runs, results); err != nil {
			return err
		}
	}
	if command.JSON {
		return writeJSONLines(results)
	}
	return bencher.WriteTable(os.Stdout, results)
}

func (command *benchCommand) check(selection bencher.Selection) error {
	bounds, err := bencher.DefaultBounds()
	if err != nil {
		return err
	}
	checked, err := bencher.Check(selection, bounds)
	if err != nil {
		return &usageError{err}
	}
	if command.JSON {
		if err := writeJSONLines(checked.Breaches); err != nil {
			return err
		}
	} else {
		for _, breach := range checked.Breaches {
			fmt.Println(breach)
		}
		fmt.Printf("%d runs, %d comparisons, %d bounds broken\n", checked.Runs, checked.Comparisons, len(checked.Breaches))
	}
	if len(checked.Breaches) > 0 {
		return fmt.Errorf("%d bounds broken", len(checked.Breaches))
	}
	return nil
}

// record runs one scenario and writes its trace.
func (command *benchCommand) record(selection bencher.Selection) error {
	runs, err := selection.Runs(bencher.Policies()[:1])
	if err != nil {
		return &usageError{err}
	}
	if len(runs) != 1 {
		return &usageError{fmt.Errorf("--record takes one scenario, one --fault and one seed, got %d runs", len(runs))}
	}
	file, err := os.Create(command.Record)
	if err != nil {
		return fmt.Errorf("record trace: %w", err)
	}
	buffer := bufio.NewWriter(file)
	var trace *recorder.Recorder
	runs[0].WrapDecider = func(seed uint64, options gatherer.Options, decider carobthread.Decider) carobthread.Decider {
		trace = recorder.New(buffer, seed, options, decider)
		return trace
	}
	result := runs[0].Execute()
	if err := errors.Join(trace.Err(), buffer.Flush(), file.Close()); err != nil {
		return fmt.Errorf("record trace: %w", err)
	}
	return bencher.WriteTable(os.Stdout, []*bencher.Result{result})
}

func writeJSONLines[T any](items []T) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, item := range items {
		if err := encoder.Encode(item); err != nil {
			return fmt.Errorf("print result: %w", err)
		}
	}
	return nil
}
