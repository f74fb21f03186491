package runner

import (
	"bufio"
	"context"
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/trace"

	"carobthread"
	"carobthread/caller"
	"carobthread/executor"
	"carobthread/gatherer"
	"carobthread/messenger"
	"carobthread/recorder"
	"carobthread/relayer"
	"carobthread/server"
	"carobthread/timer"
	"carobthread/tracer"
	"carobthread/watcher"
)

const (
	tickPeriod   = time.Millisecond
	reportPeriod = time.Second
	meterPeriod  = time.Second
	// executionTickPeriod bounds the delay until an expired key is detected.
	executionTickPeriod = 100 * time.Millisecond
	// secretBytes is the length of the secret that signs keys.
	secretBytes = 32
	// traceBufferBytes is large enough that not every step writes to the file of the decision trace.
	traceBufferBytes = 256 << 10
	traceFileMode    = 0o600
	// initialConnections is how many of a searcher's about 30 connections each of 4 entry hosts may open, until the core sets
	// the number.
	initialConnections = 7
)

// errSuperseded ends a process when a later incarnation of its host runs elsewhere.
var errSuperseded = errors.New("a later incarnation of this host is running")

// Options configure a Runner or a ForwardingHost.
type Options struct {
	Settings carobthread.Settings
	// SettingsFile and SettingsContent are the path and the content of the settings file; a host that supports reloading reads
	// the file again.
	SettingsFile    string
	SettingsContent []byte
	// DroppedLines returns the number of dropped log lines; it may be nil.
	DroppedLines func() uint64
	// Reloads receives a value for each request to reload the settings.
	Reloads <-chan os.Signal
	Logger  zerolog.Logger
	// Seed is the seed of the cores' random choices.
	Seed uint64
}

// Runner is one entry host.
type Runner struct {
	options   Options
	settings  *carobthread.Settings
	logger    zerolog.Logger
	timer     carobthread.Timer
	spans     *tracer.Exporter
	tracer    trace.Tracer
	meter     *server.Meter
	caller    *caller.Caller
	messenger *messenger.Messenger
	watcher   *watcher.Watcher
	search    *server.Search
	execution *server.Execution
	control   *server.Control
	listeners *listeners
	// connections are the callers' connections.
	connections *connections
	ready       atomic.Bool
	stopping    atomic.Bool
	superseded  chan struct{}
	closers     []func()
}

// New builds the components and listens on the host's addresses; it serves once Run is called.
func New(ctx context.Context, options Options) (*Runner, error) {
	clock := timer.New()
	clock.SetLogger(options.Logger)
	host := &Runner{
		options:    options,
		settings:   &options.Settings,
		logger:     options.Logger,
		timer:      clock,
		superseded: make(chan struct{}, 1),
	}
	spans, err := tracer.New(ctx, options.Settings.Host.Name, options.Settings.Trace.Spans)
	if err != nil {
		return nil, err
	}
	host.spans = spans
	host.tracer = spans.Provider().Tracer("carobthread")
	registry := prometheus.NewRegistry()
	scope, closeScope := newScope(host.settings, registry)
	host.closers = append(host.closers, closeScope)
	host.meter = server.NewMeter(scope)
	host.listeners, err = listen(ctx, host.settings, host.logger)
	if err != nil {
		return nil, err
	}
	self := host.identity()
	host.caller = caller.New(caller.Options{Connections: initialConnections, MaxReplySize: options.Settings.Limits.MaxReplySize})
	if host.search, err = host.newSearch(); err != nil {
		return nil, errors.Join(err, host.listeners.close())
	}
	host.buildPeers(self, options.Seed)
	host.listeners.callerServer.Handler = host.callerHandler()
	host.connections = newConnections(host.timer)
	host.listeners.caller = host.connections.track(host.listeners.callerServer, host.listeners.caller)
	host.listeners.operatorServer.Handler = host.operatorHandler(registry)
	host.setView(carobthread.View{Self: self.Name, Hosts: []carobthread.Host{self}})
	return host, nil
}

// identity returns this process as a host; the random part of its incarnation distinguishes two starts at the same instant.
func (host *Runner) identity() carobthread.Host {
	return carobthread.Host{
		Name:        host.settings.Host.Name,
		DataCentre:  host.settings.Host.DataCentre,
		PeerAddress: host.listeners.peer.Addr().String(),
		Incarnation: carobthread.Incarnation{Start: host.timer.Now(), Random: rand.Uint64()},
		State:       carobthread.HostLive,
	}
}

func (host *Runner) newSearch() (*server.Search, error) {
	core := gatherer.New(host.options.Seed, gatherer.Options{})
	decider, err := host.withRecorder(core)
	if err != nil {
		return nil, err
	}
	return server.NewSearch(server.SearchOptions{
		Host:      host.settings.Host.Name,
		Decider:   decider,
		QueryCore: core,
		Timer:     host.timer,
		Upstream:  host.caller,
		Tracer:    host.tracer,
		Meter:     host.meter,
		Logger:    host.logger,
		OnDrain:   func(searcher string, leaving bool) { host.control.RecordSearcherState(searcher, leaving) },
		OnReport:  func(report carobthread.ReportArrived) { host.execution.Report(report) },
	}), nil
}

// withRecorder wraps the core with a recorder if the settings enable the decision trace.
func (host *Runner) withRecorder(core *gatherer.Gatherer) (carobthread.Decider, error) {
	path := host.settings.Trace.Events
	if path == "" {
		return core, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, fmt.Errorf("open decision trace: %w", err)
	}
	buffer := bufio.NewWriterSize(file, traceBufferBytes)
	recording := recorder.New(buffer, host.options.Seed, gatherer.Options{}, core)
	host.closers = append(host.closers, func() {
		if err := errors.Join(recording.Err(), buffer.Flush(), file.Close()); err != nil {
			host.logger.Error().Err(err).Str("file", path).Msg("decision trace is incomplete")
		}
	})
	return recording, nil
}

func (host *Runner) newExecution(self carobthread.Host, seed uint64) *server.Execution {
	limits := &host.settings.Limits
	return server.NewExecution(server.ExecutionOptions{
		Core: executor.New(executor.Options{
			Host:        self.Name,
			DataCentre:  self.DataCentre,
			Incarnation: self.Incarnation,
			Secret:      newSecret(),
			Seed:        seed,
			KeyLifetime: limits.KeyExpiry,
			MaxKeys:     limits.MaxKeys,
			MaxBytes:    limits.MaxKeyBytes,
		}),
		Timer:  host.timer,
		Peers:  host.messenger,
		Runner: host.caller,
		Tracer: host.tracer,
		Logger: host.logger,
	})
}

// newSecret returns the secret that signs this incarnation's keys; it stays in the process.
func newSecret() []byte {
	secret := make([]byte, secretBytes)
	_, _ = cryptorand.Read(secret) // never fails, see crypto/rand
	return secret
}

// newScope returns a metrics scope that reports to the registry, and the function that closes it.
func newScope(settings *carobthread.Settings, registry *prometheus.Registry) (scope tally.Scope, end func()) {
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "carobthread",
		Tags:           map[string]string{"host": settings.Host.Name, "data_centre": settings.Host.DataCentre},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, meterPeriod)
	return scope, func() { _ = closer.Close() }
}

// CallerAddress returns the IP address and port of the caller API.
func (host *Runner) CallerAddress() string { return host.listeners.caller.Addr().String() }

// OperatorAddress returns the IP address and port of health, readiness, metrics and status.
func (host *Runner) OperatorAddress() string { return host.listeners.operator.Addr().String() }

// PeerAddress returns the IP address and port for the other hosts.
func (host *Runner) PeerAddress() string { return host.listeners.peer.Addr().String() }

// Ready reports whether the host accepts queries.
func (host *Runner) Ready() bool { return host.ready.Load() && !host.stopping.Load() }

// Run serves until the context ends and then stops gracefully; a value on abort, or its close, cuts the stop short.
// The error states how many queries were cut off, if the stop was cut short.
func (host *Runner) Run(ctx context.Context, abort <-chan struct{}) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	unsubscribe := host.subscribe(background)
	serveErrors := host.listeners.serve()
	go func() { serveErrors <- host.messenger.Serve(background, host.listeners.peer) }()
	host.logger.Info().
		Str("caller-address", host.CallerAddress()).
		Str("peer-address", host.PeerAddress()).
		Str("operator-address", host.OperatorAddress()).
		Msg("serving")
	var err error
	select {
	case <-ctx.Done():
		err = host.stop(background, abort)
	case <-host.superseded:
		err = errors.Join(errSuperseded, host.stop(background, abort))
	case err = <-serveErrors:
		err = fmt.Errorf("serve: %w", err)
	}
	unsubscribe()
	host.close()
	return errors.Join(err, host.spans.Close(background))
}

// close closes the components in the order of their dependencies, users first.
func (host *Runner) close() {
	host.control.Close()
	host.messenger.Close()
	host.watcher.Close()
	host.caller.Close()
	for _, closer := range host.closers {
		closer()
	}
}

// subscribe starts the periodic work and returns the function that stops it.
func (host *Runner) subscribe(ctx context.Context) func() {
	poll := func(carobthread.Instant, time.Duration) { go host.search.Poll(ctx) }
	report := func(carobthread.Instant, time.Duration) { host.reportStats() }
	cancels := []func(){
		host.timer.Subscribe(tickPeriod, host.search),
		host.timer.Subscribe(executionTickPeriod, host.execution),
		host.timer.Subscribe(relayer.TickPeriod, host.control),
		host.timer.Subscribe(reportPeriod, carobthread.SubscriberFunc(poll)),
		host.timer.Subscribe(reportPeriod, carobthread.SubscriberFunc(report)),
	}
	return func() {
		for _, cancel := range cancels {
			cancel()
		}
	}
}
