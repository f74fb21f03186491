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

// The stand-in platform keeps values with revisions that only rise, over all
// keys. Faults change what readers see, never what operators have published:
// an outage refuses calls, a freeze serves the values of the moment it began,
// and a rollback serves the values as of an earlier revision, until Heal.

// CallLimit is the platform's bound of calls per second over all readers.
const CallLimit = 2000

// errOutage is the cause of a call during an outage.
var errOutage = errors.New("out of service")

// PlatformOptions configure a stand-in platform.
type PlatformOptions struct {
	// Timer is the clock of latency and call limit.
	Timer carobthread.Timer
	// Latency is the time of each answer.
	Latency time.Duration
	// CallLimit bounds calls per second, default 2,000.
	CallLimit int
	// HostLag is how long the list of hosts lags behind SetHost and DropHost; with a lag the platform needs Close.
	HostLag time.Duration
}

// Platform is a stand-in of the platform's configuration service.
type Platform struct {
	options PlatformOptions

	mutex    sync.Mutex
	revision uint64
	// history holds every value of each key, oldest first.
	history map[string][]carobthread.Value
	// visible is the highest revision that readers see.
	visible uint64
	frozen  bool
	outage  bool
	// changed is closed and replaced when what readers see may have changed.
	changed chan struct{}
	calls   uint64
	limited uint64
	second  carobthread.Instant
	inTurn  int
	hosts   map[string]carobthread.Host
	// lagging holds the changes of hosts that readers do not see yet, in order.
	lagging []hostChange
	cancel  func()
}

var _ carobthread.Platform = (*Platform)(nil)

// NewPlatform returns a platform without values.
func NewPlatform(options PlatformOptions) *Platform {
	if options.CallLimit == 0 {
		options.CallLimit = CallLimit
	}
	platform := &Platform{
		options: options,
		history: map[string][]carobthread.Value{},
		changed: make(chan struct{}),
		hosts:   map[string]carobthread.Host{},
		cancel:  func() {},
	}
	if options.HostLag > 0 {
		platform.cancel = options.Timer.Subscribe(options.HostLag/lagSteps, carobthread.SubscriberFunc(platform.listHosts))
	}
	return platform
}

// Close ends the updates of the list of hosts.
func (platform *Platform) Close() { platform.cancel() }

// Read returns the value of a key as readers see it.
func (platform *Platform) Read(ctx context.Context, key string) (carobthread.Value, error) {
	if err := platform.enter(ctx, key); err != nil {
		return carobthread.Value{}, err
	}
	value, _, err := platform.seen(key)
	return value, err
}

// Watch waits until the revision of a key differs, or ends with the given revision after 30 s; the wait is one call.
func (platform *Platform) Watch(ctx context.Context, key string, revision uint64) (carobthread.Value, error) {
	if err := platform.enter(ctx, key); err != nil {
		return carobthread.Value{}, err
	}
	quiet, cancel := platform.after(watcher.WatchTime)
	defer cancel()
	for {
		value, changed, err := platform.seen(key)
		if err != nil && !isMissing(err) {
			return value, err
		}
		if value.Revision != revision {
			return value, err
		}
		select {
		case <-changed:
		case <-quiet:
			return carobthread.Value{Key: key, Revision: revision}, nil
		case <-ctx.Done():
			return carobthread.Value{}, &carobthread.PlatformError{Key: key, Cause: ctx.Err()}
		}
	}
}

// after returns a channel that closes when the span has passed; cancel must be called.
func (platform *Platform) after(span time.Duration) (passed <-chan struct{}, cancel func()) {
	closing := make(chan struct{})
	var once sync.Once
	cancel = platform.options.Timer.Subscribe(span, carobthread.SubscriberFunc(func(carobthread.Instant, time.Duration) {
		once.Do(func() { close(closing) })
	}))
	return closing, cancel
}

func isMissing(err error) bool {
	var failure *carobthread.PlatformError
	return errors.As(err, &failure) && failure.Missing
}

// enter counts a call, applies the call limit and waits for the latency.
func (platform *Platform) enter(ctx context.Context, key string) error {
	if !platform.admit() {
		return &carobthread.PlatformError{Key: key, Limited: true}
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

// admit counts a call and reports whether it is within the limit of its second.
func (platform *Platform) admit() bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.calls++
	now := platform.options.Timer.Now()
	if now.Sub(platform.second) >= time.Second {
		platform.second = now
		platform.inTurn = 0
	}
	platform.inTurn++
	if platform.inTurn > platform.options.CallLimit {
		platform.limited++
		return false
	}
	return true
}

// seen returns the value of a key that readers see and the channel that closes when it may change.
func (platform *Platform) seen(key string) (carobthread.Value, <-chan struct{}, error) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.outage {
		return carobthread.Value{}, platform.changed, &carobthread.PlatformError{Key: key, Cause: errOutage}
	}
	values := platform.history[key]
	for i := len(values) - 1; i >= 0; i-- {
		if values[i].Revision <= platform.visible {
			value := values[i]
			value.Content = slices.Clone(value.Content)
			return value, platform.changed, nil
		}
	}
	return carobthread.Value{Key: key}, platform.changed, &carobthread.PlatformError{Key: key, Missing: true}
}

// Calls returns the number of calls so far, refused ones included; a waiting watch is one call.
func (platform *Platform) Calls() uint64 {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.calls
}

// Limited returns the number of calls refused by the call limit.
func (platform *Platform) Limited() uint64 {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return platform.limited
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

// Freeze makes readers see the present values until Heal, whatever is published.
func (platform *Platform) Freeze() {
	platform.change(func() { platform.frozen = true })
}

// RollBack makes readers see the values as of a revision until Heal.
func (platform *Platform) RollBack(revision uint64) {
	platform.change(func() {
		platform.frozen = true
		platform.visible = revision
	})
}

// Heal ends outage, freeze and rollback.
func (platform *Platform) Heal() {
	platform.change(func() {
		platform.outage = false
		platform.frozen = false
		platform.visible = platform.revision
	})
}

// change applies a change and wakes the watches.
func (platform *Platform) change(apply func()) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	apply()
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// Put stores a value on the operators' side and returns its revision.
func (platform *Platform) Put(key string, content []byte) (uint64, error) {
	revision, _, err := platform.PutIf(key, content, func(uint64) bool { return true })
	return revision, err
}

// PutIf stores a value if the key's present revision, 0 without a value, is accepted, and reports whether it was.
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
			platform.visible = platform.revision
		}
	})
	return stored.Revision, accepted, nil
}

// Publish stores a ticket as the operators' tool does: its objects, then its buckets of the index, the top value last.
func (platform *Platform) Publish(ticket *carobthread.Ticket) error {
	if err := platform.PublishPart(ticket, len(ticket.Objects)); err != nil {
		return err
	}
	top, _ := parser.DecodeTop(parser.IndexKey, platform.newest(parser.IndexKey, parser.EncodeTop(&parser.Top{})))
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
	_, err := platform.Put(parser.IndexKey, parser.EncodeTop(&top))
	return err
}

// PublishPart stores only the first objects of a ticket and no index, as an operators' tool that fails half-way.
func (platform *Platform) PublishPart(ticket *carobthread.Ticket, objects int) error {
	for _, value := range parser.Publish(ticket)[:objects] {
		if _, err := platform.Put(value.Key, value.Content); err != nil {
			return err
		}
	}
	return nil
}

// newest returns the newest content of a key on the operators' side, or the given one for a key without a value.
func (platform *Platform) newest(key string, empty []byte) []byte {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	values := platform.history[key]
	if len(values) == 0 {
		return empty
	}
	return values[len(values)-1].Content
}
