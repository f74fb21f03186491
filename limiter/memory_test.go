package limiter_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"carobthread"
	"carobthread/limiter"
)

// TestMemory runs the script testdata/memory; the comment of each case says which failure it guards against. Sizes are in KiB.
func TestMemory(t *testing.T) {
	datadriven.RunTest(t, "testdata/memory", func(t *testing.T, data *datadriven.TestData) string {
		memory, now := limiter.NewMemory(), carobthread.Instant(time.Hour)
		ids, output := map[string]limiter.TransferID{}, &strings.Builder{}
		for _, line := range strings.Split(data.Input, "\n") {
			words := append(strings.Fields(line), "", "", "")
			size := func(text string) int64 {
				count, err := strconv.Atoi(text)
				if err != nil {
					data.Fatalf(t, "%s: %v", line, err)
				}
				return int64(count) << 10
			}
			span, _ := time.ParseDuration(words[1])
			switch words[0] {
			case "limit":
				memory.SetLimit(size(words[1]))
			case "begin":
				ids[words[1]] = memory.Begin(now, carobthread.MemoryKind(words[2]), size(words[3]))
			case "grow":
				fmt.Fprintf(output, "grown %v\n", memory.Grow(ids[words[1]], size(words[2])))
			case "progress":
				memory.Progress(now, ids[words[1]], size(words[2]))
			case "keep":
				memory.Finish(ids[words[1]])
			case "end":
				memory.Release(memory.Finish(ids[words[1]]))
			case "wait":
				now = now.Add(span)
			case "pause":
				now = now.Add(span)
				memory.Resume(now, span)
			case "admit":
				fmt.Fprintf(output, "admitted %v, with body %v\n", memory.Admit(false), memory.Admit(true))
			case "cut":
				for _, cut := range memory.Expired(now) {
					for name, id := range ids {
						if id == cut.ID {
							fmt.Fprintf(output, "cut %s: %s, lag %v\n", name, cut.Reason, cut.Lag)
						}
					}
				}
			case "show":
				stats := memory.Stats()
				var held []string
				for kind, bytes := range stats.Held {
					held = append(held, fmt.Sprintf("%s %d", kind, bytes>>10))
				}
				slices.Sort(held)
				fmt.Fprintf(output, "%d of %d, marks %d, %s\n", stats.Total>>10, stats.Budget>>10, stats.Marks, strings.Join(held, ", "))
			default:
				data.Fatalf(t, "unknown step %q", line)
			}
		}
		return output.String()
	})
}
