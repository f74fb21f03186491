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

// bench is one reader without peers, an operators' platform, and the values of it that the reader is served.
type bench struct {
	core     *relayer.Relayer
	state    *applier.Applier
	now      carobthread.Instant
	platform *standin.Platform
	history  map[string][]carobthread.Value // each key's values, oldest first
	served   map[string]carobthread.Value
	watches  map[string]relayer.WatchPlatform
	reads    map[string]int
}

// Guards against readers that read the whole index for one ticket, take half-published or older values for the newest
// state, lose a change for good, ask again without a pause, or let a number fall. Each line of a script is an
// operation; its outcome gives the answered calls of each kind, the state, and the time since it was known to be current.
func TestIndexScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		self := carobthread.Host{Name: "a", DataCentre: "east", PeerAddress: "10.0.0.1:1", State: carobthread.HostLive}
		bench := &bench{
			state: applier.New(applier.Options{}), now: carobthread.Instant(time.Hour), history: map[string][]carobthread.Value{},
			served: map[string]carobthread.Value{}, watches: map[string]relayer.WatchPlatform{},
			platform: standin.NewPlatform(standin.PlatformOptions{Timer: timer.New(), CallLimit: 1 << 20}),
		}
		bench.core = relayer.New(relayer.Options{
			Self: self, State: bench.state, Seed: 1,
			DecodeHosts: func([]byte) ([]carobthread.Host, error) { return []carobthread.Host{self}, nil },
		}, bench.now)
		datadriven.RunTest(t, path, func(t *testing.T, step *datadriven.TestData) string {
			t.Helper()
			text := ""
			for i, line := range strings.Split(step.Input, "\n") {
				if outcome := bench.run(t, strings.Fields(line)); outcome != "" {
					text += fmt.Sprintf("%d: %s\n", i+1, outcome)
				}
			}
			return text
		})
	})
}

func (bench *bench) run(t *testing.T, words []string) string {
	t.Helper()
	switch words[0] {
	case "publish": // NUMBER NAME...: searchers whose values are not served yet
		bench.publish(t, number(t, words[1]), words[2:])
	case "many": // NUMBER COUNT: searchers in tickets of ten
		for i := range number(t, words[2]) / 10 {
			var names []string
			for j := range 10 {
				names = append(names, fmt.Sprintf("s-%05d", i*10+j))
			}
			bench.publish(t, number(t, words[1])+i, names)
		}
	case "serve": // KEY@VERSION...; lines/ID is the bucket of an object
		for _, word := range words[1:] {
			key, version, _ := strings.Cut(word, "@")
			if id, found := strings.CutPrefix(key, "lines/"); found {
				key = parser.BucketKey(parser.BucketOf(carobthread.ObjectID(id)))
			}
			bench.served[key] = bench.history[key][number(t, version)-1]
		}
	case "serve-all":
		for key, values := range bench.history {
			bench.served[key] = values[len(values)-1]
		}
	case "put": // KEY SIZE: a value that is no INI file, served at once
		bench.served[words[1]] = carobthread.Value{
			Key: words[1], Revision: bench.served[words[1]].Revision + 1, Content: make([]byte, number(t, words[2])),
		}
	case "run":
		span, err := time.ParseDuration(words[1])
		assert.NilError(t, err)
		return bench.pass(t, span)
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

func (bench *bench) publish(t *testing.T, number int, names []string) {
	t.Helper()
	ticket := &carobthread.Ticket{Number: uint64(number)}
	keys := []string{parser.IndexKey}
	for _, name := range names {
		searcher := &carobthread.Searcher{Name: name, Address: "127.0.0.1:1", DataCentre: "east", Slots: 1, Connections: number}
		object := carobthread.Object{ID: carobthread.ObjectID("searcher/" + name), Searcher: searcher}
		ticket.Objects = append(ticket.Objects, object)
		keys = append(keys, parser.ObjectKey(object.ID), parser.BucketKey(parser.BucketOf(object.ID)))
	}
	assert.NilError(t, bench.platform.Publish(ticket))
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		value, err := bench.platform.Read(t.Context(), key)
		assert.NilError(t, err)
		bench.history[key] = append(bench.history[key], value)
	}
}

// pass ticks the reader and answers it at once; watches end when the served value differs or at their deadline.
func (bench *bench) pass(t *testing.T, span time.Duration) string {
	t.Helper()
	before := bench.state.Status(0).Objects
	bench.reads = map[string]int{}
	for end := bench.now.Add(span); bench.now < end; {
		bench.now = bench.now.Add(relayer.TickPeriod)
		for _, key := range slices.Sorted(maps.Keys(bench.watches)) {
			if asked := bench.watches[key]; bench.served[key].Revision != asked.Revision || bench.now >= asked.Deadline {
				delete(bench.watches, key)
				bench.answer(asked.Call, key)
			}
		}
		bench.step(relayer.Event{Tick: &carobthread.Ticked{}})
	}
	for _, object := range before {
		assert.Assert(t, bench.state.Number(object.ID) >= object.Ticket, "%s fell", object.ID)
	}
	text := ""
	for _, kind := range slices.Sorted(maps.Keys(bench.reads)) {
		text += fmt.Sprintf("%s %d, ", kind, bench.reads[kind])
	}
	for _, id := range []carobthread.ObjectID{"searcher/a", "searcher/b", "searcher/c"} {
		text += fmt.Sprintf("%s=%d ", id[len("searcher/"):], bench.state.Number(id))
	}
	age := time.Duration(bench.core.Status().AgeMicros) * time.Microsecond
	return fmt.Sprintf("%sof %d, age %v", text, bench.state.Len(), age.Truncate(time.Second))
}

func (bench *bench) step(event relayer.Event) {
	event.At = bench.now
	for _, action := range bench.core.Step(event) {
		if action.Read != nil {
			bench.answer(action.Read.Call, action.Read.Key)
		}
		if action.Watch != nil {
			bench.watches[action.Watch.Key] = *action.Watch
		}
	}
}

func (bench *bench) answer(call relayer.CallID, key string) {
	kind, _, _ := strings.Cut(key, "/")
	if _, bucket := parser.BucketOfKey(key); bucket {
		kind = "bucket"
	}
	bench.reads[kind]++
	value, found := bench.served[key]
	if !found {
		bench.step(relayer.Event{PlatformFailed: &relayer.PlatformFailed{Call: call, Missing: true}})
		return
	}
	bench.step(relayer.Event{Value: &relayer.PlatformReplied{Call: call, Value: value}})
}
