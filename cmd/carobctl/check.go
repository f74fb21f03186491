package main

import (
	"context"
	"fmt"
	"os"

	"carobthread"
	"carobthread/parser"
	"carobthread/platform"
	"carobthread/publisher"
	"carobthread/timer"
)

type checkCommand struct {
	Platform   string `long:"platform" description:"accept references to objects on this platform, http://IP:PORT"`
	Partial    bool   `long:"partial" description:"accept references to objects that no file defines"`
	Positional struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute checks settings, tickets and routing tables, which it distinguishes by their content, and reports the findings
// of all files at once.
func (command *checkCommand) Execute([]string) error {
	contents := make([][]byte, len(command.Positional.Files))
	for i, file := range command.Positional.Files {
		content, err := os.ReadFile(file)
		if err != nil {
			return &usageError{cause: fmt.Errorf("check: %w", err)}
		}
		contents[i] = content
	}
	definedElsewhere, err := command.definedElsewhere()
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	findings := checkRoutingTables(&command.Positional.Files, &contents)
	findings = append(findings, parser.Check(command.Positional.Files, contents, definedElsewhere)...)
	if len(findings) > 0 {
		return &usageError{cause: findings}
	}
	return nil
}

// checkRoutingTables checks the operators' routing tables and removes them from files and contents.
func checkRoutingTables(files *[]string, contents *[][]byte) carobthread.Findings {
	findings := carobthread.Findings{}
	var otherFiles []string
	var others [][]byte
	for i, content := range *contents {
		if platform.IsRoutingTable(content) {
			findings = append(findings, platform.CheckRoutingTable((*files)[i], content)...)
			continue
		}
		otherFiles, others = append(otherFiles, (*files)[i]), append(others, content)
	}
	*files, *contents = otherFiles, others
	return findings
}

// definedElsewhere returns a function that reports whether an object counts as defined although no file defines it.
func (command *checkCommand) definedElsewhere() (func(carobthread.ObjectID) bool, error) {
	if command.Platform == "" {
		return func(carobthread.ObjectID) bool { return command.Partial }, nil
	}
	client, err := publisher.NewClient(timer.New(), command.Platform)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	return publisher.LoadKnownObjects(ctx, client)
}
