package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"carobthread"
	"carobthread/publisher"
	"carobthread/timer"
)

// submitTimeout bounds a submission; a ticket with 512 objects needs about 1,000 calls.
const submitTimeout = 30 * time.Second

type submitCommand struct {
	Platform   string `long:"platform" required:"true" description:"the platform's operator endpoint, http://IP:PORT"`
	JSON       bool   `long:"json" description:"print the result as one JSON line"`
	Positional struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"yes"`
}

// Execute checks a ticket and publishes it, the objects first and the index last.
func (command *submitCommand) Execute([]string) error {
	file := command.Positional.File
	content, err := os.ReadFile(file)
	if err != nil {
		return &usageError{cause: fmt.Errorf("submit: %w", err)}
	}
	client, err := publisher.NewClient(timer.New(), command.Platform)
	if err != nil {
		return &usageError{cause: fmt.Errorf("submit: %w", err)}
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	result, err := publisher.Submit(ctx, client, file, content)
	var findings carobthread.Findings
	if errors.As(err, &findings) {
		return &usageError{cause: err}
	}
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	return command.print(result)
}

func (command *submitCommand) print(result publisher.Result) error {
	if command.JSON {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	text := "published"
	if !result.Changed {
		text = "changes nothing: " + result.Reason
	}
	_, err := fmt.Fprintf(os.Stdout, "ticket %d %s\n", result.Ticket, text)
	return err
}
