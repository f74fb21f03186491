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

// queuePerSlot bounds the requests that wait at a searcher, per slot; more are shed.
const queuePerSlot = 8

// readHeaderTimeout bounds how long a client may take to send its request headers.
const readHeaderTimeout = 5 * time.Second

// SearcherOptions describe one stand-in searcher; ServiceTime is the median time of a shard request.
type SearcherOptions struct {
	Name        string
	Slots       int
	ServiceTime time.Duration
	Seed        uint64
	Snapshots   []uint64
	Layouts     []uint32
}

// Searcher is a stand-in upstream with slots, a queue, snapshots and settable faults.
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
	factor    float64
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
		factor:    1,
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

// Close ends the searcher at once and cuts its connections.
func (searcher *Searcher) Close() error { return searcher.server.Close() }

// Slow multiplies every service time; 1 is normal.
func (searcher *Searcher) Slow(factor float64) {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	searcher.factor = factor
}

// Drain makes the searcher refuse new work and say so.
func (searcher *Searcher) Drain() {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	searcher.draining = true
}

// Hold replaces the snapshots and layouts that the searcher serves.
func (searcher *Searcher) Hold(snapshots []uint64, layouts []uint32) {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	searcher.snapshots = slices.Clone(snapshots)
	searcher.layouts = slices.Clone(layouts)
}

// Calls returns the number of requests that arrived, whether they ran or not; reports do not count.
func (searcher *Searcher) Calls() int64 { return searcher.calls.Load() }

// Runs returns how often the request of a key was run.
func (searcher *Searcher) Runs(key string) int {
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	return searcher.runs[key]
}

// SearchShard answers with hits that depend on the query, shard and snapshot alone.
func (searcher *Searcher) SearchShard(ctx context.Context, request *connect.Request[carobthreadv1.SearchShardRequest]) (*connect.Response[carobthreadv1.SearchShardResponse], error) {
	searcher.calls.Add(1)
	message := request.Msg
	response := &carobthreadv1.SearchShardResponse{
		Attempt: message.GetAttempt(),
		Shard:   message.GetShard(),
		Layout:  message.GetLayout(),
	}
	snapshot, status := searcher.accept(message, response)
	response.Snapshot = snapshot
	response.Status = status
	if status != carobthreadv1.ShardStatus_SHARD_STATUS_OK {
		return connect.NewResponse(response), nil
	}
	if !searcher.enter(ctx) {
		response.Status = carobthreadv1.ShardStatus_SHARD_STATUS_SHED
		return connect.NewResponse(response), nil
	}
	defer searcher.leave()
	if err := sleep(ctx, searcher.serviceTime()); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	response.Hits = hits(message, snapshot)
	response.SnapshotAgeUs = time.Second.Microseconds()
	return connect.NewResponse(response), nil
}

func (searcher *Searcher) accept(message *carobthreadv1.SearchShardRequest, response *carobthreadv1.SearchShardResponse) (uint64, carobthreadv1.ShardStatus) {
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

// enter waits for a slot; it returns false at once if the queue is full, or when the caller leaves.
func (searcher *Searcher) enter(ctx context.Context) bool {
	limit := int64(queuePerSlot * searcher.options.Slots)
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

func (searcher *Searcher) leave() {
	searcher.running.Add(-1)
	<-searcher.slots
}

// serviceTime draws from a lognormal distribution around the median.
func (searcher *Searcher) serviceTime() time.Duration {
	const sigma = 0.35
	searcher.mutex.Lock()
	defer searcher.mutex.Unlock()
	spread := math.Exp(searcher.random.NormFloat64() * sigma)
	return time.Duration(float64(searcher.options.ServiceTime) * spread * searcher.factor)
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

// Run performs a request that may not be repeated and counts it by key.
func (searcher *Searcher) Run(ctx context.Context, request *connect.Request[carobthreadv1.RunRequest]) (*connect.Response[carobthreadv1.RunResponse], error) {
	searcher.calls.Add(1)
	message := request.Msg
	searcher.mutex.Lock()
	draining := searcher.draining
	searcher.mutex.Unlock()
	if draining || !searcher.enter(ctx) {
		return connect.NewResponse(&carobthreadv1.RunResponse{Key: message.GetKey(), NotRun: true, Reason: "upstream-shed", Draining: draining}), nil
	}
	defer searcher.leave()
	searcher.mutex.Lock()
	searcher.runs[message.GetKey()]++
	searcher.mutex.Unlock()
	if err := sleep(ctx, searcher.serviceTime()); err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewResponse(&carobthreadv1.RunResponse{Key: message.GetKey(), Result: append([]byte("done "), message.GetPayload()...)}), nil
}

// Report states load and held snapshots.
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
