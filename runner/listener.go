package runner

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/server"
	"carobthread/tracer"
)

// listeners are the listeners and HTTP servers of one host.
type listeners struct {
	caller         net.Listener
	peer           net.Listener
	operator       net.Listener
	callerServer   *http.Server
	operatorServer *http.Server
}

// listen binds every address before serving any, so that a wrong address fails the start.
func listen(ctx context.Context, settings *carobthread.Settings, logger zerolog.Logger) (*listeners, error) {
	set := &listeners{}
	err := bind(ctx,
		binding{&set.caller, "callers", settings.Host.CallerAddress},
		binding{&set.peer, "peers", settings.Host.PeerAddress},
		binding{&set.operator, "operators", settings.Host.OperatorAddress},
	)
	if err != nil {
		return nil, errors.Join(err, set.close())
	}
	set.build(settings, logger)
	return set, nil
}

func (set *listeners) close() error { return closeAll(set.caller, set.peer, set.operator) }

// binding is an address to listen on, with the variable that receives the listener. purpose says in errors who connects to
// it.
type binding struct {
	target  *net.Listener
	purpose string
	address string
}

// bind opens a listener for each binding with an address; on an error, those opened before stay open.
func bind(ctx context.Context, bindings ...binding) error {
	config := new(net.ListenConfig)
	for _, spec := range bindings {
		if spec.address == "" {
			continue
		}
		listener, err := config.Listen(ctx, "tcp", spec.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", spec.purpose, err)
		}
		*spec.target = listener
	}
	return nil
}

// closeAll closes the listeners that are open.
func closeAll(opened ...net.Listener) error {
	var err error
	for _, listener := range opened {
		if listener != nil {
			err = errors.Join(err, listener.Close())
		}
	}
	return err
}

// build creates the HTTP servers with limits against slow and idle clients.
func (set *listeners) build(settings *carobthread.Settings, logger zerolog.Logger) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	limits := &settings.Limits
	set.callerServer = &http.Server{
		ErrorLog:          errorLog(logger),
		Protocols:         protocols,
		ReadHeaderTimeout: limits.ReadTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderSize,
	}
	set.operatorServer = &http.Server{
		ErrorLog:          errorLog(logger),
		ReadHeaderTimeout: limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderSize,
	}
}

// errorLog returns the log of an HTTP server, which also recovers from panics in its handlers.
func errorLog(logger zerolog.Logger) *log.Logger {
	return log.New(logger.With().Str("event", "http-server").Logger(), "", 0)
}

// serve starts both servers; the channel receives the error of each one that ends.
func (set *listeners) serve() chan error {
	serveErrors := make(chan error, 3)
	go func() { serveErrors <- set.callerServer.Serve(set.caller) }()
	go func() { serveErrors <- set.operatorServer.Serve(set.operator) }()
	return serveErrors
}

// callerHandler serves the caller API. While the host stops, each response closes its HTTP/1.1 connection,
// so that no caller sends its next request on a connection that is about to close.
func (host *Runner) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(carobthreadv1connect.NewQueryServiceHandler(
		server.NewQueryHandler(host.search, host.execution),
		connect.WithReadMaxBytes(host.settings.Limits.MaxRequestSize),
		connect.WithRecover(server.RecoverCall(host.logger)),
	))
	traced := tracer.Handler(mux)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if host.stopping.Load() && request.ProtoMajor == 1 {
			writer.Header().Set("Connection", "close")
		}
		traced.ServeHTTP(writer, request)
	})
}

// operatorHandler serves health, readiness, metrics and status.
func (host *Runner) operatorHandler(registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !host.ready.Load() || host.stopping.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", host.serveStatus)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}
