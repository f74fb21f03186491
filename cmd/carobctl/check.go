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
	Partial    bool   `long:"partial" description:"accept references to objects that none of the files defines"`
	Positional struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute checks settings, tickets and documents for the platform's store, told apart by their content, and reports the findings of all files at once.
func (command *checkCommand) Execute([]string) error {
	contents := make([][]byte, len(command.Positional.Files))
	for i, file := range command.Positional.Files {
		content, err := os.ReadFile(file)
		if err != nil {
			return &usageError{cause: fmt.Errorf("check: %w", err)}
		}
		contents[i] = content
	}
	known, err := command.known()
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	findings := checkDocuments(&command.Positional.Files, &contents)
	findings = append(findings, parser.Check(command.Positional.Files, contents, known)...)
	if len(findings) > 0 {
		return &usageError{cause: findings}
	}
	return nil
}

// checkDocuments checks the operators' documents for the platform's store and takes them out of the files.
func checkDocuments(files *[]string, contents *[][]byte) carobthread.Findings {
	findings := carobthread.Findings{}
	var otherFiles []string
	var others [][]byte
	for i, content := range *contents {
		if platform.IsDocument(content) {
			findings = append(findings, platform.CheckDocument((*files)[i], content)...)
			continue
		}
		otherFiles, others = append(otherFiles, (*files)[i]), append(others, content)
	}
	*files, *contents = otherFiles, others
	return findings
}

// known returns which objects count as defined beside those of the files.
func (command *checkCommand) known() (func(carobthread.ObjectID) bool, error) {
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
	return publisher.Known(ctx, client)
}
