package explorer

import (
	"fmt"

	"carobthread/executor"
)

// Kinds of calls that a caller makes.
const (
	callReserve = "reserve"
	callExecute = "execute"
	callOutcome = "outcome"
	// callAltered repeats Execute with the same key and a different payload.
	callAltered = "altered"
)

// maxUnknownAnswers is the number of unknown answers after which a caller abandons its request.
const maxUnknownAnswers = 4

// callerState is a simulated caller. It reserves a new key for the same request only after the answer "not run".
type callerState struct {
	number         int
	request        int
	key            string
	unknownAnswers int
	past           []string // all keys of the caller, for later outcome queries
	checker        *checker
}

// call sends a call to a host. For an outcome query, past selects one of all keys of the caller, counted from 1, and 0
// selects the current key.
func (simulation *simulation) call(index, host int, call string, past int) {
	caller := simulation.callers[index]
	key := caller.key
	if call == callOutcome && past > 0 && past <= len(caller.past) {
		key = caller.past[past-1]
	}
	if (key == "") != (call == callReserve) {
		return
	}
	payload := fmt.Appendf(nil, "caller %d request %d", caller.number, caller.request)
	if call == callAltered {
		payload = append(payload, '!')
	}
	simulation.counts.Calls++
	simulation.post(&message{kind: kindCall, host: host, caller: index, key: key, call: call, payload: payload})
}

// take handles an answer. Answers for keys that the caller no longer uses are ignored.
func (caller *callerState) take(msg *message) {
	if msg.reserve != nil {
		if caller.key == "" && msg.reserve.Key != "" {
			caller.key = msg.reserve.Key
			caller.past = append(caller.past, caller.key)
			caller.checker.recordReservation(caller.key, request{caller: caller.number, number: caller.request})
		}
		return
	}
	if msg.key != caller.key || caller.key == "" {
		return
	}
	switch msg.outcome.Status {
	case executor.StatusDone:
		caller.nextRequest()
	case executor.StatusNotRun:
		caller.key = ""
	case executor.StatusUnknown:
		caller.unknownAnswers++
		if caller.unknownAnswers >= maxUnknownAnswers {
			caller.nextRequest()
		}
	}
}

func (caller *callerState) nextRequest() {
	caller.key = ""
	caller.unknownAnswers = 0
	caller.request++
}
