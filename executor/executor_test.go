package executor_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/executor"
)

const start = carobthread.Instant(time.Hour)

func config() carobthread.Config {
	return carobthread.Config{
		Services: []carobthread.Service{
			{Name: "book", Kind: carobthread.KindExecute, HardDeadline: time.Second, MaxRequestSize: 100, MaxReplySize: 100, Layout: 1},
			{Name: "find", Kind: carobthread.KindSearch},
		},
		Layouts: []carobthread.Layout{{Service: "book", Generation: 1, Shards: [][]string{{"u1", "u2", "u3"}}}},
		Searchers: []carobthread.Searcher{
			{Name: "u1", DataCentre: "north", Slots: 1}, {Name: "u2", DataCentre: "north", Slots: 1}, {Name: "u3", DataCentre: "south", Slots: 1},
		},
	}
}

// TestScripts guards against keys that run twice, refused keys that run later and outcomes that are wrong or change. Each
// line of a script in testdata is an event, and $n stands for the n-th reserved key.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		incarnation := carobthread.Incarnation{Start: start, Random: 7}
		var machine *executor.Executor
		var expandNames, shortenKeys []string // replacement pairs from short name to key, and from key to short name
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "new" {
				options := executor.Options{Host: "a", DataCentre: "north", Incarnation: incarnation, Secret: []byte("s"), KeyLifetime: 10 * time.Second}
				data.MaybeScanArgs(t, "keys", &options.MaxKeys)
				expandNames, shortenKeys, machine = nil, nil, executor.New(options)
				view := carobthread.View{Self: "a", Hosts: []carobthread.Host{{Name: "a", Incarnation: incarnation}, {Name: "b", Incarnation: incarnation}}}
				machine.Step(executor.Event{At: start, View: &carobthread.ViewChanged{View: view}})
				machine.Step(executor.Event{At: start, Config: &carobthread.ConfigChanged{Config: config()}})
				return ""
			}
			var output strings.Builder
			for line := range strings.Lines(data.Input) {
				var event executor.Event
				assert.NilError(t, json.Unmarshal([]byte(strings.NewReplacer(expandNames...).Replace(line)), &event), data.Pos)
				event.At = start.Add(time.Duration(event.At) * time.Millisecond)
				for _, action := range machine.Step(event) {
					if action.Reserved != nil && action.Reserved.Key != "" {
						name := fmt.Sprintf("$%d", len(expandNames)/2+1)
						expandNames, shortenKeys = append(expandNames, name, action.Reserved.Key), append(shortenKeys, action.Reserved.Key, name)
					}
					text, err := json.Marshal(action)
					assert.NilError(t, err)
					fmt.Fprintln(&output, strings.NewReplacer(shortenKeys...).Replace(string(text)))
				}
			}
			if data.Cmd == "stats" {
				stats := machine.Stats()
				fmt.Fprintf(&output, "keys=%d bytes=%d running=%d dropped=%d\n", stats.Keys, stats.Bytes, stats.Running, stats.Dropped)
			}
			return output.String()
		})
	})
}

// FuzzParseKey guards against a second text form that parses as the same key, through which the key could be used twice.
func FuzzParseKey(f *testing.F) {
	key := executor.Key{Host: "a-1.b", Incarnation: carobthread.Incarnation{Start: 5, Random: 1 << 63}, Sequence: 9, Expiry: start}
	f.Add(key.String())
	f.Add("a:0:0:0:0:0")
	f.Add(strings.ToUpper(key.String()))
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := executor.ParseKey(text)
		if err == nil {
			assert.Equal(t, parsed.String(), text)
		}
	})
}
