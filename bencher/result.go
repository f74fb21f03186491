package bencher

import (
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carobthread"
)

// Latencies are recorded in microseconds with three significant digits.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
)

// Result holds the measurements of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Fault    string `json:"fault"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
	// DeadlineMedians is the deadline in median latencies, or 0 for the default deadlines of the scenario.
	DeadlineMedians float64 `json:"deadline-medians,omitempty"`

	Queries int `json:"queries"`
	Answers int `json:"answers"`
	Gone    int `json:"gone"`
	// P50Micros, P99Micros and P999Micros are quantiles of the latency of answers, counted from the intended start time of a
	// request.
	P50Micros  int64 `json:"p50-us"`
	P99Micros  int64 `json:"p99-us"`
	P999Micros int64 `json:"p999-us"`
	// CoverageMean, CoverageLeast and CompleteShare are computed over all answers; CoverageLeast is the minimum.
	CoverageMean  float64 `json:"coverage-mean"`
	CoverageLeast float64 `json:"coverage-least"`
	CompleteShare float64 `json:"complete-share"`
	// AvoidablePartial counts partial answers for which each shard had a live replica with the same snapshot all the time.
	AvoidablePartial int `json:"avoidable-partial"`
	// Attempts and Extra count attempts of answered queries; Extra counts those beyond one per shard.
	Attempts   int     `json:"attempts"`
	Extra      int     `json:"extra"`
	ExtraShare float64 `json:"extra-share"`
	Refusals   int     `json:"refusals"`
	// Unknown counts requests that must not be repeated and whose outcome is unknown.
	Unknown     int               `json:"unknown"`
	Broken      map[Invariant]int `json:"broken"`
	BrokenTotal int               `json:"broken-total"`

	latency         *hdrhistogram.Histogram
	coverageSum     float64
	completeAnswers int
}

func newResult(run Run) *Result {
	return &Result{
		Scenario:        run.Scenario.Name,
		Fault:           FaultNames(run.Faults),
		Policy:          run.Policy.Name,
		Seed:            run.Seed,
		DeadlineMedians: run.DeadlineMedians,
		CoverageLeast:   1,
		Broken:          map[Invariant]int{},
		latency:         hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

// FaultNames returns the names of faults in the format of the --fault flag.
func FaultNames(faults []Fault) string {
	if len(faults) == 0 {
		return NoFault
	}
	names := make([]string, len(faults))
	for i, fault := range faults {
		names[i] = fault.Name
	}
	return strings.Join(names, ",")
}

// answer adds an answer; fullCoveragePossible is called only for a partial one.
func (result *Result) answer(answer *carobthread.AnswerQuery, latency time.Duration, execute bool, fullCoveragePossible func() bool) {
	result.Attempts += int(answer.Attempts)
	result.Extra += max(0, int(answer.Attempts)-int(answer.Coverage.Total))
	if execute && answer.Coverage.Answered == 0 {
		result.countUnanswered(answer)
		return
	}
	result.Answers++
	_ = result.latency.RecordValue(min(latency.Microseconds(), maxLatency))
	coverage := 0.0
	if answer.Coverage.Total > 0 {
		coverage = float64(answer.Coverage.Answered) / float64(answer.Coverage.Total)
	}
	result.coverageSum += coverage
	result.CoverageLeast = min(result.CoverageLeast, coverage)
	if answer.Coverage.Answered == answer.Coverage.Total {
		result.completeAnswers++
	} else if fullCoveragePossible() {
		result.AvoidablePartial++
	}
}

// countUnanswered counts a request that must not be repeated and got no reply: as refused if it certainly did not run, else
// as unknown.
func (result *Result) countUnanswered(answer *carobthread.AnswerQuery) {
	reason := carobthread.ReasonTimeout
	if len(answer.Coverage.Missing) > 0 {
		reason = answer.Coverage.Missing[0].Reason
	}
	switch reason {
	case carobthread.ReasonTimeout, carobthread.ReasonUpstreamFailed:
		result.Unknown++
	default:
		result.Refusals++
	}
}

func (result *Result) refuse(carobthread.Reason) { result.Refusals++ }

// finish computes the shares and quantiles.
func (result *Result) finish() {
	result.P50Micros = result.latency.ValueAtQuantile(50)
	result.P99Micros = result.latency.ValueAtQuantile(99)
	result.P999Micros = result.latency.ValueAtQuantile(99.9)
	if result.Answers > 0 {
		result.CoverageMean = result.coverageSum / float64(result.Answers)
		result.CompleteShare = float64(result.completeAnswers) / float64(result.Answers)
	}
	if result.Attempts > 0 {
		result.ExtraShare = float64(result.Extra) / float64(result.Attempts)
	}
	for _, count := range result.Broken {
		result.BrokenTotal += count
	}
}
