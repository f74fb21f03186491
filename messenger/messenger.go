package messenger

// The messenger keeps at most one dialled link for each peer and any number of
// accepted ones. Calls go out on dialled links only, so a link has one owner
// and an ended link never takes a request with it silently. Invariants:
//   - A failure says NotRun only if the request was never handed to the
//     connection, or if the peer says so.
//   - A host outside the current view and the seeds gets no answer.
//   - No queue grows without a bound: a request over a bound is refused.

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"carobthread"
)

// Bounds of links and requests.
const (
	maxFrameBytes      = 4 << 20 // a 1 MB platform value grows by a third in base64
	maxHelloBytes      = 4 << 10 // an unknown client cannot make the host buffer more
	maxInFlight        = 64      // requests of one peer, in each direction
	maxUngreeted       = 64      // accepted connections without a hello
	dialTimeout        = 500 * time.Millisecond
	helloTimeout       = time.Second
	writeTimeout       = 2 * time.Second
	defaultCallTimeout = 2 * time.Second // for calls whose context has no deadline
	idleSpan           = time.Minute
	idleCheckPeriod    = 5 * time.Second
	backoffLeast       = 50 * time.Millisecond
	backoffMost        = 5 * time.Second
)

// Options are the parts that a Messenger works with. A seed without a name can
// be called by its address, but it is accepted only once the view names it.
type Options struct {
	Self    carobthread.Host
	Seeds   []carobthread.Host
	Handler carobthread.PeerHandler
	Timer   carobthread.Timer
	Logger  zerolog.Logger
	Seed    uint64
	// Open accepts links of hosts that are not in the view yet, where nothing but the hosts themselves tells of them.
	Open bool
}

// Messenger sends requests to peers and serves theirs; it is safe for concurrent use.
type Messenger struct {
	options Options
	meter   *Meter
	stop    func()

	mutex     sync.Mutex
	hosts     map[string]carobthread.Host
	links     map[string]*link
	accepted  map[*jsonrpc2.Conn]string
	ungreeted int
	random    *rand.Rand
	closed    bool
}

var _ carobthread.Peers = (*Messenger)(nil)

// New returns a messenger that knows the seeds until SetHosts gives it a view.
func New(options Options) *Messenger {
	messenger := &Messenger{
		options:  options,
		meter:    NewMeter(),
		hosts:    map[string]carobthread.Host{},
		links:    map[string]*link{},
		accepted: map[*jsonrpc2.Conn]string{},
		random:   rand.New(rand.NewPCG(options.Seed, uint64(options.Self.Incarnation.Start))),
	}
	messenger.SetHosts(carobthread.View{})
	messenger.stop = options.Timer.Subscribe(idleCheckPeriod, carobthread.SubscriberFunc(messenger.closeIdle))
	return messenger
}

// SetSeeds replaces the seeds; it takes effect with the next SetHosts.
func (messenger *Messenger) SetSeeds(seeds []carobthread.Host) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	messenger.options.Seeds = seeds
}

// SetHosts replaces the known hosts by the view and the seeds, and ends the links of all others.
func (messenger *Messenger) SetHosts(view carobthread.View) {
	hosts := make(map[string]carobthread.Host, len(view.Hosts))
	messenger.mutex.Lock()
	for _, host := range messenger.options.Seeds {
		hosts[cmp.Or(host.Name, host.PeerAddress)] = host
	}
	for _, host := range view.Hosts {
		hosts[host.Name] = host
	}
	messenger.hosts = hosts
	ended := messenger.takeUnknownLocked()
	messenger.mutex.Unlock()
	for _, conn := range ended {
		_ = conn.Close()
	}
}

func (messenger *Messenger) takeUnknownLocked() []*jsonrpc2.Conn {
	var ended []*jsonrpc2.Conn
	for name, link := range messenger.links {
		if _, known := messenger.hosts[name]; !known {
			if conn := link.take(); conn != nil {
				ended = append(ended, conn)
			}
			delete(messenger.links, name)
		}
	}
	for conn, name := range messenger.accepted {
		if _, known := messenger.hosts[name]; !known && (!messenger.options.Open || messenger.closed) {
			ended = append(ended, conn)
		}
	}
	return ended
}

// Meter returns the counters of messages and bytes.
func (messenger *Messenger) Meter() *Meter { return messenger.meter }

// Call sends one request over the peer's link, which it opens if needed.
func (messenger *Messenger) Call(ctx context.Context, host, method string, params, result any) error {
	link, err := messenger.linkTo(host)
	if err != nil {
		return err
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	return link.call(ctx, method, params, result)
}

func (messenger *Messenger) linkTo(name string) (*link, error) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if messenger.closed {
		return nil, refuse(carobthread.ReasonStopping, "the messenger is closed")
	}
	if _, known := messenger.hosts[name]; !known {
		return nil, refuse(carobthread.ReasonHostUnreachable, "host "+name+" is not in the view")
	}
	found, open := messenger.links[name]
	if !open {
		found = newLink(messenger, name)
		messenger.links[name] = found
	}
	return found, nil
}

// Serve accepts links until the context ends or the listener fails.
func (messenger *Messenger) Serve(ctx context.Context, listener net.Listener) error {
	release := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer release()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		messenger.accept(ctx, conn)
	}
}

func (messenger *Messenger) accept(ctx context.Context, conn net.Conn) {
	messenger.mutex.Lock()
	refused := messenger.closed || messenger.ungreeted >= maxUngreeted
	if !refused {
		messenger.ungreeted++
	}
	messenger.mutex.Unlock()
	if refused {
		_ = conn.Close()
		return
	}
	newAcceptor(messenger, conn).run(ctx)
}

// Close ends all links; calls in flight fail with connection-lost.
func (messenger *Messenger) Close() {
	messenger.stop()
	messenger.mutex.Lock()
	messenger.closed = true
	messenger.hosts = map[string]carobthread.Host{}
	ended := messenger.takeUnknownLocked()
	messenger.mutex.Unlock()
	for _, conn := range ended {
		_ = conn.Close()
	}
}

func (messenger *Messenger) closeIdle(now carobthread.Instant, _ time.Duration) {
	messenger.mutex.Lock()
	var idle []*jsonrpc2.Conn
	for _, link := range messenger.links {
		if conn := link.takeIdle(now); conn != nil {
			idle = append(idle, conn)
		}
	}
	messenger.mutex.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// jitter returns a random span between half of the given one and all of it.
func (messenger *Messenger) jitter(span time.Duration) time.Duration {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	return span/2 + time.Duration(messenger.random.Int64N(int64(span/2)+1))
}

func (messenger *Messenger) handle(ctx context.Context, peer, method string, body json.RawMessage) (any, error) {
	return messenger.options.Handler.Handle(ctx, peer, method, body)
}
