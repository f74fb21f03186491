package applier

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobthread"
	"carobthread/parser"
)

// Limits and delays of the applier.
const (
	// DefaultStagedBytes limits the memory of staged tickets; a snapshot of 32,000 objects that arrives in pieces is within it.
	DefaultStagedBytes = 32 << 20
	// danglingReportDelay is how long a complete ticket may have unresolved references before it is reported.
	danglingReportDelay = 2 * time.Second
	// incompleteReportDelay is how long a ticket may stay incomplete before it is reported; it exceeds the 4 s of propagation.
	incompleteReportDelay = 10 * time.Second
	// maxReports limits the refusals and, separately, the conflicts that the status keeps.
	maxReports = 64
	// objectOverhead is the memory of a staged object in bytes, in addition to its encoded value.
	objectOverhead = 512
)

// Options limit an applier; zero values take the defaults.
type Options struct {
	StagedBytes int `json:"staged-bytes"`
}

// storedObject is one version of an object, active or staged.
type storedObject struct {
	object carobthread.Object
	// list holds the ids of the ticket's objects; all stored objects of a ticket share it.
	list []carobthread.ObjectID
	// hash covers the id, number, list and content.
	hash      uint64
	size      int
	source    string
	arrivedAt carobthread.Instant
	// references and sectionSize, in bytes, are cached for the checks of staged tickets; activation drops references.
	references  []carobthread.ObjectID
	sectionSize int
}

// Applier holds the active configuration and the staged tickets; it is not safe for concurrent use.
type Applier struct {
	options     Options
	active      map[carobthread.ObjectID]*storedObject
	lists       *listTable
	staged      map[uint64]*stagedTicket
	stagedBytes int
	// stagedOrder lists the staged tickets by ascending number.
	stagedOrder []*stagedTicket
	// stagedBy maps each object to the tickets that have staged it.
	stagedBy     map[carobthread.ObjectID][]*stagedTicket
	digest       digestTable
	highest      uint64
	cachedConfig *carobthread.Config
	refusals     []Refusal
	conflicts    []Conflict
	confirmed    StateConfirmed
	actions      []Action
}

// New returns an applier without objects.
func New(options Options) *Applier {
	if options.StagedBytes == 0 {
		options.StagedBytes = DefaultStagedBytes
	}
	return &Applier{
		options:  options,
		active:   map[carobthread.ObjectID]*storedObject{},
		lists:    newListTable(),
		staged:   map[uint64]*stagedTicket{},
		stagedBy: map[carobthread.ObjectID][]*stagedTicket{},
	}
}

// Step processes one event and returns the resulting actions in order.
func (applier *Applier) Step(event Event) []Action {
	applier.actions = nil
	switch {
	case event.Arrived != nil:
		applier.acceptBatch(event.At, event.Arrived)
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

func (applier *Applier) acceptBatch(now carobthread.Instant, batch *ValuesArrived) {
	accepted := false
	for _, content := range batch.Values {
		if applier.accept(now, batch.Source, content) {
			accepted = true
		}
	}
	if accepted {
		applier.applyStaged()
		applier.evict(now)
	}
}

// accept decodes and stages one value; it reports whether the value is new.
func (applier *Applier) accept(now carobthread.Instant, source string, content []byte) bool {
	published, findings := parser.DecodeObject(source, content)
	if len(findings) > 0 {
		applier.refuse(now, source, published.Object.Ticket, findings)
		return false
	}
	canonical := parser.EncodeObject(&published)
	arrived := &storedObject{
		object:    published.Object,
		list:      published.Objects,
		hash:      xxhash.Sum64(canonical),
		size:      len(canonical) + objectOverhead,
		source:    source,
		arrivedAt: now,

		references:  parser.References(&published.Object),
		sectionSize: parser.SectionSize(&published.Object),
	}
	id, number := arrived.object.ID, arrived.object.Ticket
	known := applier.known(id, number)
	switch {
	case known != nil && known.hash == arrived.hash:
		return false
	case known != nil || !applier.lists.matches(number, arrived.list):
		applier.conflict(now, source, id, number)
		return false
	case applier.activeNumber(id) > number:
		return false
	default:
		applier.stage(now, arrived)
		return true
	}
}

// known returns the active or staged object with exactly this ticket number, or nil.
func (applier *Applier) known(id carobthread.ObjectID, number uint64) *storedObject {
	if current := applier.active[id]; current != nil && current.object.Ticket == number {
		return current
	}
	if ticket := applier.staged[number]; ticket != nil {
		return ticket.objects[id]
	}
	return nil
}

// activeNumber returns the ticket number of an active object, or 0.
func (applier *Applier) activeNumber(id carobthread.ObjectID) uint64 {
	if current := applier.active[id]; current != nil {
		return current.object.Ticket
	}
	return 0
}

// activate makes a stored object the active version.
func (applier *Applier) activate(arrived *storedObject) {
	id := arrived.object.ID
	if current := applier.active[id]; current != nil {
		applier.digest.remove(id, current.hash)
		applier.lists.release(current.object.Ticket)
	}
	applier.lists.retain(arrived.object.Ticket, arrived.list)
	arrived.references = nil
	applier.active[id] = arrived
	applier.digest.add(id, arrived.hash)
	applier.highest = max(applier.highest, arrived.object.Ticket)
	applier.cachedConfig = nil
}

func (applier *Applier) refuse(now carobthread.Instant, source string, ticket uint64, findings carobthread.Findings) {
	refusal := Refusal{At: now, Source: source, Ticket: ticket, Findings: findings}
	applier.actions = append(applier.actions, Action{Refused: &refusal})
	applier.refusals = appendBounded(applier.refusals, refusal)
}

// conflict reports a conflict unless the status already lists it.
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
