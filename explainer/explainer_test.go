package explainer_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread/explainer"
)

const (
	operationsPage = "../docs/OPERATIONS.md"
	indent         = "    "
	commandPrefix  = indent + "$ carobctl explain "
)

// Guards against examples on the operations page that differ from the output of the command.
func TestOperationsPageExamples(t *testing.T) {
	content, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	lines := strings.Split(string(content), "\n")
	examples := 0
	for i, line := range lines {
		command, found := strings.CutPrefix(line, commandPrefix)
		if !found {
			continue
		}
		examples++
		request, file, _ := strings.Cut(command, " ")
		expected := strings.Builder{}
		for _, printed := range lines[i+1:] {
			text, indented := strings.CutPrefix(printed, indent)
			if !indented {
				break
			}
			expected.WriteString(text + "\n")
		}
		assert.Equal(t, explain(t, request, "testdata/"+file), expected.String())
	}
	assert.Equal(t, examples, 4)
}

// Guards against a history that includes lines of another request, and against failing on text that is not a log line.
func TestIgnoresUnrelatedLines(t *testing.T) {
	reader := explainer.NewReader("b")
	log := `no line at all
collector: {"host":"one","event":"attempt-sent","request":"a","attempt":1}
{"host":"one","event":"attempt-sent","request":"b","attempt":2}
{"host":"two","event":"table-active","version":3}
{"host":"one","event":"request-ended","request":"a"}
{"host":"one","event":"request-ended","request":"b"}
`
	assert.NilError(t, reader.Read(strings.NewReader(log)))
	history := reader.History()
	assert.Equal(t, len(history.HostLogs), 1)
	assert.Equal(t, len(history.HostLogs[0].Decisions), 2)
	assert.Equal(t, len(history.HostLogs[0].State), 0)
}

func explain(t *testing.T, request, path string) string {
	t.Helper()
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, file.Close()) }()
	reader := explainer.NewReader(request)
	assert.NilError(t, reader.Read(file))
	history := reader.History()
	output := strings.Builder{}
	assert.NilError(t, history.Write(&output))
	return output.String()
}
