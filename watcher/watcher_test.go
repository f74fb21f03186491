package watcher_test

import (
	"context"
	"errors"
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

// Guards against a watcher that exceeds its rate, presses a platform that is out of service or ignores its Retry-After.
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

	for range 50 { // another reader uses up the service's limit, whose Retry-After of 1 s exceeds the backoff
		_, _ = bench.platform.Read(context.Background(), "index")
	}
	_, err = bench.read("index")
	assert.Assert(t, failure(t, err).Limited)
	bench.manual.Advance(999 * time.Millisecond)
	bench.mustWait(t, "index")
	bench.manual.Advance(time.Millisecond)
	_, err = bench.read("index")
	assert.NilError(t, err)
	assert.Equal(t, bench.platform.Limited(), uint64(2))
}

// Guards against answers of a broken platform: too long, without a revision, redirecting, or cut short.
func TestBrokenAnswers(t *testing.T) {
	for fault, answer := range map[string]func(header http.Header) (int, string){
		"value exceeds 1048576 bytes": func(header http.Header) (int, string) {
			header.Set(watcher.RevisionHeader, "1")
			return http.StatusOK, strings.Repeat("x", watcher.MaxValueSize+1)
		},
		"header Carobthread-Revision": func(http.Header) (int, string) { return http.StatusOK, "x" },
		"answer 302": func(header http.Header) (int, string) {
			header.Set("Location", "/elsewhere")
			return http.StatusFound, ""
		},
		"unexpected EOF": func(header http.Header) (int, string) {
			header.Set(watcher.RevisionHeader, "1")
			header.Set("Content-Length", "10")
			return http.StatusOK, "x"
		},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			status, content := answer(writer.Header())
			writer.WriteHeader(status)
			_, _ = writer.Write([]byte(content))
		}))
		client := watcher.New(timer.NewManual(0), watcher.Options{Address: server.Listener.Addr().String()})
		_, err := client.Read(context.Background(), "index")
		assert.ErrorContains(t, failure(t, err), fault)
		client.Close()
		server.Close()
	}
}

// Guards against a stand-in that shows what is published during a freeze, or lists hosts without lag.
func TestStandInFreezeAndHosts(t *testing.T) {
	manual := timer.NewManual(0)
	platform := standin.NewPlatform(standin.PlatformOptions{Timer: manual, HostLag: 5 * time.Second})
	defer platform.Close()
	host := carobthread.Host{Name: "entry-1", DataCentre: "south", PeerAddress: "127.0.0.1:1", State: carobthread.HostLeaving}
	platform.SetHost(host)
	platform.Freeze()
	manual.Advance(5 * time.Second)
	_, err := platform.Read(t.Context(), parser.HostsKey)
	assert.Assert(t, failure(t, err).Missing)
	platform.Heal()
	value, err := platform.Read(t.Context(), parser.HostsKey)
	assert.NilError(t, err)
	hosts, findings := parser.DecodeHosts(parser.HostsKey, value.Content)
	assert.Equal(t, len(findings), 0)
	assert.DeepEqual(t, hosts, []carobthread.Host{host})
	platform.DropHost(host.Name)
	unchanged, err := platform.Read(t.Context(), parser.HostsKey)
	assert.NilError(t, err)
	assert.DeepEqual(t, unchanged, value)
}

// Guards against a quiet platform that looks like a failing one: an unchanged watch must end without an error.
func TestUnchangedWatchKeepsItsRevision(t *testing.T) {
	bench := start(t, watcher.Options{})
	revision, err := bench.platform.Put("index", []byte("x"))
	assert.NilError(t, err)
	watched := make(chan error, 1)
	var value carobthread.Value
	go func() {
		var err error
		value, err = bench.watcher.Watch(context.Background(), "index", revision)
		watched <- err
	}()
	for ended := false; !ended; { // the watch may begin after any of the advances
		select {
		case err := <-watched:
			assert.NilError(t, err)
			ended = true
		default:
			bench.manual.Advance(watcher.WatchTime)
		}
	}
	assert.DeepEqual(t, value, carobthread.Value{Key: "index", Revision: revision})
	assert.Equal(t, bench.watcher.Stats().Calls, uint64(1))
	assert.Equal(t, bench.platform.Calls(), uint64(1))
}
