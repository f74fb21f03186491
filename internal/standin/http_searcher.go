package standin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"carobthread"
)

// HTTPSearcherOptions configure an HTTPSearcher.
type HTTPSearcherOptions struct {
	ID          string
	Group       string // the service that the searcher registers for
	DataCentre  string
	Slots       int
	ServiceTime time.Duration // processing time of a request
	// Records is the number of records in a response; 0 echoes the request body.
	Records int
	Headers carobthread.HeaderNames
	Store   *Store
	// BehindProxy puts a Proxy between the callers and the searcher.
	BehindProxy bool
	// ColdTime is how long the searcher states that it is cold after its start.
	ColdTime time.Duration
}

// HTTPSearcher is a fake searcher that serves plain forwarded HTTP requests and registers itself in a Store.
type HTTPSearcher struct {
	options               HTTPSearcherOptions
	server                *http.Server
	address               string
	proxy                 *Proxy
	slots                 chan struct{}
	sequence              atomic.Int64 // of heartbeats
	startedMillis         atomic.Int64
	draining              atomic.Bool
	heartbeatsPaused      atomic.Bool
	responsesToDrop       atomic.Int64
	failureStatus         atomic.Int64
	rejecting             atomic.Bool
	serviceTime           atomic.Int64
	requestsWhileDraining atomic.Int64
	requests              atomic.Int64
	stop                  chan struct{}
	heartbeats            sync.WaitGroup

	mutex sync.Mutex
	runs  map[string]int // by request ID
	// coldArrivals holds the times of the requests that have arrived while the searcher was cold.
	coldArrivals []time.Time
}

// NewHTTPSearcher starts a searcher on a free loopback port and registers it.
func NewHTTPSearcher(options HTTPSearcherOptions) (*HTTPSearcher, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for searcher %s: %w", options.ID, err)
	}
	searcher := &HTTPSearcher{
		options: options, address: listener.Addr().String(), slots: make(chan struct{}, options.Slots),
		stop: make(chan struct{}), runs: map[string]int{},
	}
	searcher.startedMillis.Store(time.Now().UnixMilli())
	if options.BehindProxy {
		if searcher.proxy, err = NewProxy(searcher.address); err != nil {
			return nil, errors.Join(err, listener.Close())
		}
		searcher.address = searcher.proxy.Address()
	}
	searcher.serviceTime.Store(int64(options.ServiceTime))
	searcher.server = &http.Server{
		Handler: searcher, ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	go func() { _ = searcher.server.Serve(listener) }()
	searcher.sendHeartbeat()
	searcher.heartbeats.Go(searcher.sendHeartbeats)
	return searcher, nil
}

// ID returns the searcher's ID.
func (searcher *HTTPSearcher) ID() string { return searcher.options.ID }

// Proxy returns the proxy in front of the searcher, or nil.
func (searcher *HTTPSearcher) Proxy() *Proxy { return searcher.proxy }

// Runs returns how many times each request has run, by request ID.
func (searcher *HTTPSearcher) Runs() map[string]int {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	runs := make(map[string]int, len(searcher.runs))
	for id, count := range searcher.runs {
		runs[id] = count
	}
	return runs
}

// SetServiceTime sets the processing time of a request.
func (searcher *HTTPSearcher) SetServiceTime(serviceTime time.Duration) {
	searcher.serviceTime.Store(int64(serviceTime))
}

// DropResponses makes the searcher run the next count requests but close the connection instead of responding.
func (searcher *HTTPSearcher) DropResponses(count int) { searcher.responsesToDrop.Store(int64(count)) }

// FailRuns makes the searcher run the requests and then answer them with the status and its signature; 0 ends that.
func (searcher *HTTPSearcher) FailRuns(status int) { searcher.failureStatus.Store(int64(status)) }

// RejectWithCopies makes the searcher reject a third of the requests as not run and send a late second copy of every
// rejection, or ends that.
func (searcher *HTTPSearcher) RejectWithCopies(rejecting bool) { searcher.rejecting.Store(rejecting) }

// Drain registers the searcher as draining; it continues to serve requests.
func (searcher *HTTPSearcher) Drain() {
	searcher.draining.Store(true)
	searcher.sendHeartbeat()
}

// Reregister registers the searcher again as newly started under the same ID.
func (searcher *HTTPSearcher) Reregister() {
	searcher.startedMillis.Store(time.Now().UnixMilli())
	searcher.draining.Store(false)
	searcher.sendHeartbeat()
}

// RequestsWhileDraining returns the number of requests that arrived while the searcher was draining.
func (searcher *HTTPSearcher) RequestsWhileDraining() int64 {
	return searcher.requestsWhileDraining.Load()
}

// Requests returns the number of requests that have arrived.
func (searcher *HTTPSearcher) Requests() int64 { return searcher.requests.Load() }

// DataCentre returns the searcher's data centre.
func (searcher *HTTPSearcher) DataCentre() string { return searcher.options.DataCentre }

// PauseHeartbeats stops or resumes the heartbeats.
func (searcher *HTTPSearcher) PauseHeartbeats(paused bool) { searcher.heartbeatsPaused.Store(paused) }

// MostWhileCold returns the highest number of requests that have arrived in any one second while the searcher was cold.
func (searcher *HTTPSearcher) MostWhileCold() int {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	most, first := 0, 0
	for last, at := range searcher.coldArrivals {
		for at.Sub(searcher.coldArrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// coldLeft returns the rest of the cold time.
func (searcher *HTTPSearcher) coldLeft() time.Duration {
	return max(0, searcher.options.ColdTime-time.Since(time.UnixMilli(searcher.startedMillis.Load())))
}

// Close stops the searcher and removes its registration.
func (searcher *HTTPSearcher) Close() error {
	close(searcher.stop)
	searcher.heartbeats.Wait()
	searcher.options.Store.Remove("servers/" + searcher.options.ID)
	err := searcher.server.Close()
	if searcher.proxy != nil {
		err = errors.Join(err, searcher.proxy.Close())
	}
	return err
}

// sendHeartbeats sends a heartbeat every period until Close, except while paused.
func (searcher *HTTPSearcher) sendHeartbeats() {
	const period = 200 * time.Millisecond
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !searcher.heartbeatsPaused.Load() {
				searcher.sendHeartbeat()
			}
		case <-searcher.stop:
			return
		}
	}
}

// sendHeartbeat writes the registration with the next sequence number.
func (searcher *HTTPSearcher) sendHeartbeat() {
	state := "ready"
	if searcher.draining.Load() {
		state = "draining"
	}
	content, err := json.Marshal(map[string]any{
		"service": searcher.options.Group, "address": searcher.address, "zone": searcher.options.DataCentre, "version": "v1",
		"slots": searcher.options.Slots, "state": state, "coldLeftMs": searcher.coldLeft().Milliseconds(), "sequence": searcher.sequence.Add(1), "born": searcher.startedMillis.Load(),
	})
	if err == nil {
		searcher.options.Store.Put("servers/"+searcher.options.ID, content)
	}
}

// ServeHTTP runs one request and sets the signature header of the response to the request ID, the group and the searcher ID.
func (searcher *HTTPSearcher) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	searcher.requests.Add(1)
	names := &searcher.options.Headers
	id := request.Header.Get(names.RequestID)
	writer.Header().Set(names.RequestID, id)
	if expected := request.Header.Get(names.ExpectInstance); expected != "" && expected != searcher.options.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if searcher.draining.Load() {
		searcher.requestsWhileDraining.Add(1)
	}
	if searcher.coldLeft() > 0 {
		searcher.mutex.Lock()
		searcher.coldArrivals = append(searcher.coldArrivals, time.Now())
		searcher.mutex.Unlock()
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if searcher.rejecting.Load() && rand.IntN(rejectionPeriod) == 0 {
		searcher.reject(writer, request)
		return
	}
	select {
	case searcher.slots <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-searcher.slots }()
	searcher.mutex.Lock()
	searcher.runs[id]++
	searcher.mutex.Unlock()
	select {
	case <-time.After(time.Duration(searcher.serviceTime.Load())):
	case <-request.Context().Done():
		return
	}
	if searcher.responsesToDrop.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	if searcher.options.Records > 0 {
		body = searcher.records()
	}
	writer.Header().Set(names.Signature, id+"."+searcher.options.Group+"."+searcher.options.ID)
	writer.Header().Set(names.Load, strconv.Itoa(len(searcher.slots))+",0,"+strconv.Itoa(searcher.options.Slots))
	if status := searcher.failureStatus.Load(); status != 0 {
		writer.WriteHeader(int(status))
	}
	_, _ = writer.Write(body) // the caller may have disconnected
}

// rejectionPeriod is the number of requests to one rejection, on average.
const rejectionPeriod = 3

// maxCopyDelay bounds the time between a rejection and its second copy.
const maxCopyDelay = 100 * time.Millisecond

type connKey struct{}

// reject rejects a request as not run and sends a second copy of the rejection after a while, wherever the connection has got
// to by then.
func (searcher *HTTPSearcher) reject(writer http.ResponseWriter, request *http.Request) {
	names := &searcher.options.Headers
	id := request.Header.Get(names.RequestID)
	conn, _ := request.Context().Value(connKey{}).(net.Conn)
	copied := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, id, names.NotRun)
	time.AfterFunc(rand.N(maxCopyDelay), func() { _, _ = conn.Write([]byte(copied)) }) // the caller may have disconnected
	writer.Header().Set(names.NotRun, "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// records returns unsorted records: a four-byte key followed by the name of the searcher's group.
func (searcher *HTTPSearcher) records() []byte {
	const recordBytes = 16
	body := make([]byte, 0, recordBytes*searcher.options.Records)
	for i := range searcher.options.Records {
		record := make([]byte, recordBytes)
		binary.BigEndian.PutUint32(record, uint32(i*7919%searcher.options.Records))
		copy(record[4:], searcher.options.Group)
		body = append(body, record...)
	}
	return body
}
