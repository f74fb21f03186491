package accountant

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/limiter"
	"carobthread/logger"
)

const (
	// checkInterval is the time between two checks for transfers to cut, while there are any.
	checkInterval = 250 * time.Millisecond
	// minPause is the delay of a check above which the process counts as paused.
	minPause = 100 * time.Millisecond
	// maxLinesPerSecond is the maximum number of log lines of each kind per second.
	maxLinesPerSecond = 5
)

// BudgetError is the failure of a transfer that would exceed the memory budget.
type BudgetError struct {
	Kind carobthread.MemoryKind
	Size int64
}

var _ error = (*BudgetError)(nil)

// Error names the kind of the transfer and the size of its buffer.
func (failure *BudgetError) Error() string {
	return fmt.Sprintf("%d bytes of %s exceed the memory budget", failure.Size, failure.Kind)
}

// CutError is the failure of a transfer that was cut.
type CutError struct {
	Kind   carobthread.MemoryKind
	Reason limiter.CutReason
}

var _ error = (*CutError)(nil)

// Error names the kind of the transfer and the reason.
func (failure *CutError) Error() string {
	return fmt.Sprintf("the transfer of %s was cut: %s", failure.Kind, failure.Reason)
}

// Options are the dependencies of an Accountant.
type Options struct {
	Timer carobthread.Timer
	// Logger receives the changes at the marks and the transfers that are cut; the zero value writes nothing.
	Logger zerolog.Logger
}

// Accountant is the concurrency-safe memory budget of a host; without SetLimit it counts and limits nothing.
type Accountant struct {
	options Options
	lines   *logger.Limiter
	enabled atomic.Bool

	mutex     sync.Mutex
	memory    *limiter.Memory
	transfers map[limiter.TransferID]*Transfer
	level     limiter.MemoryLevel // the level that was logged last
	alarm     carobthread.Alarm
	alarmSet  bool
}

var _ carobthread.Subscriber = (*Accountant)(nil)

// New returns an accountant without a limit.
func New(options Options) *Accountant {
	accountant := &Accountant{
		options: options, lines: logger.NewLimiter(options.Logger, maxLinesPerSecond),
		memory: limiter.NewMemory(), transfers: map[limiter.TransferID]*Transfer{},
	}
	accountant.alarm = options.Timer.Alarm(accountant)
	return accountant
}

// SetLimit derives the budget from the memory limit of the process in bytes; with 0, later transfers are not counted.
func (accountant *Accountant) SetLimit(processMemory int) {
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	accountant.memory.SetLimit(int64(processMemory))
	accountant.enabled.Store(processMemory > 0)
	accountant.logLevelLocked()
}

// Close ends the checks.
func (accountant *Accountant) Close() { accountant.alarm.Stop() }

func (accountant *Accountant) off() bool { return accountant == nil || !accountant.enabled.Load() }

// Admit reports whether a new request may be served.
func (accountant *Accountant) Admit(hasBody bool) bool {
	if accountant.off() {
		return true
	}
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	return accountant.memory.Admit(hasBody)
}

// Stats returns the usage and the counters.
func (accountant *Accountant) Stats() limiter.MemoryStats {
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	return accountant.memory.Stats()
}

// Begin counts a transfer with its first bytes. cut is called at most once, before the transfer ends; it must make the
// transfer fail without waiting. The result is nil without a limit.
func (accountant *Accountant) Begin(kind carobthread.MemoryKind, bytes int, cut func()) *Transfer {
	if accountant.off() {
		return nil
	}
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	now := accountant.options.Timer.Now()
	transfer := &Transfer{accountant: accountant, kind: kind, cut: cut, id: accountant.memory.Begin(now, kind, int64(bytes))}
	accountant.transfers[transfer.id] = transfer
	accountant.logLevelLocked()
	accountant.setAlarmLocked(now)
	return transfer
}

// Open returns an account for the bytes that are kept for one request, or nil without a limit.
func (accountant *Accountant) Open() *Account {
	if accountant.off() {
		return nil
	}
	return &Account{accountant: accountant, held: map[carobthread.MemoryKind]int64{}}
}

// Tick cuts the transfers that the decision selects.
func (accountant *Accountant) Tick(now carobthread.Instant, late time.Duration) {
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	accountant.alarmSet = false
	if late >= minPause {
		accountant.memory.Resume(now, late)
	}
	for _, expired := range accountant.memory.Expired(now) {
		transfer := accountant.transfers[expired.ID]
		transfer.failure = &CutError{Kind: expired.Kind, Reason: expired.Reason}
		transfer.cut()
		if accountant.lines.Allow(now, "transfer-cut") {
			accountant.options.Logger.Warn().Str("event", "transfer-cut").Str("kind", string(expired.Kind)).
				Str("reason", string(expired.Reason)).Int64("bytes", expired.Bytes).Int64("lag-us", expired.Lag.Microseconds()).
				Msg("a connection to a slow peer was closed")
		}
	}
	accountant.setAlarmLocked(now)
}

func (accountant *Accountant) setAlarmLocked(now carobthread.Instant) {
	if !accountant.alarmSet && len(accountant.transfers) > 0 {
		accountant.alarmSet = true
		accountant.alarm.Set(now.Add(checkInterval))
	}
}

// logLevelLocked logs a change of the number of marks that usage exceeds.
func (accountant *Accountant) logLevelLocked() {
	level := accountant.memory.Level()
	if level == accountant.level {
		return
	}
	event, message := "memory-mark-exceeded", "memory usage exceeds a mark"
	if level < accountant.level {
		event, message = "memory-mark-left", "memory usage fell below a mark"
	}
	accountant.level = level
	if !accountant.lines.Allow(accountant.options.Timer.Now(), event) {
		return
	}
	stats := accountant.memory.Stats()
	accountant.options.Logger.Warn().Str("event", event).Int("marks-exceeded", int(level)).Int64("total-bytes", stats.Total).
		Int64("budget-bytes", stats.Budget).Interface("held-bytes", stats.Held).Msg(message)
}

// Transfer is data that is being received from, or sent to, a caller or searcher.
type Transfer struct {
	accountant *Accountant
	id         limiter.TransferID
	kind       carobthread.MemoryKind
	cut        func()
	failure    error
}

var _ BodyMeter = (*Transfer)(nil)

// Grow counts the new size of the transfer's buffer; the error is a *BudgetError.
func (transfer *Transfer) Grow(size int) error {
	if transfer == nil {
		return nil
	}
	accountant := transfer.accountant
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	if accountant.transfers[transfer.id] == nil {
		return nil
	}
	if !accountant.memory.Grow(transfer.id, int64(size)) {
		return &BudgetError{Kind: transfer.kind, Size: int64(size)}
	}
	accountant.logLevelLocked()
	return nil
}

// Progress counts bytes that were received or sent.
func (transfer *Transfer) Progress(count int) {
	if transfer == nil || count == 0 {
		return
	}
	accountant := transfer.accountant
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	if accountant.transfers[transfer.id] != nil {
		accountant.memory.Progress(accountant.options.Timer.Now(), transfer.id, int64(count))
	}
}

// Failure returns a *CutError if the transfer was cut.
func (transfer *Transfer) Failure() error {
	if transfer == nil {
		return nil
	}
	transfer.accountant.mutex.Lock()
	defer transfer.accountant.mutex.Unlock()
	return transfer.failure
}

// End ends the transfer and releases its bytes.
func (transfer *Transfer) End() { transfer.Keep(nil) }

// Keep ends the transfer, whose bytes stay counted until the account is closed; without an account they are released. Only
// the first call of Keep or End has an effect.
func (transfer *Transfer) Keep(account carobthread.MemoryAccount) {
	if transfer == nil {
		return
	}
	accountant := transfer.accountant
	accountant.mutex.Lock()
	ended := accountant.transfers[transfer.id] == nil
	var bytes int64
	if !ended {
		delete(accountant.transfers, transfer.id)
		_, bytes = accountant.memory.Finish(transfer.id)
	}
	accountant.mutex.Unlock()
	if !ended && (account == nil || !account.Keep(transfer.kind, bytes)) {
		accountant.release(transfer.kind, bytes)
	}
}

func (accountant *Accountant) release(kind carobthread.MemoryKind, bytes int64) {
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	accountant.memory.Release(kind, bytes)
	accountant.logLevelLocked()
}

// Account holds the bytes that are kept for one request until Close is called.
type Account struct {
	accountant *Accountant
	held       map[carobthread.MemoryKind]int64
	closed     bool
}

var _ carobthread.MemoryAccount = (*Account)(nil)

// Keep adds bytes that have been counted already, and reports whether Close releases them.
func (account *Account) Keep(kind carobthread.MemoryKind, bytes int64) bool {
	if account == nil {
		return false
	}
	account.accountant.mutex.Lock()
	defer account.accountant.mutex.Unlock()
	if account.closed {
		return false
	}
	account.held[kind] += bytes
	return true
}

// Close releases the bytes; later calls have no effect.
func (account *Account) Close() {
	if account == nil {
		return
	}
	accountant := account.accountant
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	for kind, bytes := range account.held {
		accountant.memory.Release(kind, bytes)
	}
	account.closed = true
	clear(account.held)
	accountant.logLevelLocked()
}
