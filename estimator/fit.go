package estimator

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a line through measured points by least squares, with standard errors.
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
	deviation      float64
}

// NewFit fits a line; it needs three points or more for its errors.
func NewFit(quantity, unit, against string, x, y []float64) Fit {
	fit := Fit{Quantity: quantity, Unit: unit, Against: against, X: x, Y: y}
	fit.Intercept, fit.Slope = stat.LinearRegression(x, y, nil, false)
	var squares float64
	for i := range x {
		rest := y[i] - fit.Intercept - fit.Slope*x[i]
		squares += rest * rest
	}
	fit.deviation = math.Sqrt(squares / float64(len(x)-2))
	fit.SlopeError = fit.deviation / math.Sqrt(fit.spread())
	fit.InterceptError = fit.errorAt(0)
	return fit
}

// spread is the sum of squared distances from the mean of x.
func (fit Fit) spread() float64 { return stat.Variance(fit.X, nil) * float64(len(fit.X)-1) }

func (fit Fit) errorAt(x float64) float64 {
	distance := x - stat.Mean(fit.X, nil)
	return fit.deviation * math.Sqrt(1/float64(len(fit.X))+distance*distance/fit.spread())
}

// At returns the line's value and its standard error.
func (fit Fit) At(x float64) (value, standardError float64) {
	return fit.Intercept + fit.Slope*x, fit.errorAt(x)
}
