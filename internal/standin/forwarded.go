package standin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"carobthread"
)

// ForwardedOptions describe a stand-in searcher that serves plain HTTP requests.
type ForwardedOptions struct {
	ID         string
	Group      string
	DataCentre string
	Slots      int
	Work       time.Duration
	// Records is how many records a reply holds; 0 echoes the request's body.
	Records int
	Headers carobthread.HeaderNames
	Store   *Store
	// Proxied puts a Proxy between the searcher and its callers.
	Proxied bool
}

// Forwarded is a stand-in searcher behind plain HTTP forwarding, which registers itself in a Store.
type Forwarded struct {
	options  ForwardedOptions
	server   *http.Server
	address  string
	proxy    *Proxy
	slots    chan struct{}
	sequence atomic.Int64
	born     atomic.Int64
	draining atomic.Bool
	pausing  atomic.Bool
	cut      atomic.Int64
	work     atomic.Int64
	late     atomic.Int64
	stop     chan struct{}
	beats    sync.WaitGroup

	mutex sync.Mutex
	runs  map[string]int
}

// NewForwarded starts a searcher on a free loopback port and registers it.
func NewForwarded(options ForwardedOptions) (*Forwarded, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for searcher %s: %w", options.ID, err)
	}
	searcher := &Forwarded{
		options: options, address: listener.Addr().String(), slots: make(chan struct{}, options.Slots),
		stop: make(chan struct{}), runs: map[string]int{},
	}
	searcher.born.Store(time.Now().UnixMilli())
	if options.Proxied {
		if searcher.proxy, err = NewProxy(searcher.address); err != nil {
			return nil, errors.Join(err, listener.Close())
		}
		searcher.address = searcher.proxy.Address()
	}
	searcher.work.Store(int64(options.Work))
	searcher.server = &http.Server{Handler: searcher, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = searcher.server.Serve(listener) }()
	searcher.beat()
	searcher.beats.Go(searcher.beatOn)
	return searcher, nil
}

// ID returns the searcher's ID.
func (searcher *Forwarded) ID() string { return searcher.options.ID }

// Proxy returns the proxy before the searcher, or nil.
func (searcher *Forwarded) Proxy() *Proxy { return searcher.proxy }

// Runs returns how often each request has run.
func (searcher *Forwarded) Runs() map[string]int {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	runs := make(map[string]int, len(searcher.runs))
	for id, count := range searcher.runs {
		runs[id] = count
	}
	return runs
}

// Slow changes how long a request takes.
func (searcher *Forwarded) Slow(work time.Duration) { searcher.work.Store(int64(work)) }

// LoseAnswers makes the searcher cut the connection after that many more runs instead of answering.
func (searcher *Forwarded) LoseAnswers(count int) { searcher.cut.Store(int64(count)) }

// Drain reports that the searcher leaves; it serves on.
func (searcher *Forwarded) Drain() {
	searcher.draining.Store(true)
	searcher.beat()
}

// Return makes the searcher register again as one that has just started under its former ID.
func (searcher *Forwarded) Return() {
	searcher.born.Store(time.Now().UnixMilli())
	searcher.draining.Store(false)
	searcher.beat()
}

// Late returns the requests that arrived after Drain.
func (searcher *Forwarded) Late() int64 { return searcher.late.Load() }

// Pause stops or resumes the heartbeats.
func (searcher *Forwarded) Pause(paused bool) { searcher.pausing.Store(paused) }

// Close ends the searcher and removes its entry.
func (searcher *Forwarded) Close() error {
	close(searcher.stop)
	searcher.beats.Wait()
	searcher.options.Store.Remove("servers/" + searcher.options.ID)
	err := searcher.server.Close()
	if searcher.proxy != nil {
		err = errors.Join(err, searcher.proxy.Close())
	}
	return err
}

func (searcher *Forwarded) beatOn() {
	const period = 200 * time.Millisecond
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !searcher.pausing.Load() {
				searcher.beat()
			}
		case <-searcher.stop:
			return
		}
	}
}

func (searcher *Forwarded) beat() {
	state := "ready"
	if searcher.draining.Load() {
		state = "draining"
	}
	content, err := json.Marshal(map[string]any{
		"service": searcher.options.Group, "address": searcher.address, "zone": searcher.options.DataCentre, "version": "v1",
		"slots": searcher.options.Slots, "state": state, "coldLeftMs": 0, "sequence": searcher.sequence.Add(1), "born": searcher.born.Load(),
	})
	if err == nil {
		searcher.options.Store.Put("servers/"+searcher.options.ID, content)
	}
}

// ServeHTTP runs one request and seals its answer with the request, the searcher and the run.
func (searcher *Forwarded) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	names := &searcher.options.Headers
	if expected := request.Header.Get(names.ExpectInstance); expected != "" && expected != searcher.options.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if searcher.draining.Load() {
		searcher.late.Add(1)
	}
	id := request.Header.Get(names.RequestID)
	body, err := io.ReadAll(request.Body)
	if err != nil {
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
	case <-time.After(time.Duration(searcher.work.Load())):
	case <-request.Context().Done():
		return
	}
	if searcher.cut.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	if searcher.options.Records > 0 {
		body = searcher.records()
	}
	writer.Header().Set(names.RequestID, id)
	writer.Header().Set(names.Seal, id+"."+searcher.options.Group+"."+searcher.options.ID)
	writer.Header().Set(names.Load, strconv.Itoa(len(searcher.slots))+",0,"+strconv.Itoa(searcher.options.Slots))
	_, _ = writer.Write(body) // the caller may have left
}

// records returns records whose last bytes name the searcher's group, in no order.
func (searcher *Forwarded) records() []byte {
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
