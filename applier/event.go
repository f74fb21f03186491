package applier

import "carobthread"

// Event is one input of the applier; exactly one pointer is set.
type Event struct {
	At        carobthread.Instant      `json:"at"`
	Arrived   *ValuesArrived           `json:"arrived,omitempty"`
	Confirmed *StateConfirmed          `json:"confirmed,omitempty"`
	Differed  *ContentDiffered         `json:"differed,omitempty"`
	Tick      *carobthread.TickArrived `json:"tick,omitempty"`
}

// ValuesArrived is a batch of objects from the platform or a peer, encoded by parser.EncodeTicket or Applier.Objects.
type ValuesArrived struct {
	Source string   `json:"source"`
	Values [][]byte `json:"values"`
}

// StateConfirmed reports that a source had the same state, which was current at the given instant.
type StateConfirmed struct {
	Source  string              `json:"source"`
	Current carobthread.Instant `json:"current"`
}

// ContentDiffered reports objects whose content at a source differs under the same ticket number.
type ContentDiffered struct {
	Source  string  `json:"source"`
	Entries []Entry `json:"entries"`
}

// Action is one output of the applier; exactly one pointer is set.
type Action struct {
	Changed  *Changed  `json:"changed,omitempty"`
	Refused  *Refusal  `json:"refused,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Changed reports that the active configuration has changed; both lists are sorted and without duplicates.
type Changed struct {
	Tickets []uint64               `json:"tickets"`
	Objects []carobthread.ObjectID `json:"objects"`
}

// Refusal reports a value or a ticket that is not applied; Ticket is 0 if the number cannot be decoded.
type Refusal struct {
	At       carobthread.Instant  `json:"at"`
	Source   string               `json:"source"`
	Ticket   uint64               `json:"ticket"`
	Findings carobthread.Findings `json:"findings"`
}

// Conflict reports an object with two different contents under one ticket number; the content received first is kept.
type Conflict struct {
	At     carobthread.Instant  `json:"at"`
	Source string               `json:"source"`
	ID     carobthread.ObjectID `json:"id"`
	Ticket uint64               `json:"ticket"`
}
