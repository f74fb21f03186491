package executor

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobthread"
	"carobthread/stopper"
)

// Options sets the identity and the limits of one incarnation.
type Options struct {
	Host        string
	DataCentre  string
	Incarnation carobthread.Incarnation
	// Secret signs keys; each incarnation has its own.
	Secret []byte
	// Seed seeds the random choice of upstreams.
	Seed uint64
	// KeyLifetime is the time from reservation to expiry.
	KeyLifetime time.Duration
	// MaxKeys and MaxBytes limit the table of used keys.
	MaxKeys  int
	MaxBytes int
}

// Defaults for Options fields that are zero.
const (
	DefaultKeyLifetime = 10 * time.Minute
	DefaultMaxKeys     = 100_000
	DefaultMaxBytes    = 128 << 20
	// defaultMaxResultSize is reserved for a result if the service sets no maximum reply size.
	defaultMaxResultSize = 64 << 10
)

// maxAttempts limits the upstreams tried per key; more attempts would take longer than most deadlines allow.
const maxAttempts = 3

// Retry delays suggested to callers in refusals.
const (
	retryAfterNoSlot    = 50 * time.Millisecond // a slot becomes free within one or two executions
	retryAfterTableFull = time.Second           // the table gets room only when keys expire
	retryAfterStopping  = 100 * time.Millisecond
)

// Executor is the state machine of one incarnation; it is not safe for concurrent use.
type Executor struct {
	options      Options
	random       *rand.Rand
	now          carobthread.Instant // time of the current event
	highestTime  carobthread.Instant // highest time seen; keys expire by it
	lastSequence uint64
	lastAttempt  AttemptID
	draining     bool // refuses reservations
	stopping     bool // also refuses keys that are not yet used
	stop         stopper.Stop
	superseded   bool // the view lists a later incarnation of this host
	view         carobthread.View
	services     map[string]*serviceState
	searchers    map[string]*searcherState
	table        *keyTable
	running      []*keyEntry
	attempts     map[AttemptID]*attemptState
	forwards     []*forwardEntry
	stats        Stats
	actions      []Action
}

var _ StateMachine = (*Executor)(nil)

// New returns an executor without a configuration or view; zero limits take the defaults.
func New(options Options) *Executor {
	if options.KeyLifetime == 0 {
		options.KeyLifetime = DefaultKeyLifetime
	}
	if options.MaxKeys == 0 {
		options.MaxKeys = DefaultMaxKeys
	}
	if options.MaxBytes == 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	return &Executor{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
		services:  map[string]*serviceState{},
		searchers: map[string]*searcherState{},
		table:     newKeyTable(options.MaxKeys, options.MaxBytes),
		attempts:  map[AttemptID]*attemptState{},
	}
}

// Step applies an event and returns the resulting actions in order.
func (executor *Executor) Step(event Event) []Action {
	executor.actions = nil
	executor.now = event.At
	executor.highestTime = max(executor.highestTime, event.At)
	switch {
	case event.Reserve != nil:
		executor.reserve(event.Reserve)
	case event.Execute != nil:
		executor.execute(event.Execute)
	case event.Outcome != nil:
		executor.queryOutcome(event.Outcome)
	case event.Gone != nil:
		executor.removeCall(event.Gone.Call)
	case event.Write != nil:
		executor.permit(event.Write)
	case event.Ended != nil:
		executor.endAttempt(event.Ended)
	case event.Forward != nil:
		executor.endForward(event.Forward)
	case event.Report != nil:
		executor.report(event.Report)
	case event.Config != nil:
		executor.applyConfig(&event.Config.Config)
	case event.View != nil:
		executor.applyView(event.View.View)
	case event.Stop != nil:
		executor.beginStop(event.Stop)
	case event.Tick != nil:
		executor.tick()
	}
	return executor.actions
}

func (executor *Executor) reserve(call *ReserveCalled) {
	reserved := &KeyReserved{Call: call.Call}
	executor.actions = append(executor.actions, Action{Reserved: reserved})
	reserved.Reason = executor.serviceRefusal(call.Service)
	if executor.draining || executor.superseded {
		reserved.Reason = carobthread.ReasonStopping
	}
	if reserved.Reason != "" {
		reserved.RetryAfterMicros = retryAfter(reserved.Reason)
		return
	}
	executor.lastSequence++
	key := Key{
		Host:        executor.options.Host,
		Incarnation: executor.options.Incarnation,
		Sequence:    executor.lastSequence,
		Expiry:      executor.highestTime.Add(executor.options.KeyLifetime),
	}
	key.MAC = key.computeMAC(executor.options.Secret)
	reserved.Key = key.String()
	reserved.Expiry = key.Expiry
	executor.stats.Reserved++
}

// serviceRefusal returns why the service cannot be executed, or "" if it can.
func (executor *Executor) serviceRefusal(name string) carobthread.Reason {
	service := executor.services[name]
	switch {
	case len(executor.services) == 0:
		return carobthread.ReasonNotReady
	case service == nil:
		return carobthread.ReasonUnknownService
	case service.config.Kind != carobthread.KindExecute:
		return carobthread.ReasonWrongKind
	default:
		return ""
	}
}

func (executor *Executor) execute(call *ExecuteCalled) {
	key, ok := executor.verifyKey(call.Call, call.Key)
	if !ok {
		return
	}
	if !executor.owns(key) {
		deadline := call.Deadline
		if deadline == 0 {
			deadline = executor.defaultDeadline(call.Service)
		}
		executor.forward(call.Call, key, call.Forwarded, deadline, &ForwardCall{Execute: call})
		return
	}
	digest := digestOf(call.Service, call.Payload)
	if entry := executor.table.entries[key.Sequence]; entry != nil {
		executor.answerDuplicate(call.Call, entry, digest)
		return
	}
	if executor.refuseUnusable(call.Call, key) {
		return
	}
	executor.startExecution(call, key, digest)
}

// verifyKey parses a key and, if this incarnation minted it, checks its MAC. No process ever runs a key that fails here.
func (executor *Executor) verifyKey(call CallID, text string) (Key, bool) {
	key, err := ParseKey(text)
	if err != nil || executor.owns(key) && !key.authentic(executor.options.Secret) {
		executor.answer(call, Outcome{Key: text, Status: StatusNotRun, Reason: carobthread.ReasonMalformedKey})
		return Key{}, false
	}
	return key, true
}

func (executor *Executor) owns(key Key) bool {
	return key.Host == executor.options.Host && key.Incarnation == executor.options.Incarnation
}

// answerDuplicate answers another Execute call for a used key. A different payload is answered with unknown rather than
// "not run", because the key may have run and the caller may have encoded the same request differently.
func (executor *Executor) answerDuplicate(call CallID, entry *keyEntry, digest [32]byte) {
	switch {
	case entry.hasDigest && entry.digest != digest && entry.outcome.Status != StatusNotRun:
		executor.stats.Mismatched++
		executor.answer(call, Outcome{Key: entry.text, Status: StatusUnknown, Reason: carobthread.ReasonPayloadMismatch})
	case entry.running() && len(entry.waiters) < maxWaiters:
		executor.stats.Joined++
		entry.waiters = append(entry.waiters, call)
	default:
		executor.stats.Repeated++
		executor.answer(call, entry.outcome)
	}
}

// refuseUnusable answers the call if its key, which is not in the table, can no longer run. It reports whether it did.
func (executor *Executor) refuseUnusable(call CallID, key Key) bool {
	outcome := Outcome{Key: key.String(), Status: StatusNotRun}
	switch {
	case key.Expiry <= executor.highestTime && key.Sequence <= executor.table.highestExpired:
		outcome.Status = StatusUnknown
		outcome.Reason = carobthread.ReasonKeyExpired
	case key.Expiry <= executor.highestTime:
		outcome.Reason = carobthread.ReasonKeyExpired
	case key.Sequence <= executor.table.highestRefused:
		outcome.Reason = carobthread.ReasonKeyTableFull
		outcome.RetryAfterMicros = retryAfter(outcome.Reason)
	default:
		return false
	}
	executor.answer(call, outcome)
	return true
}

// startExecution records the key as used before it requests the first attempt. If the call is refused, the key is revoked.
func (executor *Executor) startExecution(call *ExecuteCalled, key Key, digest [32]byte) {
	entry := &keyEntry{key: key, text: key.String(), digest: digest, hasDigest: true, waiters: []CallID{call.Call}}
	reason := executor.admit(call, entry)
	if reason != "" {
		executor.revoke(entry, reason)
		return
	}
	charge := entryOverheadBytes + len(call.Payload) + entry.service.maxResultSize()
	entry.outcome = Outcome{Key: entry.text, Status: StatusInProgress}
	if !executor.table.insert(entry, charge) {
		executor.settle(entry, Outcome{Status: StatusNotRun, Reason: carobthread.ReasonKeyTableFull})
		return
	}
	entry.payload = call.Payload
	executor.running = append(executor.running, entry)
	executor.startAttempt(entry)
}

// admit sets the service and deadline of the entry and returns why the call is refused, or "" if it may run.
func (executor *Executor) admit(call *ExecuteCalled, entry *keyEntry) carobthread.Reason {
	if executor.stopping || executor.superseded {
		return carobthread.ReasonStopping
	}
	if reason := executor.serviceRefusal(call.Service); reason != "" {
		return reason
	}
	entry.service = executor.services[call.Service]
	if limit := entry.service.config.MaxRequestSize; limit > 0 && len(call.Payload) > limit {
		return carobthread.ReasonTooLarge
	}
	entry.deadline = executor.defaultDeadline(call.Service)
	if call.Deadline != 0 {
		entry.deadline = min(entry.deadline, call.Deadline)
	}
	if entry.deadline <= executor.now {
		return carobthread.ReasonDeadlinePassed
	}
	request := stopper.Request{Arrived: executor.now, Deadline: entry.deadline, AtMostOnce: true}
	if !executor.stop.Admits(request, entry.service.history) {
		return carobthread.ReasonStopping
	}
	entry.started, entry.deadline = executor.now, executor.stop.Deadline(entry.deadline)
	_, reason := executor.chooseSearcher(entry)
	return reason
}

func (executor *Executor) defaultDeadline(service string) carobthread.Instant {
	if state := executor.services[service]; state != nil && state.config.HardDeadline > 0 {
		return executor.now.Add(state.config.HardDeadline)
	}
	return executor.now.Add(FallbackTimeout)
}

// FallbackTimeout limits Execute calls whose service sets no deadline and outcome queries without a deadline, so that no
// call waits forever for a lost answer.
const FallbackTimeout = 30 * time.Second

// beginStop refuses new work and limits the deadlines of the calls in progress, so that each one is answered before the
// process ends.
func (executor *Executor) beginStop(stop *StopCalled) {
	executor.draining = true
	executor.stopping = executor.stopping || !stop.AcceptKeys
	if stop.AnswerBy == 0 {
		return
	}
	executor.stop.Begin(stop.AnswerBy)
	for _, entry := range executor.running {
		entry.deadline = executor.stop.Deadline(entry.deadline)
	}
	for _, entry := range executor.forwards {
		entry.deadline = executor.stop.Deadline(entry.deadline)
	}
}

// revoke settles an unused key permanently as not run. If the table is full, the key is revoked through highestRefused.
func (executor *Executor) revoke(entry *keyEntry, reason carobthread.Reason) {
	executor.stats.Revoked++
	entry.outcome.Status = StatusNotRun
	executor.table.insert(entry, entryOverheadBytes)
	executor.settle(entry, Outcome{Status: StatusNotRun, Reason: reason})
}

func (executor *Executor) queryOutcome(call *OutcomeCalled) {
	key, ok := executor.verifyKey(call.Call, call.Key)
	if !ok {
		return
	}
	if !executor.owns(key) {
		deadline := call.Deadline
		if deadline == 0 {
			deadline = executor.now.Add(FallbackTimeout)
		}
		executor.forward(call.Call, key, call.Forwarded, deadline, &ForwardCall{Outcome: call})
		return
	}
	if entry := executor.table.entries[key.Sequence]; entry != nil {
		executor.answer(call.Call, entry.outcome)
		return
	}
	if executor.refuseUnusable(call.Call, key) {
		return
	}
	entry := &keyEntry{key: key, text: key.String(), waiters: []CallID{call.Call}}
	executor.revoke(entry, carobthread.ReasonKeyRevoked)
}

func (executor *Executor) removeCall(call CallID) {
	for _, entry := range executor.running {
		entry.waiters = slices.DeleteFunc(entry.waiters, func(waiter CallID) bool { return waiter == call })
	}
	executor.forwards = slices.DeleteFunc(executor.forwards, func(entry *forwardEntry) bool { return entry.call == call })
}

func (executor *Executor) answer(call CallID, outcome Outcome) {
	executor.actions = append(executor.actions, Action{Answer: &AnswerCall{Call: call, Outcome: outcome}})
}

func (executor *Executor) tick() {
	for _, entry := range slices.Clone(executor.running) {
		if executor.now < entry.deadline && executor.highestTime < entry.key.Expiry {
			continue
		}
		if entry.attempt != nil && entry.attempt.permitted {
			executor.settle(entry, Outcome{Status: StatusUnknown, Reason: carobthread.ReasonTimeout})
		} else {
			executor.settle(entry, Outcome{Status: StatusNotRun, Reason: carobthread.ReasonDeadlinePassed})
		}
	}
	executor.expireForwards()
	for _, entry := range executor.table.expire(executor.highestTime) {
		executor.stats.Expired++
		if entry.attempt != nil && entry.attempt.ended {
			delete(executor.attempts, entry.attempt.id)
		}
	}
}

func retryAfter(reason carobthread.Reason) int64 {
	switch reason {
	case carobthread.ReasonNoSlot, carobthread.ReasonUpstreamShed, carobthread.ReasonNotReady, carobthread.ReasonNoReplica, carobthread.ReasonKeyRevoked:
		return retryAfterNoSlot.Microseconds()
	case carobthread.ReasonKeyTableFull:
		return retryAfterTableFull.Microseconds()
	case carobthread.ReasonStopping:
		return retryAfterStopping.Microseconds()
	default:
		return 0
	}
}
