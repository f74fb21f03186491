package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"carobthread"
	"carobthread/parser"
	"carobthread/watcher"
)

// PlatformServer serves a Platform over HTTP on loopback.
type PlatformServer struct {
	platform *Platform
	server   *http.Server
	address  string
}

// ServePlatform serves a platform on an IP:PORT address; port 0 selects a free port.
func ServePlatform(platform *Platform, address string) (*PlatformServer, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the platform server: %w", err)
	}
	serving := &PlatformServer{platform: platform, address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", serving.read)
	mux.HandleFunc("GET /v1/watch/{key...}", serving.watch)
	mux.HandleFunc("PUT /v1/values/{key...}", serving.put)
	serving.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = serving.server.Serve(listener) }()
	return serving, nil
}

// Address returns the server's IP address and port.
func (serving *PlatformServer) Address() string { return serving.address }

// Close stops the server immediately and closes its connections.
func (serving *PlatformServer) Close() error { return serving.server.Close() }

func (serving *PlatformServer) read(writer http.ResponseWriter, request *http.Request) {
	value, err := serving.platform.Read(request.Context(), request.PathValue("key"))
	answer(writer, value, err)
}

func (serving *PlatformServer) watch(writer http.ResponseWriter, request *http.Request) {
	revision, err := parseRevision(request.URL.Query().Get("revision"))
	if err != nil {
		http.Error(writer, "malformed revision", http.StatusBadRequest)
		return
	}
	value, err := serving.platform.Watch(request.Context(), request.PathValue("key"), revision)
	if err == nil && value.Revision == revision {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	answer(writer, value, err)
}

func (serving *PlatformServer) put(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, parser.MaxSize))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	accept := func(uint64) bool { return true }
	if match := request.Header.Get("If-Match"); match != "" {
		accept = func(present uint64) bool { return match == strconv.FormatUint(present, 10) }
	}
	revision, accepted, err := serving.platform.PutIf(request.PathValue("key"), content, accept)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !accepted {
		http.Error(writer, "If-Match does not match the value's revision", http.StatusPreconditionFailed)
		return
	}
	writer.Header().Set(watcher.RevisionHeader, strconv.FormatUint(revision, 10))
	writer.WriteHeader(http.StatusNoContent)
}

// answer writes a value, or the HTTP status of an error.
func answer(writer http.ResponseWriter, value carobthread.Value, err error) {
	var failure *carobthread.PlatformError
	switch {
	case err == nil:
		writer.Header().Set(watcher.RevisionHeader, strconv.FormatUint(value.Revision, 10))
		writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = writer.Write(value.Content)
	case errors.As(err, &failure) && failure.Missing:
		http.Error(writer, err.Error(), http.StatusNotFound)
	case errors.As(err, &failure) && failure.RateLimited:
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, err.Error(), http.StatusTooManyRequests)
	default:
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
	}
}

// parseRevision parses the revision parameter of a watch, which defaults to 0.
func parseRevision(text string) (uint64, error) {
	if strings.TrimSpace(text) == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}
