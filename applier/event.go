package applier

import "carobthread"

// Event is one input of the applier; exactly one of the pointers is set.
type Event struct {
	At        carobthread.Instant `json:"at"`
	Arrived   *Arrived            `json:"arrived,omitempty"`
	Confirmed *Confirmed          `json:"confirmed,omitempty"`
	Differed  *Differed           `json:"differed,omitempty"`
	Tick      *carobthread.Ticked `json:"tick,omitempty"`
}

// Arrived is a batch of encoded objects from the platform or a peer, as parser.Publish and Applier.Objects encode them.
type Arrived struct {
	Source string   `json:"source"`
	Values [][]byte `json:"values"`
}

// Confirmed says that a source held the same state, which was current at the given instant.
type Confirmed struct {
	Source  string              `json:"source"`
	Current carobthread.Instant `json:"current"`
}

// Differed says that a source holds other content under the same ticket numbers.
type Differed struct {
	Source  string  `json:"source"`
	Entries []Entry `json:"entries"`
}

// Action is one output of the applier; exactly one of the pointers is set.
type Action struct {
	Changed  *Changed  `json:"changed,omitempty"`
	Refused  *Refusal  `json:"refused,omitempty"`
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Changed says that the state in force has changed; both lists are ordered and each object is named once.
type Changed struct {
	Tickets []uint64               `json:"tickets"`
	Objects []carobthread.ObjectID `json:"objects"`
}

// Refusal is a value or a ticket that does not take effect; Ticket is 0 when it cannot be read.
type Refusal struct {
	At       carobthread.Instant  `json:"at"`
	Source   string               `json:"source"`
	Ticket   uint64               `json:"ticket"`
	Findings carobthread.Findings `json:"findings"`
}

// Conflict is a value whose number is known with other content; the known content stays.
type Conflict struct {
	At     carobthread.Instant  `json:"at"`
	Source string               `json:"source"`
	ID     carobthread.ObjectID `json:"id"`
	Ticket uint64               `json:"ticket"`
}
