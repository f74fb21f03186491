package bencher

import (
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 5 * vg.Millimeter
)

// policyColor returns the color of the policy at the index.
func policyColor(index int) color.Color {
	colors := []color.Color{
		color.RGBA{R: 0, G: 90, B: 160, A: 255},
		color.RGBA{R: 200, G: 60, B: 30, A: 255},
		color.RGBA{R: 110, G: 110, B: 110, A: 255},
	}
	return colors[index%len(colors)]
}

func newPlot(title, xLabel, yLabel string) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = xLabel
	chart.Y.Label.Text = yLabel
	chart.Y.Min = 0
	chart.Legend.Top = true
	chart.Legend.Left = true
	chart.Add(plotter.NewGrid())
	return chart
}

func addLine(chart *plot.Plot, name string, index int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	line.Color = policyColor(index)
	line.Width = vg.Points(1.5)
	chart.Add(line)
	chart.Legend.Add(name, line)
	return nil
}

// nines maps a quantile in percent to a logarithmic scale on which 90, 99 and 99.9 are equally spaced.
func nines(quantile float64) float64 { return -math.Log10(1 - quantile/100) }

// latencyPlot draws the latency quantiles, one line per policy.
func latencyPlot(results []*Result) (*plot.Plot, error) {
	chart := newPlot(results[0].Scenario+", fault "+results[0].Fault, "quantile in percent", "latency in ms")
	for index, result := range results {
		points := plotter.XYs{}
		for scale := 0.0; scale <= 3; scale += 0.05 {
			quantile := 100 * (1 - math.Pow(10, -scale))
			points = append(points, plotter.XY{X: scale, Y: float64(result.latency.ValueAtQuantile(quantile)) / 1000})
		}
		if err := addLine(chart, result.Policy, index, points); err != nil {
			return nil, err
		}
	}
	ticks := plot.ConstantTicks{}
	for _, quantile := range []float64{0, 50, 90, 99, 99.9} {
		ticks = append(ticks, plot.Tick{Value: nines(quantile), Label: fmt.Sprint(quantile)})
	}
	chart.X.Tick.Marker = ticks
	return chart, nil
}

// coveragePlot draws the mean coverage of all answers against the deadline, one line per policy.
func coveragePlot(title string, sweeps [][]*Result) (*plot.Plot, error) {
	chart := newPlot(title, "deadline in median latencies", "coverage")
	chart.Y.Max = 1.05
	chart.Legend.Top = false
	chart.Legend.Left = false
	for index, sweep := range sweeps {
		points := plotter.XYs{}
		for i, result := range sweep {
			points = append(points, plotter.XY{X: sweepMedians()[i], Y: result.CoverageMean})
		}
		if err := addLine(chart, sweep[0].Policy, index, points); err != nil {
			return nil, err
		}
	}
	return chart, nil
}

// extraPlot draws the share of extra attempts by fault, one bar per policy.
func extraPlot(scenario string, policies []string, faults []string, shares map[string]plotter.Values) (*plot.Plot, error) {
	chart := newPlot(scenario, "", "extra attempts in percent")
	for index, policy := range policies {
		bars, err := plotter.NewBarChart(shares[policy], barWidth)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", policy, err)
		}
		bars.Color = policyColor(index)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(index)-float64(len(policies)-1)/2)
		chart.Add(bars)
		chart.Legend.Add(policy, bars)
	}
	chart.NominalX(faults...)
	chart.Y.Max *= 1.4 // leaves room for the legend
	chart.X.Tick.Label.Rotation = math.Pi / 6
	chart.X.Tick.Label.XAlign = text.XRight
	return chart, nil
}
