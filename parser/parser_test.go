package parser_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/parser"
)

// Guards against findings that are lost, misplaced or reported one at a time, and against values read wrongly:
// each script holds files with the findings or the values expected of them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, step *datadriven.TestData) string {
			t.Helper()
			return run(t, step)
		})
	})
}

func run(t *testing.T, step *datadriven.TestData) string {
	t.Helper()
	// A script cannot hold bytes that are not UTF-8 or a very long file; they are written as <...>.
	content := []byte(strings.NewReplacer("<bad-byte>", "\xff", "<megabyte>", strings.Repeat("#", parser.MaxSize)).Replace(step.Input))
	switch step.Cmd {
	case "settings":
		settings, findings := parser.Settings("host.ini", content)
		return outcome(t, settings, findings)
	case "ticket":
		ticket, findings := parser.TicketIn("change.ini", content, func(id carobthread.ObjectID) bool {
			return len(step.CmdArgs) > 0 && slices.Contains(step.CmdArgs[0].Vals, string(id))
		})
		return outcome(t, ticket, findings)
	case "publish":
		ticket, findings := parser.Ticket("change.ini", content)
		assert.NilError(t, asError(findings))
		values := parser.Publish(&ticket)
		at := slices.IndexFunc(values, func(value carobthread.Value) bool { return value.Key == step.CmdArgs[0].Vals[0] })
		return strings.ReplaceAll(string(values[at].Content), "\n\n", "\n")
	case "object":
		published, findings := parser.DecodeObject("platform", content)
		return outcome(t, published, findings)
	case "index":
		index, findings := parser.DecodeIndex("index", content)
		if len(findings) > 0 {
			return findings.Error()
		}
		return string(parser.EncodeIndex(&index))
	case "top":
		top, findings := parser.DecodeTop("index", content)
		if len(findings) > 0 {
			return findings.Error()
		}
		return string(parser.EncodeTop(&top))
	default:
		t.Fatalf("unknown command %q", step.Cmd)
		return ""
	}
}

func outcome(t *testing.T, result any, findings carobthread.Findings) string {
	t.Helper()
	if len(findings) > 0 {
		return findings.Error()
	}
	text, err := json.Marshal(result)
	assert.NilError(t, err)
	return strings.ReplaceAll(string(text), "},{", "},\n{")
}

func asError(findings carobthread.Findings) error {
	if len(findings) == 0 {
		return nil
	}
	return fmt.Errorf("findings: %w", findings)
}

// Guards against crashes on any content and against settings that are accepted with a value out of range.
func FuzzSettings(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, findings := parser.Settings("fuzz", content)
		checkPlaces(t, findings, content)
		if len(findings) == 0 {
			assert.Assert(t, settings.Stop.Limit > settings.Stop.Grace && settings.Limits.MaxKeys > 0)
		}
	})
}

// Guards against crashes on any content and against an accepted ticket that changes when it is published and read back.
func FuzzTicket(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		ticket, findings := parser.Ticket("fuzz", content)
		checkPlaces(t, findings, content)
		if len(findings) > 0 {
			return
		}
		for i, value := range parser.Publish(&ticket) {
			decoded, faults := parser.DecodeObject(value.Key, value.Content)
			assert.NilError(t, asError(faults))
			assert.DeepEqual(t, decoded.Object, ticket.Objects[i])
			assert.Equal(t, string(parser.EncodeObject(&decoded)), string(value.Content))
		}
	})
}

func checkPlaces(t *testing.T, findings carobthread.Findings, content []byte) {
	t.Helper()
	lines := strings.Split(string(content), "\n")
	for _, finding := range findings {
		inside := finding.Line >= 1 && finding.Line <= len(lines) && finding.Column >= 1 && finding.Column <= len(lines[finding.Line-1])+1
		assert.Assert(t, inside, "%s", finding)
	}
}
