package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/caller"
	"carobthread/follower"
	"carobthread/forwarder"
	"carobthread/gatherer"
	"carobthread/messenger"
	"carobthread/planner"
	"carobthread/platform"
	"carobthread/router"
	"carobthread/server"
	"carobthread/timer"
	"carobthread/tracer"
	"carobthread/tracker"
)

const (
	// linger lets an attempt that lost to another end by itself, so that its connection can be used again.
	linger = 250 * time.Millisecond
	// drainShare is the part of the stop's limit in which the balancer still sends connections and callers still use theirs.
	drainShare = 0.6
	// closeShare is the part of the stop's limit after which what still runs is cut.
	closeShare = 0.95
	// gaugePeriod is how often gauges are updated.
	gaugePeriod = 5 * time.Second
	// headerTimeout bounds a caller's header; the routing table's own limit is known only after the start.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the time for which callers reuse idle connections.
	idleTimeout = 2 * time.Minute
	// memoryShare is the part of the process's memory at which the garbage collector works harder.
	memoryShare = 0.7
	// garbagePercent keeps the heap near its live size of a few megabytes; collections cost little beside requests.
	garbagePercent = 75
)

// Front is an entry host that forwards plain HTTP requests by the platform's store.
type Front struct {
	options  Options
	settings *carobthread.Settings
	// reloaded are the settings in force; only what Reload names differs from the settings at the start.
	reloaded  atomic.Pointer[carobthread.Settings]
	logger    zerolog.Logger
	timer     carobthread.Timer
	spans     *tracer.Exporter
	meter     *server.Meter
	requests  *forwarder.Log
	caller    *caller.HTTPCaller
	store     *platform.Store
	messenger *messenger.Messenger
	search    *server.Search
	core      *gatherer.Gatherer
	directory *server.Directory
	forwarder *forwarder.Forwarder
	listeners frontListeners
	ready     atomic.Bool
	stopping  atomic.Bool
	closers   []func()
}

type frontListeners struct {
	caller, ready, peer, operator net.Listener
	servers                       []*http.Server
}

// NewFront builds the parts and listens on the host's addresses; it serves once Run is called.
func NewFront(ctx context.Context, options Options) (*Front, error) {
	host := &Front{options: options, settings: &options.Settings, logger: options.Logger, timer: timer.New()}
	host.reloaded.Store(host.settings)
	host.limitRuntime()
	spans, err := tracer.New(ctx, options.Settings.Host.Name, options.Settings.Trace.Spans)
	if err != nil {
		return nil, err
	}
	host.spans = spans
	registry := prometheus.NewRegistry()
	scope, closeScope := newScope(host.settings, registry)
	host.closers = append(host.closers, closeScope)
	host.meter = server.NewMeter(scope)
	host.requests = forwarder.NewLog(host.logger)
	if err := host.listen(ctx); err != nil {
		return nil, errors.Join(err, host.listeners.close())
	}
	host.build()
	host.serveWith(registry)
	return host, nil
}

func (host *Front) limitRuntime() {
	if host.settings.Runtime.Processors > 0 {
		runtime.GOMAXPROCS(host.settings.Runtime.Processors)
	}
	debug.SetGCPercent(garbagePercent)
	if host.settings.Runtime.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(host.settings.Runtime.Memory)))
	}
}

func (host *Front) listen(ctx context.Context) error {
	all := &host.listeners
	return bind(ctx,
		binding{&all.caller, "callers", host.settings.Host.CallerAddress},
		binding{&all.ready, "the balancer", host.settings.Forward.ReadyAddress},
		binding{&all.peer, "peers", host.settings.Host.PeerAddress},
		binding{&all.operator, "operators", host.settings.Host.OperatorAddress},
	)
}

func (all *frontListeners) close() error {
	return closeAll(all.caller, all.ready, all.peer, all.operator)
}

func (host *Front) build() {
	headers := platform.Headers()
	host.caller = caller.NewHTTP(caller.HTTPOptions{Headers: headers, Timer: host.timer, MaxReplySize: host.settings.Limits.MaxReplySize})
	host.core = gatherer.New(host.options.Seed, gatherer.Options{})
	host.search = server.NewSearch(server.SearchOptions{
		Host:     host.settings.Host.Name,
		Decider:  host.core,
		Counted:  host.core,
		Timer:    host.timer,
		Upstream: host.caller,
		Tracer:   host.spans.Provider().Tracer("carobthread"),
		Meter:    host.meter,
		Linger:   linger,
	})
	host.forwarder = forwarder.New(forwarder.Options{Headers: headers, Asker: host.search, Timer: host.timer, Ended: host.ended})
	host.buildDirectory()
}

func (host *Front) buildDirectory() {
	self := carobthread.Host{
		Name:        host.settings.Host.Name,
		DataCentre:  host.settings.Host.DataCentre,
		PeerAddress: host.listeners.peer.Addr().String(),
		Incarnation: carobthread.Incarnation{Start: host.timer.Now(), Random: rand.Uint64()},
		State:       carobthread.HostLive,
	}
	contacts, seeds := host.seeds()
	router := &frontPeers{}
	host.messenger = messenger.New(messenger.Options{
		Self: self, Seeds: seeds, Handler: router, Timer: host.timer, Logger: host.logger, Seed: host.options.Seed, Open: true,
	})
	host.store = platform.NewStore(host.settings.Store.Address)
	host.directory = server.NewDirectory(server.DirectoryOptions{
		Self:     self,
		Contacts: contacts,
		Follower: follower.New(platform.Decoder{}),
		Tracker:  tracker.New(self, nil, host.timer.Now(), host.options.Seed),
		Timer:    host.timer,
		Peers:    host.messenger,
		Store:    host.store,
		Logger:   host.logger,
		Seed:     host.options.Seed,
		Pace:     server.PaceFor(host.settings.Store.Freshness),
		Changed:  host.changed,
		Viewed:   host.viewed,
		Observer: host.search,
	})
	router.PeerHandler = host.directory
	host.viewed(carobthread.View{Self: self.Name, Hosts: []carobthread.Host{self}})
}

// seeds returns the addresses of other hosts that the settings name, and the hosts to link with by them.
func (host *Front) seeds() (contacts []string, hosts []carobthread.Host) {
	for _, seed := range host.reloaded.Load().Peers.Addresses {
		if seed.Address != host.listeners.peer.Addr().String() {
			contacts = append(contacts, seed.Address)
			hosts = append(hosts, carobthread.Host{PeerAddress: seed.Address})
		}
	}
	return contacts, hosts
}

// Reload puts the retry budget, the seeds, the limit of a stop and the memory limit of new settings in force; other
// changes need a restart.
func (host *Front) Reload(settings carobthread.Settings) {
	host.reloaded.Store(&settings)
	if settings.Runtime.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.Runtime.Memory)))
	}
	contacts, seeds := host.seeds()
	host.messenger.SetSeeds(seeds)
	host.directory.SetContacts(contacts)
	host.directory.Announce()
}

// frontPeers breaks the circle between the messenger and the directory.
type frontPeers struct{ carobthread.PeerHandler }

func (host *Front) viewed(view carobthread.View) {
	host.messenger.SetHosts(view)
	host.search.SetView(view)
}

// report updates the gauges.
func (host *Front) report() {
	err := errors.Join(host.meter.Gauges("query", host.search.Stats()), host.meter.Gauges("directory", host.directory.Stats()))
	if host.options.DroppedLines != nil {
		err = errors.Join(err, host.meter.Gauges("log", struct {
			Dropped uint64 `json:"dropped-lines"`
		}{host.options.DroppedLines()}))
	}
	if err != nil {
		host.logger.Error().Err(err).Str("event", "report-failed").Msg("gauges cannot be reported")
	}
}

// changed puts a routing table and the searchers in force; the searchers first, since requests follow the router.
func (host *Front) changed(table carobthread.RoutingTable, entries []carobthread.Registration) {
	forward := &host.reloaded.Load().Forward
	host.search.Configure(planner.Plan(&table, entries, carobthread.RetryBudget{
		Ratio: forward.RetryRatio, Slack: forward.RetrySlack, Window: forward.RetryWindow,
	}))
	host.forwarder.Route(router.New(&table))
	if !host.ready.Swap(true) {
		host.logger.Info().Str("event", "ready").Uint64("version", table.Version).Int("searchers", len(entries)).Msg("ready")
	}
}

// ended logs and counts a request that has been answered or given up.
func (host *Front) ended(record *forwarder.Record) {
	host.requests.Write(host.timer.Now(), record)
	host.meter.Request(forwarder.End(record), record.Reason, record.Took)
	if record.Answer != nil {
		host.meter.Answer(record.Service, record.Answer, record.Took)
	}
}

func (host *Front) serveWith(registry *prometheus.Registry) {
	limits := &host.settings.Limits
	callers := &http.Server{
		Handler:           host.forwarder,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderSize,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		cutOff := host.search.CutOff()
		host.forwarder.Divert(len(cutOff) > 0) // as the balancer diverts new connections
		if !host.accepts(cutOff) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", host.serveStatus)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	operators := &http.Server{Handler: mux, ReadHeaderTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout}
	host.listeners.servers = []*http.Server{callers, operators}
}

// Run serves until the context ends, then stops gracefully; a value on abort ends the stop at once.
func (host *Front) Run(ctx context.Context, abort <-chan struct{}) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	unscheduled := host.search.Schedule(host.core)
	unreported := host.timer.Subscribe(gaugePeriod, carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) { host.report() }))
	defer unreported()
	failed := host.serve(background)
	var loops sync.WaitGroup
	loops.Go(func() { host.directory.Run(background) })
	reloader := NewReloader(host.options.SettingsFile, host.options.SettingsContent, host.logger, host.Reload)
	loops.Go(func() { reloader.Run(background, host.timer, host.options.Reloads) })
	host.logger.Info().Str("event", "started").
		Str("caller-address", host.settings.Host.CallerAddress).
		Str("peer-address", host.settings.Host.PeerAddress).
		Str("data-centre", host.settings.Host.DataCentre).
		Msg("serving")
	var err error
	select {
	case <-ctx.Done():
		err = host.stop(background, abort)
	case err = <-failed:
		err = fmt.Errorf("serve: %w", err)
	}
	cancel()
	loops.Wait()
	unscheduled()
	host.messenger.Close()
	host.caller.Close()
	host.store.Close()
	for _, closer := range host.closers {
		closer()
	}
	return errors.Join(err, host.spans.Close(context.WithoutCancel(ctx)))
}

func (host *Front) serve(ctx context.Context) chan error {
	failed := make(chan error, 4)
	callers, operators := host.listeners.servers[0], host.listeners.servers[1]
	go func() { failed <- callers.Serve(host.listeners.caller) }()
	go func() { failed <- operators.Serve(host.listeners.operator) }()
	if host.listeners.ready != nil {
		go func() { failed <- operators.Serve(host.listeners.ready) }()
	}
	go func() { failed <- host.messenger.Serve(ctx, host.listeners.peer) }()
	return failed
}

// stop ends the host in this order: it is not ready and each answer closes its connection, callers that are still sent
// get the first part of the limit, then idle connections close and what runs may end in the rest.
func (host *Front) stop(background context.Context, abort <-chan struct{}) error {
	limit := host.reloaded.Load().Stop.Limit
	ctx, cancel := context.WithTimeout(background, time.Duration(closeShare*float64(limit)))
	defer cancel()
	go func() {
		select {
		case <-abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	host.stopping.Store(true)
	host.forwarder.Stop()
	host.directory.Leave()
	host.logger.Info().Str("event", "stopping").Dur("limit", limit).Msg("stopping, not ready")
	timer.Pause(ctx, host.timer, time.Duration(drainShare*float64(limit)))
	err := host.listeners.servers[0].Shutdown(ctx)
	if err != nil {
		err = fmt.Errorf("stop was cut short, %d requests cut: %w", host.search.Pending(), err)
	}
	host.logger.Info().Err(err).Str("event", "stopped").Msg("stopped")
	return err
}
