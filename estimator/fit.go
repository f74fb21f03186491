package estimator

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a least-squares line through measured points, with standard errors.
type Fit struct {
	Quantity       string    `json:"quantity"`
	Unit           string    `json:"unit"`
	Against        string    `json:"against"`
	X              []float64 `json:"x"`
	Y              []float64 `json:"y"`
	Intercept      float64   `json:"intercept"`
	InterceptError float64   `json:"intercept-error"`
	Slope          float64   `json:"slope"`
	SlopeError     float64   `json:"slope-error"`
	residualError  float64
}

// NewFit fits a line to at least three points; fewer leave no degree of freedom for the errors.
func NewFit(quantity, unit, against string, x, y []float64) Fit {
	fit := Fit{Quantity: quantity, Unit: unit, Against: against, X: x, Y: y}
	fit.Intercept, fit.Slope = stat.LinearRegression(x, y, nil, false)
	var squares float64
	for i := range x {
		residual := y[i] - fit.Intercept - fit.Slope*x[i]
		squares += residual * residual
	}
	fit.residualError = math.Sqrt(squares / float64(len(x)-2))
	fit.SlopeError = fit.residualError / math.Sqrt(fit.sumOfSquares())
	fit.InterceptError = fit.standardErrorAt(0)
	return fit
}

// sumOfSquares returns the sum of squared distances of x from its mean.
func (fit Fit) sumOfSquares() float64 { return stat.Variance(fit.X, nil) * float64(len(fit.X)-1) }

// standardErrorAt returns the standard error of the fitted line at x.
func (fit Fit) standardErrorAt(x float64) float64 {
	distance := x - stat.Mean(fit.X, nil)
	return fit.residualError * math.Sqrt(1/float64(len(fit.X))+distance*distance/fit.sumOfSquares())
}

// At returns the value of the fitted line at x and its standard error.
func (fit Fit) At(x float64) (value, standardError float64) {
	return fit.Intercept + fit.Slope*x, fit.standardErrorAt(x)
}
