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
	"carobthread/timer"
)

// checkPeriod is how often the settings file is compared with what was read, since it may change without a signal.
const checkPeriod = 2 * time.Second

// Reloader reads the settings file again when it has changed and hands on settings without findings.
type Reloader struct {
	path   string
	logger zerolog.Logger
	apply  func(settings carobthread.Settings)

	mutex   sync.Mutex
	content []byte
}

// NewReloader returns a Reloader for a file whose content at the start is given.
func NewReloader(path string, content []byte, logger zerolog.Logger, apply func(settings carobthread.Settings)) *Reloader {
	return &Reloader{path: path, content: content, logger: logger, apply: apply}
}

// Run checks the file once a period and at each signal, until the context ends.
func (reloader *Reloader) Run(ctx context.Context, service carobthread.Timer, signals <-chan os.Signal) {
	go func() {
		for {
			select {
			case <-signals:
				reloader.logger.Info().Str("event", "reload-asked").Msg("the settings are read again")
				reloader.Check()
			case <-ctx.Done():
				return
			}
		}
	}()
	for ctx.Err() == nil {
		timer.Pause(ctx, service, checkPeriod)
		reloader.Check()
	}
}

// Check reads the file and applies it if it has changed; settings with findings are logged and not applied.
func (reloader *Reloader) Check() {
	reloader.mutex.Lock()
	defer reloader.mutex.Unlock()
	content, err := os.ReadFile(reloader.path)
	if err != nil {
		reloader.logger.Error().Err(err).Str("event", "reload-failed").Msg("the settings file cannot be read, the settings in force stay")
		return
	}
	if bytes.Equal(content, reloader.content) {
		return
	}
	reloader.content = content
	settings, findings := parser.Settings(reloader.path, content)
	if len(findings) > 0 {
		reloader.logger.Error().Err(findings).Str("event", "reload-refused").Msg("the settings have faults, those in force stay")
		return
	}
	reloader.logger.Info().Str("event", "reloaded").Msg("the settings are in force")
	reloader.apply(settings)
}
