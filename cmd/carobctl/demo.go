package main

import (
	"context"
	"errors"
	"os"
	"time"

	"carobthread/internal/demonstrator"
)

// demoTimeout ends a demonstration that hangs.
const demoTimeout = 20 * time.Second

type demoCommand struct {
	JSON bool `long:"json" description:"print one JSON object per line"`
}

// Execute runs the demonstration.
func (command *demoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	demo, err := demonstrator.New(ctx, os.Stdout, command.JSON)
	if err != nil {
		return err
	}
	err = demo.Run(ctx)
	return errors.Join(err, demo.Close())
}
