package parser

import (
	"math"
	"slices"
	"strings"

	"carobthread"
)

// A ticket file opens with [ticket], whose key objects lists every object of
// the ticket; each listed object has one section and each section is listed.
// Whether references hold depends on the state that the ticket meets, so that
// only TicketIn, which is told what exists, checks them.

// MaxObjects bounds the objects of one ticket; each published object repeats the list, which would grow with the square.
const MaxObjects = 512

const (
	ticketSection = "ticket"
	maxNumber     = math.MaxInt64
)

// Ticket reads a ticket file without checking references to objects of other tickets; objects are ordered by id.
func Ticket(file string, content []byte) (carobthread.Ticket, carobthread.Findings) {
	return TicketIn(file, content, func(carobthread.ObjectID) bool { return true })
}

// TicketIn reads a ticket file and reports references that neither the ticket nor the known objects satisfy.
func TicketIn(file string, content []byte, known func(id carobthread.ObjectID) bool) (carobthread.Ticket, carobthread.Findings) {
	doc := scan(file, content)
	ticket := doc.ticket(known)
	return ticket, ordered(doc.findings)
}

func (doc *document) ticket(known func(carobthread.ObjectID) bool) carobthread.Ticket {
	ticket := carobthread.Ticket{}
	doc.demand(ticketSection)
	head := doc.section(ticketSection)
	if head == nil {
		return ticket
	}
	var listed []carobthread.ObjectID
	doc.read(
		head,
		required("number", integer(&ticket.Number, 1, maxNumber)),
		required("objects", objectIDs(&listed)),
	)
	places := doc.objects(&ticket)
	doc.checkListed(head, listed, places)
	doc.checkReferences(&ticket, func(id carobthread.ObjectID) bool {
		return places[id] != nil || slices.Contains(listed, id) || known(id)
	})
	doc.checkPublished(&ticket)
	return ticket
}

// objects reads every section but the head and returns them by object id.
func (doc *document) objects(ticket *carobthread.Ticket) map[carobthread.ObjectID]*section {
	places := map[carobthread.ObjectID]*section{}
	for _, current := range doc.sections {
		if current.name == ticketSection {
			continue
		}
		object, found := doc.object(current, ticket.Number)
		if found {
			places[object.ID] = current
			ticket.Objects = append(ticket.Objects, object)
		}
	}
	slices.SortFunc(ticket.Objects, func(left, right carobthread.Object) int {
		return strings.Compare(string(left.ID), string(right.ID))
	})
	return places
}

func (doc *document) checkListed(head *section, listed []carobthread.ObjectID, places map[carobthread.ObjectID]*section) {
	if listed == nil {
		return
	}
	at := head.entry("objects").valueAt
	for _, id := range listed {
		if places[id] == nil {
			doc.report(at, "object %s is listed but has no section", id)
		}
	}
	for id, current := range places {
		if !slices.Contains(listed, id) {
			doc.report(current.at, "section [%s] is not listed in objects", current.name)
		}
	}
}

// checkReferences reports dangling references at the key that holds them.
func (doc *document) checkReferences(ticket *carobthread.Ticket, exists func(carobthread.ObjectID) bool) {
	for i := range ticket.Objects {
		object := &ticket.Objects[i]
		current := doc.section(strings.ReplaceAll(string(object.ID), "/", " "))
		for _, id := range References(object) {
			if !exists(id) {
				doc.report(current.reference(object, id), "%s refers to %s, which does not exist", object.ID, id)
			}
		}
	}
}

// checkPublished reports a ticket whose sections with all defaults spelled out, or one of whose values, exceed the limit.
func (doc *document) checkPublished(ticket *carobthread.Ticket) {
	if len(doc.findings) > 0 {
		return
	}
	total := 0
	for i := range ticket.Objects {
		total += SectionSize(&ticket.Objects[i])
	}
	if total > MaxSize {
		doc.report(place{1, 1}, "objects have %d bytes with all keys spelled out, the limit is %d", total, MaxSize)
	}
	for _, value := range Publish(ticket) {
		if len(value.Content) > MaxSize {
			doc.report(place{1, 1}, "value of %s has %d bytes, the limit is %d", value.Key, len(value.Content), MaxSize)
		}
	}
}

// reference returns the place of the key that holds a reference, else of the section's header.
func (current *section) reference(object *carobthread.Object, id carobthread.ObjectID) place {
	if object.Service != nil {
		if held := current.entry("layout"); held != nil {
			return held.valueAt
		}
	}
	if object.Layout != nil {
		for _, held := range current.entries {
			for item := range strings.SplitSeq(held.value.Value(), ",") {
				if SearcherID(strings.TrimSpace(item)) == id {
					return held.valueAt
				}
			}
		}
	}
	return current.at
}
