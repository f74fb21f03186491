package applier_test

import (
	"encoding/json"
	"fmt"
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

// world holds published values by "NUMBER:ID" and hosts by name.
type world struct {
	values map[string][]byte
	hosts  map[string]*applier.Applier
}

// Guards against half-applied tickets, numbers that fall, content that changes under a number, and refusals without findings.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		world := &world{values: map[string][]byte{}, hosts: map[string]*applier.Applier{}}
		datadriven.RunTest(t, path, func(t *testing.T, step *datadriven.TestData) string {
			t.Helper()
			return world.run(t, step)
		})
	})
}

func (world *world) run(t *testing.T, step *datadriven.TestData) string {
	t.Helper()
	host, second := "a", 1
	step.MaybeScanArgs(t, "host", &host)
	step.MaybeScanArgs(t, "second", &second)
	now := carobthread.Instant(second) * carobthread.Instant(time.Second)
	if world.hosts[host] == nil {
		world.hosts[host] = applier.New(applier.Options{StagedBytes: 4000})
	}
	held := world.hosts[host]
	lines := strings.Fields(step.Input)
	switch step.Cmd {
	case "publish": // input lines NUMBER:ID,ID,...; a '!' after the number gives other content
		for _, line := range lines {
			world.publish(t, line)
		}
		return ""
	case "arrive": // input words NUMBER:ID
		batch := &applier.Arrived{Source: "platform"}
		for _, word := range lines {
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
		return actions(t, held.Step(applier.Event{At: now, Confirmed: &applier.Confirmed{Source: "entry-2", Current: now}}))
	case "index":
		index, findings := parser.DecodeIndex("index", []byte("[index]\nrevision = 1\n[objects]\n"+step.Input))
		assert.Equal(t, len(findings), 0)
		return fmt.Sprintf("wanted %v covers %v", held.Wanted(index), held.Covers(index))
	case "exchange":
		return exchange(t, held, world.hosts["b"], now)
	case "config":
		return encode(t, held.Config())
	case "status":
		status := held.Status(now)
		text := fmt.Sprintf("highest %d age %v\n", status.Highest, status.Age)
		for _, object := range status.Objects {
			text += fmt.Sprintf("%s=%d\n", object.ID, object.Ticket)
		}
		for _, staged := range status.Staged {
			text += fmt.Sprintf("staged %d missing %v findings %d\n", staged.Ticket, staged.Missing, len(staged.Findings))
		}
		return text
	default:
		t.Fatalf("unknown command %q", step.Cmd)
		return ""
	}
}

func (world *world) publish(t *testing.T, line string) {
	t.Helper()
	word, objects, _ := strings.Cut(line, ":")
	number, err := strconv.ParseUint(strings.TrimSuffix(word, "!"), 10, 64)
	assert.NilError(t, err)
	ids := []carobthread.ObjectID{}
	for _, id := range strings.Split(objects, ",") {
		ids = append(ids, carobthread.ObjectID(id))
	}
	ticket := makeTicket(number, ids, strings.HasSuffix(word, "!"))
	for i, value := range parser.Publish(&ticket) {
		world.values[word+":"+string(ticket.Objects[i].ID)] = value.Content
	}
}

// makeTicket gives each object a content that its number determines; services use layout 1 and layouts searcher x.
func makeTicket(number uint64, ids []carobthread.ObjectID, other bool) carobthread.Ticket {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	slots := int(number)
	if other {
		slots += 1000
	}
	ticket := carobthread.Ticket{Number: number}
	for _, id := range ids {
		words := strings.Split(string(id), "/")
		object := carobthread.Object{ID: id, Ticket: number}
		switch words[0] {
		case "service":
			object.Service = &carobthread.Service{
				Name: words[1], Kind: carobthread.KindSearch, Preference: carobthread.LatencyFirst,
				SoftDeadline: time.Millisecond, HardDeadline: time.Second, HedgeQuantile: 0.95,
				MaxInFlight: slots, MaxRequestSize: 1024, MaxReplySize: 1024, Layout: 1,
			}
		case "layout":
			object.Layout = &carobthread.Layout{Service: words[1], Generation: 1, Shards: [][]string{{"x"}}}
		default:
			object.Searcher = &carobthread.Searcher{Name: words[1], Address: "127.0.0.1:1", DataCentre: "south", Slots: slots, Connections: 1}
		}
		ticket.Objects = append(ticket.Objects, object)
	}
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
	ids := []carobthread.ObjectID{"searcher/x", "searcher/y", "layout/a/1", "layout/b/1", "service/a", "service/b"}
	rapid.Check(t, func(t *rapid.T) {
		newest := map[carobthread.ObjectID][]byte{}
		values := [][]byte{}
		for number := range uint64(rapid.IntRange(1, 8).Draw(t, "tickets")) {
			subset := rapid.SliceOfNDistinct(rapid.SampledFrom(ids), 1, len(ids), rapid.ID[carobthread.ObjectID]).Draw(t, "objects")
			if number == 0 {
				subset = ids // the first ticket defines every object, so that the newest state has no dangling reference
			}
			ticket := makeTicket(number+1, subset, false)
			for i, value := range parser.Publish(&ticket) {
				newest[ticket.Objects[i].ID] = value.Content
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
			assert.Equal(t, string(snapshot.Objects([]carobthread.ObjectID{id})[0]), string(value))
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

// Guards against a change whose cost grows with the number of objects in force.
func BenchmarkOneChangeAt32000Objects(b *testing.B) {
	host := applier.New(applier.Options{})
	for first := range 125 {
		ids := []carobthread.ObjectID{}
		for i := range 256 {
			ids = append(ids, parser.SearcherID(fmt.Sprintf("s-%d", first*256+i)))
		}
		arrive(host, uint64(first+1), ids)
	}
	b.ReportAllocs()
	number := uint64(1000)
	for b.Loop() {
		number++
		arrive(host, number, []carobthread.ObjectID{"searcher/s-7"})
	}
}

// Guards against a start whose cost grows with the square of the objects: the snapshot comes in 320 pieces, and each
// ticket lists two objects that are far apart, so that half of the snapshot waits for the other half.
func BenchmarkSnapshotOf32000Objects(b *testing.B) {
	running := applier.New(applier.Options{})
	for i := range 16_000 {
		arrive(running, uint64(i+1), []carobthread.ObjectID{
			parser.SearcherID(fmt.Sprintf("s-%05d", i)), parser.SearcherID(fmt.Sprintf("s-%05d", i+16_000)),
		})
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

func arrive(host *applier.Applier, number uint64, ids []carobthread.ObjectID) {
	ticket := makeTicket(number, ids, false)
	batch := &applier.Arrived{Source: "bench"}
	for _, value := range parser.Publish(&ticket) {
		batch.Values = append(batch.Values, value.Content)
	}
	host.Step(applier.Event{Arrived: batch})
}
