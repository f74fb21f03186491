package main

import (
	"fmt"
	"os"

	"carobthread/parser"
)

type checkCommand struct {
	Partial    bool `long:"partial" description:"accept references to objects that none of the files defines"`
	Positional struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute checks settings and tickets, told apart by their sections, and reports the findings of all files at once.
func (command *checkCommand) Execute([]string) error {
	contents := make([][]byte, len(command.Positional.Files))
	for i, file := range command.Positional.Files {
		content, err := os.ReadFile(file)
		if err != nil {
			return &usageError{cause: fmt.Errorf("check: %w", err)}
		}
		contents[i] = content
	}
	findings := parser.Check(command.Positional.Files, contents, command.Partial)
	if len(findings) > 0 {
		return &usageError{cause: findings}
	}
	return nil
}
