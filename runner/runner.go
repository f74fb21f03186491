package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"carobthread"
	"carobthread/gatherer"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/server"
	"carobthread/timer"
	"carobthread/tracer"
)

const (
	tickPeriod   = time.Millisecond
	reportPeriod = time.Second
	meterPeriod  = time.Second
	// readHeaderTimeout ends slow clients before they hold a connection for long.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 64 << 10
	maxRequestBytes   = 1 << 20
	// maxSearcherConnections is the share of about 30 connections a searcher that each of 4 entry hosts may open.
	maxSearcherConnections = 7
)

// Options describe one entry host; addresses are IP:PORT and port 0 takes a free one.
type Options struct {
	Name            string
	DataCentre      string
	CallerAddress   string
	OperatorAddress string
	Seed            uint64
	Logger          zerolog.Logger
	Traces          trace.TracerProvider
	// StopGrace is how long the host goes on accepting work after it has said that it is not ready.
	StopGrace time.Duration
}

// Runner is one entry host.
type Runner struct {
	options  Options
	timer    carobthread.Timer
	search   *server.Search
	caller   *http.Server
	operator *http.Server
	listener net.Listener
	control  net.Listener
	metrics  http.Handler
	closers  []func()
	ready    sync.RWMutex
	isReady  bool
}

// New listens on the host's addresses; it serves once Run is called.
func New(options Options) (*Runner, error) {
	if options.Traces == nil {
		options.Traces = noop.NewTracerProvider()
	}
	host := &Runner{options: options, timer: timer.New()}
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "carobthread",
		Tags:           map[string]string{"host": options.Name},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, meterPeriod)
	host.closers = append(host.closers, func() { _ = closer.Close() })
	host.metrics = reporter.HTTPHandler()
	host.search = server.NewSearch(server.SearchOptions{
		Host:     options.Name,
		Decider:  gatherer.New(options.Seed, gatherer.Options{}),
		Timer:    host.timer,
		Upstream: server.NewClient(maxSearcherConnections),
		Tracer:   options.Traces.Tracer("carobthread"),
		Meter:    server.NewMeter(scope),
	})
	if err := host.listen(); err != nil {
		return nil, err
	}
	return host, nil
}

func (host *Runner) listen() error {
	var err error
	listen := new(net.ListenConfig)
	if host.listener, err = listen.Listen(context.Background(), "tcp", host.options.CallerAddress); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if host.control, err = listen.Listen(context.Background(), "tcp", host.options.OperatorAddress); err != nil {
		return errors.Join(fmt.Errorf("listen for operators: %w", err), host.listener.Close())
	}
	mux := http.NewServeMux()
	mux.Handle(carobthreadv1connect.NewQueryServiceHandler(server.NewCallers(host.search), connect.WithReadMaxBytes(maxRequestBytes)))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	host.caller = &http.Server{
		Handler:           tracer.Handler(mux),
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	host.operator = &http.Server{Handler: host.operatorHandler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	return nil
}

// CallerAddress returns the IP address and port that callers use.
func (host *Runner) CallerAddress() string { return host.listener.Addr().String() }

// OperatorAddress returns the IP address and port of health, readiness, metrics and status.
func (host *Runner) OperatorAddress() string { return host.control.Addr().String() }

// Configure puts a configuration in force.
func (host *Runner) Configure(config carobthread.Config) {
	host.search.Configure(config)
	host.setReady(true)
}

func (host *Runner) setReady(ready bool) {
	host.ready.Lock()
	defer host.ready.Unlock()
	host.isReady = ready
}

// Run serves until the context ends and then stops gracefully: it returns once every request has its answer.
func (host *Runner) Run(ctx context.Context) error {
	stopTick := host.timer.Subscribe(tickPeriod, host.search)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopPoll := host.timer.Subscribe(reportPeriod, carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) {
		go host.search.Poll(background)
	}))
	failed := make(chan error, 2)
	go func() { failed <- host.caller.Serve(host.listener) }()
	go func() { failed <- host.operator.Serve(host.control) }()
	host.options.Logger.Info().Str("caller-address", host.CallerAddress()).Str("operator-address", host.OperatorAddress()).Msg("serving")
	var err error
	select {
	case <-ctx.Done():
		err = host.stop(background)
	case err = <-failed:
	}
	stopPoll()
	stopTick()
	for _, closer := range host.closers {
		closer()
	}
	return err
}

func (host *Runner) stop(ctx context.Context) error {
	host.options.Logger.Info().Msg("stopping: not ready")
	host.setReady(false)
	time.Sleep(host.options.StopGrace)
	err := host.caller.Shutdown(ctx)
	err = errors.Join(err, host.search.Wait(ctx), host.operator.Shutdown(ctx))
	host.options.Logger.Info().Err(err).Msg("stopped")
	return err
}

func (host *Runner) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		host.ready.RLock()
		defer host.ready.RUnlock()
		if !host.isReady {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("/metrics", host.metrics)
	return mux
}
