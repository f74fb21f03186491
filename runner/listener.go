package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"carobthread"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/server"
	"carobthread/tracer"
)

// listeners are the HTTP servers of one host.
type listeners struct {
	caller         net.Listener
	peer           net.Listener
	operator       net.Listener
	callerServer   *http.Server
	operatorServer *http.Server
}

// listen binds every address before anything is served, so that a wrong address fails at the start.
func listen(ctx context.Context, settings *carobthread.Settings) (*listeners, error) {
	all := &listeners{}
	err := bind(ctx,
		binding{&all.caller, "callers", settings.Host.CallerAddress},
		binding{&all.peer, "peers", settings.Host.PeerAddress},
		binding{&all.operator, "operators", settings.Host.OperatorAddress},
	)
	if err != nil {
		return nil, errors.Join(err, all.close())
	}
	all.build(settings)
	return all, nil
}

func (all *listeners) close() error { return closeAll(all.caller, all.peer, all.operator) }

// binding is a listener to be made for an address.
type binding struct {
	target  *net.Listener
	purpose string
	address string
}

// bind makes the listeners of all bindings with an address; on an error, those made before stay open.
func bind(ctx context.Context, bindings ...binding) error {
	config := new(net.ListenConfig)
	for _, one := range bindings {
		if one.address == "" {
			continue
		}
		listener, err := config.Listen(ctx, "tcp", one.address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", one.purpose, err)
		}
		*one.target = listener
	}
	return nil
}

// closeAll closes the listeners that were made.
func closeAll(all ...net.Listener) error {
	var err error
	for _, listener := range all {
		if listener != nil {
			err = errors.Join(err, listener.Close())
		}
	}
	return err
}

// build makes the HTTP servers with the limits against slow and idle clients.
func (all *listeners) build(settings *carobthread.Settings) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	limits := &settings.Limits
	all.callerServer = &http.Server{
		Protocols:         protocols,
		ReadHeaderTimeout: limits.ReadTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderSize,
	}
	all.operatorServer = &http.Server{
		ReadHeaderTimeout: limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderSize,
	}
}

// serve starts both servers; the channel gets the error of each one that ends.
func (all *listeners) serve() chan error {
	failed := make(chan error, 3)
	go func() { failed <- all.callerServer.Serve(all.caller) }()
	go func() { failed <- all.operatorServer.Serve(all.operator) }()
	return failed
}

// callerHandler serves the caller API; while the host stops, each response closes its HTTP/1.1 connection,
// so that no caller sends its next request on a connection that is about to close.
func (host *Runner) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(carobthreadv1connect.NewQueryServiceHandler(
		server.NewCallers(host.search, host.execution),
		connect.WithReadMaxBytes(host.settings.Limits.MaxRequestSize),
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
