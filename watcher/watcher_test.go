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

// fixture is a stand-in platform served over HTTP and its watcher, with a clock that the test advances.
type fixture struct {
	manual   *timer.Manual
	platform *standin.Platform
	watcher  *watcher.Watcher
}

func newFixture(t *testing.T, options watcher.Options) *fixture {
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
	return &fixture{manual, platform, client}
}

// read makes a call that must not be throttled; one that wrongly waits for the clock blocks until the test times out.
func (fixture *fixture) read(key string) (carobthread.Value, error) {
	return fixture.watcher.Read(context.Background(), key)
}

// assertThrottled checks that the next call may not start yet.
func (fixture *fixture) assertThrottled(t *testing.T, key string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	calls := fixture.watcher.Stats().Calls
	_, err := fixture.watcher.Read(ctx, key)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, fixture.watcher.Stats().Calls, calls, "the call was not throttled")
}

func platformError(t *testing.T, err error) *carobthread.PlatformError {
	t.Helper()
	var platformError *carobthread.PlatformError
	assert.Assert(t, errors.As(err, &platformError), "%v", err)
	return platformError
}

// Guards against misread values, revisions and errors of the platform.
func TestReadAndWatch(t *testing.T) {
	fixture := newFixture(t, watcher.Options{Burst: 100})
	_, err := fixture.read("index")
	assert.Assert(t, platformError(t, err).Missing)

	first, err := fixture.platform.Put("object/service/a", []byte("one"))
	assert.NilError(t, err)
	value, err := fixture.read("object/service/a")
	assert.NilError(t, err)
	assert.DeepEqual(t, value, carobthread.Value{Key: "object/service/a", Revision: first, Content: []byte("one")})

	calls := fixture.platform.Calls()
	watched := make(chan carobthread.Value, 1)
	go func() {
		changed, _ := fixture.watcher.Watch(context.Background(), "object/service/a", first)
		watched <- changed
	}()
	for fixture.platform.Calls() == calls { // wait until the watch has started
		time.Sleep(time.Millisecond)
	}
	_, err = fixture.platform.Put("object/service/b", []byte("other key"))
	assert.NilError(t, err)
	second, err := fixture.platform.Put("object/service/a", []byte("two"))
	assert.NilError(t, err)
	assert.Equal(t, (<-watched).Revision, second)
	assert.Equal(t, fixture.platform.Calls(), calls+1)

	fixture.platform.RollBack(first)
	value, err = fixture.watcher.Watch(context.Background(), "object/service/a", second)
	assert.NilError(t, err)
	assert.Equal(t, value.Revision, first)
	fixture.platform.Heal()
	value, err = fixture.read("object/service/a")
	assert.NilError(t, err)
	assert.Equal(t, value.Revision, second)
}

// Guards against a watcher that exceeds its rate, overloads a platform that is out of service or ignores its Retry-After.
func TestRateAndBackoff(t *testing.T) {
	fixture := newFixture(t, watcher.Options{Rate: 10, Burst: 3})
	_, err := fixture.platform.Put("index", []byte("x"))
	assert.NilError(t, err)
	for range 3 {
		_, err = fixture.read("index")
		assert.NilError(t, err)
	}
	fixture.assertThrottled(t, "index")
	fixture.manual.Advance(100 * time.Millisecond)
	_, err = fixture.read("index")
	assert.NilError(t, err)
	assert.Equal(t, fixture.platform.Calls(), uint64(4))

	fixture.platform.SetOutage(true)
	for i, backoff := range []time.Duration{100, 200, 400, 800} { // the jitter is up to half of the backoff either way
		fixture.manual.Advance(6 * time.Second)
		_, err = fixture.read("index")
		assert.ErrorContains(t, platformError(t, err), "503")
		fixture.manual.Advance(backoff * time.Millisecond * 49 / 100)
		fixture.assertThrottled(t, "index")
		assert.Equal(t, fixture.platform.Calls(), uint64(5+i))
	}
	fixture.platform.SetOutage(false)
	fixture.manual.Advance(6 * time.Second)
	_, err = fixture.read("index")
	assert.NilError(t, err)
	assert.DeepEqual(t, fixture.watcher.Stats(), watcher.Stats{Calls: 9, Failures: 4})

	for range 50 { // another reader uses up the service's limit, whose Retry-After of 1 s exceeds the backoff
		_, _ = fixture.platform.Read(context.Background(), "index")
	}
	_, err = fixture.read("index")
	assert.Assert(t, platformError(t, err).RateLimited)
	fixture.manual.Advance(999 * time.Millisecond)
	fixture.assertThrottled(t, "index")
	fixture.manual.Advance(time.Millisecond)
	_, err = fixture.read("index")
	assert.NilError(t, err)
	assert.Equal(t, fixture.platform.RateLimitedCalls(), uint64(2))
}

// Guards against accepting invalid responses: too large, without a revision, redirected, truncated, or without a length so that
// a truncation would not show.
func TestInvalidResponses(t *testing.T) {
	for message, respond := range map[string]func(header http.Header) (int, string){
		"value exceeds 1048576 bytes": func(header http.Header) (int, string) {
			header.Set(watcher.RevisionHeader, "1")
			return http.StatusOK, strings.Repeat("x", watcher.MaxValueSize+1)
		},
		"header Carobthread-Revision": func(http.Header) (int, string) { return http.StatusOK, "x" },
		"unexpected status 302": func(header http.Header) (int, string) {
			header.Set("Location", "/elsewhere")
			return http.StatusFound, ""
		},
		"unexpected EOF": func(header http.Header) (int, string) {
			header.Set(watcher.RevisionHeader, "1")
			header.Set("Content-Length", "10")
			return http.StatusOK, "x"
		},
		"neither a length nor chunked encoding": func(header http.Header) (int, string) {
			header.Set(watcher.RevisionHeader, "1")
			header.Set("Transfer-Encoding", "identity") // net/http then ends the response with its connection
			return http.StatusOK, "x"
		},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			status, content := respond(writer.Header())
			writer.WriteHeader(status)
			_, _ = writer.Write([]byte(content))
		}))
		client := watcher.New(timer.NewManual(0), watcher.Options{Address: server.Listener.Addr().String()})
		_, err := client.Read(context.Background(), "index")
		assert.ErrorContains(t, platformError(t, err), message)
		client.Close()
		server.Close()
	}
}

// Guards against a stand-in platform that exposes values published during a freeze, or lists hosts without a delay.
func TestStandInFreezeAndHosts(t *testing.T) {
	manual := timer.NewManual(0)
	platform := standin.NewPlatform(standin.PlatformOptions{Timer: manual, HostListLag: 5 * time.Second})
	defer platform.Close()
	host := carobthread.Host{Name: "entry-1", DataCentre: "south", PeerAddress: "127.0.0.1:1", State: carobthread.HostLeaving}
	platform.SetHost(host)
	platform.Freeze()
	manual.Advance(5 * time.Second)
	_, err := platform.Read(t.Context(), parser.HostsKey)
	assert.Assert(t, platformError(t, err).Missing)
	platform.Heal()
	value, err := platform.Read(t.Context(), parser.HostsKey)
	assert.NilError(t, err)
	hosts, findings := parser.DecodeHosts(parser.HostsKey, value.Content)
	assert.Equal(t, len(findings), 0)
	assert.DeepEqual(t, hosts, []carobthread.Host{host})
	platform.RemoveHost(host.Name)
	unchanged, err := platform.Read(t.Context(), parser.HostsKey)
	assert.NilError(t, err)
	assert.DeepEqual(t, unchanged, value)
}

// Guards against taking an idle platform for a failing one: a watch of an unchanged value must end without an error.
func TestUnchangedWatchKeepsItsRevision(t *testing.T) {
	fixture := newFixture(t, watcher.Options{})
	revision, err := fixture.platform.Put("index", []byte("x"))
	assert.NilError(t, err)
	watched := make(chan error, 1)
	var value carobthread.Value
	go func() {
		var err error
		value, err = fixture.watcher.Watch(context.Background(), "index", revision)
		watched <- err
	}()
	for ended := false; !ended; { // the watch may start after any of the advances
		select {
		case err := <-watched:
			assert.NilError(t, err)
			ended = true
		default:
			fixture.manual.Advance(watcher.MaxWatchTime)
		}
	}
	assert.DeepEqual(t, value, carobthread.Value{Key: "index", Revision: revision})
	assert.Equal(t, fixture.watcher.Stats().Calls, uint64(1))
	assert.Equal(t, fixture.platform.Calls(), uint64(1))
}
