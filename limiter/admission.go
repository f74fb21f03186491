package limiter

import "time"

// durationWeight is the weight of the latest request in the moving average of request durations.
const durationWeight = 1.0 / 16

// minRetryAfter is the shortest delay suggested to a refused caller: an immediate retry would meet the same load.
const minRetryAfter = 5 * time.Millisecond

// Admission limits the number of requests that one service has in progress.
type Admission struct {
	limit        int
	running      int
	meanDuration float64
}

// Resize sets the limit; 0 means unlimited.
func (admission *Admission) Resize(limit int) { admission.limit = limit }

// Running returns the number of requests in progress.
func (admission *Admission) Running() int { return admission.running }

// Admit counts one more request in progress and returns true, or returns false if the limit is reached.
func (admission *Admission) Admit() bool {
	if admission.limit > 0 && admission.running >= admission.limit {
		return false
	}
	admission.running++
	return true
}

// Finish counts the end of a request and adds its duration to the moving average.
func (admission *Admission) Finish(duration time.Duration) {
	admission.running--
	if admission.meanDuration == 0 {
		admission.meanDuration = float64(duration)
		return
	}
	admission.meanDuration += durationWeight * (float64(duration) - admission.meanDuration)
}

// RetryAfter returns how long a refused caller should wait before it retries: the mean duration of a request.
func (admission *Admission) RetryAfter() time.Duration {
	return max(minRetryAfter, time.Duration(admission.meanDuration))
}
