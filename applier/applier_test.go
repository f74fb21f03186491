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

// scenario holds published values by NUMBER/ID and hosts by name.
type scenario struct {
	values map[string][]byte
	hosts  map[string]*applier.Applier
}

// Guards against partly applied tickets, decreasing ticket numbers, content that changes under a number, and refusals
// without findings. Each line of a script is HOST SECOND OPERATION WORD...; its outcome is printed with the line number.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		scenario := &scenario{values: map[string][]byte{}, hosts: map[string]*applier.Applier{}}
		datadriven.RunTest(t, path, func(t *testing.T, step *datadriven.TestData) string {
			t.Helper()
			text := ""
			for i, line := range strings.Split(step.Input, "\n") {
				if outcome := scenario.run(t, strings.Fields(line)); outcome != "" {
					text += fmt.Sprintf("%d: %s\n", i+1, strings.TrimSpace(outcome))
				}
			}
			return text
		})
	})
}

func (scenario *scenario) run(t *testing.T, words []string) string {
	t.Helper()
	second, err := strconv.Atoi(words[1])
	assert.NilError(t, err)
	now := carobthread.Instant(second) * carobthread.Instant(time.Second)
	host := scenario.hosts[words[0]]
	if host == nil {
		host = applier.New(applier.Options{StagedBytes: 4000})
		scenario.hosts[words[0]] = host
	}
	operation, words := words[2], words[3:]
	switch operation {
	case "publish": // words NUMBER/ID,ID...; a '!' after the number selects different content
		for _, word := range words {
			number, objects, _ := strings.Cut(word, "/")
			ticket := makeTicket(t, number, strings.Split(objects, ","))
			for _, value := range parser.EncodeTicket(&ticket) {
				scenario.values[number+strings.TrimPrefix(value.Key, "object")] = value.Content
			}
		}
		return ""
	case "arrive": // words NUMBER/ID; any other word is the value itself
		batch := &applier.ValuesArrived{Source: "platform"}
		for _, word := range words {
			content, found := scenario.values[word]
			if !found {
				content = []byte(word)
			}
			batch.Values = append(batch.Values, content)
		}
		return formatActions(t, host.Step(applier.Event{At: now, Arrived: batch}))
	case "tick":
		return formatActions(t, host.Step(applier.Event{At: now, Tick: &carobthread.TickArrived{}}))
	case "confirm":
		return formatActions(t, host.Step(applier.Event{At: now, Confirmed: &applier.StateConfirmed{Source: "b", Current: now}}))
	case "index":
		index, findings := parser.DecodeIndex("index", []byte("[index]\nrevision=1\n[objects]\n"+strings.Join(words, "\n")))
		assert.Equal(t, len(findings), 0)
		return fmt.Sprintf("missing %v covers %v", host.MissingObjects(index), host.Covers(index))
	case "exchange":
		return exchange(t, host, scenario.hosts[words[0]], now)
	case "config":
		return toJSON(t, host.Config())
	case "status":
		status := host.Status(now)
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

// makeTicket returns a ticket whose objects' content depends on its number; services use layout 1 and layouts searcher x.
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

func toJSON(t rapid.TB, result any) string {
	t.Helper()
	text, err := json.Marshal(result)
	assert.NilError(t, err)
	return string(text)
}

func formatActions(t rapid.TB, list []applier.Action) string {
	t.Helper()
	text := ""
	for _, action := range list {
		switch {
		case action.Changed != nil:
			text += "changed " + toJSON(t, action.Changed) + "\n"
		case action.Conflict != nil:
			text += fmt.Sprintf("conflict %s %d\n", action.Conflict.ID, action.Conflict.Ticket)
		default:
			text += fmt.Sprintf("refused %d\n%s\n", action.Refused.Ticket, action.Refused.Findings.Error())
		}
	}
	return text
}

// exchange runs one digest exchange in which left fetches its missing objects from right and sends right its newer ones.
func exchange(t rapid.TB, left, right *applier.Applier, now carobthread.Instant) string {
	t.Helper()
	if left.Root() == right.Root() {
		return "equal"
	}
	buckets := left.DifferingBuckets(right.Digest())
	difference := left.Compare(buckets, right.Entries(buckets))
	text := formatActions(t, left.Step(applier.Event{At: now, Differed: &applier.ContentDiffered{Source: "peer", Entries: difference.Conflicts}}))
	text += formatActions(t, left.Step(applier.Event{At: now, Arrived: &applier.ValuesArrived{Source: "peer", Values: right.Objects(difference.Missing)}}))
	text += formatActions(t, right.Step(applier.Event{At: now, Arrived: &applier.ValuesArrived{Source: "peer", Values: left.Objects(difference.Newer)}}))
	return fmt.Sprintf("missing %v newer %v conflicts %d\n", difference.Missing, difference.Newer, len(difference.Conflicts)) + text
}

// Guards against states that depend on the order, repetition or loss of values: no number decreases, no ticket is partly
// applied, no reference dangles, and hosts that exchange their objects converge to the digest of the newest values.
func TestRandomArrivalsConverge(t *testing.T) {
	ids := []string{"searcher/x", "searcher/y", "layout/a/1", "layout/b/1", "service/a", "service/b"}
	rapid.Check(t, func(t *rapid.T) {
		newest := map[string][]byte{}
		values := [][]byte{}
		for number := range uint64(rapid.IntRange(1, 8).Draw(t, "tickets")) {
			subset := rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 1, len(ids), rapid.ID[string]).Draw(t, "objects")
			if number == 0 {
				subset = ids // the first ticket defines every object, so the newest state has no dangling references
			}
			ticket := makeTicket(t, strconv.FormatUint(number+1, 10), subset)
			for _, value := range parser.EncodeTicket(&ticket) {
				newest[strings.TrimPrefix(value.Key, parser.ObjectPrefix)] = value.Content
				values = append(values, value.Content)
			}
		}
		hosts := []*applier.Applier{applier.New(applier.Options{}), applier.New(applier.Options{}), applier.New(applier.Options{})}
		for _, host := range hosts {
			for _, batch := range rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, len(values)-1), 1, 4), 0, 30).Draw(t, "arrivals") {
				before := numbers(host)
				arrived := &applier.ValuesArrived{Source: "any"}
				for _, value := range batch {
					arrived.Values = append(arrived.Values, values[value])
				}
				host.Step(applier.Event{Arrived: arrived})
				checkState(t, host, before)
			}
		}
		snapshot := applier.New(applier.Options{})
		for _, id := range ids { // one value at a time, like a host that starts late and reads from the platform
			snapshot.Step(applier.Event{Arrived: &applier.ValuesArrived{Source: "platform", Values: [][]byte{newest[id]}}})
			checkState(t, snapshot, map[carobthread.ObjectID]uint64{})
		}
		for id, value := range newest {
			assert.Equal(t, string(snapshot.Objects([]carobthread.ObjectID{carobthread.ObjectID(id)})[0]), string(value))
		}
		// The objects that one host receives may complete a staged ticket, which the next exchange sends back.
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
	ticketNumbers := map[carobthread.ObjectID]uint64{}
	for _, object := range host.Status(0).Objects {
		ticketNumbers[object.ID] = object.Ticket
	}
	return ticketNumbers
}

func checkState(t *rapid.T, host *applier.Applier, before map[carobthread.ObjectID]uint64) {
	after := numbers(host)
	for id, number := range before {
		assert.Assert(t, after[id] >= number, "ticket number of %s decreased from %d to %d", id, number, after[id])
	}
	for _, value := range host.Objects(host.IDs()) {
		published, findings := parser.DecodeObject("host", value)
		assert.Equal(t, len(findings), 0)
		for _, id := range published.Objects {
			assert.Assert(t, after[id] >= published.Object.Ticket, "ticket of %s is only partly applied", id)
		}
		for _, id := range parser.References(&published.Object) {
			assert.Assert(t, after[id] > 0, "reference to %s dangles", id)
		}
	}
}

// Guards against active objects that retain their whole encoded value, which repeats the ticket's list, in memory.
func TestActiveObjectsDoNotRetainEncodedValues(t *testing.T) {
	ids := []string{}
	for i := range 512 {
		ids = append(ids, fmt.Sprintf("searcher/s-%05d", i))
	}
	ticket := makeTicket(t, "1", ids)
	host := applier.New(applier.Options{})
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.GC()
	runtime.ReadMemStats(&before)
	batch := &applier.ValuesArrived{Source: "platform"}
	for _, value := range parser.EncodeTicket(&ticket) {
		batch.Values = append(batch.Values, value.Content)
	}
	host.Step(applier.Event{Arrived: batch})
	batch.Values = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Equal(t, host.Len(), len(ids))
	perObject := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / int64(len(ids))
	assert.Assert(t, perObject < 2000, "%d bytes per object, whose encoded value has 9,000", perObject)
	runtime.KeepAlive(ticket)
}

// Guards against a start-up cost that is quadratic in the number of objects: the snapshot arrives in 320 pieces, and each
// ticket lists two objects that are far apart, so that half of the snapshot is staged until the other half arrives.
func BenchmarkSnapshotOf32000Objects(b *testing.B) {
	running := applier.New(applier.Options{})
	for i := range 16_000 {
		ticket := makeTicket(b, strconv.Itoa(i+1), []string{fmt.Sprintf("searcher/s-%05d", i), fmt.Sprintf("searcher/s-%05d", i+16_000)})
		batch := &applier.ValuesArrived{Source: "bench"}
		for _, value := range parser.EncodeTicket(&ticket) {
			batch.Values = append(batch.Values, value.Content)
		}
		running.Step(applier.Event{Arrived: batch})
	}
	snapshot := running.Objects(running.IDs())
	b.ReportAllocs()
	for b.Loop() {
		starting := applier.New(applier.Options{})
		for piece := range slices.Chunk(snapshot, 100) {
			starting.Step(applier.Event{Arrived: &applier.ValuesArrived{Source: "bench", Values: piece}})
		}
		assert.Equal(b, starting.Root(), running.Root())
	}
}
