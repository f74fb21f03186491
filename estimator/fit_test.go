package estimator_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread/estimator"
)

// Guards against wrong standard errors and against a verdict that overlooks an exceeded budget or a violated invariant.
// The points (0, 1), (1, 3), (2, 2) and (3, 5) have slope 1.1, a residual sum of squares of 2.7 with two degrees of
// freedom, and Sxx 5.
func TestFitAndVerdict(t *testing.T) {
	fit := estimator.NewFit("q", "u", "x", []float64{0, 1, 2, 3}, []float64{1, 3, 2, 5})
	near := func(got, expected float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got-expected) < 1e-9, "got %v, expected %v", got, expected)
	}
	near(fit.Slope, 1.1)
	near(fit.Intercept, 1.1)
	near(fit.SlopeError, math.Sqrt(1.35/5))
	value, deviation := fit.At(10)
	near(value, 12.1)
	near(deviation, math.Sqrt(1.35*(0.25+8.5*8.5/5)))
	report := estimator.Report{Target: []estimator.Projection{{Quantity: "a", Figure: 2, Budget: 2}, {Quantity: "b", Figure: 9}}}
	assert.NilError(t, report.Verdict())
	report.Target = append(report.Target, estimator.Projection{Quantity: "c", Figure: 2.1, Budget: 2})
	assert.ErrorContains(t, report.Verdict(), "budget exceeded: c is 2.1")
	report = estimator.Report{Violations: []string{"v"}}
	assert.ErrorContains(t, report.Verdict(), "invariants violated")
	_, err := estimator.Measure(estimator.Options{Sizes: []int{4}})
	assert.ErrorContains(t, err, "three fleet sizes")
}
