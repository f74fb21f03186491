// Command carobthreadd runs one entry host as a daemon.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"carobthread/logger"
	"carobthread/parser"
	"carobthread/platform"
	"carobthread/runner"
)

// Exit statuses of the daemon.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2 // bad usage or bad settings
)

type arguments struct {
	Settings string `long:"settings" description:"INI file with the settings of this host (default: the file that the platform names in the environment)"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var parsed arguments
	if _, err := flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			fmt.Println(err)
			return exitDone
		}
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if parsed.Settings == "" {
		parsed.Settings = os.Getenv(platform.SettingsFileVariable)
	}
	content, err := os.ReadFile(parsed.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings, findings := parser.Settings(parsed.Settings, content)
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, findings)
		return exitUsage
	}
	level, _ := zerolog.ParseLevel(settings.Log.Level)
	options := runner.Options{Settings: settings, SettingsFile: parsed.Settings, SettingsContent: content, Seed: rand.Uint64()}
	var output io.Writer = os.Stderr
	if settings.Store.Address != "" {
		lines := logger.NewWriter(os.Stdout)
		defer flushLogs(lines.Close)
		output = lines
		options.DroppedLines = lines.Dropped
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	options.Logger = zerolog.New(output).Level(level).With().Timestamp().Str("host", settings.Host.Name).Logger()
	return serve(options)
}

// flushLogs closes the log writer and waits a limited time until the last lines are written.
func flushLogs(closeWriter func() <-chan struct{}) {
	const flushTimeout = 200 * time.Millisecond
	select {
	case <-closeWriter():
	case <-time.After(flushTimeout):
	}
}

// serve runs the host until the first signal requests a graceful stop; a second signal aborts the stop.
func serve(options runner.Options) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	options.Reloads = reloads
	abort := make(chan struct{})
	go func() {
		<-signals
		cancel()
		<-signals
		close(abort)
	}()
	host, err := start(ctx, options)
	if err == nil {
		err = host.Run(ctx, abort)
	}
	if err != nil {
		options.Logger.Error().Err(err).Msg("the host stopped with an error")
		return exitFailed
	}
	return exitDone
}

// entryHost is an entry host of either kind.
type entryHost interface {
	Run(ctx context.Context, abort <-chan struct{}) error
}

// start creates the kind of host that the settings select.
func start(ctx context.Context, options runner.Options) (entryHost, error) {
	if options.Settings.Store.Address != "" {
		return runner.NewForwardingHost(ctx, options)
	}
	return runner.New(ctx, options)
}
