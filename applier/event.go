package applier

import "carobthread"

// Event is one input of the applier; exactly one pointer is set.
type Event struct {
	At        carobthread.Instant `json:"at"`
	Arrived   *Arrived            `json:"arrived,omitempty"`
	Confirmed *Confirmed          `json:"confirmed,omitempty"`
	Differed  *Differed           `json:"differed,omitempty"`
	Tick      *carobthread.Ticked `json:"tick,omitempty"`
}

// Arrived is a batch of objects from the platform or a peer, encoded by parser.Publish or Applier.Objects.
type Arrived struct {
	Source string   `json:"source"`
	Values [][]byte `json:"values"`
}

// Confirmed reports that a source had the same state, which was current at the given instant.
type Confirmed struct {
	Source  string              `json:"source"`
	Current carobthread.Instant `json:"current"`
}

// Differed reports objects whose content at a source differs under the same ticket number.
type Differed struct {
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
