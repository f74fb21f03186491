package standin

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"carobthread/rpc/carobthreadv1"
	"carobthread/rpc/carobthreadv1/carobthreadv1connect"
)

// maxQueuedPerSlot limits the requests that wait at a searcher, per slot; further requests are shed.
const maxQueuedPerSlot = 8

// readHeaderTimeout limits how long a client may take to send its request headers.
const readHeaderTimeout = 5 * time.Second

// SearcherOptions configure a Searcher. ServiceTime is the median processing time of a request.
type SearcherOptions struct {
	Name        string
	Slots       int
	ServiceTime time.Duration
	Seed        uint64
	Snapshots   []uint64
	Layouts     []uint32
}

// Searcher is a fake upstream with slots, a queue, snapshots and injectable faults.
type Searcher struct {
	options SearcherOptions
	server  *http.Server
	address string
	slots   chan struct{}
	running atomic.Int64
	queued  atomic.Int64
	calls   atomic.Int64

	mutex     sync.Mutex
	random    *rand.Rand
	snapshots []uint64
	layouts   []uint32
	slowdown  float64
	draining  bool
	runs      map[string]int
}

var _ carobthreadv1connect.SearcherServiceHandler = (*Searcher)(nil)

// NewSearcher starts a searcher on a free loopback port.
func NewSearcher(options SearcherOptions) (*Searcher, error) {
	searcher := &Searcher{
		options:   options,
		slots:     make(chan struct{}, options.Slots),
		random:    rand.New(rand.NewPCG(options.Seed, 1)),
		snapshots: slices.Clone(options.Snapshots),
		layouts:   slices.Clone(options.Layouts),
		slowdown:  1,
		runs:      map[string]int{},
	}
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for searcher %s: %w", options.Name, err)
	}
	searcher.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.Handle(carobthreadv1connect.NewSearcherServiceHandler(searcher))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	searcher.server = &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = searcher.server.Serve(listener) }()
	return searcher, nil
}

// Address returns the searcher's IP address and port.
func (searcher *Searcher) Address() string { return searcher.address }

// Close stops the searcher immediately and closes its connections.
func (searcher *Searcher) Close() error { return searcher.server.Close() }

// SetSlowdown sets the factor by which every service time is multiplied; 1 is normal.
func (searcher *Searcher) SetSlowdown(slowdown float64) {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	searcher.slowdown = slowdown
}

// Drain makes the searcher refuse new work and report that it is draining.
func (searcher *Searcher) Drain() {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	searcher.draining = true
}

// SetServed replaces the snapshots and layouts that the searcher serves.
func (searcher *Searcher) SetServed(snapshots []uint64, layouts []uint32) {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	searcher.snapshots = slices.Clone(snapshots)
	searcher.layouts = slices.Clone(layouts)
}

// Calls returns the number of requests received, whether they ran or not, excluding reports.
func (searcher *Searcher) Calls() int64 { return searcher.calls.Load() }

// Runs returns how many times the request with an idempotency key has run.
func (searcher *Searcher) Runs(key string) int {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	return searcher.runs[key]
}

// SearchShard returns hits that depend only on the shard and the snapshot.
func (searcher *Searcher) SearchShard(ctx context.Context, request *connect.Request[carobthreadv1.SearchShardRequest]) (*connect.Response[carobthreadv1.SearchShardResponse], error) {
	searcher.calls.Add(1)
	message := request.Msg
	response := &carobthreadv1.SearchShardResponse{
		Attempt: message.GetAttempt(),
		Shard:   message.GetShard(),
		Layout:  message.GetLayout(),
	}
	snapshot, status := searcher.checkRequest(message, response)
	response.Snapshot = snapshot
	response.Status = status
	if status != carobthreadv1.ShardStatus_SHARD_STATUS_OK {
		return connect.NewResponse(response), nil
	}
	if !searcher.acquireSlot(ctx) {
		response.Status = carobthreadv1.ShardStatus_SHARD_STATUS_SHED
		return connect.NewResponse(response), nil
	}
	defer searcher.releaseSlot()
	if err := sleep(ctx, searcher.serviceTime()); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	response.Hits = hits(message, snapshot)
	response.SnapshotAgeUs = time.Second.Microseconds()
	return connect.NewResponse(response), nil
}

// checkRequest selects the snapshot and returns the status of a request. It fills the response's held snapshots and
// draining flag.
func (searcher *Searcher) checkRequest(message *carobthreadv1.SearchShardRequest, response *carobthreadv1.SearchShardResponse) (uint64, carobthreadv1.ShardStatus) {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	response.HeldSnapshots = slices.Clone(searcher.snapshots)
	response.Draining = searcher.draining
	snapshot := message.GetSnapshot()
	if snapshot == 0 && len(searcher.snapshots) > 0 {
		snapshot = slices.Max(searcher.snapshots)
	}
	switch {
	case searcher.draining:
		return snapshot, carobthreadv1.ShardStatus_SHARD_STATUS_DRAINING
	case !slices.Contains(searcher.layouts, message.GetLayout()):
		return snapshot, carobthreadv1.ShardStatus_SHARD_STATUS_LAYOUT_MISSING
	case !slices.Contains(searcher.snapshots, snapshot):
		return snapshot, carobthreadv1.ShardStatus_SHARD_STATUS_SNAPSHOT_MISSING
	default:
		return snapshot, carobthreadv1.ShardStatus_SHARD_STATUS_OK
	}
}

// acquireSlot waits for a slot. It returns false if the queue is full, or when the caller disconnects.
func (searcher *Searcher) acquireSlot(ctx context.Context) bool {
	limit := int64(maxQueuedPerSlot * searcher.options.Slots)
	if searcher.queued.Add(1) > limit {
		searcher.queued.Add(-1)
		return false
	}
	defer searcher.queued.Add(-1)
	select {
	case searcher.slots <- struct{}{}:
		searcher.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (searcher *Searcher) releaseSlot() {
	searcher.running.Add(-1)
	<-searcher.slots
}

// serviceTime returns a random service time from a lognormal distribution around the median.
func (searcher *Searcher) serviceTime() time.Duration {
	const sigma = 0.35
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	spread := math.Exp(searcher.random.NormFloat64() * sigma)
	return time.Duration(float64(searcher.options.ServiceTime) * spread * searcher.slowdown)
}

func sleep(ctx context.Context, span time.Duration) error {
	wait := time.NewTimer(span)
	defer wait.Stop()
	select {
	case <-wait.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func hits(message *carobthreadv1.SearchShardRequest, snapshot uint64) []*carobthreadv1.Hit {
	const hitsPerShard = 3
	found := make([]*carobthreadv1.Hit, 0, hitsPerShard)
	for rank := range hitsPerShard {
		found = append(found, &carobthreadv1.Hit{
			Id:    fmt.Sprintf("entry-%d-%d-%d", message.GetShard(), snapshot, rank),
			Score: 1 / float64(1+rank+int(message.GetShard())),
		})
	}
	return found
}

// Run runs a request that must not be repeated, and counts the run by idempotency key.
func (searcher *Searcher) Run(ctx context.Context, request *connect.Request[carobthreadv1.RunRequest]) (*connect.Response[carobthreadv1.RunResponse], error) {
	searcher.calls.Add(1)
	message := request.Msg
	searcher.mutex.Lock()
	draining := searcher.draining
	searcher.mutex.Unlock()
	if draining || !searcher.acquireSlot(ctx) {
		return connect.NewResponse(&carobthreadv1.RunResponse{Key: message.GetKey(), NotRun: true, Reason: "upstream-shed", Draining: draining}), nil
	}
	defer searcher.releaseSlot()
	searcher.mutex.Lock()
	searcher.runs[message.GetKey()]++
	searcher.mutex.Unlock()
	if err := sleep(ctx, searcher.serviceTime()); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(&carobthreadv1.RunResponse{Key: message.GetKey(), Result: append([]byte("done "), message.GetPayload()...)}), nil
}

// Report returns the load and the held snapshots.
func (searcher *Searcher) Report(context.Context, *connect.Request[carobthreadv1.ReportRequest]) (*connect.Response[carobthreadv1.ReportResponse], error) {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	return connect.NewResponse(&carobthreadv1.ReportResponse{
		Healthy:       true,
		Draining:      searcher.draining,
		Running:       uint32(searcher.running.Load()),
		Queued:        uint32(searcher.queued.Load()),
		HeldSnapshots: slices.Clone(searcher.snapshots),
		SnapshotAgeUs: time.Second.Microseconds(),
	}), nil
}
