package explorer

import (
	"fmt"

	"carobthread/executor"
)

// The calls of a caller.
const (
	callReserve = "reserve"
	callExecute = "execute"
	callOutcome = "outcome"
	// callAltered repeats Execute with another payload under the same key.
	callAltered = "altered"
)

// patience is how many unknown answers a caller takes before it gives the request up for good.
const patience = 4

// callerState is one caller; it takes a new key for the same request only after "not run".
type callerState struct {
	number  int
	request int
	key     string
	unknown int
	past    []string // all keys of the caller, to ask about later
	checker *checker
}

// call sends one call; an outcome query may name the past key of that number, counted from 1.
func (world *world) call(index, host int, call string, past int) {
	caller := world.callers[index]
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
	world.counts.Calls++
	world.post(&message{kind: kindCall, host: host, caller: index, key: key, call: call, payload: payload})
}

// take reads an answer; answers about keys that the caller no longer uses are ignored.
func (caller *callerState) take(sent *message) {
	if sent.reserve != nil {
		if caller.key == "" && sent.reserve.Key != "" {
			caller.key = sent.reserve.Key
			caller.past = append(caller.past, caller.key)
			caller.checker.reserved(caller.key, request{caller: caller.number, number: caller.request})
		}
		return
	}
	if sent.key != caller.key || caller.key == "" {
		return
	}
	switch sent.outcome.Status {
	case executor.StatusDone:
		caller.next()
	case executor.StatusNotRun:
		caller.key = ""
	case executor.StatusUnknown:
		caller.unknown++
		if caller.unknown >= patience {
			caller.next()
		}
	}
}

func (caller *callerState) next() {
	caller.key = ""
	caller.unknown = 0
	caller.request++
}
