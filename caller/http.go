package caller

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"carobthread"
	"carobthread/accountant"
)

const (
	// keepAliveMargin is how long before the end of a searcher's Keep-Alive timeout a connection is no longer used.
	keepAliveMargin = time.Second
	// maxAtMostOnceIdle is the longest idle time of a connection that an at-most-once request may use.
	maxAtMostOnceIdle = 150 * time.Millisecond
	// maxDialTimeout limits the time to open a connection. A lost SYN is retransmitted only after a second.
	maxDialTimeout = 500 * time.Millisecond
	// replyBlock is the size in bytes above which a reply counts as large.
	replyBlock = 64 << 10
	// defaultMaxLargeReplyBytes is a small part of the memory of the smallest hosts, about 400 MB.
	defaultMaxLargeReplyBytes = 64 << 20
)

// errSearcherLeaving is returned for requests to a searcher that is leaving or whose data centre is evacuated.
var errSearcherLeaving = errors.New("the searcher is leaving or evacuated")

// errUnidentifiedReply is returned for a reply without a request ID on a connection that has been used before.
var errUnidentifiedReply = errors.New("the reply has no request ID and may be a copy of an earlier one")

// errTooManyLargeReplies is returned for a reply that would exceed HTTPOptions.MaxLargeReplyBytes.
var errTooManyLargeReplies = errors.New("too many large replies at once")

// HTTPOptions are the header names, timer and limits of an HTTPCaller.
type HTTPOptions struct {
	Headers      carobthread.HeaderNames
	Timer        carobthread.Timer
	Connections  int // per searcher, until changed by SetConnections
	MaxReplySize int // in bytes
	// MaxLargeReplyBytes limits the bytes of all replies over 64 KiB that are read at the same time, until changed by
	// SetMaxLargeReplyBytes.
	MaxLargeReplyBytes int64
	// BytesPerConnection limits the bytes of the requests in flight to a searcher, for each connection to it that may be open;
	// 0 is no limit. One request is sent whatever its size.
	BytesPerConnection int64
	// Accountant limits the memory held for searchers; nil limits nothing.
	Accountant *accountant.Accountant
}

// HTTPCaller forwards plain HTTP/1.1 requests to searchers; it is safe for concurrent use.
//
// A request is sent once, on a connection that carries no other request at the
// same time. A reply is accepted only if it is complete, signed by the
// searcher and for this request. A connection on which anything else was
// received is closed.
type HTTPCaller struct {
	options HTTPOptions
	mutex   sync.Mutex
	limits  map[string]int   // connection limits by searcher name
	pools   map[string]*pool // by searcher name
	// leaving is the set of searchers that must receive no new requests.
	leaving map[string]bool
	closed  bool
	// largeReplyBytes counts the bytes of the large replies that are being read.
	largeReplyBytes    atomic.Int64
	maxLargeReplyBytes atomic.Int64
}

var _ carobthread.Upstream = (*HTTPCaller)(nil)

// NewHTTP returns a caller without connections.
func NewHTTP(options HTTPOptions) *HTTPCaller {
	if options.Connections == 0 {
		options.Connections = defaultConnections
	}
	if options.MaxReplySize == 0 {
		options.MaxReplySize = defaultMaxReplySize
	}
	caller := &HTTPCaller{options: options, limits: map[string]int{}, pools: map[string]*pool{}, leaving: map[string]bool{}}
	caller.SetMaxLargeReplyBytes(options.MaxLargeReplyBytes)
	return caller
}

// SetMaxLargeReplyBytes changes HTTPOptions.MaxLargeReplyBytes; 0 restores the default.
func (caller *HTTPCaller) SetMaxLargeReplyBytes(limit int64) {
	caller.maxLargeReplyBytes.Store(cmp.Or(limit, defaultMaxLargeReplyBytes))
}

// SetConnections sets the maximum number of connections to the searcher.
func (caller *HTTPCaller) SetConnections(searcher carobthread.Searcher, count int) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.limits[searcher.Name] = count
	if searcherPool := caller.pools[searcher.Name]; searcherPool != nil {
		searcherPool.resize(count)
	}
}

// SetLeaving sets whether the searcher is leaving or evacuated. While it is, requests of which no byte has been written fail as not run.
//
// This covers requests that have waited for a connection since their searcher was chosen, possibly for a long time.
func (caller *HTTPCaller) SetLeaving(searcher string, leaving bool) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	if caller.leaving[searcher] == leaving {
		return
	}
	if leaving {
		caller.leaving[searcher] = true
	} else {
		delete(caller.leaving, searcher)
	}
	if searcherPool := caller.pools[searcher]; searcherPool != nil {
		searcherPool.setLeaving(leaving)
	}
}

// Forget closes the connections to a searcher that is gone and removes its state.
func (caller *HTTPCaller) Forget(searcher string) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	searcherPool := caller.pools[searcher]
	delete(caller.limits, searcher)
	delete(caller.pools, searcher)
	delete(caller.leaving, searcher)
	if searcherPool != nil {
		searcherPool.close()
	}
}

// Close closes every connection once its request has ended.
func (caller *HTTPCaller) Close() {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.closed = true
	for _, pool := range caller.pools {
		pool.close()
	}
}

func (caller *HTTPCaller) pool(searcher carobthread.Searcher) *pool {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	searcherPool := caller.pools[searcher.Name]
	if searcherPool != nil {
		return searcherPool
	}
	count := caller.options.Connections
	if configured, ok := caller.limits[searcher.Name]; ok {
		count = configured
	}
	searcherPool = newPool(searcher.Address, count, Options{})
	searcherPool.http1Dialer = &net.Dialer{Timeout: maxDialTimeout}
	searcherPool.maxReplySize = caller.options.MaxReplySize
	searcherPool.accountant = caller.options.Accountant
	searcherPool.bytesPerConnection = caller.options.BytesPerConnection
	searcherPool.closed = caller.closed
	searcherPool.leaving = caller.leaving[searcher.Name]
	caller.pools[searcher.Name] = searcherPool
	return searcherPool
}

// SearchShard forwards one attempt. A failure is a *RequestError whose state is NotRun only if no byte was written.
func (caller *HTTPCaller) SearchShard(ctx context.Context, searcher carobthread.Searcher, request *carobthread.ShardRequest) (*carobthread.ShardReply, error) {
	started := caller.options.Timer.Now()
	pool := caller.pool(searcher)
	size := requestSize(request)
	if err := pool.reserve(ctx, size); err != nil {
		return nil, newRequestError(carobthread.NotRun, request.Service, err)
	}
	defer pool.unreserve(size)
	conn, err := caller.acquire(ctx, pool, request.Request.ID, request.AtMostOnce)
	if err != nil {
		return nil, newRequestError(carobthread.NotRun, request.Service, err)
	}
	gate := &gate{permit: func() error { return cmp.Or(ctx.Err(), pool.checkAccepting()) }}
	conn.raw.gate.Store(gate)
	timing := carobthread.AttemptTiming{Connected: caller.options.Timer.Now().Sub(started), NewConnection: conn.lastUsedAt == 0}
	reply, reusable, err := caller.exchange(ctx, conn, searcher, request)
	unwritten, cause := gate.close()
	pool.release(conn, err == nil && reusable && conn.client.Err() == nil)
	switch {
	case err == nil:
		timing.FirstByte, timing.Complete = reply.Timing.FirstByte+timing.Connected, caller.options.Timer.Now().Sub(started)
		reply.Timing = timing
		return reply, nil
	case unwritten:
		return nil, newRequestError(carobthread.NotRun, request.Service, errors.Join(cause, err))
	default:
		return nil, newRequestError(carobthread.MayHaveRun, request.Service, err)
	}
}

// acquire returns a connection that its searcher is not about to close and that has carried no earlier attempt of the
// request which ended without a result. An at-most-once request gets no connection that was idle for longer than
// maxAtMostOnceIdle, since a searcher may have dropped an idle connection silently. A request without an ID gets a new
// connection, since its reply can't be told from a second copy of an earlier one.
func (caller *HTTPCaller) acquire(ctx context.Context, pool *pool, id string, atMostOnce bool) (*connection, error) {
	for {
		conn, err := pool.acquire(ctx, true, id)
		if err != nil {
			return nil, err
		}
		now := caller.options.Timer.Now()
		expired := conn.expiresAt != 0 && now >= conn.expiresAt
		idleTooLong := atMostOnce && conn.lastUsedAt != 0 && now.Sub(conn.lastUsedAt) > maxAtMostOnceIdle
		unidentifiable := id == "" && conn.lastUsedAt != 0
		if !expired && !idleTooLong && !unidentifiable {
			return conn, nil
		}
		pool.release(conn, false)
	}
}

// exchange sends the request and reads the complete reply; reusable is false if the searcher closes the connection
// after the reply.
func (caller *HTTPCaller) exchange(ctx context.Context, conn *connection, searcher carobthread.Searcher, request *carobthread.ShardRequest) (reply *carobthread.ShardReply, reusable bool, err error) {
	httpRequest, err := caller.httpRequest(ctx, searcher, request)
	if err != nil {
		return nil, false, err
	}
	started := caller.options.Timer.Now()
	response, err := conn.client.RoundTrip(httpRequest)
	if err != nil {
		return nil, false, err
	}
	firstByte := caller.options.Timer.Now().Sub(started)
	defer func() { _ = response.Body.Close() }() // the body has been read, or its connection is discarded
	length := response.ContentLength
	if httpRequest.Method == http.MethodHead {
		length = 0 // the reply states the length that the reply to a GET has
	}
	body, readErr := caller.readBody(response.Body, length, conn, request.Request.Account)
	if readErr != nil && caller.rejection(response) == "" { // the header of a rejection says all
		return nil, false, fmt.Errorf("read reply: %w", readErr)
	}
	names := &caller.options.Headers
	if err := checkEcho(response.Header.Get(names.RequestID), request.Request.ID, conn.lastUsedAt != 0); err != nil {
		return nil, false, err
	}
	conn.expiresAt = caller.keepAliveExpiry(response.Header)
	conn.lastUsedAt = caller.options.Timer.Now()
	reply = caller.classifyReply(request, response, body)
	reply.Timing.FirstByte = firstByte
	reusable = readErr == nil && !response.Close && request.Request.ID != ""
	if reply.Status != carobthread.ReplyOK {
		reusable = conn.recordUnresolved(request.Request.ID) && reusable
	}
	return reply, reusable, nil
}

// checkEcho returns an error unless the reply belongs to the request with the ID. A connection that has been used may carry
// a late second copy of an earlier reply, so only a reply on a new connection may lack the ID. A copy of the reply to an
// earlier attempt of the same request has its ID; such attempts never share a connection (see connection.recordUnresolved).
func checkEcho(echoed, id string, used bool) error {
	switch {
	case echoed == "" && used:
		return errUnidentifiedReply
	case echoed != "" && echoed != id:
		return fmt.Errorf("the reply is for request %q", echoed)
	}
	return nil
}

// readBody reads a reply's body up to its end; length is its stated length in bytes, or -1. The account keeps what was read.
func (caller *HTTPCaller) readBody(source io.Reader, length int64, conn *connection, account carobthread.MemoryAccount) ([]byte, error) {
	transfer := caller.options.Accountant.Begin(carobthread.MemoryReplies, accountant.FirstBlock, conn.close)
	defer transfer.End()
	meter := &replyMeter{Transfer: transfer, caller: caller}
	defer meter.end()
	body, err := accountant.ReadBody(source, length, caller.options.MaxReplySize, meter)
	if err != nil {
		return nil, cmp.Or(transfer.Failure(), err)
	}
	transfer.Keep(account)
	return body, nil
}

// replyMeter counts the buffer of a reply above replyBlock against the limit of large replies, so that many searchers that
// send without end can't fill the memory together.
type replyMeter struct {
	*accountant.Transfer
	caller   *HTTPCaller
	reserved int
}

// Grow counts the new size of the reply's buffer.
func (meter *replyMeter) Grow(size int) error {
	if size > replyBlock {
		total := meter.caller.largeReplyBytes.Add(int64(size - meter.reserved))
		meter.reserved = size
		if total > meter.caller.maxLargeReplyBytes.Load() {
			return errTooManyLargeReplies
		}
	}
	return meter.Transfer.Grow(size)
}

func (meter *replyMeter) end() { meter.caller.largeReplyBytes.Add(-int64(meter.reserved)) }

// requestHeadSize is what a request's header adds to the size of its body, in bytes; the header is not measured.
const requestHeadSize = 1 << 10

// requestSize returns the approximate number of bytes that a searcher holds for a request.
func requestSize(request *carobthread.ShardRequest) int64 {
	return requestHeadSize + int64(len(request.Request.Body))
}

// httpRequest builds the request. Its deadline header is the remaining time just before the request is written.
func (caller *HTTPCaller) httpRequest(ctx context.Context, searcher carobthread.Searcher, request *carobthread.ShardRequest) (*http.Request, error) {
	names := &caller.options.Headers
	head := request.Request.HTTP
	header := head.Header.Clone()
	header.Set(names.RequestID, request.Request.ID)
	header.Set(names.ExpectInstance, searcher.Instance)
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		remaining := time.Until(deadline)
		if remaining < time.Millisecond {
			return nil, context.DeadlineExceeded
		}
		header.Set(names.TimeLeft, strconv.FormatInt(remaining.Milliseconds(), 10))
	}
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""} // prevents net/http from adding its own
	}
	httpRequest := &http.Request{
		Method: head.Method,
		URL:    targetURL(searcher.Address, head.Target),
		Host:   head.Host,
		Header: header,
		Body:   http.NoBody,
	}
	if len(request.Request.Body) > 0 {
		httpRequest.Body = io.NopCloser(bytes.NewReader(request.Request.Body)) // without GetBody, net/http cannot send it again
		httpRequest.ContentLength = int64(len(request.Request.Body))
	}
	return httpRequest.WithContext(ctx), nil
}

// targetURL returns a URL that net/http writes as the given request target. The opaque form cannot represent a target
// that starts with two slashes.
func targetURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	path, query, hasQuery := strings.Cut(target, "?")
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		unescaped = path
	}
	return &url.URL{Scheme: "http", Host: address, Path: unescaped, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
}

// rejection returns ReplyMisdirected or ReplyShed if the header of the response proves that the searcher has not run the request,
// and an empty status otherwise.
//
// A searcher that is not the expected one answers 421 and signs nothing. The expected one may fail with the same status after it
// has run the request; then only its statement shows that it has not.
func (caller *HTTPCaller) rejection(response *http.Response) carobthread.ReplyStatus {
	names := &caller.options.Headers
	statedNotRun := len(response.Header[http.CanonicalHeaderKey(names.NotRun)]) > 0
	signed := response.Header.Get(names.Signature) != ""
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest && (statedNotRun || !signed):
		return carobthread.ReplyMisdirected
	case statedNotRun:
		return carobthread.ReplyShed
	}
	return ""
}

// classifyReply returns the reply with the status that follows from its HTTP status and headers.
func (caller *HTTPCaller) classifyReply(request *carobthread.ShardRequest, response *http.Response, body []byte) *carobthread.ShardReply {
	names := &caller.options.Headers
	reply := &carobthread.ShardReply{
		Attempt: request.Attempt,
		Shard:   request.Shard,
		Layout:  request.Layout,
		Status:  carobthread.ReplyFailed,
		Load:    parseLoad(response.Header.Get(names.Load)),
	}
	signature := response.Header.Get(names.Signature)
	rejection := caller.rejection(response)
	if rejection == carobthread.ReplyShed || rejection == "" && signature != "" {
		reply.Backpressure = &carobthread.Backpressure{
			RateLimit: parseRateLimit(response.Header.Get(names.RateLimit)),
			Leaving:   strings.TrimSpace(response.Header.Get(names.Leaving)) == "1",
		}
		if response.StatusCode == http.StatusServiceUnavailable {
			reply.Backpressure.RetryAfterMicros = parseRetryAfter(response.Header.Get("Retry-After")).Microseconds()
		}
		reply.Draining = reply.Backpressure.Leaving
	}
	switch {
	case rejection != "":
		reply.Status = rejection
	case signature == "" || response.Header.Get("Content-Encoding") != "":
	default:
		reply.HTTP = &carobthread.HTTPReply{Status: response.StatusCode, Header: response.Header, Body: body, Signature: signature}
		if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
			reply.Status = carobthread.ReplyOK
		}
	}
	return reply
}
