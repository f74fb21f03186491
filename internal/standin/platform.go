package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"carobthread"
	"carobthread/parser"
	"carobthread/watcher"
)

// The fake platform stores values under one revision counter for all keys,
// which only increases. Faults change what readers see, never what operators
// have published: until Heal, an outage fails every call, a freeze serves the
// values of the time at which it began, and a rollback serves the values as of
// an earlier revision.

// CallLimit is the platform's default limit of calls per second over all readers.
const CallLimit = 2000

// errOutage is the cause of a call that fails during an outage.
var errOutage = errors.New("out of service")

// PlatformOptions configure a Platform.
type PlatformOptions struct {
	// Timer is the clock for the latency, the call limit and the host lag.
	Timer carobthread.Timer
	// Latency is the delay of each response.
	Latency time.Duration
	// CallLimit is the maximum number of calls per second; the default is 2,000.
	CallLimit int
	// HostListLag is the delay until SetHost and RemoveHost change the host list. A platform with a lag must be closed.
	HostListLag time.Duration
}

// Platform is a fake of the platform's configuration service.
type Platform struct {
	options PlatformOptions

	mutex    sync.Mutex
	revision uint64
	// history holds every value of each key, oldest first.
	history map[string][]carobthread.Value
	// visibleRevision is the highest revision that readers see.
	visibleRevision uint64
	frozen          bool
	outage          bool
	// changed is closed and replaced when the values that readers see may have changed.
	changed chan struct{}
	calls   uint64
	// rateLimitedCalls counts the calls that exceeded the call limit, which applies to windows of one second.
	rateLimitedCalls uint64
	windowStart      carobthread.Instant
	callsInWindow    int
	hosts            map[string]carobthread.Host
	// pendingHostChanges holds the changes of the host list that readers do not see yet, in order.
	pendingHostChanges []hostChange
	cancelUpdates      func()
}

var _ carobthread.Platform = (*Platform)(nil)

// NewPlatform returns a platform without values.
func NewPlatform(options PlatformOptions) *Platform {
	if options.CallLimit == 0 {
		options.CallLimit = CallLimit
	}
	platform := &Platform{
		options:       options,
		history:       map[string][]carobthread.Value{},
		changed:       make(chan struct{}),
		hosts:         map[string]carobthread.Host{},
		cancelUpdates: func() {},
	}
	if options.HostListLag > 0 {
		platform.cancelUpdates = options.Timer.Subscribe(options.HostListLag/hostListUpdatesPerLag, carobthread.SubscriberFunc(platform.updateHostList))
	}
	return platform
}

// Close stops the updates of the host list.
func (platform *Platform) Close() { platform.cancelUpdates() }

// Read returns the value of a key as readers see it.
func (platform *Platform) Read(ctx context.Context, key string) (carobthread.Value, error) {
	if err := platform.beginCall(ctx, key); err != nil {
		return carobthread.Value{}, err
	}
	value, _, err := platform.visibleValue(key)
	return value, err
}

// Watch waits until the revision of a key differs from the given one, or returns the given revision after 30 s. The
// whole wait counts as one call.
func (platform *Platform) Watch(ctx context.Context, key string, revision uint64) (carobthread.Value, error) {
	if err := platform.beginCall(ctx, key); err != nil {
		return carobthread.Value{}, err
	}
	timeout, cancel := platform.after(watcher.MaxWatchTime)
	defer cancel()
	for {
		value, changed, err := platform.visibleValue(key)
		if err != nil && !isMissing(err) {
			return value, err
		}
		if value.Revision != revision {
			return value, err
		}
		select {
		case <-changed:
		case <-timeout:
			return carobthread.Value{Key: key, Revision: revision}, nil
		case <-ctx.Done():
			return carobthread.Value{}, &carobthread.PlatformError{Key: key, Cause: ctx.Err()}
		}
	}
}

// after returns a channel that is closed when the span has passed; cancel must be called.
func (platform *Platform) after(span time.Duration) (passed <-chan struct{}, cancel func()) {
	elapsed := make(chan struct{})
	var once sync.Once
	cancel = platform.options.Timer.Subscribe(span, carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) {
		once.Do(func() { close(elapsed) })
	}))
	return elapsed, cancel
}

// isMissing reports whether an error says that the key has no value.
func isMissing(err error) bool {
	var failure *carobthread.PlatformError
	return errors.As(err, &failure) && failure.Missing
}

// beginCall counts a call, applies the call limit and waits for the latency.
func (platform *Platform) beginCall(ctx context.Context, key string) error {
	if !platform.countCall() {
		return &carobthread.PlatformError{Key: key, RateLimited: true}
	}
	if platform.options.Latency == 0 {
		return nil
	}
	passed, cancel := platform.after(platform.options.Latency)
	defer cancel()
	select {
	case <-passed:
		return nil
	case <-ctx.Done():
		return &carobthread.PlatformError{Key: key, Cause: ctx.Err()}
	}
}

// countCall counts a call and reports whether it is within the call limit of the current second.
func (platform *Platform) countCall() bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.calls++
	now := platform.options.Timer.Now()
	if now.Sub(platform.windowStart) >= time.Second {
		platform.windowStart = now
		platform.callsInWindow = 0
	}
	platform.callsInWindow++
	if platform.callsInWindow > platform.options.CallLimit {
		platform.rateLimitedCalls++
		return false
	}
	return true
}

// visibleValue returns the value of a key that readers see and a channel that is closed when it may have changed.
func (platform *Platform) visibleValue(key string) (carobthread.Value, <-chan struct{}, error) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.outage {
		return carobthread.Value{}, platform.changed, &carobthread.PlatformError{Key: key, Cause: errOutage}
	}
	values := platform.history[key]
	for i := len(values) - 1; i >= 0; i-- {
		if values[i].Revision <= platform.visibleRevision {
			value := values[i]
			value.Content = slices.Clone(value.Content)
			return value, platform.changed, nil
		}
	}
	return carobthread.Value{Key: key}, platform.changed, &carobthread.PlatformError{Key: key, Missing: true}
}

// Calls returns the number of calls so far, including refused ones. A watch is one call.
func (platform *Platform) Calls() uint64 {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.calls
}

// RateLimitedCalls returns the number of calls that exceeded the call limit.
func (platform *Platform) RateLimitedCalls() uint64 {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.rateLimitedCalls
}

// Revision returns the revision of the newest value.
func (platform *Platform) Revision() uint64 {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.revision
}

// SetOutage starts or ends an outage, in which every call fails.
func (platform *Platform) SetOutage(outage bool) {
	platform.change(func() { platform.outage = outage })
}

// Freeze makes readers see the current values until Heal, whatever is published.
func (platform *Platform) Freeze() {
	platform.change(func() { platform.frozen = true })
}

// RollBack makes readers see the values as of a revision until Heal.
func (platform *Platform) RollBack(revision uint64) {
	platform.change(func() {
		platform.frozen = true
		platform.visibleRevision = revision
	})
}

// Heal ends an outage, a freeze and a rollback.
func (platform *Platform) Heal() {
	platform.change(func() {
		platform.outage = false
		platform.frozen = false
		platform.visibleRevision = platform.revision
	})
}

// change applies a change and notifies the watches.
func (platform *Platform) change(apply func()) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	apply()
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// Put stores a value as an operator and returns its revision.
func (platform *Platform) Put(key string, content []byte) (uint64, error) {
	revision, _, err := platform.PutIf(key, content, func(uint64) bool { return true })
	return revision, err
}

// PutIf stores a value if accept returns true for the key's current revision, which is 0 without a value. It returns
// the new revision and whether the value was stored.
func (platform *Platform) PutIf(key string, content []byte, accept func(present uint64) bool) (uint64, bool, error) {
	if len(content) > parser.MaxSize {
		return 0, false, fmt.Errorf("put %s: value has %d bytes, the limit is %d", key, len(content), parser.MaxSize)
	}
	var stored carobthread.Value
	accepted := false
	platform.change(func() {
		values := platform.history[key]
		present := uint64(0)
		if len(values) > 0 {
			present = values[len(values)-1].Revision
		}
		accepted = accept(present)
		if !accepted {
			return
		}
		platform.revision++
		stored = carobthread.Value{Key: key, Revision: platform.revision, Content: slices.Clone(content)}
		platform.history[key] = append(values, stored)
		if !platform.frozen {
			platform.visibleRevision = platform.revision
		}
	})
	return stored.Revision, accepted, nil
}

// Publish stores a ticket in the order of the operators' tool: the objects, the affected index buckets, then the top
// value of the index.
func (platform *Platform) Publish(ticket *carobthread.Ticket) error {
	if err := platform.PublishPartial(ticket, len(ticket.Objects)); err != nil {
		return err
	}
	top, _ := parser.DecodeIndexTop(parser.IndexKey, platform.newest(parser.IndexKey, parser.EncodeIndexTop(&parser.IndexTop{})))
	buckets := map[int]parser.Index{}
	for _, bucket := range parser.BucketsOf(ticket) {
		key := parser.BucketKey(bucket)
		index, _ := parser.DecodeIndex(key, platform.newest(key, parser.EncodeIndex(&parser.Index{})))
		index.Add(ticket, bucket, top.Revision)
		buckets[bucket] = index
		if _, err := platform.Put(key, parser.EncodeIndex(&index)); err != nil {
			return err
		}
	}
	top.Add(ticket, buckets)
	_, err := platform.Put(parser.IndexKey, parser.EncodeIndexTop(&top))
	return err
}

// PublishPartial stores only the first objects of a ticket and no index, like an operators' tool that fails midway.
func (platform *Platform) PublishPartial(ticket *carobthread.Ticket, objects int) error {
	for _, value := range parser.EncodeTicket(ticket)[:objects] {
		if _, err := platform.Put(value.Key, value.Content); err != nil {
			return err
		}
	}
	return nil
}

// newest returns the latest content published for a key, whatever readers see, or the given one without a value.
func (platform *Platform) newest(key string, empty []byte) []byte {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	values := platform.history[key]
	if len(values) == 0 {
		return empty
	}
	return values[len(values)-1].Content
}
