package tracker_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/tracker"
)

const second = int64(time.Second)

// script runs the commands of a script on the tracker of host "a" of data centre "east" with incarnation 100.
type script struct {
	now     carobthread.Instant
	tracked *tracker.Tracker
}

// Guards against wrong merges of the platform's list, heartbeats and incarnations, and against suspecting other hosts
// because this process was paused.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		run := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string { return run.execute(t, data) })
	})
}

func (run *script) execute(t *testing.T, data *datadriven.TestData) string {
	var after float64
	if data.HasArg("after") {
		data.ScanArgs(t, "after", &after)
	}
	run.now += carobthread.Instant(after * float64(second))
	event := tracker.Event{At: run.now}
	var name string
	data.MaybeScanArgs(t, "host", &name)
	switch data.Cmd {
	case "new":
		run.tracked = tracker.New(host("a east 100"), nil, run.now, 1)
		return run.report(tracker.Changes{View: true})
	case "tick":
		var late int64
		data.MaybeScanArgs(t, "late", &late)
		event.Tick = &carobthread.TickArrived{LateMicros: late * 1e6}
	case "list":
		event.List = &tracker.HostsListed{}
		for _, line := range lines(data.Input) {
			event.List.Hosts = append(event.List.Hosts, host(line))
		}
	case "receive":
		event.Received = &tracker.GossipReceived{From: name, Gossip: gossip(t, data.Input)}
	case "silent":
		event.Silent = &tracker.HostSilent{Host: name}
	case "searcher":
		event.Searcher = &tracker.SearcherStateObserved{Searcher: name, Leaving: !data.HasArg("back")}
	case "stop":
		event.Stop = &tracker.SelfStopping{}
	case "gossip":
		content, err := json.Marshal(run.tracked.Gossip(name, tracker.SameDataCentre).Records)
		assert.NilError(t, err)
		return string(content) + "\n"
	}
	return run.report(run.tracked.Step(event))
}

// report formats the flags of the changes, and the view and the marks if they changed.
func (run *script) report(changes tracker.Changes) string {
	var out strings.Builder
	if changes.Superseded {
		out.WriteString("superseded\n")
	}
	if changes.Resumed {
		out.WriteString("resumed\n")
	}
	if changes.View {
		for _, host := range run.tracked.View().Hosts {
			fmt.Fprintf(&out, "%s %d %s\n", host.Name, host.Incarnation.Start, host.State)
		}
	}
	if changes.Marks {
		for _, mark := range run.tracked.Marks() {
			fmt.Fprintf(&out, "searcher %s leaving=%t\n", mark.Searcher, mark.Leaving)
		}
	}
	return out.String()
}

// host parses "name centre incarnation [leaving]".
func host(line string) carobthread.Host {
	fields := strings.Fields(line)
	start, _ := strconv.ParseInt(fields[2], 10, 64)
	parsed := carobthread.Host{
		Name: fields[0], DataCentre: fields[1], PeerAddress: "10.0.0.1:1", State: carobthread.HostLive,
		Incarnation: carobthread.Incarnation{Start: carobthread.Instant(start)},
	}
	if strings.HasSuffix(line, " leaving") {
		parsed.State = carobthread.HostLeaving
	}
	return parsed
}

// gossip parses lines "name centre incarnation [health-version=N] [suspect|gone] [leaving]" and "searcher NAME at=N
// leaving=BOOL".
func gossip(t *testing.T, input string) tracker.Gossip {
	t.Helper()
	var parsedGossip tracker.Gossip
	for _, line := range lines(input) {
		if rest, found := strings.CutPrefix(line, "searcher "); found {
			var mark tracker.SearcherMark
			_, err := fmt.Sscanf(rest, "%s at=%d leaving=%t", &mark.Searcher, &mark.At, &mark.Leaving)
			assert.NilError(t, err)
			parsedGossip.Marks = append(parsedGossip.Marks, mark)
			continue
		}
		parsed := host(line)
		record := tracker.Record{
			Name: parsed.Name, DataCentre: parsed.DataCentre, PeerAddress: parsed.PeerAddress,
			Incarnation: parsed.Incarnation, Leaving: parsed.State == carobthread.HostLeaving,
		}
		for _, field := range strings.Fields(line)[3:] {
			switch field {
			case "suspect":
				record.Health = tracker.Suspected
			case "gone":
				record.Health = tracker.Gone
			default:
				_, _ = fmt.Sscanf(field, "health-version=%d", &record.HealthVersion)
			}
		}
		parsedGossip.Records = append(parsedGossip.Records, record)
	}
	return parsedGossip
}

func lines(input string) []string {
	if strings.TrimSpace(input) == "" {
		return nil
	}
	return strings.Split(strings.TrimSpace(input), "\n")
}

// Guards against records that change when they are decoded and encoded, against accepting malformed ones, and against a
// view that is not ordered by name.
func FuzzGossip(f *testing.F) {
	f.Add([]byte(`{"records":["b east 10.0.0.1:1 2s 5 1 1l"],"marks":["s1 2s l"],"bucket":0,"of":1,"sum":7,"repair":true}`))
	f.Add([]byte(`{"records":["b east 10.0.0.1:1 2s 5 1 9"]}`))
	f.Add([]byte(`{"records":["b east 10.0.0.1:1 2s 5 1 0 5c","c east 10.0.0.1:2 2s 5 1 0"]}`))
	f.Add([]byte(`{"records":["b east 10.0.0.1:1 2s 5 1 0 -1"]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var decoded, redecoded tracker.Gossip
		if json.Unmarshal(content, &decoded) != nil {
			return
		}
		encoded, err := json.Marshal(decoded)
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(encoded, &redecoded))
		reencoded, err := json.Marshal(redecoded)
		assert.NilError(t, err)
		assert.Equal(t, string(encoded), string(reencoded))
		tracked := tracker.New(host("a east 100"), nil, 0, 1)
		tracked.Step(tracker.Event{Received: &tracker.GossipReceived{From: "b", Gossip: decoded}})
		tracked.GossipResponse("b", tracker.SameDataCentre, decoded)
		view := tracked.View()
		for i := 1; i < len(view.Hosts); i++ {
			assert.Assert(t, view.Hosts[i-1].Name < view.Hosts[i].Name)
		}
	})
}

// Guards against a capacity that is lost between hosts, and against records of hosts that state none which no longer decode.
func TestRecordCarriesCapacity(t *testing.T) {
	large := host("b east 100")
	large.Capacity = 0.192
	sender, receiver := tracker.New(large, nil, 0, 1), tracker.New(host("a east 100"), nil, 0, 1)
	content, err := json.Marshal(sender.Snapshot().Records)
	assert.NilError(t, err)
	var records []tracker.Record
	assert.NilError(t, json.Unmarshal(content, &records))
	receiver.Step(tracker.Event{Received: &tracker.GossipReceived{From: "b", Gossip: tracker.Gossip{Records: records}}})
	hosts := receiver.View().Hosts
	assert.Equal(t, hosts[0].Capacity, 0.0)
	assert.Equal(t, hosts[1].Capacity, 0.192)
	var record tracker.Record
	assert.NilError(t, record.UnmarshalText([]byte("b east 10.0.0.1:1 2s 5 1 0")))
	assert.Equal(t, record.Capacity, uint32(0))
	assert.ErrorContains(t, record.UnmarshalText([]byte("b east 10.0.0.1:1 2s 5 1 0 -1")), "host record")
}
