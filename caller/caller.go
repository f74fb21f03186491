package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
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
	pingAfter      = 5 * time.Second // finds HTTP/2 connections that a partition left open
	pingTimeout    = 2 * time.Second
)

// Defaults of Options fields that are zero.
const (
	defaultDialTimeout  = time.Second
	defaultConnections  = 4
	defaultMaxReplySize = 4 << 20
)

// Options fixes the protocol and the bounds of a Caller.
type Options struct {
	// HTTP2 selects HTTP/2 without encryption instead of HTTP/1.1.
	HTTP2        bool
	DialTimeout  time.Duration
	Connections  int // to each searcher for each service, until SetConnections
	MaxReplySize int // in bytes
}

// Caller sends requests to searchers; it is safe for concurrent use.
type Caller struct {
	options Options
	warming context.Context // ends connections being opened ahead when the caller closes
	stop    context.CancelFunc
	warmers sync.WaitGroup

	mutex  sync.Mutex
	counts map[string]int // connections set for an address
	pools  map[poolKey]*lane
	closed bool
}

type poolKey struct{ service, address string }

// lane is a pool with the API client that sends over it.
type lane struct {
	pool   *pool
	client carobthreadv1connect.SearcherServiceClient
}

var (
	_ carobthread.Upstream = (*Caller)(nil)
	_ carobthread.Reporter = (*Caller)(nil)
)

// New returns a caller without connections; zero options take the defaults.
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
	warming, stop := context.WithCancel(context.Background())
	return &Caller{options: options, warming: warming, stop: stop, counts: map[string]int{}, pools: map[poolKey]*lane{}}
}

// Run sends one request that may not be repeated. It calls permit once, directly before the first byte
// is written; an error of permit ends the request. A failure is a *RequestError: NotRun if no byte was
// written, MayHaveRun otherwise.
func (caller *Caller) Run(ctx context.Context, searcher carobthread.Searcher, request *carobthreadv1.RunRequest, permit func() error) (*carobthreadv1.RunResponse, error) {
	lane := caller.lane(request.GetService(), searcher.Address)
	conn, err := lane.pool.acquire(ctx, true)
	if err != nil {
		return nil, failure(carobthread.NotRun, request.GetService(), err)
	}
	gate := &gate{permit: permit}
	ctx = context.WithValue(ctx, sendKey{}, &send{conn: conn, gate: gate})
	response, err := lane.client.Run(ctx, traced(ctx, request))
	if err == nil && response.Msg.GetKey() != request.GetKey() {
		err = errors.New("the reply names another key")
	}
	unwritten, cause := gate.close()
	lane.pool.release(conn, err == nil)
	switch {
	case err == nil:
		return response.Msg, nil
	case unwritten:
		return nil, failure(carobthread.NotRun, request.GetService(), errors.Join(cause, err))
	default:
		return nil, failure(carobthread.MayHaveRun, request.GetService(), err)
	}
}

// SearchShard sends one attempt; cancelling its context cancels it at the searcher.
func (caller *Caller) SearchShard(ctx context.Context, searcher carobthread.Searcher, request *carobthread.ShardRequest) (*carobthread.ShardReply, error) {
	lane := caller.lane(request.Service, searcher.Address)
	response, err := repeatable(ctx, lane, request.Service, func(ctx context.Context) (*connect.Response[carobthreadv1.SearchShardResponse], error) {
		return lane.client.SearchShard(ctx, traced(ctx, encodeShardRequest(ctx, request)))
	})
	if err != nil {
		return nil, err
	}
	return decodeShardReply(response), nil
}

// Report asks a searcher for its health, load and held snapshots over a connection of its own.
func (caller *Caller) Report(ctx context.Context, searcher carobthread.Searcher) (*carobthread.ReportArrived, error) {
	lane := caller.lane("", searcher.Address)
	report, err := repeatable(ctx, lane, "", func(ctx context.Context) (*connect.Response[carobthreadv1.ReportResponse], error) {
		return lane.client.Report(ctx, traced(ctx, &carobthreadv1.ReportRequest{}))
	})
	if err != nil {
		return nil, err
	}
	return decodeReport(searcher.Name, report), nil
}

func repeatable[Reply any](ctx context.Context, lane *lane, service string, call func(ctx context.Context) (*connect.Response[Reply], error)) (*Reply, error) {
	conn, err := lane.pool.acquire(ctx, false)
	if err != nil {
		return nil, failure(carobthread.NotRun, service, err)
	}
	defer lane.pool.release(conn, true)
	response, err := call(context.WithValue(ctx, sendKey{}, &send{conn: conn}))
	if err != nil {
		return nil, failure(carobthread.MayHaveRun, service, err)
	}
	return response.Msg, nil
}

// SetConnections keeps this many connections open to the searcher for each service that uses it.
func (caller *Caller) SetConnections(searcher carobthread.Searcher, count int) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if caller.closed || caller.counts[searcher.Address] == count {
		return
	}
	caller.counts[searcher.Address] = count
	for key, lane := range caller.pools {
		if key.address == searcher.Address && key.service != "" {
			lane.pool.resize(count)
			caller.warmers.Go(func() { lane.pool.warm(caller.warming) })
		}
	}
}

// Close closes every connection once its requests have ended; later requests fail as not run.
func (caller *Caller) Close() {
	caller.stop()
	caller.mutex.Lock()
	caller.closed = true
	for _, lane := range caller.pools {
		lane.pool.close()
	}
	caller.mutex.Unlock()
	caller.warmers.Wait()
}

func (caller *Caller) lane(service, address string) *lane {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	key := poolKey{service: service, address: address}
	if found := caller.pools[key]; found != nil {
		return found
	}
	count := caller.options.Connections
	if set, known := caller.counts[address]; known {
		count = set
	}
	if service == "" {
		count = 1 // reports are rare and must not take a service's connections
	}
	made := &lane{pool: newPool(address, count, caller.options)}
	made.pool.closed = caller.closed
	made.client = carobthreadv1connect.NewSearcherServiceClient(sender{}, "http://"+address,
		connect.WithReadMaxBytes(caller.options.MaxReplySize),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	caller.pools[key] = made
	return made
}

type sendKey struct{}

// send says on which connection a request goes and, for Run, behind which gate.
type send struct {
	conn *connection
	gate *gate
}

// sender sends each request once on the connection that its context names.
type sender struct{}

var _ connect.HTTPClient = sender{}

// Do implements connect.HTTPClient without redirects, retries or cookies.
func (sender) Do(request *http.Request) (*http.Response, error) {
	send := request.Context().Value(sendKey{}).(*send)
	if send.gate != nil {
		var err error
		if request, err = guard(request, send); err != nil {
			return nil, err
		}
	}
	response, err := send.conn.client.RoundTrip(request)
	if err == nil && unbounded(response) {
		_ = response.Body.Close()
		return nil, errors.New("the reply has no length, so that a cut could not be noticed")
	}
	return response, err
}

// guard strips everything that permits net/http to send a request twice: connect sets GetBody on every unary request.
func guard(request *http.Request, send *send) (*http.Request, error) {
	content, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, fmt.Errorf("read request: %w", err)
	}
	ctx := request.Context()
	if send.conn.http2 {
		ctx = httptrace.WithClientTrace(ctx, armTrace(send.conn.raw, send.gate))
	} else {
		send.conn.raw.gate.Store(send.gate) // HTTP/1.1 writes nothing but the request
	}
	guarded := request.Clone(ctx)
	guarded.Body = io.NopCloser(bytes.NewReader(content))
	guarded.ContentLength = int64(len(content))
	guarded.GetBody = nil
	guarded.Header.Del("Idempotency-Key")
	guarded.Header.Del("X-Idempotency-Key")
	return guarded, nil
}

// unbounded reports a reply that ends with its connection, where a cut reply looks like a short one.
func unbounded(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}

// failure maps an error to a *RequestError; a refusal of the permit keeps its own reason.
func failure(state carobthread.RunState, service string, err error) *carobthread.RequestError {
	var refusal *carobthread.RequestError
	if errors.As(err, &refusal) {
		return &carobthread.RequestError{State: state, Reason: refusal.Reason, Service: service, Detail: err.Error()}
	}
	reason := carobthread.ReasonConnectionLost
	var answered *connect.Error
	switch {
	case errors.Is(err, context.DeadlineExceeded), connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		reason = carobthread.ReasonTimeout
	case connect.CodeOf(err) == connect.CodeResourceExhausted:
		reason = carobthread.ReasonTooLarge
	case errors.As(err, &answered) && connect.IsWireError(err):
		reason = carobthread.ReasonUpstreamFailed
	}
	return &carobthread.RequestError{State: state, Reason: reason, Service: service, Detail: err.Error()}
}

// traced returns a request that carries the context's trace to the searcher.
func traced[Message any](ctx context.Context, message *Message) *connect.Request[Message] {
	request := connect.NewRequest(message)
	tracer.InjectHeader(ctx, request.Header())
	return request
}
