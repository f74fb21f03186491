package main

import (
	"errors"
	"fmt"
	"os"

	"carobthread/recorder"
)

// replayCommand replays recorded traces through the core.
type replayCommand struct {
	JSON bool `long:"json" description:"print the differences as JSON lines"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (command *replayCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &usageError{fmt.Errorf("replay takes trace files only, got %q", arguments)}
	}
	mismatches := 0
	malformed := []error{}
	for _, path := range command.Args.Files {
		trace, err := readTrace(path)
		if err != nil {
			malformed = append(malformed, err)
			continue
		}
		differences, err := recorder.Replay(trace)
		if err != nil {
			return err
		}
		mismatches += len(differences)
		if err := command.print(trace, differences); err != nil {
			return err
		}
	}
	if len(malformed) > 0 {
		return &usageError{errors.Join(malformed...)}
	}
	if mismatches > 0 {
		return fmt.Errorf("%d events led to other actions than recorded", mismatches)
	}
	return nil
}

func readTrace(path string) (*recorder.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open trace: %w", err)
	}
	trace, err := recorder.Read(path, file)
	return trace, errors.Join(err, file.Close())
}

func (command *replayCommand) print(trace *recorder.Trace, differences []recorder.Difference) error {
	if command.JSON {
		return writeJSONLines(differences)
	}
	for _, difference := range differences {
		fmt.Println(difference)
	}
	if len(differences) == 0 {
		fmt.Printf("%s: %d events, same actions as recorded\n", trace.File, len(trace.Steps))
	}
	return nil
}
