package tracer

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const traceparent = "traceparent"

// Exporter exports the spans of one host to a file or an OTLP endpoint.
type Exporter struct {
	provider trace.TracerProvider
	closers  []func(context.Context) error
}

// New returns an exporter to the target: an http or https URL of an OTLP endpoint, or else a file path; an empty target
// exports nothing.
func New(ctx context.Context, host, target string) (*Exporter, error) {
	if target == "" {
		return &Exporter{provider: noop.NewTracerProvider()}, nil
	}
	exporter := &Exporter{}
	spans, err := exporter.open(ctx, target)
	if err != nil {
		return nil, fmt.Errorf("open span target %s: %w", target, err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(spans),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "carobthread"),
			attribute.String("host.name", host),
		)),
	)
	exporter.provider = provider
	// The provider flushes spans to the file, so it is closed first.
	exporter.closers = append([]func(context.Context) error{provider.Shutdown}, exporter.closers...)
	return exporter, nil
}

func (exporter *Exporter) open(ctx context.Context, target string) (sdktrace.SpanExporter, error) {
	if strings.HasPrefix(target, "http://") || strings.HasPrefix(target, "https://") {
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(target))
	}
	const fileMode = 0o600
	file, err := os.OpenFile(target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	exporter.closers = append(exporter.closers, func(context.Context) error { return file.Close() })
	return stdouttrace.New(stdouttrace.WithWriter(file))
}

// Provider returns the provider of tracers.
func (exporter *Exporter) Provider() trace.TracerProvider { return exporter.provider }

// Close flushes the spans and closes the target.
func (exporter *Exporter) Close(ctx context.Context) error {
	for _, closer := range exporter.closers {
		if err := closer(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Handler adds the trace context of the request headers to the context of the request that it passes to next.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		ctx := propagation.TraceContext{}.Extract(request.Context(), propagation.HeaderCarrier(request.Header))
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// InjectHeader writes the trace context of ctx into request headers.
func InjectHeader(ctx context.Context, header http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
}

// Inject returns the trace context of ctx as a traceparent string, or "" if there is none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparent]
}

// Extract returns the context with the trace context of a traceparent string; a malformed one is ignored.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparent: parent})
}
