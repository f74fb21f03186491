// Command carobctl is the command-line tool for operators and developers of carobthread.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit statuses of every subcommand.
const (
	exitDone   = 0
	exitFailed = 1 // the command failed or a check found a violation
	exitUsage  = 2 // bad usage or bad input
)

// usageError marks bad usage or bad input, which exits with status 2.
type usageError struct{ cause error }

func (failure *usageError) Error() string { return failure.cause.Error() }

func (failure *usageError) Unwrap() error { return failure.cause }

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	parser := flags.NewNamedParser("carobctl", flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range commands() {
		if _, err := parser.AddCommand(command.name, command.short, command.short, command.runner); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitStatus(err)
}

func exitStatus(err error) int {
	if err == nil {
		return exitDone
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			fmt.Println(err)
			return exitDone
		}
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
