package relayer_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/applier"
	"carobthread/internal/standin"
	"carobthread/parser"
	"carobthread/relayer"
	"carobthread/timer"
)

// fixture is one reader without peers, a platform, and the platform values that the reader currently sees.
type fixture struct {
	core     *relayer.Relayer
	state    *applier.Applier
	now      carobthread.Instant
	platform *standin.Platform
	history  map[string][]carobthread.Value // each key's values, oldest first
	current  map[string]carobthread.Value
	watches  map[string]relayer.WatchPlatform
	reads    map[string]int
}

// Guards against readers that read the whole index for one ticket, accept partly published or older values as the
// current state, miss a change for good, retry without a backoff, or let a ticket number fall. Each line of a script is
// an operation. The output of run is the number of answered calls of each kind, the ticket numbers of objects a, b and c,
// the number of objects, and the time since the state was known to be current.
func TestIndexScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		self := carobthread.Host{Name: "a", DataCentre: "east", PeerAddress: "10.0.0.1:1", State: carobthread.HostLive}
		fixture := &fixture{
			state: applier.New(applier.Options{}), now: carobthread.Instant(time.Hour), history: map[string][]carobthread.Value{},
			current: map[string]carobthread.Value{}, watches: map[string]relayer.WatchPlatform{},
			platform: standin.NewPlatform(standin.PlatformOptions{Timer: timer.New(), CallLimit: 1 << 20}),
		}
		fixture.core = relayer.New(relayer.Options{
			Self: self, State: fixture.state, Seed: 1,
			DecodeHosts: func([]byte) ([]carobthread.Host, error) { return []carobthread.Host{self}, nil },
		}, fixture.now)
		datadriven.RunTest(t, path, func(t *testing.T, step *datadriven.TestData) string {
			t.Helper()
			text := ""
			for i, line := range strings.Split(step.Input, "\n") {
				if outcome := fixture.execute(t, strings.Fields(line)); outcome != "" {
					text += fmt.Sprintf("%d: %s\n", i+1, outcome)
				}
			}
			return text
		})
	})
}

func (fixture *fixture) execute(t *testing.T, words []string) string {
	t.Helper()
	switch words[0] {
	case "publish": // NUMBER NAME...: publishes a ticket of searchers without serving its values
		fixture.publish(t, number(t, words[1]), words[2:])
	case "many": // NUMBER COUNT: publishes searchers in tickets of ten
		for i := range number(t, words[2]) / 10 {
			var names []string
			for j := range 10 {
				names = append(names, fmt.Sprintf("s-%05d", i*10+j))
			}
			fixture.publish(t, number(t, words[1])+i, names)
		}
	case "serve": // KEY@VERSION...: serves versions of keys; lines/ID is the bucket of an object
		for _, word := range words[1:] {
			key, version, _ := strings.Cut(word, "@")
			if id, found := strings.CutPrefix(key, "lines/"); found {
				key = parser.BucketKey(parser.BucketOf(carobthread.ObjectID(id)))
			}
			fixture.current[key] = fixture.history[key][number(t, version)-1]
		}
	case "serve-all":
		for key, values := range fixture.history {
			fixture.current[key] = values[len(values)-1]
		}
	case "put": // KEY SIZE: serves a value that is not an INI file
		fixture.current[words[1]] = carobthread.Value{
			Key: words[1], Revision: fixture.current[words[1]].Revision + 1, Content: make([]byte, number(t, words[2])),
		}
	case "run":
		span, err := time.ParseDuration(words[1])
		assert.NilError(t, err)
		return fixture.run(t, span)
	default:
		t.Fatalf("unknown operation %q", words[0])
	}
	return ""
}

func number(t *testing.T, word string) int {
	t.Helper()
	number, err := strconv.Atoi(word)
	assert.NilError(t, err)
	return number
}

func (fixture *fixture) publish(t *testing.T, number int, names []string) {
	t.Helper()
	ticket := &carobthread.Ticket{Number: uint64(number)}
	keys := []string{parser.IndexKey}
	for _, name := range names {
		searcher := &carobthread.Searcher{Name: name, Address: "127.0.0.1:1", DataCentre: "east", Slots: 1, Connections: number}
		object := carobthread.Object{ID: carobthread.ObjectID("searcher/" + name), Searcher: searcher}
		ticket.Objects = append(ticket.Objects, object)
		keys = append(keys, parser.ObjectKey(object.ID), parser.BucketKey(parser.BucketOf(object.ID)))
	}
	assert.NilError(t, fixture.platform.Publish(ticket))
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		value, err := fixture.platform.Read(t.Context(), key)
		assert.NilError(t, err)
		fixture.history[key] = append(fixture.history[key], value)
	}
}

// run ticks the reader for a duration and answers its reads at once. Watches end when the served value differs or at
// their deadline.
func (fixture *fixture) run(t *testing.T, span time.Duration) string {
	t.Helper()
	before := fixture.state.Status(0).Objects
	fixture.reads = map[string]int{}
	for end := fixture.now.Add(span); fixture.now < end; {
		fixture.now = fixture.now.Add(relayer.TickPeriod)
		for _, key := range slices.Sorted(maps.Keys(fixture.watches)) {
			if watch := fixture.watches[key]; fixture.current[key].Revision != watch.Revision || fixture.now >= watch.Deadline {
				delete(fixture.watches, key)
				fixture.answer(watch.Call, key)
			}
		}
		fixture.step(relayer.Event{Tick: &carobthread.TickArrived{}})
	}
	for _, object := range before {
		assert.Assert(t, fixture.state.TicketNumber(object.ID) >= object.Ticket, "ticket number of %s decreased", object.ID)
	}
	text := ""
	for _, kind := range slices.Sorted(maps.Keys(fixture.reads)) {
		text += fmt.Sprintf("%s %d, ", kind, fixture.reads[kind])
	}
	for _, id := range []carobthread.ObjectID{"searcher/a", "searcher/b", "searcher/c"} {
		text += fmt.Sprintf("%s=%d ", id[len("searcher/"):], fixture.state.TicketNumber(id))
	}
	age := time.Duration(fixture.core.Status().AgeMicros) * time.Microsecond
	return fmt.Sprintf("%sof %d, age %v", text, fixture.state.Len(), age.Truncate(time.Second))
}

func (fixture *fixture) step(event relayer.Event) {
	event.At = fixture.now
	for _, action := range fixture.core.Step(event) {
		if action.Read != nil {
			fixture.answer(action.Read.Call, action.Read.Key)
		}
		if action.Watch != nil {
			fixture.watches[action.Watch.Key] = *action.Watch
		}
	}
}

func (fixture *fixture) answer(call relayer.CallID, key string) {
	kind, _, _ := strings.Cut(key, "/")
	if _, bucket := parser.BucketOfKey(key); bucket {
		kind = "bucket"
	}
	fixture.reads[kind]++
	value, found := fixture.current[key]
	if !found {
		fixture.step(relayer.Event{PlatformFailed: &relayer.PlatformFailed{Call: call, Missing: true}})
		return
	}
	fixture.step(relayer.Event{Value: &relayer.PlatformReplied{Call: call, Value: value}})
}
