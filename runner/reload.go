package runner

import (
	"bytes"
	"context"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/parser"
	"carobthread/recoverer"
	"carobthread/timer"
)

// checkPeriod is the time between two checks of the settings file, since it may change without a signal.
const checkPeriod = 2 * time.Second

// Reloader reads the settings file again when it has changed and applies settings without findings.
type Reloader struct {
	path   string
	logger zerolog.Logger
	apply  func(settings carobthread.Settings)

	mutex   sync.Mutex
	content []byte
}

// NewReloader returns a Reloader for the file at path, whose content at the start is content.
func NewReloader(path string, content []byte, logger zerolog.Logger, apply func(settings carobthread.Settings)) *Reloader {
	return &Reloader{path: path, content: content, logger: logger, apply: apply}
}

// Run checks the file periodically and at each signal until the context ends.
func (reloader *Reloader) Run(ctx context.Context, clock carobthread.Timer, signals <-chan os.Signal) {
	go func() {
		for {
			select {
			case <-signals:
				reloader.logger.Info().Str("event", "reload-asked").Msg("reloading the settings file on a signal")
				reloader.checkOnce()
			case <-ctx.Done():
				return
			}
		}
	}()
	for ctx.Err() == nil {
		timer.Sleep(ctx, clock, checkPeriod)
		reloader.checkOnce()
	}
}

func (reloader *Reloader) checkOnce() {
	_ = recoverer.Run(&reloader.logger, "reload", reloader.Check) // Run logs the panic
}

// Check reads the file and applies it if it has changed; if the settings have findings, it logs them and applies nothing.
func (reloader *Reloader) Check() {
	reloader.mutex.Lock()
	defer reloader.mutex.Unlock()
	content, err := os.ReadFile(reloader.path)
	if err != nil {
		reloader.logger.Error().Err(err).Str("event", "reload-failed").Msg("cannot read the settings file; the current settings stay active")
		return
	}
	if bytes.Equal(content, reloader.content) {
		return
	}
	reloader.content = content
	settings, findings := parser.Settings(reloader.path, content)
	if len(findings) > 0 {
		reloader.logger.Error().Err(findings).Str("event", "reload-refused").Msg("the new settings are invalid; the current settings stay active")
		return
	}
	reloader.logger.Info().Str("event", "reloaded").Msg("the new settings are active")
	reloader.apply(settings)
}
