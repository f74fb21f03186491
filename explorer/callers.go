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
	keys           []string // all keys of the caller, for later outcome queries
	checker        *checker
}

// call sends a call to a host. For an outcome query, keyNumber selects one of all keys of the caller, counted from 1, and
// 0 selects the current key.
func (simulation *simulation) call(index, host int, call string, keyNumber int) {
	caller := simulation.callers[index]
	key := caller.key
	if call == callOutcome && keyNumber > 0 && keyNumber <= len(caller.keys) {
		key = caller.keys[keyNumber-1]
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

// handleAnswer handles the answer to a call. Answers for keys that the caller no longer uses are ignored.
func (caller *callerState) handleAnswer(msg *message) {
	if msg.reserve != nil {
		if caller.key == "" && msg.reserve.Key != "" {
			caller.key = msg.reserve.Key
			caller.keys = append(caller.keys, caller.key)
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
