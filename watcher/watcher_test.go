package watcher_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/internal/standin"
	"carobthread/parser"
	"carobthread/timer"
	"carobthread/watcher"
)

// bench is a stand-in platform over HTTP and a watcher whose time a test advances.
type bench struct {
	manual   *timer.Manual
	platform *standin.Platform
	watcher  *watcher.Watcher
}

func start(t *testing.T, options watcher.Options) *bench {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	manual := timer.NewManual(carobthread.Instant(time.Hour))
	platform := standin.NewPlatform(standin.PlatformOptions{Timer: manual, CallLimit: 50})
	serving, err := standin.ServePlatform(platform, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, serving.Close()) })
	options.Address = serving.Address()
	client := watcher.New(manual, options)
	t.Cleanup(client.Close)
	return &bench{manual, platform, client}
}

// read makes a call whose turn has come; a call that wrongly waits for time to pass ends with the test's time limit.
func (bench *bench) read(key string) (carobthread.Value, error) {
	return bench.watcher.Read(context.Background(), key)
}

// mustWait checks that the turn of the next call has not come.
func (bench *bench) mustWait(t *testing.T, key string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	calls := bench.watcher.Stats().Calls
	_, err := bench.watcher.Read(ctx, key)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, bench.watcher.Stats().Calls, calls, "the call took a turn")
}

func failure(t *testing.T, err error) *carobthread.PlatformError {
	t.Helper()
	var failure *carobthread.PlatformError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure
}

// Guards against values, revisions and faults of the platform that are read wrongly.
func TestReadAndWatch(t *testing.T) {
	bench := start(t, watcher.Options{Burst: 100})
	_, err := bench.read("index")
	assert.Assert(t, failure(t, err).Missing)

	first, err := bench.platform.Put("object/service/a", []byte("one"))
	assert.NilError(t, err)
	value, err := bench.read("object/service/a")
	assert.NilError(t, err)
	assert.DeepEqual(t, value, carobthread.Value{Key: "object/service/a", Revision: first, Content: []byte("one")})

	calls := bench.platform.Calls()
	watched := make(chan carobthread.Value, 1)
	go func() {
		changed, _ := bench.watcher.Watch(context.Background(), "object/service/a", first)
		watched <- changed
	}()
	for bench.platform.Calls() == calls { // the watch has begun
		time.Sleep(time.Millisecond)
	}
	_, err = bench.platform.Put("object/service/b", []byte("other key"))
	assert.NilError(t, err)
	second, err := bench.platform.Put("object/service/a", []byte("two"))
	assert.NilError(t, err)
	assert.Equal(t, (<-watched).Revision, second)
	assert.Equal(t, bench.platform.Calls(), calls+1)

	bench.platform.RollBack(first)
	value, err = bench.watcher.Watch(context.Background(), "object/service/a", second)
	assert.NilError(t, err)
	assert.Equal(t, value.Revision, first)
	bench.platform.Heal()
	value, err = bench.read("object/service/a")
	assert.NilError(t, err)
	assert.Equal(t, value.Revision, second)
}

// Guards against a watcher that exceeds its rate or presses a platform that is out of service.
func TestRateAndBackoff(t *testing.T) {
	bench := start(t, watcher.Options{Rate: 10, Burst: 3})
	_, err := bench.platform.Put("index", []byte("x"))
	assert.NilError(t, err)
	for range 3 {
		_, err = bench.read("index")
		assert.NilError(t, err)
	}
	bench.mustWait(t, "index")
	bench.manual.Advance(100 * time.Millisecond)
	_, err = bench.read("index")
	assert.NilError(t, err)
	assert.Equal(t, bench.platform.Calls(), uint64(4))

	bench.platform.SetOutage(true)
	for i, backoff := range []time.Duration{100, 200, 400, 800} { // the jitter is half of it either way
		bench.manual.Advance(6 * time.Second)
		_, err = bench.read("index")
		assert.ErrorContains(t, failure(t, err), "503")
		bench.manual.Advance(backoff * time.Millisecond * 49 / 100)
		bench.mustWait(t, "index")
		assert.Equal(t, bench.platform.Calls(), uint64(5+i))
	}
	bench.platform.SetOutage(false)
	bench.manual.Advance(6 * time.Second)
	_, err = bench.read("index")
	assert.NilError(t, err)
	assert.DeepEqual(t, bench.watcher.Stats(), watcher.Stats{Calls: 9, Failures: 4})
}

// Guards against a client that ignores the service's own limit and its Retry-After.
func TestCallLimit(t *testing.T) {
	bench := start(t, watcher.Options{Rate: 1000, Burst: 1000})
	_, err := bench.platform.Put("index", []byte("x"))
	assert.NilError(t, err)
	for range 50 {
		_, err = bench.read("index")
		assert.NilError(t, err)
	}
	_, err = bench.read("index")
	assert.Assert(t, failure(t, err).Limited)
	bench.manual.Advance(900 * time.Millisecond)
	bench.mustWait(t, "index")
	bench.manual.Advance(100 * time.Millisecond)
	_, err = bench.read("index")
	assert.NilError(t, err)
	assert.Equal(t, bench.platform.Limited(), uint64(1))
}

// Guards against answers of a broken platform: too long, without a revision, redirecting, or cut short.
func TestBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"value exceeds": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(watcher.RevisionHeader, "1")
			_, _ = writer.Write([]byte(strings.Repeat("x", watcher.MaxValueSize+1)))
		},
		"header Carobthread-Revision": func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("x")) },
		"answer 302": func(writer http.ResponseWriter, request *http.Request) {
			http.Redirect(writer, request, "/elsewhere", http.StatusFound)
		},
		"unexpected EOF": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(watcher.RevisionHeader, "1")
			writer.Header().Set("Content-Length", "10")
			_, _ = writer.Write([]byte("x"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(answer)
			defer server.Close()
			client := watcher.New(timer.NewManual(0), watcher.Options{Address: server.Listener.Addr().(*net.TCPAddr).String()})
			defer client.Close()
			_, err := client.Read(context.Background(), "index")
			assert.ErrorContains(t, failure(t, err), name)
		})
	}
}

// Guards against a stand-in that publishes half-visible tickets, loses the freeze, or lists hosts without lag.
func TestStandInPublishes(t *testing.T) {
	manual := timer.NewManual(0)
	platform := standin.NewPlatform(standin.PlatformOptions{Timer: manual, HostLag: 5 * time.Second})
	ticket, findings := parser.Ticket("t", []byte("[ticket]\nnumber = 7\nobjects = searcher/a\n[searcher a]\naddress = 127.0.0.1:1\ndata-centre = b\nslots = 3\nconnections = 30\n"))
	assert.Equal(t, len(findings), 0)
	platform.Freeze()
	assert.NilError(t, platform.Publish(&ticket))
	_, err := platform.Read(t.Context(), parser.IndexKey)
	assert.Assert(t, failure(t, err).Missing)
	platform.Heal()
	value, err := platform.Read(t.Context(), parser.IndexKey)
	assert.NilError(t, err)
	assert.Equal(t, string(value.Content), "[index]\nrevision = 1\n\n[objects]\nsearcher/a=7\n")

	platform.SetHost(carobthread.Host{Name: "entry-1", DataCentre: "south", PeerAddress: "127.0.0.1:1", State: carobthread.HostLeaving})
	_, err = platform.Read(t.Context(), parser.HostsKey)
	assert.Assert(t, failure(t, err).Missing)
	manual.Advance(5 * time.Second)
	value, err = platform.Read(t.Context(), parser.HostsKey)
	assert.NilError(t, err)
	hosts, findings := parser.DecodeHosts(parser.HostsKey, value.Content)
	assert.Equal(t, len(findings), 0)
	assert.DeepEqual(t, hosts, []carobthread.Host{{Name: "entry-1", DataCentre: "south", PeerAddress: "127.0.0.1:1", State: carobthread.HostLeaving}})
}
