package runner

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"carobthread"
	"carobthread/caller"
	"carobthread/gatherer"
	"carobthread/server"
	"carobthread/timer"
	"carobthread/tracer"
)

const (
	tickPeriod   = time.Millisecond
	reportPeriod = time.Second
	meterPeriod  = time.Second
	// initialConnections is the share of about 30 connections a searcher that each of 4 entry hosts may open, until the core sets it.
	initialConnections = 7
)

// Options are what a Runner needs beside its settings.
type Options struct {
	Settings carobthread.Settings
	Logger   zerolog.Logger
	// Seed fixes the random choices of the cores.
	Seed uint64
}

// Runner is one entry host.
type Runner struct {
	options   Options
	settings  *carobthread.Settings
	logger    zerolog.Logger
	timer     carobthread.Timer
	spans     *tracer.Exporter
	caller    *caller.Caller
	search    *server.Search
	listeners *listeners
	ready     atomic.Bool
	stopping  atomic.Bool
	closers   []func()
}

// New builds the parts and listens on the host's addresses; it serves once Run is called.
func New(ctx context.Context, options Options) (*Runner, error) {
	host := &Runner{options: options, settings: &options.Settings, logger: options.Logger, timer: timer.New()}
	spans, err := tracer.New(ctx, options.Settings.Host.Name, options.Settings.Trace.Spans)
	if err != nil {
		return nil, err
	}
	host.spans = spans
	host.caller = caller.New(caller.Options{Connections: initialConnections, MaxReplySize: options.Settings.Limits.MaxReplySize})
	host.closers = append(host.closers, host.caller.Close)
	registry := prometheus.NewRegistry()
	scope := host.newScope(registry)
	host.search = server.NewSearch(server.SearchOptions{
		Host:     options.Settings.Host.Name,
		Decider:  gatherer.New(options.Seed, gatherer.Options{}),
		Timer:    host.timer,
		Upstream: host.caller,
		Tracer:   spans.Provider().Tracer("carobthread"),
		Meter:    server.NewMeter(scope),
	})
	host.listeners, err = listen(ctx, host.settings, host.callerHandler(), host.operatorHandler(registry))
	if err != nil {
		return nil, err
	}
	return host, nil
}

func (host *Runner) newScope(registry *prometheus.Registry) tally.Scope {
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "carobthread",
		Tags:           map[string]string{"host": host.settings.Host.Name, "data_centre": host.settings.Host.DataCentre},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, meterPeriod)
	host.closers = append(host.closers, func() { _ = closer.Close() })
	return scope
}

// CallerAddress returns the IP address and port that callers use.
func (host *Runner) CallerAddress() string { return host.listeners.caller.Addr().String() }

// OperatorAddress returns the IP address and port of health, readiness, metrics and status.
func (host *Runner) OperatorAddress() string { return host.listeners.operator.Addr().String() }

// Configure puts a configuration in force.
func (host *Runner) Configure(config carobthread.Config) {
	host.search.Configure(config)
	host.ready.Store(true)
}

// Run serves until the context ends, then stops gracefully; a value on abort ends the stop at once.
// The error names the requests that were cut, if any.
func (host *Runner) Run(ctx context.Context, abort <-chan struct{}) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	unsubscribe := host.subscribe(background)
	failed := host.listeners.serve()
	host.logger.Info().
		Str("caller-address", host.CallerAddress()).
		Str("operator-address", host.OperatorAddress()).
		Msg("serving")
	var err error
	select {
	case <-ctx.Done():
		err = host.stop(background, abort)
	case err = <-failed:
		err = fmt.Errorf("serve: %w", err)
	}
	unsubscribe()
	for _, closer := range host.closers {
		closer()
	}
	return errors.Join(err, host.spans.Close(background))
}

// subscribe starts the periodic work and returns the function that ends it.
func (host *Runner) subscribe(ctx context.Context) func() {
	poll := func(carobthread.Instant, time.Duration) { go host.search.Poll(ctx) }
	cancels := []func(){
		host.timer.Subscribe(tickPeriod, host.search),
		host.timer.Subscribe(reportPeriod, carobthread.SubscriberFunc(poll)),
	}
	return func() {
		for _, cancel := range cancels {
			cancel()
		}
	}
}
