package logger

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
)

// Limiter limits the lines of each kind per second and logs how many it suppressed.
type Limiter struct {
	logger zerolog.Logger
	limit  int

	mutex      sync.Mutex
	second     int64
	written    map[string]int
	suppressed map[string]int
}

// NewLimiter returns a limiter with the same limit for every kind.
func NewLimiter(logger zerolog.Logger, perSecond int) *Limiter {
	return &Limiter{logger: logger, limit: perSecond, written: map[string]int{}, suppressed: map[string]int{}}
}

// Allow reports whether one more line of the kind may be written now.
func (limiter *Limiter) Allow(now carobthread.Instant, kind string) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if second := int64(now) / int64(time.Second); second != limiter.second {
		limiter.second = second
		clear(limiter.written)
		limiter.report()
	}
	if limiter.written[kind] >= limiter.limit {
		limiter.suppressed[kind]++
		return false
	}
	limiter.written[kind]++
	return true
}

func (limiter *Limiter) report() {
	for kind, count := range limiter.suppressed {
		limiter.logger.Warn().Str("event", "lines-left-out").Str("kind", kind).Int("count", count).Msg("log lines suppressed by the rate limit")
	}
	clear(limiter.suppressed)
}
