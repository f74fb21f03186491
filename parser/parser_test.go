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

// Guards against findings that are lost, misplaced or reported one at a time, and against wrongly converted values:
// each script holds input files with their expected findings or values.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, command *datadriven.TestData) string {
			t.Helper()
			return runCommand(t, command)
		})
	})
}

func runCommand(t *testing.T, command *datadriven.TestData) string {
	t.Helper()
	// Scripts write invalid UTF-8 bytes and very long content as placeholders in angle brackets.
	content := []byte(strings.NewReplacer("<bad-byte>", "\xff", "<megabyte>", strings.Repeat("#", parser.MaxSize)).Replace(command.Input))
	switch command.Cmd {
	case "settings":
		settings, findings := parser.Settings("host.ini", content)
		return formatResult(t, settings, findings)
	case "ticket":
		ticket, findings := parser.TicketIn("change.ini", content, func(id carobthread.ObjectID) bool {
			return len(command.CmdArgs) > 0 && slices.Contains(command.CmdArgs[0].Vals, string(id))
		})
		return formatResult(t, ticket, findings)
	case "publish":
		ticket, findings := parser.Ticket("change.ini", content)
		assert.NilError(t, asError(findings))
		values := parser.EncodeTicket(&ticket)
		match := slices.IndexFunc(values, func(value carobthread.Value) bool { return value.Key == command.CmdArgs[0].Vals[0] })
		return strings.ReplaceAll(string(values[match].Content), "\n\n", "\n")
	case "object":
		published, findings := parser.DecodeObject("platform", content)
		return formatResult(t, published, findings)
	case "index":
		index, findings := parser.DecodeIndex("index", content)
		if len(findings) > 0 {
			return findings.Error()
		}
		return string(parser.EncodeIndex(&index))
	case "top":
		top, findings := parser.DecodeIndexTop("index", content)
		if len(findings) > 0 {
			return findings.Error()
		}
		return string(parser.EncodeIndexTop(&top))
	default:
		t.Fatalf("unknown command %q", command.Cmd)
		return ""
	}
}

func formatResult(t *testing.T, result any, findings carobthread.Findings) string {
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

// Guards against panics on arbitrary content and against settings that are accepted with a value out of range.
func FuzzSettings(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, findings := parser.Settings("fuzz", content)
		checkPositions(t, findings, content)
		if len(findings) == 0 {
			assert.Assert(t, settings.Stop.Limit > settings.Stop.Grace && settings.Limits.MaxKeys > 0)
		}
	})
}

// Guards against panics on arbitrary content and against a valid ticket that changes when it is published and decoded.
func FuzzTicket(f *testing.F) {
	f.Fuzz(func(t *testing.T, content []byte) {
		ticket, findings := parser.Ticket("fuzz", content)
		checkPositions(t, findings, content)
		if len(findings) > 0 {
			return
		}
		for i, value := range parser.EncodeTicket(&ticket) {
			decoded, decodeFindings := parser.DecodeObject(value.Key, value.Content)
			assert.NilError(t, asError(decodeFindings))
			assert.DeepEqual(t, decoded.Object, ticket.Objects[i])
			assert.Equal(t, string(parser.EncodeObject(&decoded)), string(value.Content))
		}
	})
}

func checkPositions(t *testing.T, findings carobthread.Findings, content []byte) {
	t.Helper()
	lines := strings.Split(string(content), "\n")
	for _, finding := range findings {
		inside := finding.Line >= 1 && finding.Line <= len(lines) && finding.Column >= 1 && finding.Column <= len(lines[finding.Line-1])+1
		assert.Assert(t, inside, "%s", finding)
	}
}
