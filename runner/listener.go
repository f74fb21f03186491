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
	operator       net.Listener
	callerServer   *http.Server
	operatorServer *http.Server
}

// listen binds both addresses before anything is served, so that a wrong address fails at the start.
func listen(ctx context.Context, settings *carobthread.Settings, callers, operators http.Handler) (*listeners, error) {
	config := new(net.ListenConfig)
	caller, err := config.Listen(ctx, "tcp", settings.Host.CallerAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	operator, err := config.Listen(ctx, "tcp", settings.Host.OperatorAddress)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for operators: %w", err), caller.Close())
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	limits := &settings.Limits
	return &listeners{
		caller:   caller,
		operator: operator,
		callerServer: &http.Server{
			Handler:           callers,
			Protocols:         protocols,
			ReadHeaderTimeout: limits.ReadTimeout,
			ReadTimeout:       limits.ReadTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.MaxHeaderSize,
		},
		operatorServer: &http.Server{
			Handler:           operators,
			ReadHeaderTimeout: limits.ReadTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.MaxHeaderSize,
		},
	}, nil
}

// serve starts both servers; the channel gets the error of each one that ends.
func (all *listeners) serve() <-chan error {
	failed := make(chan error, 2)
	go func() { failed <- all.callerServer.Serve(all.caller) }()
	go func() { failed <- all.operatorServer.Serve(all.operator) }()
	return failed
}

// callerHandler serves the caller API; while the host stops, each response closes its HTTP/1.1 connection,
// so that no caller sends its next request on a connection that is about to close.
func (host *Runner) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(carobthreadv1connect.NewQueryServiceHandler(
		server.NewCallers(host.search),
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
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}
