package messenger_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/internal/standin"
	"carobthread/messenger"
	"carobthread/timer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type handlerFunc func(ctx context.Context, peer, method string, params json.RawMessage) (any, error)

func (call handlerFunc) Handle(ctx context.Context, peer, method string, params json.RawMessage) (any, error) {
	return call(ctx, peer, method, params)
}

func host(name, dataCentre, address string, start carobthread.Instant) carobthread.Host {
	return carobthread.Host{Name: name, DataCentre: dataCentre, PeerAddress: address, Incarnation: carobthread.Incarnation{Start: start}}
}

// serve starts the messenger of host "a", which knows "b" from its view and "seed" as a seed, and returns it with its
// address.
func serve(t *testing.T, handler carobthread.PeerHandler) (*messenger.Messenger, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := messenger.New(messenger.Options{
		Self: host("a", "east", listener.Addr().String(), 1), Seeds: []carobthread.Host{host("seed", "west", "", 0)},
		Handler: handler, Timer: timer.New(), Logger: zerolog.Nop(),
	})
	served.SetHosts(carobthread.View{Hosts: []carobthread.Host{host("b", "east", "", 5)}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- served.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		served.Close()
		assert.NilError(t, <-done)
	})
	return served, listener.Addr().String()
}

// dialler returns the messenger of host "b", which knows "a" as a seed at the address.
func dialler(t *testing.T, address string) *messenger.Messenger {
	t.Helper()
	peer := messenger.New(messenger.Options{
		Self: host("b", "east", "", 5), Seeds: []carobthread.Host{host("a", "east", address, 0)},
		Handler: handlerFunc(nil), Timer: timer.New(), Logger: zerolog.Nop(),
	})
	t.Cleanup(peer.Close)
	return peer
}

func runState(err error) carobthread.RunState {
	var failure *carobthread.RequestError
	if errors.As(err, &failure) {
		return failure.State
	}
	return ""
}

// Guards against serving requests of clients that are not hosts of the system.
func TestHello(t *testing.T) {
	_, address := serve(t, handlerFunc(func(context.Context, string, string, json.RawMessage) (any, error) { return "pong", nil }))
	datadriven.RunTest(t, "testdata/hello", func(t *testing.T, data *datadriven.TestData) string {
		content := strings.TrimSpace(data.Input)
		size := len(content)
		if data.Cmd == "hello" {
			content = fmt.Sprintf(`{"method":"hello","params":{"version":%s,"name":%q,"data-centre":%q,"incarnation":{"start":%s,"random":0}},"id":1,"jsonrpc":"2.0"}`,
				argument(data, "version"), argument(data, "name"), argument(data, "dc"), argument(data, "start"))
			size = len(content)
		}
		data.MaybeScanArgs(t, "size", &size)
		return exchange(t, address, content, size)
	})
}

func argument(data *datadriven.TestData, key string) string {
	for _, found := range data.CmdArgs {
		if found.Key == key {
			return found.Vals[0]
		}
	}
	return ""
}

func exchange(t *testing.T, address, content string, size int) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	send := func(content string, size int) string {
		_, _ = conn.Write(append(binary.AppendUvarint(nil, uint64(size)), content...))
		buffer := make([]byte, 4096)
		count, err := conn.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) && count == 0 {
			return ""
		}
		return string(buffer[:count])
	}
	if send(content, size) == "" {
		return "closed\n"
	}
	ping := `{"method":"ping","params":{"left-us":9000000000},"id":2,"jsonrpc":"2.0"}`
	if !strings.Contains(send(ping, len(ping)), `"result":"pong"`) {
		return "accepted, then no answer\n"
	}
	return "accepted, then ping: pong\n"
}

// Guards against errors that wrongly claim that a request was not run: each error must state what is known about it.
func TestFailuresStateWhetherTheRequestRan(t *testing.T) {
	release := make(chan struct{})
	var running atomic.Int64
	handler := handlerFunc(func(ctx context.Context, peer, method string, params json.RawMessage) (any, error) {
		switch method {
		case "refuse":
			return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonStopping, RetryAfter: time.Second}
		case "wait":
			running.Add(1)
			<-release
			return nil, nil
		}
		deadline, _ := ctx.Deadline()
		return []any{peer, params, deadline.UnixMicro()}, nil
	})
	served, address := serve(t, handler)
	peer := dialler(t, address)

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var result []any
	assert.NilError(t, peer.Call(ctx, "a", "echo", map[string]int{"x": 1}, &result))
	deadline, _ := ctx.Deadline()
	assert.Equal(t, result[0], "b")
	drift := int64(result[2].(float64)) - deadline.UnixMicro()
	assert.Assert(t, drift > -1e6 && drift < 1e6, "deadline changed by %d us", drift)

	err := peer.Call(ctx, "a", "refuse", nil, nil)
	var failure *carobthread.RequestError
	assert.Assert(t, errors.As(err, &failure))
	assert.DeepEqual(t, *failure, carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonStopping, RetryAfter: time.Second})
	assert.Equal(t, runState(peer.Call(ctx, "nobody", "echo", nil, nil)), carobthread.NotRun)

	const maxInFlight = 64
	results := make(chan error, maxInFlight)
	for range maxInFlight {
		go func() { results <- peer.Call(ctx, "a", "wait", nil, nil) }()
	}
	for running.Load() < maxInFlight {
		time.Sleep(time.Millisecond)
	}
	refused := peer.Call(ctx, "a", "echo", nil, nil)
	assert.Equal(t, runState(refused), carobthread.NotRun)
	assert.ErrorContains(t, refused, string(carobthread.ReasonOverload))

	served.SetHosts(carobthread.View{}) // closes the link of "b"
	for range maxInFlight {
		assert.Equal(t, runState(<-results), carobthread.MayHaveRun)
	}
	close(release)
	assert.Equal(t, runState(peer.Call(ctx, "a", "echo", nil, nil)), carobthread.NotRun)
}

// Guards against a link that is not reopened after its peer has closed it, and against byte counters that miss frames.
func TestReconnectsAndCountsBytes(t *testing.T) {
	served, address := serve(t, handlerFunc(func(context.Context, string, string, json.RawMessage) (any, error) { return 7, nil }))
	peer := dialler(t, address)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(20*time.Second))
	defer cancel()
	assert.NilError(t, peer.Call(ctx, "a", "echo", "x", nil))
	served.SetHosts(carobthread.View{})
	served.SetHosts(carobthread.View{Hosts: []carobthread.Host{host("b", "east", "", 5)}})
	for peer.Call(ctx, "a", "echo", "x", nil) != nil {
		assert.NilError(t, ctx.Err())
	}
	deadline, _ := ctx.Deadline()
	request, err := messenger.EncodeRequest(1, "echo", time.Until(deadline), "x")
	assert.NilError(t, err)
	reply, err := messenger.EncodeReply(1, 7)
	assert.NilError(t, err)
	for _, count := range peer.Meter().Counts() {
		if count.Kind != "echo" {
			continue
		}
		size := int64(len(request))
		if count.Direction == messenger.Received {
			size = int64(len(reply))
		}
		assert.Equal(t, count.Bytes, size*count.Messages, "%s", count.Direction)
	}
}

// Guards against a link that is kept after it has fallen silent, so that every later call to the peer is lost as well.
func TestReplacesSilentLink(t *testing.T) {
	_, address := serve(t, handlerFunc(func(context.Context, string, string, json.RawMessage) (any, error) { return 7, nil }))
	proxy, err := standin.NewProxy(address)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, proxy.Close()) })
	peer := dialler(t, proxy.Address())
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return peer.Call(ctx, "a", "echo", "x", nil)
	}
	assert.NilError(t, call())
	proxy.SilenceOpen()
	assert.Equal(t, runState(call()), carobthread.MayHaveRun)
	assert.NilError(t, call())
}

// Guards against a response above the frame limit that is dropped, so that the caller waits for its deadline and takes the link
// for silent.
func TestReportsTooLargeResponse(t *testing.T) {
	const tooLarge = 5 << 20
	_, address := serve(t, handlerFunc(func(_ context.Context, _, method string, _ json.RawMessage) (any, error) {
		if method == "large" {
			return strings.Repeat("x", tooLarge), nil
		}
		return 7, nil
	}))
	peer := dialler(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var failure *carobthread.RequestError
	err := peer.Call(ctx, "a", "large", nil, nil)
	assert.Assert(t, errors.As(err, &failure) && failure.Reason == carobthread.ReasonTooLarge, "%v", err)
	assert.NilError(t, peer.Call(ctx, "a", "echo", nil, nil))
}

// Guards against a request that fits the frame limit and is refused, and against one that does not and spoils its link.
func TestSendsRequestsUpToFrameLimit(t *testing.T) {
	const (
		limit, envelope = 4 << 20, 4 << 10
		hangTimeout     = time.Minute // the race detector encodes and decodes such a request in seconds
	)
	_, address := serve(t, handlerFunc(func(_ context.Context, _, _ string, params json.RawMessage) (any, error) { return len(params), nil }))
	peer := dialler(t, address)
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	var received int
	assert.NilError(t, peer.Call(ctx, "a", "echo", strings.Repeat("x", limit-envelope-len(`""`)), &received))
	assert.Equal(t, received, limit-envelope)
	err := peer.Call(ctx, "a", "echo", strings.Repeat("x", limit), nil)
	var failure *carobthread.RequestError
	assert.Assert(t, errors.As(err, &failure) && failure.Reason == carobthread.ReasonTooLarge && failure.State == carobthread.NotRun, "%v", err)
	assert.NilError(t, peer.Call(ctx, "a", "echo", "x", nil))
}

// Guards against a link that is closed because one slow request timed out, which would fail the other requests on it.
func TestKeepsLinkThatAnswersOtherRequests(t *testing.T) {
	release := make(chan struct{})
	_, address := serve(t, handlerFunc(func(ctx context.Context, _, method string, _ json.RawMessage) (any, error) {
		if method == "slow" {
			<-release
		}
		return 7, nil
	}))
	peer := dialler(t, address)
	pending := make(chan error, 1)
	go func() { pending <- peer.Call(t.Context(), "a", "slow", nil, nil) }()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	timedOut := make(chan error, 1)
	go func() { timedOut <- peer.Call(ctx, "a", "slow", nil, nil) }()
	for ctx.Err() == nil {
		assert.NilError(t, peer.Call(t.Context(), "a", "echo", nil, nil))
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, runState(<-timedOut), carobthread.MayHaveRun)
	close(release)
	assert.NilError(t, <-pending)
}

// Guards against a frame that crashes the host or is read beyond its length.
func FuzzFrame(f *testing.F) {
	request, err := messenger.EncodeRequest(1, "echo", 5, map[string]int{"x": 1})
	assert.NilError(f, err)
	reply, err := messenger.EncodeReply(1, "x")
	assert.NilError(f, err)
	f.Add(request)
	f.Add(reply)
	f.Add([]byte("\x02[]"))
	f.Add([]byte("\xff\xff\xff\xff\xff\x0f{}"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		if method, body, err := messenger.DecodeRequest(frame); err == nil {
			assert.Assert(t, len(method)+len(body) <= 2*len(frame))
		}
		_, _ = messenger.DecodeReply(frame)
	})
}

// Guards against one request of a peer that ends the whole process with a panic.
func TestPanicEndsOneRequestAlone(t *testing.T) {
	_, address := serve(t, handlerFunc(func(_ context.Context, _, method string, _ json.RawMessage) (any, error) {
		if method == "panic" {
			panic("malformed")
		}
		return 7, nil
	}))
	peer := dialler(t, address)
	err := peer.Call(t.Context(), "a", "panic", nil, nil)
	assert.Equal(t, runState(err), carobthread.MayHaveRun, "%v", err)
	assert.NilError(t, peer.Call(t.Context(), "a", "echo", nil, nil))
}

// notified is a handler that notifies its caller and records the notifications that it receives.
type notified struct {
	messenger atomic.Pointer[messenger.Messenger]
	received  chan string
}

func (handler *notified) Handle(ctx context.Context, _, _ string, _ json.RawMessage) (any, error) {
	return "done", handler.messenger.Load().NotifyCaller(ctx, "started", 7)
}

func (handler *notified) HandleNotification(peer, method string, params json.RawMessage) {
	handler.received <- fmt.Sprintf("%s from %s: %s", method, peer, params)
}

// Guards against notifications that are lost, get an answer or end their link, in either direction.
func TestNotifications(t *testing.T) {
	accepting := &notified{received: make(chan string, 4)}
	served, address := serve(t, accepting)
	accepting.messenger.Store(served)
	dialling := &notified{received: make(chan string, 4)}
	peer := messenger.New(messenger.Options{
		Self: host("b", "east", "", 5), Seeds: []carobthread.Host{host("a", "east", address, 0)}, Handler: dialling, Timer: timer.New(), Logger: zerolog.Nop(),
	})
	t.Cleanup(peer.Close)
	assert.ErrorContains(t, peer.Notify("a", "early", 1), "no open link")
	for range 2 {
		var result string
		assert.NilError(t, peer.Call(t.Context(), "a", "run", nil, &result))
		assert.Equal(t, <-dialling.received, "started from a: 7")
		assert.NilError(t, peer.Notify("a", "proceed", 1))
		assert.Equal(t, <-accepting.received, "proceed from b: 1")
	}
}
