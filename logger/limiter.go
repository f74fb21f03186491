package logger

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
)

// Limiter bounds the lines of each kind to a number in each second and logs how many it left out.
type Limiter struct {
	logger zerolog.Logger
	perSec int

	mutex  sync.Mutex
	second int64
	used   map[string]int
	left   map[string]int
}

// NewLimiter returns a limiter with the same bound for every kind.
func NewLimiter(logger zerolog.Logger, perSecond int) *Limiter {
	return &Limiter{logger: logger, perSec: perSecond, used: map[string]int{}, left: map[string]int{}}
}

// Allow reports whether one more line of the kind may be written now.
func (limiter *Limiter) Allow(now carobthread.Instant, kind string) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if second := int64(now) / int64(time.Second); second != limiter.second {
		limiter.second = second
		clear(limiter.used)
		limiter.report()
	}
	if limiter.used[kind] >= limiter.perSec {
		limiter.left[kind]++
		return false
	}
	limiter.used[kind]++
	return true
}

func (limiter *Limiter) report() {
	for kind, count := range limiter.left {
		limiter.logger.Warn().Str("event", "lines-left-out").Str("kind", kind).Int("count", count).Msg("log lines left out")
	}
	clear(limiter.left)
}
