package applier_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carobthread"
	"carobthread/applier"
	"carobthread/parser"
)

// world holds published values by NUMBER/ID and hosts by name.
type world struct {
	values map[string][]byte
	hosts  map[string]*applier.Applier
}

// Guards against half-applied tickets, numbers that fall, content that changes under a number, and refusals without
// findings. Each line of a script is HOST SECOND OPERATION WORD...; its outcome has the line's number.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		world := &world{values: map[string][]byte{}, hosts: map[string]*applier.Applier{}}
		datadriven.RunTest(t, path, func(t *testing.T, step *datadriven.TestData) string {
			t.Helper()
			text := ""
			for i, line := range strings.Split(step.Input, "\n") {
				if outcome := world.run(t, strings.Fields(line)); outcome != "" {
					text += fmt.Sprintf("%d: %s\n", i+1, strings.TrimSpace(outcome))
				}
			}
			return text
		})
	})
}

func (world *world) run(t *testing.T, words []string) string {
	t.Helper()
	second, err := strconv.Atoi(words[1])
	assert.NilError(t, err)
	now := carobthread.Instant(second) * carobthread.Instant(time.Second)
	held := world.hosts[words[0]]
	if held == nil {
		held = applier.New(applier.Options{StagedBytes: 4000})
		world.hosts[words[0]] = held
	}
	operation, words := words[2], words[3:]
	switch operation {
	case "publish": // words NUMBER/ID,ID...; a '!' after the number gives other content
		for _, word := range words {
			number, objects, _ := strings.Cut(word, "/")
			ticket := makeTicket(t, number, strings.Split(objects, ","))
			for _, value := range parser.Publish(&ticket) {
				world.values[number+strings.TrimPrefix(value.Key, "object")] = value.Content
			}
		}
		return ""
	case "arrive": // words NUMBER/ID; others stand for themselves
		batch := &applier.Arrived{Source: "platform"}
		for _, word := range words {
			content, found := world.values[word]
			if !found {
				content = []byte(word)
			}
			batch.Values = append(batch.Values, content)
		}
		return actions(t, held.Step(applier.Event{At: now, Arrived: batch}))
	case "tick":
		return actions(t, held.Step(applier.Event{At: now, Tick: &carobthread.Ticked{}}))
	case "confirm":
		return actions(t, held.Step(applier.Event{At: now, Confirmed: &applier.Confirmed{Source: "b", Current: now}}))
	case "index":
		index, findings := parser.DecodeIndex("index", []byte("[index]\nrevision=1\n[objects]\n"+strings.Join(words, "\n")))
		assert.Equal(t, len(findings), 0)
		return fmt.Sprintf("wanted %v covers %v", held.Wanted(index), held.Covers(index))
	case "exchange":
		return exchange(t, held, world.hosts[words[0]], now)
	case "config":
		return encode(t, held.Config())
	case "status":
		status := held.Status(now)
		text := fmt.Sprintf("highest %d age %v", status.Highest, status.Age)
		for _, object := range status.Objects {
			text += fmt.Sprintf(" %s=%d", object.ID, object.Ticket)
		}
		for _, staged := range status.Staged {
			text += fmt.Sprintf("; staged %d missing %v findings %d", staged.Ticket, staged.Missing, len(staged.Findings))
		}
		return text
	default:
		t.Fatalf("unknown operation %q", operation)
		return ""
	}
}

// makeTicket gives each object a content that its number determines; services use layout 1 and layouts searcher x.
func makeTicket(t rapid.TB, word string, ids []string) carobthread.Ticket {
	number := strings.TrimSuffix(word, "!")
	text := "[ticket]\nnumber = " + number + "\nobjects = " + strings.Join(ids, ",") + "\n"
	for _, id := range ids {
		kind, _, _ := strings.Cut(id, "/")
		text += "[" + strings.ReplaceAll(id, "/", " ") + "]\n" + map[string]string{
			"service":  "kind = search\nhard-deadline = 1s\nlayout = 1\nmax-in-flight = " + number + "\n",
			"layout":   "shard-0 = x\n",
			"searcher": "address = 127.0.0.1:1\ndata-centre = south\nslots = 1\nconnections = " + number + "\n",
		}[kind]
	}
	if strings.HasSuffix(word, "!") {
		text += "leaving = true\n" // the last object is a searcher
	}
	ticket, findings := parser.Ticket("ticket", []byte(text))
	assert.Equal(t, len(findings), 0, "%v", findings)
	return ticket
}

func encode(t rapid.TB, result any) string {
	t.Helper()
	text, err := json.Marshal(result)
	assert.NilError(t, err)
	return string(text)
}

func actions(t rapid.TB, list []applier.Action) string {
	t.Helper()
	text := ""
	for _, action := range list {
		switch {
		case action.Changed != nil:
			text += "changed " + encode(t, action.Changed) + "\n"
		case action.Conflict != nil:
			text += fmt.Sprintf("conflict %s %d\n", action.Conflict.ID, action.Conflict.Ticket)
		default:
			text += fmt.Sprintf("refused %d\n%s\n", action.Refused.Ticket, action.Refused.Findings.Error())
		}
	}
	return text
}

// exchange runs one digest exchange in which the first host learns from the second and passes on what it holds.
func exchange(t rapid.TB, left, right *applier.Applier, now carobthread.Instant) string {
	t.Helper()
	if left.Root() == right.Root() {
		return "equal"
	}
	buckets := left.Differing(right.Digest())
	difference := left.Compare(buckets, right.Entries(buckets))
	text := actions(t, left.Step(applier.Event{At: now, Differed: &applier.Differed{Source: "peer", Entries: difference.Conflicts}}))
	text += actions(t, left.Step(applier.Event{At: now, Arrived: &applier.Arrived{Source: "peer", Values: right.Objects(difference.Missing)}}))
	text += actions(t, right.Step(applier.Event{At: now, Arrived: &applier.Arrived{Source: "peer", Values: left.Objects(difference.Newer)}}))
	return fmt.Sprintf("missing %v newer %v conflicts %d\n", difference.Missing, difference.Newer, len(difference.Conflicts)) + text
}

// Guards against states that depend on the order, the repeats or the losses of values: no number falls, no ticket is
// half applied, no reference dangles, and hosts that exchange what they hold end with the digest of the newest values.
func TestRandomArrivalsConverge(t *testing.T) {
	ids := []string{"searcher/x", "searcher/y", "layout/a/1", "layout/b/1", "service/a", "service/b"}
	rapid.Check(t, func(t *rapid.T) {
		newest := map[string][]byte{}
		values := [][]byte{}
		for number := range uint64(rapid.IntRange(1, 8).Draw(t, "tickets")) {
			subset := rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 1, len(ids), rapid.ID[string]).Draw(t, "objects")
			if number == 0 {
				subset = ids // the first ticket defines every object, so that the newest state has no dangling reference
			}
			ticket := makeTicket(t, strconv.FormatUint(number+1, 10), subset)
			for _, value := range parser.Publish(&ticket) {
				newest[strings.TrimPrefix(value.Key, parser.ObjectPrefix)] = value.Content
				values = append(values, value.Content)
			}
		}
		hosts := []*applier.Applier{applier.New(applier.Options{}), applier.New(applier.Options{}), applier.New(applier.Options{})}
		for _, host := range hosts {
			for _, batch := range rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, len(values)-1), 1, 4), 0, 30).Draw(t, "arrivals") {
				before := numbers(host)
				arrived := &applier.Arrived{Source: "any"}
				for _, value := range batch {
					arrived.Values = append(arrived.Values, values[value])
				}
				host.Step(applier.Event{Arrived: arrived})
				checkState(t, host, before)
			}
		}
		snapshot := applier.New(applier.Options{})
		for _, id := range ids { // one value at a time, as a late host reads the platform
			snapshot.Step(applier.Event{Arrived: &applier.Arrived{Source: "platform", Values: [][]byte{newest[id]}}})
			checkState(t, snapshot, map[carobthread.ObjectID]uint64{})
		}
		for id, value := range newest {
			assert.Equal(t, string(snapshot.Objects([]carobthread.ObjectID{carobthread.ObjectID(id)})[0]), string(value))
		}
		// What one host learns may let a staged ticket take effect, which the next exchange carries back.
		for range newest {
			before := []map[carobthread.ObjectID]uint64{numbers(hosts[0]), numbers(hosts[1])}
			exchange(t, hosts[0], hosts[1], 0)
			checkState(t, hosts[0], before[0])
			checkState(t, hosts[1], before[1])
		}
		assert.Equal(t, hosts[0].Root(), hosts[1].Root())
		for _, host := range hosts {
			exchange(t, host, snapshot, 0)
			assert.Equal(t, host.Root(), snapshot.Root())
			assert.DeepEqual(t, host.Config(), snapshot.Config())
			assert.Equal(t, len(host.Status(0).Staged), 0)
		}
	})
}

func numbers(host *applier.Applier) map[carobthread.ObjectID]uint64 {
	held := map[carobthread.ObjectID]uint64{}
	for _, object := range host.Status(0).Objects {
		held[object.ID] = object.Ticket
	}
	return held
}

func checkState(t *rapid.T, host *applier.Applier, before map[carobthread.ObjectID]uint64) {
	after := numbers(host)
	for id, number := range before {
		assert.Assert(t, after[id] >= number, "%s fell from %d to %d", id, number, after[id])
	}
	for _, value := range host.Objects(host.IDs()) {
		published, findings := parser.DecodeObject("host", value)
		assert.Equal(t, len(findings), 0)
		for _, id := range published.Objects {
			assert.Assert(t, after[id] >= published.Object.Ticket, "%s is half applied", id)
		}
		for _, id := range parser.References(&published.Object) {
			assert.Assert(t, after[id] > 0, "%s dangles", id)
		}
	}
}

// Guards against objects in force that keep the text of their whole value in memory, which repeats the ticket's list.
func TestObjectsKeepNoValue(t *testing.T) {
	ids := []string{}
	for i := range 512 {
		ids = append(ids, fmt.Sprintf("searcher/s-%05d", i))
	}
	ticket := makeTicket(t, "1", ids)
	host := applier.New(applier.Options{})
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	batch := &applier.Arrived{Source: "platform"}
	for _, value := range parser.Publish(&ticket) {
		batch.Values = append(batch.Values, value.Content)
	}
	host.Step(applier.Event{Arrived: batch})
	batch.Values = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, host.Len(), len(ids))
	perObject := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / int64(len(ids))
	assert.Assert(t, perObject < 2000, "%d bytes an object, its value has 9,000", perObject)
	runtime.KeepAlive(ticket)
}

// Guards against a start whose cost grows with the square of the objects: the snapshot comes in 320 pieces, and each
// ticket lists two objects that are far apart, so that half of the snapshot waits for the other half.
func BenchmarkSnapshotOf32000Objects(b *testing.B) {
	running := applier.New(applier.Options{})
	for i := range 16_000 {
		ticket := makeTicket(b, strconv.Itoa(i+1), []string{fmt.Sprintf("searcher/s-%05d", i), fmt.Sprintf("searcher/s-%05d", i+16_000)})
		batch := &applier.Arrived{Source: "bench"}
		for _, value := range parser.Publish(&ticket) {
			batch.Values = append(batch.Values, value.Content)
		}
		running.Step(applier.Event{Arrived: batch})
	}
	snapshot := running.Objects(running.IDs())
	b.ReportAllocs()
	for b.Loop() {
		starting := applier.New(applier.Options{})
		for piece := range slices.Chunk(snapshot, 100) {
			starting.Step(applier.Event{Arrived: &applier.Arrived{Source: "bench", Values: piece}})
		}
		assert.Equal(b, starting.Root(), running.Root())
	}
}
