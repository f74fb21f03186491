package main

import (
	"errors"
	"fmt"
	"os"

	"carobthread/explainer"
)

// explainCommand tells the story of one request from log files.
type explainCommand struct {
	JSON bool `long:"json" description:"print each arrival at a host as one JSON line"`
	Args struct {
		Request string   `positional-arg-name:"REQUEST" required:"1"`
		Files   []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command; a request that no file tells of is a failure.
func (command *explainCommand) Execute([]string) error {
	reader := explainer.NewReader(command.Args.Request)
	for _, path := range command.Args.Files {
		if err := readLog(reader, path); err != nil {
			return &usageError{err}
		}
	}
	story := reader.Story()
	if len(story.Tries) == 0 {
		return fmt.Errorf("no line tells of the end of request %q: it is not in these files, or it was answered in time and not in the sample", command.Args.Request)
	}
	if command.JSON {
		return writeJSONLines(story.Tries)
	}
	return story.Write(os.Stdout)
}

func readLog(reader *explainer.Reader, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	return errors.Join(reader.Read(file), file.Close())
}
