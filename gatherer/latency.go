package gatherer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carobthread"
)

const (
	// defaultHedgeQuantile uses 3% of the 5% budget for first hedges and leaves two fifths for second hedges and retries; 0.96
	// exhausts the budget when 1 reply in 100 is slow.
	defaultHedgeQuantile = 0.97
	// minSamples is the number of latencies below which no quantiles are computed.
	minSamples = 32
	// windowCount is the number of histogram windows that the quantiles cover.
	windowCount   = 3
	windowSamples = 500
	// windowAge is how long a histogram window lasts if it has at least windowSamples latencies, as in a busy service;
	// windowMaxAge is how long it lasts otherwise.
	windowAge       = time.Second
	windowMaxAge    = 30 * time.Second
	refreshInterval = 20 * time.Millisecond
	maxLatency      = time.Minute
)

// latencyWindow is the sliding-window distribution of a service's attempt latencies.
//
// The quantiles are cached, since computing one scans the whole histogram.
type latencyWindow struct {
	// histogram is nil before the first latency: it takes tens of kilobytes, and most of a great many services are idle.
	histogram        *hdrhistogram.WindowedHistogram
	quantile         float64
	currentSamples   int
	samples          int
	samplesAtRefresh int
	rotatedAt        carobthread.Instant
	refreshedAt      carobthread.Instant
	p10              time.Duration
	median           time.Duration
	hedge            time.Duration
}

func (window *latencyWindow) configure(quantile float64) {
	if quantile <= 0 || quantile >= 1 {
		quantile = defaultHedgeQuantile
	}
	window.quantile = quantile
}

// record adds a latency.
func (window *latencyWindow) record(now carobthread.Instant, latency time.Duration) {
	if window.histogram == nil {
		window.histogram = hdrhistogram.NewWindowed(windowCount, 1, maxLatency.Microseconds(), 2)
	}
	micros := min(max(1, latency.Microseconds()), maxLatency.Microseconds())
	if window.histogram.Current.RecordValue(micros) != nil {
		return
	}
	window.currentSamples++
	window.samples++
	age := now.Sub(window.rotatedAt)
	if age > windowMaxAge || age > windowAge && window.currentSamples >= windowSamples {
		window.histogram.Rotate()
		window.rotatedAt = now
		window.currentSamples = 0
	}
	warmingUp := window.samples < 8*minSamples && window.samples >= window.samplesAtRefresh+minSamples
	if warmingUp || now.Sub(window.refreshedAt) >= refreshInterval {
		window.refresh(now)
	}
}

func (window *latencyWindow) refresh(now carobthread.Instant) {
	window.refreshedAt = now
	window.samplesAtRefresh = window.samples
	if window.samples < minSamples {
		return
	}
	merged := window.histogram.Merge()
	window.p10 = time.Duration(merged.ValueAtQuantile(10)) * time.Microsecond
	window.median = time.Duration(merged.ValueAtQuantile(50)) * time.Microsecond
	window.hedge = time.Duration(merged.ValueAtQuantile(100*window.quantile)) * time.Microsecond
}

// discardSamples drops all samples; the median and the hedge quantile stay until enough new samples replace them.
func (window *latencyWindow) discardSamples() {
	median, hedge := window.median, window.hedge
	quantile := window.quantile
	*window = latencyWindow{median: median, hedge: hedge}
	window.configure(quantile)
}

// slow reports whether a latency is far above the service's median; it returns false while the median is unknown.
func (window *latencyWindow) slow(latency time.Duration) bool {
	const (
		factor  = 4
		minSlow = 5 * time.Millisecond
	)
	return window.median > 0 && latency > max(minSlow, factor*window.median)
}
