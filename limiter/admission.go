package limiter

import "time"

// durationWeight is the weight of one request in the running mean duration.
const durationWeight = 1.0 / 16

// minRetryAfter bounds the retry-after from below, since an immediate retry meets the same load.
const minRetryAfter = 5 * time.Millisecond

// Admission bounds the requests in progress of one service.
type Admission struct {
	limit   int
	running int
	mean    float64
}

// Resize changes the bound; 0 means no bound.
func (admission *Admission) Resize(limit int) { admission.limit = limit }

// Running returns the requests in progress.
func (admission *Admission) Running() int { return admission.running }

// Admit counts a request in progress if the bound permits it.
func (admission *Admission) Admit() bool {
	if admission.limit > 0 && admission.running >= admission.limit {
		return false
	}
	admission.running++
	return true
}

// Leave counts the end of a request that took this long.
func (admission *Admission) Leave(took time.Duration) {
	admission.running--
	if admission.mean == 0 {
		admission.mean = float64(took)
		return
	}
	admission.mean += durationWeight * (float64(took) - admission.mean)
}

// RetryAfter returns when a refused request is likely to be admitted: the mean duration of a request.
func (admission *Admission) RetryAfter() time.Duration {
	return max(minRetryAfter, time.Duration(admission.mean))
}
