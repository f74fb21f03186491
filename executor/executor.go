package executor

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobthread"
)

// Options fixes the identity and the bounds of one incarnation.
type Options struct {
	Host        string
	DataCentre  string
	Incarnation carobthread.Incarnation
	// Secret signs keys; each incarnation has its own.
	Secret []byte
	// Seed fixes the random choices of upstreams.
	Seed uint64
	// KeyLifetime is the time from reservation to expiry.
	KeyLifetime time.Duration
	// MaxKeys and MaxBytes bound the table of used keys.
	MaxKeys  int
	MaxBytes int
}

// Defaults of Options fields that are zero.
const (
	DefaultKeyLifetime = 10 * time.Minute
	DefaultMaxKeys     = 100_000
	DefaultMaxBytes    = 128 << 20
	// defaultMaxResult is reserved for a result where the service sets no reply size.
	defaultMaxResult = 64 << 10
)

// maxTries bounds the upstreams tried for one key; more would outlast most deadlines.
const maxTries = 3

// Waits stated in refusals.
const (
	retryAfterSlot  = 50 * time.Millisecond // a slot frees within a run or two
	retryAfterTable = time.Second           // the table frees only as keys expire
	retryAfterStop  = 100 * time.Millisecond
)

// Executor is the state machine of one incarnation; it is not safe for concurrent use.
type Executor struct {
	options     Options
	random      *rand.Rand
	now         carobthread.Instant // time of the current event
	highest     carobthread.Instant // highest time seen; expiry follows it
	sequence    uint64
	nextAttempt AttemptID
	draining    bool // mints no keys
	stopping    bool // runs no unused keys either
	superseded  bool
	view        carobthread.View
	services    map[string]*serviceRow
	searchers   map[string]*searcherRow
	table       *keyTable
	running     []*keyRow
	attempts    map[AttemptID]*attemptRow
	forwards    []*forwardRow
	stats       Stats
	actions     []Action
}

var _ Machine = (*Executor)(nil)

// New returns an executor without configuration or view; zero bounds take the defaults.
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
		services:  map[string]*serviceRow{},
		searchers: map[string]*searcherRow{},
		table:     newKeyTable(options.MaxKeys, options.MaxBytes),
		attempts:  map[AttemptID]*attemptRow{},
	}
}

// Step takes one event and returns the actions it calls for, in order.
func (executor *Executor) Step(event Event) []Action {
	executor.actions = nil
	executor.now = event.At
	executor.highest = max(executor.highest, event.At)
	switch {
	case event.Reserve != nil:
		executor.reserve(event.Reserve)
	case event.Execute != nil:
		executor.execute(event.Execute)
	case event.Outcome != nil:
		executor.ask(event.Outcome)
	case event.Gone != nil:
		executor.abandon(event.Gone.Call)
	case event.Write != nil:
		executor.permit(event.Write)
	case event.Ended != nil:
		executor.end(event.Ended)
	case event.Forward != nil:
		executor.endForward(event.Forward)
	case event.Report != nil:
		executor.report(event.Report)
	case event.Config != nil:
		executor.configure(&event.Config.Config)
	case event.View != nil:
		executor.changeView(event.View.View)
	case event.Stop != nil:
		executor.draining = true
		executor.stopping = executor.stopping || !event.Stop.AcceptKeys
	case event.Tick != nil:
		executor.tick()
	}
	return executor.actions
}

func (executor *Executor) reserve(call *ReserveCalled) {
	reserved := &KeyReserved{Call: call.Call}
	executor.actions = append(executor.actions, Action{Reserved: reserved})
	reserved.Reason = executor.serviceFault(call.Service)
	if executor.draining || executor.superseded {
		reserved.Reason = carobthread.ReasonStopping
	}
	if reserved.Reason != "" {
		reserved.RetryAfterMicros = retryAfter(reserved.Reason)
		return
	}
	executor.sequence++
	key := Key{
		Host:        executor.options.Host,
		Incarnation: executor.options.Incarnation,
		Sequence:    executor.sequence,
		Expiry:      executor.highest.Add(executor.options.KeyLifetime),
	}
	key.Code = key.code(executor.options.Secret)
	reserved.Key = key.String()
	reserved.Expiry = key.Expiry
	executor.stats.Reserved++
}

func (executor *Executor) serviceFault(name string) carobthread.Reason {
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
	key, ok := executor.resolve(call.Call, call.Key)
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
	if row := executor.table.rows[key.Sequence]; row != nil {
		executor.repeat(call.Call, row, digest)
		return
	}
	if executor.refuseUnused(call.Call, key) {
		return
	}
	executor.start(call, key, digest)
}

// resolve parses the key and checks the code of an own key; no process ever runs a key that fails here.
func (executor *Executor) resolve(call CallID, text string) (Key, bool) {
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

// repeat answers a further Execute of a used key. Another payload gets unknown rather than "not run",
// since the key itself may have run and a caller may have encoded the same request differently.
func (executor *Executor) repeat(call CallID, row *keyRow, digest [32]byte) {
	switch {
	case row.bound && row.digest != digest && row.outcome.Status != StatusNotRun:
		executor.stats.Mismatched++
		executor.answer(call, Outcome{Key: row.text, Status: StatusUnknown, Reason: carobthread.ReasonPayloadMismatch})
	case row.running() && len(row.waiters) < maxWaiters:
		executor.stats.Joined++
		row.waiters = append(row.waiters, call)
	default:
		executor.stats.Repeated++
		executor.answer(call, row.outcome)
	}
}

// refuseUnused answers for an own key that is not in the table and can no longer run.
func (executor *Executor) refuseUnused(call CallID, key Key) bool {
	outcome := Outcome{Key: key.String(), Status: StatusNotRun}
	switch {
	case key.Expiry <= executor.highest && key.Sequence <= executor.table.forgotten:
		outcome.Status = StatusUnknown
		outcome.Reason = carobthread.ReasonKeyExpired
	case key.Expiry <= executor.highest:
		outcome.Reason = carobthread.ReasonKeyExpired
	case key.Sequence <= executor.table.floor:
		outcome.Reason = carobthread.ReasonKeyTableFull
		outcome.RetryAfterMicros = retryAfter(outcome.Reason)
	default:
		return false
	}
	executor.answer(call, outcome)
	return true
}

// start records the key as used and then asks for the first attempt; a refusal revokes the key.
func (executor *Executor) start(call *ExecuteCalled, key Key, digest [32]byte) {
	row := &keyRow{key: key, text: key.String(), digest: digest, bound: true, waiters: []CallID{call.Call}}
	reason := executor.admissionFault(call, row)
	if reason != "" {
		executor.revoke(row, reason)
		return
	}
	charge := rowBytes + len(call.Payload) + row.service.maxResult()
	row.outcome = Outcome{Key: row.text, Status: StatusInProgress}
	if !executor.table.insert(row, charge) {
		executor.settle(row, Outcome{Status: StatusNotRun, Reason: carobthread.ReasonKeyTableFull})
		return
	}
	row.payload = call.Payload
	executor.running = append(executor.running, row)
	executor.send(row)
}

func (executor *Executor) admissionFault(call *ExecuteCalled, row *keyRow) carobthread.Reason {
	if executor.stopping || executor.superseded {
		return carobthread.ReasonStopping
	}
	if fault := executor.serviceFault(call.Service); fault != "" {
		return fault
	}
	row.service = executor.services[call.Service]
	if limit := row.service.config.MaxRequestSize; limit > 0 && len(call.Payload) > limit {
		return carobthread.ReasonTooLarge
	}
	row.deadline = executor.defaultDeadline(call.Service)
	if call.Deadline != 0 {
		row.deadline = min(row.deadline, call.Deadline)
	}
	if row.deadline <= executor.now {
		return carobthread.ReasonDeadlinePassed
	}
	_, fault := executor.choose(row)
	return fault
}

func (executor *Executor) defaultDeadline(service string) carobthread.Instant {
	if row := executor.services[service]; row != nil && row.config.HardDeadline > 0 {
		return executor.now.Add(row.config.HardDeadline)
	}
	return executor.now.Add(FallbackDeadline)
}

// FallbackDeadline bounds calls whose service sets no deadline, so that a lost answer does not wait forever.
const FallbackDeadline = 30 * time.Second

// revoke settles an unused key as not run for good; a full table revokes it by its floor.
func (executor *Executor) revoke(row *keyRow, reason carobthread.Reason) {
	executor.stats.Revoked++
	row.outcome.Status = StatusNotRun
	executor.table.insert(row, rowBytes)
	executor.settle(row, Outcome{Status: StatusNotRun, Reason: reason})
}

func (executor *Executor) ask(call *OutcomeCalled) {
	key, ok := executor.resolve(call.Call, call.Key)
	if !ok {
		return
	}
	if !executor.owns(key) {
		deadline := call.Deadline
		if deadline == 0 {
			deadline = executor.now.Add(FallbackDeadline)
		}
		executor.forward(call.Call, key, call.Forwarded, deadline, &ForwardCall{Outcome: call})
		return
	}
	if row := executor.table.rows[key.Sequence]; row != nil {
		executor.answer(call.Call, row.outcome)
		return
	}
	if executor.refuseUnused(call.Call, key) {
		return
	}
	row := &keyRow{key: key, text: key.String(), waiters: []CallID{call.Call}}
	executor.revoke(row, carobthread.ReasonKeyRevoked)
}

func (executor *Executor) abandon(call CallID) {
	for _, row := range executor.running {
		row.waiters = slices.DeleteFunc(row.waiters, func(waiter CallID) bool { return waiter == call })
	}
	executor.forwards = slices.DeleteFunc(executor.forwards, func(row *forwardRow) bool { return row.call == call })
}

func (executor *Executor) answer(call CallID, outcome Outcome) {
	executor.actions = append(executor.actions, Action{Answer: &AnswerCall{Call: call, Outcome: outcome}})
}

func (executor *Executor) tick() {
	for _, row := range slices.Clone(executor.running) {
		if executor.now < row.deadline && executor.highest < row.key.Expiry {
			continue
		}
		if row.attempt != nil && row.attempt.permitted {
			executor.settle(row, Outcome{Status: StatusUnknown, Reason: carobthread.ReasonTimeout})
		} else {
			executor.settle(row, Outcome{Status: StatusNotRun, Reason: carobthread.ReasonDeadlinePassed})
		}
	}
	executor.expireForwards()
	for _, row := range executor.table.expire(executor.highest) {
		executor.stats.Expired++
		if row.attempt != nil && row.attempt.ended {
			delete(executor.attempts, row.attempt.id)
		}
	}
}

func retryAfter(reason carobthread.Reason) int64 {
	switch reason {
	case carobthread.ReasonNoSlot, carobthread.ReasonUpstreamShed, carobthread.ReasonNotReady, carobthread.ReasonNoReplica, carobthread.ReasonKeyRevoked:
		return retryAfterSlot.Microseconds()
	case carobthread.ReasonKeyTableFull:
		return retryAfterTable.Microseconds()
	case carobthread.ReasonStopping:
		return retryAfterStop.Microseconds()
	default:
		return 0
	}
}
