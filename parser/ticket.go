package parser

import (
	"math"
	"slices"
	"strings"

	"carobthread"
)

// A ticket file has a section [ticket], whose key objects lists every object of
// the ticket; each listed object has one section and each section is listed.
// References may point to objects outside the ticket, so only TicketIn, which is
// given the known objects, checks them.

// MaxObjects bounds the objects of one ticket: each published object repeats the object list, so that the size of a
// published ticket grows with the square of their number.
const MaxObjects = 512

const (
	ticketSection = "ticket"
	maxNumber     = math.MaxInt64
)

// Ticket parses a ticket file without checking references to objects of other tickets; objects are ordered by ID.
func Ticket(file string, content []byte) (carobthread.Ticket, carobthread.Findings) {
	return TicketIn(file, content, func(carobthread.ObjectID) bool { return true })
}

// TicketIn parses a ticket file and reports references to objects that are neither in the ticket nor known.
func TicketIn(file string, content []byte, known func(id carobthread.ObjectID) bool) (carobthread.Ticket, carobthread.Findings) {
	doc := scan(file, content)
	ticket := doc.ticket(known)
	return ticket, sortFindings(doc.findings)
}

func (doc *document) ticket(known func(carobthread.ObjectID) bool) carobthread.Ticket {
	ticket := carobthread.Ticket{}
	doc.requireSections(ticketSection)
	mainSection := doc.section(ticketSection)
	if mainSection == nil {
		return ticket
	}
	var listed []carobthread.ObjectID
	doc.read(
		mainSection,
		required("number", integer(&ticket.Number, 1, maxNumber)),
		required("objects", objectIDs(&listed)),
	)
	sectionsByID := doc.objects(&ticket)
	doc.checkListed(mainSection, listed, sectionsByID)
	doc.checkReferences(&ticket, func(id carobthread.ObjectID) bool {
		return sectionsByID[id] != nil || slices.Contains(listed, id) || known(id)
	})
	doc.checkPublished(&ticket)
	return ticket
}

// objects parses every section other than [ticket] and returns the sections by object ID.
func (doc *document) objects(ticket *carobthread.Ticket) map[carobthread.ObjectID]*section {
	sectionsByID := map[carobthread.ObjectID]*section{}
	for _, current := range doc.sections {
		if current.name == ticketSection {
			continue
		}
		object, found := doc.object(current, ticket.Number)
		if found {
			sectionsByID[object.ID] = current
			ticket.Objects = append(ticket.Objects, object)
		}
	}
	slices.SortFunc(ticket.Objects, func(left, right carobthread.Object) int {
		return strings.Compare(string(left.ID), string(right.ID))
	})
	return sectionsByID
}

func (doc *document) checkListed(mainSection *section, listed []carobthread.ObjectID, sectionsByID map[carobthread.ObjectID]*section) {
	if listed == nil {
		return
	}
	pos := mainSection.entry("objects").valuePos
	for _, id := range listed {
		if sectionsByID[id] == nil {
			doc.report(pos, "object %s is listed but has no section", id)
		}
	}
	for id, current := range sectionsByID {
		if !slices.Contains(listed, id) {
			doc.report(current.pos, "section [%s] is not listed in objects", current.name)
		}
	}
}

// checkReferences reports dangling references at the position of the key that holds them.
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

// checkPublished reports a ticket that exceeds MaxSize, either by the total of its canonical sections, which state every
// default, or by one of its published values.
func (doc *document) checkPublished(ticket *carobthread.Ticket) {
	if len(doc.findings) > 0 {
		return
	}
	total := 0
	for i := range ticket.Objects {
		total += SectionSize(&ticket.Objects[i])
	}
	if total > MaxSize {
		doc.report(position{1, 1}, "objects have %d bytes with all defaults written out, the limit is %d", total, MaxSize)
	}
	for _, value := range EncodeTicket(ticket) {
		if len(value.Content) > MaxSize {
			doc.report(position{1, 1}, "value of %s has %d bytes, the limit is %d", value.Key, len(value.Content), MaxSize)
		}
	}
}

// reference returns the position of the value that holds a reference, or of the section header if no key holds it.
func (current *section) reference(object *carobthread.Object, id carobthread.ObjectID) position {
	if object.Service != nil {
		if keyEntry := current.entry("layout"); keyEntry != nil {
			return keyEntry.valuePos
		}
	}
	if object.Layout != nil {
		for _, keyEntry := range current.entries {
			for item := range strings.SplitSeq(keyEntry.value.Value(), ",") {
				if SearcherID(strings.TrimSpace(item)) == id {
					return keyEntry.valuePos
				}
			}
		}
	}
	return current.pos
}
