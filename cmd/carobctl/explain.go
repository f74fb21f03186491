package main

import (
	"errors"
	"fmt"
	"os"

	"carobthread/explainer"
)

// explainCommand prints the history of one request from log files.
type explainCommand struct {
	JSON bool `long:"json" description:"print each host's handling of the request as one JSON line"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"1"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command; it fails if no file contains the end of the request.
func (command *explainCommand) Execute([]string) error {
	reader := explainer.NewReader(command.Args.Request)
	for _, path := range command.Args.Files {
		if err := readLog(reader, path); err != nil {
			return &usageError{err}
		}
	}
	history := reader.History()
	if len(history.HostLogs) == 0 {
		return fmt.Errorf("no line records the end of request %q: the request is not in these files, or it was answered in time and not sampled", command.Args.Request)
	}
	if command.JSON {
		return writeJSONLines(history.HostLogs)
	}
	return history.Write(os.Stdout)
}

func readLog(reader *explainer.Reader, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	return errors.Join(reader.Read(file), file.Close())
}
