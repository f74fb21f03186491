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
	"carobthread/accountant"
	"carobthread/caller"
	"carobthread/delegator"
	"carobthread/follower"
	"carobthread/forwarder"
	"carobthread/gatherer"
	"carobthread/messenger"
	"carobthread/planner"
	"carobthread/platform"
	"carobthread/router"
	"carobthread/server"
	"carobthread/stopper"
	"carobthread/timer"
	"carobthread/tracer"
	"carobthread/tracker"
)

const (
	// losingAttemptGrace lets an attempt that lost to another finish by itself, so that its connection can be reused.
	losingAttemptGrace = 250 * time.Millisecond
	// drainFraction is the fraction of the stop limit in which the balancer may still send connections and callers may still
	// use open ones.
	drainFraction = 0.6
	// shutdownFraction is the fraction of the stop limit after which the remaining connections are closed; every request
	// that was read has its answer by then.
	shutdownFraction = 0.95
	// abortGrace is the time to write the answers of a stop that is aborted.
	abortGrace = 100 * time.Millisecond
	// gaugePeriod is the time between two updates of the gauges.
	gaugePeriod = 5 * time.Second
	// headerTimeout bounds the time to read a caller's request header; the routing table's own limit is known only after the
	// start.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the time for which callers reuse idle connections.
	idleTimeout = 2 * time.Minute
	// memoryLimitFraction is the fraction of the process's memory that becomes the soft limit of the Go runtime, above which
	// the garbage collector runs more often.
	memoryLimitFraction = 0.7
	// gcPercent keeps the heap near its live size of a few megabytes; collections cost little compared with requests.
	gcPercent = 75
	// largeReplyDivisor makes an eighth of the process's memory, half of the budget of the accountant, the limit of the
	// replies over 64 KiB that are read at the same time.
	largeReplyDivisor = 8
	// bytesPerConnection limits the bytes of the requests in flight to a searcher for each connection that this host may have
	// to it. Searchers don't state their memory; this is several times the size of usual requests, below 4 KiB.
	bytesPerConnection = 32 << 10
	// callerSendBuffer is enough for 170 Mbit/s to a caller with a round trip of 6 ms.
	callerSendBuffer = 128 << 10
)

// ForwardingHost is an entry host that forwards plain HTTP requests by the routing table in the platform's store.
type ForwardingHost struct {
	options  Options
	settings *carobthread.Settings
	// activeSettings are the settings that apply now; only the values that Reload names differ from the settings at the start.
	activeSettings atomic.Pointer[carobthread.Settings]
	logger         zerolog.Logger
	timer          carobthread.Timer
	spans          *tracer.Exporter
	meter          *server.Meter
	requestLog     *forwarder.Log
	accountant     *accountant.Accountant
	caller         *caller.HTTPCaller
	store          *platform.Store
	messenger      *messenger.Messenger
	search         *server.Search
	core           *gatherer.Gatherer
	directory      *server.Directory
	delegation     *server.Delegation
	coordination   *server.Coordination
	forwarder      *forwarder.Forwarder
	listeners      forwardingListeners
	// routedVersion is the version of the routing table that the forwarder routes by; only configure accesses it.
	routedVersion uint64
	ready         atomic.Bool
	stopping      atomic.Bool
	connections   *connections
	closers       []func()
}

type forwardingListeners struct {
	caller, ready, peer, operator net.Listener
	servers                       []*http.Server
}

// NewForwardingHost builds the components and listens on the host's addresses; it serves once Run is called.
func NewForwardingHost(ctx context.Context, options Options) (*ForwardingHost, error) {
	clock := timer.New()
	clock.SetLogger(options.Logger)
	host := &ForwardingHost{options: options, settings: &options.Settings, logger: options.Logger, timer: clock}
	host.activeSettings.Store(host.settings)
	host.setRuntimeLimits()
	spans, err := tracer.New(ctx, options.Settings.Host.Name, options.Settings.Trace.Spans)
	if err != nil {
		return nil, err
	}
	host.spans = spans
	registry := prometheus.NewRegistry()
	scope, closeScope := newScope(host.settings, registry)
	host.closers = append(host.closers, closeScope)
	host.meter = server.NewMeter(scope)
	host.requestLog = forwarder.NewLog(host.logger)
	if err := host.listen(ctx); err != nil {
		return nil, errors.Join(err, host.listeners.close())
	}
	host.build()
	host.buildServers(registry)
	return host, nil
}

func (host *ForwardingHost) setRuntimeLimits() {
	if host.settings.Runtime.Processors > 0 {
		runtime.GOMAXPROCS(host.settings.Runtime.Processors)
	}
	debug.SetGCPercent(gcPercent)
}

// setMemoryLimit derives the limits that depend on the memory of the process in bytes; without one, the defaults hold.
func (host *ForwardingHost) setMemoryLimit(memory int) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory)))
	}
	host.accountant.SetLimit(memory)
	host.caller.SetMaxLargeReplyBytes(int64(memory / largeReplyDivisor))
}

func (host *ForwardingHost) listen(ctx context.Context) error {
	set := &host.listeners
	return bind(ctx,
		binding{&set.caller, "callers", host.settings.Host.CallerAddress},
		binding{&set.ready, "the balancer", host.settings.Forward.ReadyAddress},
		binding{&set.peer, "peers", host.settings.Host.PeerAddress},
		binding{&set.operator, "operators", host.settings.Host.OperatorAddress},
	)
}

func (set *forwardingListeners) close() error {
	return closeAll(set.caller, set.ready, set.peer, set.operator)
}

func (host *ForwardingHost) build() {
	headers := platform.Headers()
	host.accountant = accountant.New(accountant.Options{Timer: host.timer, Logger: host.logger})
	callerOptions := caller.HTTPOptions{
		Headers: headers, Timer: host.timer, MaxReplySize: host.settings.Limits.MaxReplySize, Accountant: host.accountant,
	}
	if host.settings.Runtime.Memory > 0 {
		callerOptions.BytesPerConnection = bytesPerConnection
	}
	host.caller = caller.NewHTTP(callerOptions)
	host.setMemoryLimit(host.settings.Runtime.Memory)
	otherHosts, _ := host.seeds()
	host.core = gatherer.New(host.options.Seed, gatherer.Options{MinHosts: 1 + len(otherHosts)})
	host.search = server.NewSearch(server.SearchOptions{
		Host:      host.settings.Host.Name,
		Decider:   host.core,
		QueryCore: host.core,
		Timer:     host.timer,
		Upstream:  host.caller,
		Tracer:    host.spans.Provider().Tracer("carobthread"),
		Meter:     host.meter,
		Linger:    losingAttemptGrace,
		Logger:    host.logger,
	})
	host.buildDirectory()
	host.forwarder = forwarder.New(forwarder.Options{
		Headers: headers, QueryRunner: host.delegation, Timer: host.timer, Logger: host.logger, OnRequestEnd: host.recordRequest,
		Accountant: host.accountant,
	})
}

func (host *ForwardingHost) buildDirectory() {
	self := carobthread.Host{
		Name:        host.settings.Host.Name,
		DataCentre:  host.settings.Host.DataCentre,
		PeerAddress: host.listeners.peer.Addr().String(),
		Incarnation: carobthread.Incarnation{Start: host.timer.Now(), Random: rand.Uint64()},
		State:       carobthread.HostLive,
		Capacity:    host.settings.Runtime.Capacity(),
	}
	contacts, seeds := host.seeds()
	handler := &server.PeerRouter{Logger: host.logger}
	host.messenger = messenger.New(messenger.Options{
		Self: self, Seeds: seeds, Handler: handler, Timer: host.timer, Logger: host.logger, RandomSeed: host.options.Seed, AcceptUnknownHosts: true,
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
		Timing:   server.TimingFor(host.settings.Store.MaxCopyAge()),
		OnChange: host.configure,

		EvacuationBound: host.settings.Store.EvacuationBound,
		OnView:          host.setView,
		Observer:        host.observer(),
	})
	host.buildDelegation(self)
	handler.Directory, handler.Delegation, handler.Coordination = host.directory, host.delegation, host.coordination
	host.setView(carobthread.View{Self: self.Name, Hosts: []carobthread.Host{self}})
}

func (host *ForwardingHost) buildDelegation(self carobthread.Host) {
	host.delegation = server.NewDelegation(server.DelegationOptions{
		Self: self, Search: host.search, Core: delegator.New(delegator.Options{MayRepeat: host.search.MayRepeat}), Peers: host.messenger, Notifier: host.messenger, Timer: host.timer, Logger: host.logger,
	})
	host.coordination = server.NewCoordination(server.CoordinationOptions{
		Search: host.search, Notifier: host.messenger, Timer: host.timer, Logger: host.logger, Accepts: host.refusesDelegated, OnEnd: host.recordCoordinated,
		Accountant: host.accountant,
	})
}

// refusesDelegated returns why this host takes no queries of other hosts now, or an empty reason if it does.
func (host *ForwardingHost) refusesDelegated() carobthread.Reason {
	switch {
	case !host.ready.Load():
		return carobthread.ReasonNotReady
	case host.stopping.Load():
		return carobthread.ReasonStopping
	}
	return ""
}

// seeds returns the peer addresses of the other hosts in the settings, as contacts of the directory and as hosts for the
// messenger to connect to.
func (host *ForwardingHost) seeds() (contacts []string, hosts []carobthread.Host) {
	for _, seed := range host.activeSettings.Load().Peers.Addresses {
		if seed.Address != host.listeners.peer.Addr().String() {
			contacts = append(contacts, seed.Address)
			hosts = append(hosts, carobthread.Host{PeerAddress: seed.Address})
		}
	}
	return contacts, hosts
}

// Reload applies the retry budget, the rule for cold searchers, the seeds, the stop limit and the memory limit of new
// settings; other changes need a restart.
func (host *ForwardingHost) Reload(settings carobthread.Settings) {
	host.activeSettings.Store(&settings)
	host.setMemoryLimit(settings.Runtime.Memory)
	contacts, seeds := host.seeds()
	host.messenger.SetSeeds(seeds)
	host.directory.SetContacts(contacts)
	host.directory.NotifyAll()
}

func (host *ForwardingHost) setView(view carobthread.View) {
	host.messenger.SetHosts(view)
	host.search.SetView(view)
	host.delegation.SetView(view)
}

func (host *ForwardingHost) reportGauges() {
	err := errors.Join(host.meter.Gauges("query", host.search.Stats()), host.meter.Gauges("directory", host.directory.Stats()),
		host.meter.Gauges("memory", host.accountant.Stats()),
		host.meter.Gauges("delegation", host.delegation.Stats()), host.meter.Gauges("coordination", host.coordination.Stats()))
	if host.options.DroppedLines != nil {
		err = errors.Join(err, host.meter.Gauges("log", struct {
			Dropped uint64 `json:"dropped-lines"`
		}{host.options.DroppedLines()}))
	}
	if err != nil {
		host.logger.Error().Err(err).Str("event", "report-failed").Msg("cannot report the gauges")
	}
}

// configure applies a routing table and the registered searchers; the searchers first, since the router directs requests
// to them.
func (host *ForwardingHost) configure(state server.State) {
	forward, table := &host.activeSettings.Load().Forward, &state.Table
	config := planner.Plan(&planner.Input{
		Table: table, Registrations: state.Registrations, Evacuations: state.Evacuations,
		RetryBudget: carobthread.RetryBudget{Ratio: forward.RetryRatio, Slack: forward.RetrySlack, Window: forward.RetryWindow},
		ColdRule:    carobthread.ColdRule{Over: forward.ColdOver, Slack: forward.ColdSlack},
	})
	host.search.Configure(config)
	host.delegation.Configure(&config)
	if table.Version != host.routedVersion {
		host.forwarder.SetRouter(router.New(table)) // its weighted shares go on while searchers change
		host.routedVersion = table.Version
	}
	if !host.ready.Swap(true) {
		host.logger.Info().Str("event", "ready").Uint64("version", table.Version).Int("searchers", len(state.Registrations)).Msg("ready")
	}
}

// recordRequest logs and counts a request that was answered or abandoned.
func (host *ForwardingHost) recordRequest(record *forwarder.RequestRecord) {
	host.requestLog.Write(host.timer.Now(), record)
	host.meter.Request(forwarder.EndOf(record), record.Reason, record.Took)
	if record.Answer != nil {
		host.meter.Answer(record.Service, record.Answer, record.Took)
	}
}

// recordCoordinated logs a query that this host has coordinated for another one.
func (host *ForwardingHost) recordCoordinated(query *server.CoordinatedQuery) {
	host.requestLog.Write(host.timer.Now(), forwarder.CoordinatedRecord(query))
}

func (host *ForwardingHost) buildServers(registry *prometheus.Registry) {
	limits := &host.settings.Limits
	callers := &http.Server{
		ErrorLog:          errorLog(host.logger),
		Handler:           host.forwarder,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderSize,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		cutOff := host.observer().CutOffDataCentres()
		host.forwarder.Divert(len(cutOff) > 0) // as the balancer does with new connections
		if !host.acceptsCallers(cutOff) {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", host.serveStatus)
	mux.HandleFunc("GET /place", host.servePlace)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	operators := &http.Server{
		ErrorLog: errorLog(host.logger), Handler: mux, ReadHeaderTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
	}
	host.connections = newConnections(host.timer)
	if host.settings.Runtime.Memory > 0 {
		host.connections.sendBuffer = callerSendBuffer
	}
	host.listeners.caller = host.connections.track(callers, host.listeners.caller)
	host.listeners.servers = []*http.Server{callers, operators}
}

// Run serves until the context ends and then stops gracefully; a value on abort, or its close, cuts the stop short.
func (host *ForwardingHost) Run(ctx context.Context, abort <-chan struct{}) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stopSchedule := host.search.Schedule(host.core)
	stopReporting := host.timer.Subscribe(gaugePeriod, carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) { host.reportGauges() }))
	defer stopReporting()
	serveErrors := host.serve(background)
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
	case err = <-serveErrors:
		err = fmt.Errorf("serve: %w", err)
	}
	cancel()
	loops.Wait()
	stopSchedule()
	host.messenger.Close()
	host.delegation.Close()
	host.coordination.Close()
	host.caller.Close()
	host.accountant.Close()
	host.store.Close()
	for _, closer := range host.closers {
		closer()
	}
	return errors.Join(err, host.spans.Close(context.WithoutCancel(ctx)))
}

func (host *ForwardingHost) serve(ctx context.Context) chan error {
	serveErrors := make(chan error, 4)
	callers, operators := host.listeners.servers[0], host.listeners.servers[1]
	go func() { serveErrors <- callers.Serve(host.listeners.caller) }()
	go func() { serveErrors <- operators.Serve(host.listeners.operator) }()
	if host.listeners.ready != nil {
		go func() { serveErrors <- operators.Serve(host.listeners.ready) }()
	}
	go func() { serveErrors <- host.messenger.Serve(ctx, host.listeners.peer) }()
	return serveErrors
}

// stop shuts the host down in this order: it reports that it is not ready and each response closes its connection; for the
// first part of the stop limit it keeps idle connections open for callers that still use them; in the rest, it closes them.
// A request that arrives is served if it is likely to be answered before the stop limit, and every request that was read is
// answered by then.
func (host *ForwardingHost) stop(background context.Context, abort <-chan struct{}) error {
	limit := host.activeSettings.Load().Stop.Limit
	ctx, cancel := context.WithTimeout(background, time.Duration(shutdownFraction*float64(limit)))
	defer cancel()
	go func() {
		select {
		case <-abort:
			host.search.Stop(host.timer.Now())
			host.delegation.Stop(host.timer.Now())
			timer.Sleep(ctx, host.timer, abortGrace)
			cancel()
		case <-ctx.Done():
		}
	}()
	host.stopping.Store(true)
	host.forwarder.Stop()
	answerBy := stopper.AnswerBy(host.timer.Now(), limit)
	host.search.Stop(answerBy)
	host.delegation.Stop(answerBy)
	host.directory.Leave()
	host.logger.Info().Str("event", "stopping").Dur("limit", limit).Msg("stopping; the host is no longer ready")
	timer.Sleep(ctx, host.timer, time.Duration(drainFraction*float64(limit)))
	host.connections.drain(ctx, host.listeners.caller)
	host.coordination.Drain(ctx)
	var err error
	if pending := host.search.Pending() + host.delegation.Pending(); pending > 0 {
		err = fmt.Errorf("graceful stop was cut short with %d requests in flight: %w", pending, ctx.Err())
	}
	if closeErr := host.listeners.servers[0].Close(); !errors.Is(closeErr, net.ErrClosed) { // drain has closed the listener
		err = errors.Join(err, closeErr)
	}
	host.logger.Info().Err(err).Str("event", "stopped").Msg("stopped")
	return err
}
