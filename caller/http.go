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
	"time"

	"carobthread"
)

const (
	// idleMargin is how long before a searcher's stated idle timeout its connection is no longer used.
	idleMargin = time.Second
	// onceIdle is how long a connection may have been idle before a request that may not be repeated.
	onceIdle = 150 * time.Millisecond
	// maxDialTimeout bounds the opening of a connection: a lost opening packet is sent again only after a second.
	maxDialTimeout = 500 * time.Millisecond
)

// errLeaving refuses requests to a searcher that is leaving.
var errLeaving = errors.New("the searcher is leaving")

// HTTPOptions fix the names and bounds of an HTTPCaller.
type HTTPOptions struct {
	Headers      carobthread.HeaderNames
	Timer        carobthread.Timer
	Connections  int // to each searcher, until SetConnections
	MaxReplySize int // in bytes
}

// HTTPCaller forwards plain HTTP/1.1 requests to searchers; it is safe for concurrent use.
//
// A request goes out once, on a connection that carries nothing else
// meanwhile. A reply counts only if it is whole, sealed and for this request; a
// connection on which anything else has come is closed.
type HTTPCaller struct {
	options HTTPOptions
	mutex   sync.Mutex
	counts  map[string]int
	pools   map[string]*pool
	// leaving holds the searchers that new requests must no longer reach.
	leaving map[string]bool
	closed  bool
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
	return &HTTPCaller{options: options, counts: map[string]int{}, pools: map[string]*pool{}, leaving: map[string]bool{}}
}

// SetConnections bounds the connections to the searcher.
func (caller *HTTPCaller) SetConnections(searcher carobthread.Searcher, count int) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.counts[searcher.Name] = count
	if found := caller.pools[searcher.Name]; found != nil {
		found.resize(count)
	}
}

// SetLeaving states whether the searcher is leaving: requests of which no byte has been written then fail as not run.
//
// A request may wait for a connection long after its searcher was chosen.
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
	if found := caller.pools[searcher]; found != nil {
		found.setLeaving(leaving)
	}
}

// Forget closes the connections to a searcher that is gone and drops what is known of it.
func (caller *HTTPCaller) Forget(searcher string) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	found := caller.pools[searcher]
	delete(caller.counts, searcher)
	delete(caller.pools, searcher)
	delete(caller.leaving, searcher)
	if found != nil {
		found.close()
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
	found := caller.pools[searcher.Name]
	if found != nil {
		return found
	}
	count := caller.options.Connections
	if set, known := caller.counts[searcher.Name]; known {
		count = set
	}
	found = newPool(searcher.Address, count, Options{})
	found.plain = &net.Dialer{Timeout: maxDialTimeout}
	found.closed = caller.closed
	found.leaving = caller.leaving[searcher.Name]
	caller.pools[searcher.Name] = found
	return found
}

// SearchShard forwards one attempt; a failure is a *RequestError that says not-run only if no byte was written.
func (caller *HTTPCaller) SearchShard(ctx context.Context, searcher carobthread.Searcher, request *carobthread.ShardRequest) (*carobthread.ShardReply, error) {
	pool := caller.pool(searcher)
	conn, err := caller.acquire(ctx, pool, request.Once)
	if err != nil {
		return nil, failure(carobthread.NotRun, request.Service, err)
	}
	gate := &gate{permit: func() error { return cmp.Or(ctx.Err(), pool.admits()) }}
	conn.raw.gate.Store(gate)
	reply, reusable, err := caller.exchange(ctx, conn, searcher, request)
	unwritten, cause := gate.close()
	pool.release(conn, err == nil && reusable && conn.client.Err() == nil)
	switch {
	case err == nil:
		return reply, nil
	case unwritten:
		return nil, failure(carobthread.NotRun, request.Service, errors.Join(cause, err))
	default:
		return nil, failure(carobthread.MayHaveRun, request.Service, err)
	}
}

// acquire returns a connection that its searcher has not been about to close; for a request that may not be repeated,
// one that has hardly been idle, since a searcher may have forgotten an idle connection without a sign.
func (caller *HTTPCaller) acquire(ctx context.Context, pool *pool, once bool) (*connection, error) {
	for {
		conn, err := pool.acquire(ctx, true)
		if err != nil {
			return nil, err
		}
		now := caller.options.Timer.Now()
		expired := conn.expires != 0 && now >= conn.expires
		forgotten := once && conn.usedAt != 0 && now.Sub(conn.usedAt) > onceIdle
		if !expired && !forgotten {
			return conn, nil
		}
		pool.release(conn, false)
	}
}

// exchange sends the request and reads the whole reply; reusable says that nothing but the reply has come.
func (caller *HTTPCaller) exchange(ctx context.Context, conn *connection, searcher carobthread.Searcher, request *carobthread.ShardRequest) (reply *carobthread.ShardReply, reusable bool, err error) {
	message, err := caller.message(ctx, searcher, request)
	if err != nil {
		return nil, false, err
	}
	response, err := conn.client.RoundTrip(message)
	if err != nil {
		return nil, false, err
	}
	defer func() { _ = response.Body.Close() }() // has been read or is given up with its connection
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(caller.options.MaxReplySize)+1))
	if err != nil {
		return nil, false, fmt.Errorf("read reply: %w", err)
	}
	if len(body) > caller.options.MaxReplySize {
		return nil, false, fmt.Errorf("the reply is over %d bytes", caller.options.MaxReplySize)
	}
	names := &caller.options.Headers
	if echoed := response.Header.Get(names.RequestID); echoed != "" && echoed != request.Request.ID {
		return nil, false, fmt.Errorf("the reply is for request %q", echoed)
	}
	conn.expires = caller.expiry(response.Header)
	conn.usedAt = caller.options.Timer.Now()
	return caller.judge(request, response, body), !response.Close, nil
}

// message builds the request; the time left is stated as it is just before the request is written.
func (caller *HTTPCaller) message(ctx context.Context, searcher carobthread.Searcher, request *carobthread.ShardRequest) (*http.Request, error) {
	names := &caller.options.Headers
	head := request.Request.HTTP
	header := head.Header.Clone()
	header.Set(names.RequestID, request.Request.ID)
	header.Set(names.ExpectInstance, searcher.Instance)
	if deadline, bounded := ctx.Deadline(); bounded {
		left := time.Until(deadline)
		if left < time.Millisecond {
			return nil, context.DeadlineExceeded
		}
		header.Set(names.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	message := &http.Request{
		Method: head.Method,
		URL:    targetURL(searcher.Address, head.Target),
		Host:   head.Host,
		Header: header,
		Body:   http.NoBody,
	}
	if len(request.Request.Body) > 0 {
		message.Body = io.NopCloser(bytes.NewReader(request.Request.Body)) // without GetBody, so that it is never sent again
		message.ContentLength = int64(len(request.Request.Body))
	}
	return message.WithContext(ctx), nil
}

// targetURL returns a URL that net/http writes as the given target; an opaque one may not begin with two slashes.
func targetURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	path, query, found := strings.Cut(target, "?")
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		unescaped = path
	}
	return &url.URL{Scheme: "http", Host: address, Path: unescaped, RawPath: path, RawQuery: query, ForceQuery: found && query == ""}
}

// judge decides what a whole reply counts as.
func (caller *HTTPCaller) judge(request *carobthread.ShardRequest, response *http.Response, body []byte) *carobthread.ShardReply {
	names := &caller.options.Headers
	reply := &carobthread.ShardReply{
		Attempt: request.Attempt,
		Shard:   request.Shard,
		Layout:  request.Layout,
		Status:  carobthread.ReplyFailed,
		Load:    parseLoad(response.Header.Get(names.Load)),
	}
	seal := response.Header.Get(names.Seal)
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		reply.Status = carobthread.ReplyMisdirected
	case len(response.Header[http.CanonicalHeaderKey(names.NotRun)]) > 0:
		reply.Status = carobthread.ReplyShed
	case seal == "" || response.Header.Get("Content-Encoding") != "":
	default:
		reply.HTTP = &carobthread.HTTPReply{Status: response.StatusCode, Header: response.Header, Body: body, Seal: seal}
		if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
			reply.Status = carobthread.ReplyOK
		}
	}
	return reply
}

// parseLoad reads "running,waiting,slots"; nil if it is not of that form.
func parseLoad(text string) *carobthread.Load {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return nil
	}
	numbers := [3]int{}
	for i, field := range fields {
		number, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil {
			return nil
		}
		numbers[i] = number
	}
	return &carobthread.Load{Running: numbers[0], Queued: numbers[1], Slots: numbers[2]}
}

// expiry returns until when the connection may be used again by the searcher's Keep-Alive header, or 0 for no bound.
func (caller *HTTPCaller) expiry(header http.Header) carobthread.Instant {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return caller.options.Timer.Now().Add(max(time.Millisecond, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
	return 0
}

// ofConnection reports whether a header concerns one connection only.
func ofConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// EndToEnd returns a copy of the header without what concerns one connection only.
func EndToEnd(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	listed := header.Values("Connection")
	for name, values := range header {
		if !ofConnection(name) && !namedIn(listed, name) {
			kept[name] = values
		}
	}
	return kept
}

func namedIn(lists []string, name string) bool {
	for _, list := range lists {
		for _, item := range strings.Split(list, ",") {
			if strings.EqualFold(strings.TrimSpace(item), name) {
				return true
			}
		}
	}
	return false
}
