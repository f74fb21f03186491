package bencher_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread/bencher"
)

// TestSameSeedSameResults guards against random draws or iteration orders that differ between runs with the same seed.
func TestSameSeedSameResults(t *testing.T) {
	selection := bencher.Selection{
		Scenarios: []string{"kerala-matching", "kerala-payments"},
		Faults:    []string{"straggler,partition", "pause,index-roll"},
	}
	var printed [2]string
	for i := range printed {
		runs, err := selection.Runs(bencher.Policies())
		assert.NilError(t, err)
		for j := range runs {
			runs[j].Scenario = runs[j].Scenario.Sample()
		}
		text, err := json.Marshal(bencher.ExecuteAll(runs))
		assert.NilError(t, err)
		printed[i] = string(text)
	}
	assert.Equal(t, printed[0], printed[1])
}
