package messenger

// The messenger keeps at most one dialled link for each peer and any number of
// accepted links. It sends calls on dialled links only, so each link has one
// owner and a request never gets lost silently when its link ends. Invariants:
//   - An error states NotRun only if the request was never passed to the
//     connection, or if the peer says so.
//   - A host outside the current view and the seeds gets no response.
//   - All queues are bounded: a request over a limit is refused.

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
	"carobthread/recoverer"
)

// Limits and timeouts of links and requests.
const (
	maxFrameBytes      = 4 << 20 // a platform value of 1 MB grows by a third in base64
	maxEnvelopeBytes   = 4 << 10 // of a request's frame beside its body: the method, the ID and the trace context
	maxHelloBytes      = 4 << 10 // limits what an unknown client can make the host buffer
	maxInFlight        = 64      // requests per peer in each direction
	maxAwaitingHello   = 64      // accepted connections without a hello
	dialTimeout        = 500 * time.Millisecond
	helloTimeout       = time.Second
	writeTimeout       = 2 * time.Second
	silenceTimeout     = 500 * time.Millisecond // a live peer responds within milliseconds
	defaultCallTimeout = 2 * time.Second        // for calls whose context has no deadline
	idleTimeout        = time.Minute
	idleCheckPeriod    = 5 * time.Second
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = 5 * time.Second
)

// Options configure a Messenger. A seed without a name can be called by its
// address, but its links are accepted only once the view contains it.
type Options struct {
	Self       carobthread.Host
	Seeds      []carobthread.Host
	Handler    carobthread.PeerHandler
	Timer      carobthread.Timer
	Logger     zerolog.Logger
	RandomSeed uint64
	// AcceptUnknownHosts accepts links of hosts that are not in the view yet, for deployments that learn of hosts only from the
	// hosts themselves.
	AcceptUnknownHosts bool
}

// Messenger sends requests to peers and serves requests from them; it is safe for concurrent use.
type Messenger struct {
	options       Options
	meter         *Meter
	stopIdleCheck func()

	mutex         sync.Mutex
	hosts         map[string]carobthread.Host
	links         map[string]*link
	accepted      map[*jsonrpc2.Conn]string
	awaitingHello int
	random        *rand.Rand
	closed        bool
}

var _ carobthread.Peers = (*Messenger)(nil)

// New returns a messenger that knows only the seeds until SetHosts sets a view.
func New(options Options) *Messenger {
	messenger := &Messenger{
		options:  options,
		meter:    NewMeter(),
		hosts:    map[string]carobthread.Host{},
		links:    map[string]*link{},
		accepted: map[*jsonrpc2.Conn]string{},
		random:   rand.New(rand.NewPCG(options.RandomSeed, uint64(options.Self.Incarnation.Start))),
	}
	messenger.SetHosts(carobthread.View{})
	messenger.stopIdleCheck = options.Timer.Subscribe(idleCheckPeriod, carobthread.SubscriberFunc(messenger.closeIdle))
	return messenger
}

// SetSeeds replaces the seeds; it takes effect with the next SetHosts.
func (messenger *Messenger) SetSeeds(seeds []carobthread.Host) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	messenger.options.Seeds = seeds
}

// SetHosts replaces the known hosts with those of the view and the seeds, and closes the links of all others.
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
	detached := messenger.detachUnknownLocked()
	messenger.mutex.Unlock()
	for _, conn := range detached {
		_ = conn.Close()
	}
}

func (messenger *Messenger) detachUnknownLocked() []*jsonrpc2.Conn {
	var detached []*jsonrpc2.Conn
	for name, link := range messenger.links {
		if _, known := messenger.hosts[name]; !known {
			if conn := link.detach(); conn != nil {
				detached = append(detached, conn)
			}
			delete(messenger.links, name)
		}
	}
	for conn, name := range messenger.accepted {
		if _, known := messenger.hosts[name]; !known && (!messenger.options.AcceptUnknownHosts || messenger.closed) {
			detached = append(detached, conn)
		}
	}
	return detached
}

// Meter returns the counters of messages and bytes.
func (messenger *Messenger) Meter() *Meter { return messenger.meter }

// Call sends one request over the link to the peer, opening the link if necessary.
func (messenger *Messenger) Call(ctx context.Context, host, method string, params, result any) error {
	link, err := messenger.linkTo(host)
	if err != nil {
		return err
	}
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
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
		return nil, notRunError(carobthread.ReasonStopping, "the messenger is closed")
	}
	if _, known := messenger.hosts[name]; !known {
		return nil, notRunError(carobthread.ReasonHostUnreachable, "host "+name+" is not in the view")
	}
	existing, found := messenger.links[name]
	if !found {
		existing = newLink(messenger, name)
		messenger.links[name] = existing
	}
	return existing, nil
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
	refused := messenger.closed || messenger.awaitingHello >= maxAwaitingHello
	if !refused {
		messenger.awaitingHello++
	}
	messenger.mutex.Unlock()
	if refused {
		_ = conn.Close()
		return
	}
	newAcceptor(messenger, conn).run(ctx)
}

// Close closes all links; calls in flight fail with connection-lost.
func (messenger *Messenger) Close() {
	messenger.stopIdleCheck()
	messenger.mutex.Lock()
	messenger.closed = true
	messenger.hosts = map[string]carobthread.Host{}
	detached := messenger.detachUnknownLocked()
	messenger.mutex.Unlock()
	for _, conn := range detached {
		_ = conn.Close()
	}
}

func (messenger *Messenger) closeIdle(now carobthread.Instant, _ time.Duration) {
	messenger.mutex.Lock()
	var idle []*jsonrpc2.Conn
	for _, link := range messenger.links {
		if conn := link.detachIdle(now); conn != nil {
			idle = append(idle, conn)
		}
	}
	messenger.mutex.Unlock()
	for _, conn := range idle {
		_ = conn.Close()
	}
}

// jitter returns a random duration between half the interval and the whole interval.
func (messenger *Messenger) jitter(interval time.Duration) time.Duration {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	return interval/2 + time.Duration(messenger.random.Int64N(int64(interval/2)+1))
}

// handle serves one request of a peer; a panic ends this request alone, which may have run.
func (messenger *Messenger) handle(ctx context.Context, peer, method string, body json.RawMessage) (result any, err error) {
	panicked := recoverer.Run(&messenger.options.Logger, "peer-request", func() {
		result, err = messenger.options.Handler.Handle(ctx, peer, method, body)
	})
	if panicked != nil {
		return nil, &carobthread.RequestError{State: carobthread.MayHaveRun, Reason: carobthread.ReasonInternal, Detail: "method " + method}
	}
	return result, err
}
