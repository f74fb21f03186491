package gatherer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carobthread"
)

const (
	// defaultHedgeQuantile leaves two fifths of the 5% budget for second hedges and retries; 0.96 empties it when 1 reply in 100 is slow.
	defaultHedgeQuantile = 0.97
	// minSamples is the number of latencies below which quantiles are not used.
	minSamples    = 32
	windows       = 3
	windowSamples = 500
	// windowAge bounds how long a window of a busy service lasts, windowMaxAge that of an idle one.
	windowAge    = time.Second
	windowMaxAge = 30 * time.Second
	refreshEvery = 20 * time.Millisecond
	maxLatency   = time.Minute
)

// latencyWindow is the running distribution of a service's attempt latencies.
//
// The quantiles are cached, since reading one walks the whole histogram.
type latencyWindow struct {
	histogram   *hdrhistogram.WindowedHistogram
	quantile    float64
	inWindow    int
	samples     int
	refreshed   int
	rotatedAt   carobthread.Instant
	refreshedAt carobthread.Instant
	fast        time.Duration
	median      time.Duration
	hedge       time.Duration
}

func (window *latencyWindow) configure(quantile float64) {
	if quantile <= 0 || quantile >= 1 {
		quantile = defaultHedgeQuantile
	}
	window.quantile = quantile
	if window.histogram == nil {
		window.histogram = hdrhistogram.NewWindowed(windows, 1, maxLatency.Microseconds(), 2)
	}
}

// record adds a latency.
func (window *latencyWindow) record(now carobthread.Instant, latency time.Duration) {
	micros := min(max(1, latency.Microseconds()), maxLatency.Microseconds())
	if window.histogram.Current.RecordValue(micros) != nil {
		return
	}
	window.inWindow++
	window.samples++
	age := now.Sub(window.rotatedAt)
	if age > windowMaxAge || age > windowAge && window.inWindow >= windowSamples {
		window.histogram.Rotate()
		window.rotatedAt = now
		window.inWindow = 0
	}
	few := window.samples < 8*minSamples && window.samples >= window.refreshed+minSamples
	if few || now.Sub(window.refreshedAt) >= refreshEvery {
		window.refresh(now)
	}
}

func (window *latencyWindow) refresh(now carobthread.Instant) {
	window.refreshedAt = now
	window.refreshed = window.samples
	if window.samples < minSamples {
		return
	}
	merged := window.histogram.Merge()
	window.fast = time.Duration(merged.ValueAtQuantile(10)) * time.Microsecond
	window.median = time.Duration(merged.ValueAtQuantile(50)) * time.Microsecond
	window.hedge = time.Duration(merged.ValueAtQuantile(100*window.quantile)) * time.Microsecond
}

// age drops all samples; the median and the hedge delay stay until enough new samples replace them.
func (window *latencyWindow) age() {
	median, hedge := window.median, window.hedge
	quantile := window.quantile
	*window = latencyWindow{median: median, hedge: hedge}
	window.configure(quantile)
}

// slow reports whether a latency is far above the service's median; false while the median is unknown.
func (window *latencyWindow) slow(latency time.Duration) bool {
	const (
		factor = 4
		least  = 5 * time.Millisecond
	)
	return window.median > 0 && latency > max(least, factor*window.median)
}
