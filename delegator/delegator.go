package delegator

// A delegated query is in one of these states:
//
//	sent      the coordinator has not accepted yet; this host may still handle the query itself
//	accepted  the coordinator has started; it uses one searcher per shard, so this host may still handle the query itself
//	granted   the coordinator may use second searchers; this host never handles the query itself
//	aborting  this host has given up the coordinator and waits briefly for the proof that the message was never written
//
// The query ends with exactly one of the actions Handle, Answer and Fail, unless its caller leaves.

import (
	"slices"
	"time"

	"carobthread"
)

const (
	// maxBodySize bounds the body of a delegated query, in bytes.
	maxBodySize = 16 << 10
	// maxCoordinatorsTried bounds the coordinators that one query is sent to, each after a refusal by the previous one.
	maxCoordinatorsTried = 3
	// acceptSlack is what the acceptance may take beyond the usual time.
	acceptSlack = 5 * time.Millisecond
	// initialAcceptTime is the usual time until the acceptance while none has been measured: opening a link takes two round
	// trips more than a message.
	initialAcceptTime = 45 * time.Millisecond
	// lateTolerance is how late a timer of this host may be before a missing acceptance counts as this host's own delay; it is
	// then waited for once more.
	lateTolerance = 5 * time.Millisecond
	// abortGrace is how long the end of an aborted call is waited for.
	abortGrace = 2 * time.Millisecond
	// returnMargin is the time reserved at the end of a query for the way of the answer, beyond the measured time.
	returnMargin = 3 * time.Millisecond
	// cutOffAge is how long this host's data centre counts as cut off after one of its coordinators has refused a query for
	// that, unless a host elsewhere answers earlier. It is several times the interval between exchanges with other hosts.
	cutOffAge = 10 * time.Second
	// cutOffRetryAfter is the retry delay of a caller refused for that; the retry may go to a host elsewhere.
	cutOffRetryAfter = 50 * time.Millisecond
	// recheckInterval is the time between two checks of whether a query that may not be repeated yet may be.
	recheckInterval = 10 * time.Millisecond
	// hedgeDelayDivisor divides the soft deadline; the result is the time of the grant if the coordinator states none.
	hedgeDelayDivisor = 3
)

type queryState uint8

const (
	stateSent queryState = iota
	stateAccepted
	stateGranted
	stateAborting
)

// query is a delegated query in progress.
type query struct {
	id           uint64
	service      *service
	request      string
	arrived      carobthread.Instant
	softDeadline carobthread.Instant
	deadline     carobthread.Instant
	state        queryState
	coordinator  *coordinator
	// tried holds the coordinators that the query was sent to.
	tried  []string
	sentAt carobthread.Instant
	// due is the time of the next change of state without an event.
	due carobthread.Instant
	// abortReason is why the query was aborted.
	abortReason carobthread.Reason
}

// Options are the dependencies of a Delegator.
type Options struct {
	// MayRepeat reports whether the retry budget permits this host to send a query of the service to the shards after its
	// coordinator may have; if nil, it always does.
	MayRepeat func(service string) bool
}

// Delegator is the state machine of one host; it is not safe for concurrent use.
type Delegator struct {
	options      Options
	now          carobthread.Instant
	self         carobthread.Host
	services     map[string]*service
	coordinators map[string]*coordinator
	// centres holds the coordinators of this host by data centre, each in the order of their names.
	centres  map[string][]*coordinator
	queries  map[uint64]*query
	stopping bool
	answerBy carobthread.Instant
	// cutOffUntil is until when this host's data centre counts as cut off.
	cutOffUntil  carobthread.Instant
	otherCentres []string
	actions      []Action
	stats        Stats
}

// New returns a Delegator that delegates nothing before it has a configuration and a view with coordinators.
func New(options Options) *Delegator {
	if options.MayRepeat == nil {
		options.MayRepeat = func(string) bool { return true }
	}
	return &Delegator{
		options:  options,
		services: map[string]*service{}, coordinators: map[string]*coordinator{}, centres: map[string][]*coordinator{}, queries: map[uint64]*query{},
		stats: Stats{Refused: map[carobthread.Reason]uint64{}, Fallbacks: map[carobthread.Reason]uint64{}},
	}
}

// Step processes one event and returns the resulting actions in order.
func (delegator *Delegator) Step(event Event) []Action {
	delegator.actions = nil
	delegator.now = max(delegator.now, event.At)
	switch {
	case event.Config != nil:
		delegator.configure(event.Config)
	case event.View != nil:
		delegator.applyView(event.View)
	case event.Query != nil:
		delegator.handleQuery(event.Query)
	case event.Accepted != nil:
		delegator.accept(event.Accepted)
	case event.Ended != nil:
		delegator.end(event.Ended)
	case event.Gone != nil:
		delegator.abandon(event.Gone.ID)
	case event.Reached != nil:
		delegator.cutOffUntil = 0
	case event.Stop != nil:
		delegator.stop(event.Stop.AnswerBy)
	}
	delegator.runTimers()
	return delegator.actions
}

// CutOff reports whether a coordinator of this host's data centre has lately found that the others can't be reached. A host
// that delegates its queries sends too few attempts to find that itself.
func (delegator *Delegator) CutOff(now carobthread.Instant) bool { return now < delegator.cutOffUntil }

// OtherCentres returns the data centres of the other hosts in the view, without this host's own.
func (delegator *Delegator) OtherCentres() []string { return delegator.otherCentres }

// Active reports whether any live host may coordinate queries of this host.
func (delegator *Delegator) Active() bool { return len(delegator.coordinators) > 0 }

// NextDue returns the time by which Step must be called even without an event, or 0 if there is none.
func (delegator *Delegator) NextDue() carobthread.Instant {
	due := carobthread.Instant(0)
	for _, query := range delegator.queries {
		if due == 0 || query.due < due {
			due = query.due
		}
	}
	return due
}

func (delegator *Delegator) emit(action Action) {
	delegator.actions = append(delegator.actions, action)
}

func (delegator *Delegator) handleQuery(arrived *QueryArrived) {
	service := delegator.services[arrived.Service]
	if service == nil || !service.delegable || delegator.stopping || arrived.AtMostOnce || arrived.Size > maxBodySize || arrived.Deadline <= delegator.now {
		delegator.emit(Action{Handle: &Handle{ID: arrived.ID}})
		return
	}
	row := &query{
		id: arrived.ID, service: service, request: arrived.Request, arrived: delegator.now,
		softDeadline: min(arrived.Deadline, delegator.now.Add(service.softDeadline)), deadline: arrived.Deadline,
	}
	if !delegator.send(row) {
		delegator.stats.Undelegated++
		delegator.emit(Action{Handle: &Handle{ID: arrived.ID}})
	}
}

// send sends the query to the next coordinator; it returns false if there is none.
func (delegator *Delegator) send(row *query) bool {
	if len(row.tried) >= maxCoordinatorsTried {
		return false
	}
	target, reason := delegator.choose(row)
	if target == nil {
		return false
	}
	way := target.acceptMean + returnMargin
	left := row.deadline.Sub(delegator.now) - way
	if left <= target.acceptTimeout() {
		return false
	}
	row.coordinator, row.state, row.sentAt = target, stateSent, delegator.now
	row.tried = append(row.tried, target.host.Name)
	row.due = delegator.now.Add(min(target.acceptTimeout(), row.service.hedgeDelay()))
	target.outstanding++
	delegator.queries[row.id] = row
	delegator.stats.Delegated++
	delegator.emit(Action{Delegate: &Delegate{
		ID: row.id, Coordinator: target.host.Name, Reason: reason, Definition: row.service.definition, TimeLeft: left,
		TargetLeft: max(0, row.softDeadline.Sub(delegator.now)-target.acceptMean),
	}})
	return true
}

func (delegator *Delegator) accept(accepted *Accepted) {
	row := delegator.queries[accepted.ID]
	if row == nil || row.state != stateSent && row.state != stateAccepted {
		return
	}
	if row.state == stateSent {
		row.coordinator.recordAccept(delegator.now.Sub(row.sentAt))
		row.state = stateAccepted
	}
	delay := accepted.HedgeDelay
	if delay <= 0 {
		delay = row.service.hedgeDelay()
	}
	// The message arrives after half a round trip, as the query did, so this is when the coordinator's first attempts become
	// late.
	row.due = min(row.deadline, max(delegator.now, row.sentAt.Add(delay)))
}

func (delegator *Delegator) end(ended *Ended) {
	row := delegator.queries[ended.ID]
	if row == nil {
		return
	}
	switch {
	case ended.State == carobthread.Ran:
		if row.state == stateSent {
			row.coordinator.recordAccept(delegator.now.Sub(row.sentAt))
		}
		delegator.remove(row)
		delegator.stats.Answered++
		delegator.emit(Action{Answer: &Answer{ID: row.id}})
	case ended.State == carobthread.NotRun:
		delegator.refused(row, ended)
	case row.state == stateGranted:
		row.coordinator.avoidSilent(delegator.now)
		delegator.fail(row, ended.Reason)
	case row.state == stateAborting:
		delegator.takeBack(row, row.abortReason)
	default:
		row.coordinator.avoidSilent(delegator.now)
		delegator.takeBack(row, ended.Reason)
	}
}

// refused sends a query that has not run and will not run at its coordinator to the next one, or handles it on this host.
func (delegator *Delegator) refused(row *query, ended *Ended) {
	aborted := row.state == stateAborting
	delegator.remove(row)
	reason := ended.Reason
	if aborted {
		reason = row.abortReason
	}
	delegator.stats.Refused[reason]++
	if !aborted {
		row.coordinator.avoidRefusing(delegator.now, reason, ended.RetryAfter)
		cutOff := reason == carobthread.ReasonCutOff && row.coordinator.host.DataCentre == delegator.self.DataCentre
		if cutOff {
			delegator.cutOffUntil = delegator.now.Add(cutOffAge)
		}
		if reason != carobthread.ReasonLayoutMissing && delegator.send(row) {
			return
		}
		if cutOff { // This host reaches no more searchers than the coordinators beside it.
			delegator.emit(Action{Refuse: &Refuse{ID: row.id, Reason: reason, RetryAfter: cutOffRetryAfter}})
			return
		}
	}
	delegator.stats.Fallbacks[reason]++
	delegator.emit(Action{Handle: &Handle{ID: row.id, SoftDeadline: row.softDeadline, Reason: reason}})
}

// takeBack handles a query on this host that its coordinator may have sent to one searcher of each shard.
func (delegator *Delegator) takeBack(row *query, reason carobthread.Reason) {
	delegator.remove(row)
	delegator.stats.Fallbacks[reason]++
	delegator.emit(Action{Cancel: &Message{ID: row.id, Coordinator: row.coordinator.host.Name}})
	delegator.emit(Action{Handle: &Handle{
		ID: row.id, MaxSearchers: row.service.maxSearchers - 1, SoftDeadline: row.softDeadline, Repeated: true, Reason: reason,
	}})
}

func (delegator *Delegator) fail(row *query, reason carobthread.Reason) {
	delegator.remove(row)
	delegator.stats.Failed++
	delegator.emit(Action{Cancel: &Message{ID: row.id, Coordinator: row.coordinator.host.Name}})
	delegator.emit(Action{Fail: &Fail{ID: row.id, Reason: reason}})
}

func (delegator *Delegator) abandon(id uint64) {
	row := delegator.queries[id]
	if row == nil {
		return
	}
	delegator.remove(row)
	delegator.stats.CallersGone++
	delegator.emit(Action{Cancel: &Message{ID: id, Coordinator: row.coordinator.host.Name}})
}

func (delegator *Delegator) remove(row *query) {
	row.coordinator.outstanding--
	delete(delegator.queries, row.id)
}

// stop ends delegation, and every query in progress by the given time.
func (delegator *Delegator) stop(answerBy carobthread.Instant) {
	delegator.stopping, delegator.answerBy = true, answerBy
	for _, row := range delegator.queries {
		row.deadline = min(row.deadline, answerBy)
		row.due = min(row.due, row.deadline)
	}
}

// runTimers changes the state of the queries that are due, in the order of their IDs.
func (delegator *Delegator) runTimers() {
	var due []*query
	for _, row := range delegator.queries {
		if row.due <= delegator.now {
			due = append(due, row)
		}
	}
	slices.SortFunc(due, func(left, right *query) int { return int(int64(left.id - right.id)) })
	for _, row := range due {
		delegator.advance(row)
	}
}

func (delegator *Delegator) advance(row *query) {
	switch {
	case delegator.now >= row.deadline:
		reason := carobthread.ReasonTimeout
		if delegator.stopping && row.deadline == delegator.answerBy {
			reason = carobthread.ReasonStopping
		}
		if row.state == stateSent {
			row.coordinator.avoidSilent(delegator.now)
		}
		delegator.fail(row, reason)
	case row.state == stateSent && delegator.now.Sub(row.due) > lateTolerance && row.due < row.sentAt.Add(row.service.hedgeDelay()):
		// This host was late itself, so the acceptance may have arrived and not been processed yet.
		row.due = delegator.now.Add(acceptSlack)
	case row.state == stateSent:
		row.coordinator.avoidSilent(delegator.now)
		if !delegator.options.MayRepeat(row.service.name) {
			// A late acceptance is the only chance of an answer.
			row.due = min(row.deadline, delegator.now.Add(recheckInterval))
			return
		}
		delegator.abort(row)
	case row.state == stateAccepted && row.coordinator.silent(delegator.now) && delegator.options.MayRepeat(row.service.name):
		delegator.abort(row)
	case row.state == stateAccepted:
		row.state = stateGranted
		row.due = row.deadline
		delegator.stats.Granted++
		delegator.emit(Action{Grant: &Message{ID: row.id, Coordinator: row.coordinator.host.Name}})
	case row.state == stateAborting:
		delegator.takeBack(row, row.abortReason)
	}
}

// abort ends the call of a query whose coordinator is silent.
func (delegator *Delegator) abort(row *query) {
	row.state, row.abortReason = stateAborting, carobthread.ReasonTimeout
	row.due = min(row.deadline, delegator.now.Add(abortGrace))
	delegator.emit(Action{Abort: &Abort{ID: row.id}})
}
