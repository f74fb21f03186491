package explainer_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread/explainer"
)

const (
	page      = "../docs/OPERATIONS.md"
	indent    = "    "
	askPrefix = indent + "$ carobctl explain "
)

// Guards against an operators' page that shows other lines than the command prints for a run.
func TestOperatorsPage(t *testing.T) {
	content, err := os.ReadFile(page)
	assert.NilError(t, err)
	lines := strings.Split(string(content), "\n")
	shown := 0
	for i, line := range lines {
		asked, found := strings.CutPrefix(line, askPrefix)
		if !found {
			continue
		}
		shown++
		request, file, _ := strings.Cut(asked, " ")
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
	assert.Equal(t, shown, 3)
}

// Guards against a story that mixes in the lines of another request, or fails on lines that are none.
func TestForeignLines(t *testing.T) {
	reader := explainer.NewReader("b")
	log := `no line at all
collector: {"host":"one","event":"attempt-sent","request":"a","attempt":1}
{"host":"one","event":"attempt-sent","request":"b","attempt":2}
{"host":"two","event":"table-active","version":3}
{"host":"one","event":"request-ended","request":"a"}
{"host":"one","event":"request-ended","request":"b"}
`
	assert.NilError(t, reader.Read(strings.NewReader(log)))
	story := reader.Story()
	assert.Equal(t, len(story.Tries), 1)
	assert.Equal(t, len(story.Tries[0].Decisions), 2)
	assert.Equal(t, len(story.Tries[0].Beliefs), 0)
}

func explain(t *testing.T, request, path string) string {
	t.Helper()
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, file.Close()) }()
	reader := explainer.NewReader(request)
	assert.NilError(t, reader.Read(file))
	story := reader.Story()
	output := strings.Builder{}
	assert.NilError(t, story.Write(&output))
	return output.String()
}
