package applier

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobthread"
	"carobthread/parser"
)

// Bounds of the applier's tables.
const (
	// DefaultStagedBytes bounds staged tickets; it holds a snapshot of 32,000 objects that arrives in pieces.
	DefaultStagedBytes = 32 << 20
	// danglingAfter is how long a ticket that has arrived may wait for its references before it is reported.
	danglingAfter = 2 * time.Second
	// halfPublishedAfter is how long a ticket may stay incomplete before it is reported; it exceeds the 4 s of propagation.
	halfPublishedAfter = 10 * time.Second
	// maxReports bounds the refusals and the conflicts kept for status data, each.
	maxReports = 64
	// rowOverhead is the memory of a staged object beside its encoded bytes.
	rowOverhead = 512
)

// Options are the bounds of an applier; zero values take the defaults.
type Options struct {
	StagedBytes int `json:"staged-bytes"`
}

// row is one object, in force or staged.
type row struct {
	object carobthread.Object
	// list holds the ids of the ticket's objects and is shared by the rows of a ticket.
	list []carobthread.ObjectID
	// hash covers id, number, list and content.
	hash   uint64
	size   int
	source string
	at     carobthread.Instant
	// needs and section are the references and the section's bytes, which each settling asks for; in force they are dropped.
	needs   []carobthread.ObjectID
	section int
}

// Applier holds the configuration in force and the staged tickets; it is not safe for concurrent use.
type Applier struct {
	options     Options
	held        map[carobthread.ObjectID]*row
	lists       *listTable
	staged      map[uint64]*stagedTicket
	stagedBytes int
	// order holds the staged tickets, lowest number first.
	order []*stagedTicket
	// waiting holds the staged tickets that have arrived with each object.
	waiting   map[carobthread.ObjectID][]*stagedTicket
	digest    digestTable
	highest   uint64
	config    *carobthread.Config
	refusals  []Refusal
	conflicts []Conflict
	confirmed Confirmed
	actions   []Action
}

// New returns an applier without objects.
func New(options Options) *Applier {
	if options.StagedBytes == 0 {
		options.StagedBytes = DefaultStagedBytes
	}
	return &Applier{
		options: options,
		held:    map[carobthread.ObjectID]*row{},
		lists:   newListTable(),
		staged:  map[uint64]*stagedTicket{},
		waiting: map[carobthread.ObjectID][]*stagedTicket{},
	}
}

// Step takes one event and returns the actions it calls for, in order.
func (applier *Applier) Step(event Event) []Action {
	applier.actions = nil
	switch {
	case event.Arrived != nil:
		applier.arrive(event.At, event.Arrived)
	case event.Confirmed != nil:
		if event.Confirmed.Current > applier.confirmed.Current {
			applier.confirmed = *event.Confirmed
		}
	case event.Differed != nil:
		for _, entry := range event.Differed.Entries {
			applier.conflict(event.At, event.Differed.Source, entry.ID, entry.Ticket)
		}
	case event.Tick != nil:
		applier.reportWaiting(event.At)
	}
	return applier.actions
}

func (applier *Applier) arrive(now carobthread.Instant, batch *Arrived) {
	accepted := false
	for _, content := range batch.Values {
		if applier.accept(now, batch.Source, content) {
			accepted = true
		}
	}
	if accepted {
		applier.settle()
		applier.evict(now)
	}
}

// accept stages one value and reports whether it is new.
func (applier *Applier) accept(now carobthread.Instant, source string, content []byte) bool {
	published, findings := parser.DecodeObject(source, content)
	if len(findings) > 0 {
		applier.refuse(now, source, published.Object.Ticket, findings)
		return false
	}
	canonical := parser.EncodeObject(&published)
	arrived := &row{
		object: published.Object,
		list:   published.Objects,
		hash:   xxhash.Sum64(canonical),
		size:   len(canonical) + rowOverhead,
		source: source,
		at:     now,

		needs:   parser.References(&published.Object),
		section: parser.SectionSize(&published.Object),
	}
	id, number := arrived.object.ID, arrived.object.Ticket
	known := applier.known(id, number)
	switch {
	case known != nil && known.hash == arrived.hash:
		return false
	case known != nil || !applier.lists.matches(number, arrived.list):
		applier.conflict(now, source, id, number)
		return false
	case applier.number(id) > number:
		return false
	default:
		applier.stage(now, arrived)
		return true
	}
}

// known returns the row of an object with exactly this number, in force or staged.
func (applier *Applier) known(id carobthread.ObjectID, number uint64) *row {
	if current := applier.held[id]; current != nil && current.object.Ticket == number {
		return current
	}
	if ticket := applier.staged[number]; ticket != nil {
		return ticket.rows[id]
	}
	return nil
}

// number returns the number of an object in force, or 0.
func (applier *Applier) number(id carobthread.ObjectID) uint64 {
	if current := applier.held[id]; current != nil {
		return current.object.Ticket
	}
	return 0
}

// enforce puts one row into force.
func (applier *Applier) enforce(arrived *row) {
	id := arrived.object.ID
	if current := applier.held[id]; current != nil {
		applier.digest.remove(id, current.hash)
		applier.lists.release(current.object.Ticket)
	}
	applier.lists.retain(arrived.object.Ticket, arrived.list)
	arrived.needs = nil
	applier.held[id] = arrived
	applier.digest.add(id, arrived.hash)
	applier.highest = max(applier.highest, arrived.object.Ticket)
	applier.config = nil
}

func (applier *Applier) refuse(now carobthread.Instant, source string, ticket uint64, findings carobthread.Findings) {
	refusal := Refusal{At: now, Source: source, Ticket: ticket, Findings: findings}
	applier.actions = append(applier.actions, Action{Refused: &refusal})
	applier.refusals = appendBounded(applier.refusals, refusal)
}

// conflict reports a conflict; one that status data already hold is not reported again.
func (applier *Applier) conflict(now carobthread.Instant, source string, id carobthread.ObjectID, number uint64) {
	found := Conflict{At: now, Source: source, ID: id, Ticket: number}
	if slices.ContainsFunc(applier.conflicts, func(earlier Conflict) bool {
		return earlier.Source == source && earlier.ID == id && earlier.Ticket == number
	}) {
		return
	}
	applier.actions = append(applier.actions, Action{Conflict: &found})
	applier.conflicts = appendBounded(applier.conflicts, found)
}

func appendBounded[Report any](reports []Report, next Report) []Report {
	if len(reports) == maxReports {
		reports = slices.Delete(reports, 0, 1)
	}
	return append(reports, next)
}
