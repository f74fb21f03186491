package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"connectrpc.com/connect"

	"carobthread"
	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
	"carobthread/tracer"
)

// Limits of every connection.
const (
	maxHeaderBytes = 64 << 10
	pingIdleTime   = 5 * time.Second // detects HTTP/2 connections that a network partition left open
	pingTimeout    = 2 * time.Second
	// encodingFactor bounds the bytes of a reply's body as it is sent, relative to its content; chunks add less.
	encodingFactor = 2
)

// Defaults for zero fields of Options.
const (
	defaultDialTimeout  = time.Second
	defaultConnections  = 4
	defaultMaxReplySize = 4 << 20
)

// Options selects the protocol and the limits of a Caller.
type Options struct {
	// HTTP2 selects HTTP/2 without encryption instead of HTTP/1.1.
	HTTP2        bool
	DialTimeout  time.Duration
	Connections  int // per searcher and service, until changed by SetConnections
	MaxReplySize int // in bytes
}

// Caller sends requests to searchers; it is safe for concurrent use.
type Caller struct {
	options       Options
	warmUpContext context.Context // cancelled by Close
	cancelWarmUps context.CancelFunc
	warmUps       sync.WaitGroup

	mutex     sync.Mutex
	limits    map[string]int // connection limits by searcher address
	endpoints map[endpointKey]*endpoint
	closed    bool
}

type endpointKey struct{ service, address string }

// endpoint is the connection pool and API client of one service at one searcher.
type endpoint struct {
	pool   *pool
	client carobthreadv1connect.SearcherServiceClient
}

var (
	_ carobthread.Upstream = (*Caller)(nil)
	_ carobthread.Reporter = (*Caller)(nil)
)

// New returns a caller without connections. Zero options are replaced by their defaults.
func New(options Options) *Caller {
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.Connections == 0 {
		options.Connections = defaultConnections
	}
	if options.MaxReplySize == 0 {
		options.MaxReplySize = defaultMaxReplySize
	}
	warmUpContext, cancelWarmUps := context.WithCancel(context.Background())
	return &Caller{options: options, warmUpContext: warmUpContext, cancelWarmUps: cancelWarmUps, limits: map[string]int{}, endpoints: map[endpointKey]*endpoint{}}
}

// Run sends an at-most-once request. It calls permit once, immediately before the first byte is written;
// an error from permit ends the request. A failure is a *RequestError whose state is NotRun if no byte was
// written, and MayHaveRun otherwise.
func (caller *Caller) Run(ctx context.Context, searcher carobthread.Searcher, request *carobthreadv1.RunRequest, permit func() error) (*carobthreadv1.RunResponse, error) {
	endpoint := caller.endpoint(request.GetService(), searcher.Address)
	conn, err := endpoint.pool.acquire(ctx, true, request.GetKey())
	if err != nil {
		return nil, newRequestError(carobthread.NotRun, request.GetService(), err)
	}
	gate := &gate{permit: permit}
	ctx = context.WithValue(ctx, bindingKey{}, &binding{conn: conn, gate: gate})
	response, err := endpoint.client.Run(ctx, tracedRequest(ctx, request))
	if err == nil && response.Msg.GetKey() != request.GetKey() {
		err = errors.New("the reply key differs from the request key")
	}
	unwritten, cause := gate.close()
	reusable := err == nil
	if reusable && response.Msg.GetNotRun() {
		reusable = conn.recordUnresolved(request.GetKey())
	}
	endpoint.pool.release(conn, reusable)
	switch {
	case err == nil:
		return response.Msg, nil
	case unwritten:
		return nil, newRequestError(carobthread.NotRun, request.GetService(), errors.Join(cause, err))
	default:
		return nil, newRequestError(carobthread.MayHaveRun, request.GetService(), err)
	}
}

// SearchShard sends one attempt. Cancelling the context also cancels the attempt at the searcher.
func (caller *Caller) SearchShard(ctx context.Context, searcher carobthread.Searcher, request *carobthread.ShardRequest) (*carobthread.ShardReply, error) {
	endpoint := caller.endpoint(request.Service, searcher.Address)
	response, err := callIdempotent(ctx, endpoint, request.Service, func(ctx context.Context) (*connect.Response[carobthreadv1.SearchShardResponse], error) {
		return endpoint.client.SearchShard(ctx, tracedRequest(ctx, encodeShardRequest(ctx, request)))
	})
	if err != nil {
		return nil, err
	}
	return decodeShardReply(response), nil
}

// Report requests the health, load and held snapshots of a searcher over a connection that serves only reports.
func (caller *Caller) Report(ctx context.Context, searcher carobthread.Searcher) (*carobthread.ReportArrived, error) {
	endpoint := caller.endpoint("", searcher.Address)
	report, err := callIdempotent(ctx, endpoint, "", func(ctx context.Context) (*connect.Response[carobthreadv1.ReportResponse], error) {
		return endpoint.client.Report(ctx, tracedRequest(ctx, &carobthreadv1.ReportRequest{}))
	})
	if err != nil {
		return nil, err
	}
	return decodeReport(searcher.Name, report), nil
}

func callIdempotent[Reply any](ctx context.Context, endpoint *endpoint, service string, call func(ctx context.Context) (*connect.Response[Reply], error)) (*Reply, error) {
	conn, err := endpoint.pool.acquire(ctx, false, "")
	if err != nil {
		return nil, newRequestError(carobthread.NotRun, service, err)
	}
	defer endpoint.pool.release(conn, true)
	response, err := call(context.WithValue(ctx, bindingKey{}, &binding{conn: conn}))
	if err != nil {
		return nil, newRequestError(carobthread.MayHaveRun, service, err)
	}
	return response.Msg, nil
}

// SetConnections sets the number of connections to the searcher for each service that uses it, and opens them.
func (caller *Caller) SetConnections(searcher carobthread.Searcher, count int) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if caller.closed || caller.limits[searcher.Address] == count {
		return
	}
	caller.limits[searcher.Address] = count
	for key, endpoint := range caller.endpoints {
		if key.address == searcher.Address && key.service != "" {
			endpoint.pool.resize(count)
			caller.warmUps.Go(func() { endpoint.pool.warmUp(caller.warmUpContext) })
		}
	}
}

// Close closes every connection once its requests have ended. Later requests fail as not run.
func (caller *Caller) Close() {
	caller.cancelWarmUps()
	caller.mutex.Lock()
	caller.closed = true
	for _, endpoint := range caller.endpoints {
		endpoint.pool.close()
	}
	caller.mutex.Unlock()
	caller.warmUps.Wait()
}

func (caller *Caller) endpoint(service, address string) *endpoint {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	key := endpointKey{service: service, address: address}
	if existing := caller.endpoints[key]; existing != nil {
		return existing
	}
	count := caller.options.Connections
	if configured, ok := caller.limits[address]; ok {
		count = configured
	}
	if service == "" {
		count = 1 // reports are rare and must not use a service's connections
	}
	created := &endpoint{pool: newPool(address, count, caller.options)}
	created.pool.closed = caller.closed
	created.client = carobthreadv1connect.NewSearcherServiceClient(sender{maxBodySize: encodingFactor * int64(caller.options.MaxReplySize)}, "http://"+address,
		connect.WithReadMaxBytes(caller.options.MaxReplySize),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	caller.endpoints[key] = created
	return created
}

type bindingKey struct{}

// binding assigns a request to a connection and, for Run, to a gate.
type binding struct {
	conn *connection
	gate *gate
}

// sender sends each request once, on the connection of the binding in its context.
type sender struct {
	// maxBodySize limits the bytes of a reply's body. connect limits what it keeps, but reads the rest up to its end.
	maxBodySize int64
}

var _ connect.HTTPClient = sender{}

// Do implements connect.HTTPClient. It follows no redirects, does not retry and keeps no cookies.
func (sender sender) Do(request *http.Request) (*http.Response, error) {
	binding := request.Context().Value(bindingKey{}).(*binding)
	if binding.gate != nil {
		var err error
		if request, err = prepareAtMostOnce(request, binding); err != nil {
			return nil, err
		}
	}
	response, err := binding.conn.client.RoundTrip(request)
	if err == nil {
		if err := carobthread.CheckStatus(response.StatusCode); err != nil {
			_ = response.Body.Close()
			binding.conn.close()
			return nil, err
		}
	}
	if err == nil && carobthread.EndsWithConnection(response) {
		_ = response.Body.Close()
		return nil, errors.New("the reply has neither a length nor chunked encoding; truncation could not be detected")
	}
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, sender.maxBodySize)
	}
	return response, err
}

// prepareAtMostOnce sets the gate and returns a copy of the request that net/http cannot send twice. It removes the
// idempotency headers and GetBody, which connect sets on every unary request.
func prepareAtMostOnce(request *http.Request, binding *binding) (*http.Request, error) {
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	ctx := request.Context()
	if binding.conn.http2 {
		ctx = httptrace.WithClientTrace(ctx, gateFromFirstHeader(binding.conn.raw, binding.gate))
	} else {
		binding.conn.raw.gate.Store(binding.gate) // HTTP/1.1 writes only the request
	}
	prepared := request.Clone(ctx)
	prepared.Body = io.NopCloser(bytes.NewReader(content))
	prepared.ContentLength = int64(len(content))
	prepared.GetBody = nil
	prepared.Header.Del("Idempotency-Key")
	prepared.Header.Del("X-Idempotency-Key")
	return prepared, nil
}

// newRequestError converts an error to a *RequestError. A *RequestError returned by permit keeps its reason.
func newRequestError(state carobthread.RunState, service string, err error) *carobthread.RequestError {
	var refusal *carobthread.RequestError
	if errors.As(err, &refusal) {
		return &carobthread.RequestError{State: state, Reason: refusal.Reason, Service: service, Detail: err.Error()}
	}
	reason := carobthread.ReasonConnectionLost
	var connectErr *connect.Error
	var invalid *carobthread.StatusError
	switch {
	case errors.As(err, &invalid):
		reason = carobthread.ReasonUpstreamFailed
	case errors.Is(err, context.DeadlineExceeded), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		reason = carobthread.ReasonTimeout
	case connect.CodeOf(err) == connect.CodeResourceExhausted:
		reason = carobthread.ReasonTooLarge
	case errors.As(err, &connectErr) && connect.IsWireError(err):
		reason = carobthread.ReasonUpstreamFailed
	}
	return &carobthread.RequestError{State: state, Reason: reason, Service: service, Detail: err.Error()}
}

// tracedRequest returns a request whose header carries the trace context to the searcher.
func tracedRequest[Message any](ctx context.Context, message *Message) *connect.Request[Message] {
	request := connect.NewRequest(message)
	tracer.InjectHeader(ctx, request.Header())
	return request
}
