package watcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"carobthread"
)

// RevisionHeader is the response header with the revision of a value.
const RevisionHeader = "Carobthread-Revision"

// Limits and timeouts of calls to the platform.
const (
	// MaxValueSize is the platform's limit on the size of a value in bytes; a larger response is an error.
	MaxValueSize = 1 << 20
	// MaxWatchTime is how long the platform holds a watch open before it responds that nothing has changed.
	MaxWatchTime = 30 * time.Second

	connectTimeout = time.Second
	readTimeout    = 3 * time.Second
	// watchGrace is how much longer than MaxWatchTime the response to a watch may take.
	watchGrace     = 3 * time.Second
	idleTimeout    = time.Minute
	maxHeaderSize  = 16 << 10 // bytes
	maxConnections = 8
	defaultRate    = 20 // calls per second
	defaultBurst   = 20 // calls
	maxRetryAfter  = time.Minute
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Options configure a watcher; zero values take the defaults.
type Options struct {
	// Address is the platform's IP:PORT.
	Address string
	// Rate limits the calls per second; the default is 20, at which 100 readers use the service's whole limit.
	Rate float64
	// Burst is the number of calls that may start at once after an idle time; the default is 20.
	Burst int
}

// Watcher reads and watches values over HTTP; it is safe for concurrent use.
type Watcher struct {
	base     url.URL
	client   *http.Client
	throttle *throttle
}

var _ carobthread.Platform = (*Watcher)(nil)

// New returns a watcher; it makes no requests before the first Read or Watch.
func New(timer carobthread.Timer, options Options) *Watcher {
	if options.Rate <= 0 {
		options.Rate = defaultRate
	}
	if options.Burst <= 0 {
		options.Burst = defaultBurst
	}
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: connectTimeout}).DialContext,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		MaxResponseHeaderBytes: maxHeaderSize,
	}
	return &Watcher{
		base: url.URL{Scheme: "http", Host: options.Address},
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		throttle: newThrottle(timer, options.Rate, options.Burst),
	}
}

// Close closes idle connections.
func (watcher *Watcher) Close() { watcher.client.CloseIdleConnections() }

// Stats returns the counts of calls so far.
func (watcher *Watcher) Stats() Stats { return watcher.throttle.snapshot() }

// Read returns the value of a key. The request times out after 3 s, not counting the wait for the rate limit and the
// backoff; errors are *carobthread.PlatformError.
func (watcher *Watcher) Read(ctx context.Context, key string) (carobthread.Value, error) {
	target := watcher.base.JoinPath("v1", "values", key)
	value, _, err := watcher.call(ctx, target, key, readTimeout)
	return value, err
}

// Watch returns the value of a key once its revision differs, or a value without content when the platform responds that
// it has not changed; errors are *carobthread.PlatformError.
func (watcher *Watcher) Watch(ctx context.Context, key string, revision uint64) (carobthread.Value, error) {
	target := watcher.base.JoinPath("v1", "watch", key)
	target.RawQuery = url.Values{"revision": {strconv.FormatUint(revision, 10)}}.Encode()
	value, changed, err := watcher.call(ctx, target, key, MaxWatchTime+watchGrace)
	if err != nil || changed {
		return value, err
	}
	return carobthread.Value{Key: key, Revision: revision}, nil
}

// call makes one request when the throttle permits it; the second result is false for an unchanged value.
func (watcher *Watcher) call(ctx context.Context, target *url.URL, key string, timeout time.Duration) (carobthread.Value, bool, error) {
	if err := watcher.throttle.wait(ctx); err != nil {
		return carobthread.Value{}, false, &carobthread.PlatformError{Key: key, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	value, changed, retryAfter, err := watcher.request(ctx, target, key)
	switch {
	case err == nil || isMissing(err):
		watcher.throttle.succeeded()
	case !errors.Is(err, context.Canceled):
		watcher.throttle.failed(retryAfter)
	}
	return value, changed, err
}

func isMissing(err error) bool {
	var failure *carobthread.PlatformError
	return errors.As(err, &failure) && failure.Missing
}

func (watcher *Watcher) request(ctx context.Context, target *url.URL, key string) (value carobthread.Value, changed bool, retryAfter time.Duration, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return value, false, 0, &carobthread.PlatformError{Key: key, Cause: err}
	}
	response, err := watcher.client.Do(request)
	if err != nil {
		return value, false, 0, &carobthread.PlatformError{Key: key, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		value, err = readValue(key, response)
		return value, err == nil, 0, err
	case http.StatusNotModified:
		return value, false, 0, nil
	case http.StatusNotFound:
		return value, false, 0, &carobthread.PlatformError{Key: key, Missing: true}
	case http.StatusTooManyRequests:
		return value, false, parseRetryAfter(response), &carobthread.PlatformError{Key: key, RateLimited: true}
	default:
		cause := fmt.Errorf("unexpected status %s", response.Status)
		return value, false, parseRetryAfter(response), &carobthread.PlatformError{Key: key, Cause: cause}
	}
}

// errNoLength is returned for a response whose truncation could not be detected; a part of a value may be a valid value.
var errNoLength = errors.New("the response has neither a length nor chunked encoding")

func readValue(key string, response *http.Response) (carobthread.Value, error) {
	revision, err := strconv.ParseUint(response.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return carobthread.Value{}, &carobthread.PlatformError{Key: key, Cause: fmt.Errorf("header %s: %w", RevisionHeader, err)}
	}
	if carobthread.EndsWithConnection(response) {
		return carobthread.Value{}, &carobthread.PlatformError{Key: key, Cause: errNoLength}
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, MaxValueSize+1))
	if err != nil {
		return carobthread.Value{}, &carobthread.PlatformError{Key: key, Cause: err}
	}
	if len(content) > MaxValueSize {
		return carobthread.Value{}, &carobthread.PlatformError{Key: key, Cause: fmt.Errorf("value exceeds %d bytes", MaxValueSize)}
	}
	return carobthread.Value{Key: key, Revision: revision, Content: content}, nil
}

// parseRetryAfter returns the header Retry-After, which is in seconds, or 0 if it is missing or malformed.
func parseRetryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseUint(response.Header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
