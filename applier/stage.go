package applier

import (
	"cmp"
	"fmt"
	"slices"

	"carobthread"
	"carobthread/parser"
)

// Tickets stay staged until they can be applied. applyStaged computes the
// largest set of staged tickets that can be applied together: it starts with
// all of them and removes tickets that violate a condition until none does.
// The conditions for a ticket of the set are:
//
//   - each object of its list is active, or staged by a ticket of the set,
//     with at least the ticket's number;
//   - each reference of its objects names an object that is active or staged
//     by a ticket of the set;
//   - the sections of its objects have at most 1 MB in total.
//
// The conditions are monotonic: further active objects never break one, so the
// result does not depend on the order of arrival. For the same reason a ticket
// with dangling references is reported as refused but stays staged: the ticket
// that defines the missing objects may arrive later. Values of several tickets
// may be in transit at once, above all on a starting host, so a ticket is
// reported only after some seconds.

// stagedTicket is a ticket that has arrived in part or whole and is not applied yet.
type stagedTicket struct {
	number  uint64
	list    []carobthread.ObjectID
	objects map[carobthread.ObjectID]*storedObject
	source  string
	since   carobthread.Instant
	// findings are the findings last reported.
	findings carobthread.Findings
	// candidate marks the ticket as part of the set that largestSubset computes.
	candidate bool
	// missingID is the listed object that was last found missing; isComplete checks it first.
	missingID carobthread.ObjectID
}

func byNumber(ticket *stagedTicket, number uint64) int { return cmp.Compare(ticket.number, number) }

// stage stores an object that is neither active nor staged.
func (applier *Applier) stage(now carobthread.Instant, arrived *storedObject) {
	id, number := arrived.object.ID, arrived.object.Ticket
	arrived.list = applier.lists.retain(number, arrived.list)
	ticket := applier.staged[number]
	if ticket == nil {
		ticket = &stagedTicket{
			number:  number,
			list:    arrived.list,
			objects: map[carobthread.ObjectID]*storedObject{},
			source:  arrived.source,
			since:   now,
		}
		applier.staged[number] = ticket
		position, _ := slices.BinarySearchFunc(applier.stagedOrder, number, byNumber)
		applier.stagedOrder = slices.Insert(applier.stagedOrder, position, ticket)
	}
	ticket.objects[id] = arrived
	applier.stagedBytes += arrived.size
	applier.stagedBy[id] = append(applier.stagedBy[id], ticket)
}

// unstage removes a ticket and its objects.
func (applier *Applier) unstage(ticket *stagedTicket) {
	for id, staged := range ticket.objects {
		others := slices.DeleteFunc(applier.stagedBy[id], func(other *stagedTicket) bool { return other == ticket })
		if len(others) == 0 {
			delete(applier.stagedBy, id)
		} else {
			applier.stagedBy[id] = others
		}
		applier.stagedBytes -= staged.size
		applier.lists.release(ticket.number)
	}
	delete(applier.staged, ticket.number)
	position, _ := slices.BinarySearchFunc(applier.stagedOrder, ticket.number, byNumber)
	applier.stagedOrder = slices.Delete(applier.stagedOrder, position, position+1)
}

// applyStaged applies all staged tickets that can be applied.
func (applier *Applier) applyStaged() {
	applier.activateAll(applier.largestSubset(func(ticket *stagedTicket) bool {
		return applier.isComplete(ticket) && len(applier.validate(ticket)) == 0
	}))
}

// largestSubset returns the largest set of staged tickets that are all eligible
// within the set, by ascending number; they stay marked as candidates until the
// next call. For their listed objects, tickets depend only on tickets with
// higher numbers, so one pass in descending order resolves these dependencies;
// only references may need more passes.
func (applier *Applier) largestSubset(eligible func(*stagedTicket) bool) []*stagedTicket {
	for _, ticket := range applier.stagedOrder {
		ticket.candidate = true
	}
	for changed := true; changed; {
		changed = false
		for _, ticket := range slices.Backward(applier.stagedOrder) {
			if ticket.candidate && !eligible(ticket) {
				ticket.candidate = false
				changed = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(applier.stagedOrder), func(ticket *stagedTicket) bool { return !ticket.candidate })
}

// isComplete reports whether every object that the ticket lists is covered.
func (applier *Applier) isComplete(ticket *stagedTicket) bool {
	if ticket.missingID != "" && !applier.covered(ticket.missingID, ticket.number) {
		return false
	}
	for _, id := range ticket.list {
		if !applier.covered(id, ticket.number) {
			ticket.missingID = id
			return false
		}
	}
	return true
}

// covered reports whether an object is active or staged by a candidate with at least this number.
func (applier *Applier) covered(id carobthread.ObjectID, minNumber uint64) bool {
	if applier.activeNumber(id) >= minNumber {
		return true
	}
	return slices.ContainsFunc(applier.stagedBy[id], func(ticket *stagedTicket) bool {
		return ticket.number >= minNumber && ticket.candidate
	})
}

// validate returns the findings on the objects that the ticket would activate if the candidates were applied.
func (applier *Applier) validate(ticket *stagedTicket) carobthread.Findings {
	findings := carobthread.Findings{}
	size := 0
	for _, id := range ticket.list {
		staged := ticket.objects[id]
		if staged == nil || applier.covered(id, ticket.number+1) {
			continue
		}
		size += staged.sectionSize
		for _, reference := range staged.references {
			if !applier.covered(reference, 1) {
				findings = append(findings, ticket.finding("%s refers to %s, which does not exist", id, reference))
			}
		}
	}
	if size > parser.MaxSize {
		findings = append(findings, ticket.finding("objects have %d bytes, the limit is %d", size, parser.MaxSize))
	}
	return findings
}

func (ticket *stagedTicket) finding(format string, arguments ...any) carobthread.Finding {
	return carobthread.Finding{
		File:    fmt.Sprintf("ticket %d from %s", ticket.number, ticket.source),
		Line:    1,
		Column:  1,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// activateAll applies the tickets by ascending number, so that each object ends with its highest number.
func (applier *Applier) activateAll(ready []*stagedTicket) {
	changed := &Changed{}
	for _, ticket := range ready {
		before := len(changed.Objects)
		for _, id := range ticket.list {
			staged := ticket.objects[id]
			if staged != nil && applier.activeNumber(id) < ticket.number {
				applier.activate(staged)
				changed.Objects = append(changed.Objects, id)
			}
		}
		if len(changed.Objects) > before {
			changed.Tickets = append(changed.Tickets, ticket.number)
		}
		applier.unstage(ticket)
	}
	if len(changed.Tickets) == 0 {
		return
	}
	slices.Sort(changed.Objects)
	changed.Objects = slices.Compact(changed.Objects)
	applier.actions = append(applier.actions, Action{Changed: changed})
}

// evict drops the staged tickets with the lowest numbers until the rest is within the limit.
// A dropped ticket that is active on another host is received again with the next exchange.
func (applier *Applier) evict(now carobthread.Instant) {
	for applier.stagedBytes > applier.options.StagedBytes {
		ticket := applier.stagedOrder[0]
		applier.unstage(ticket)
		applier.refuse(now, ticket.source, ticket.number, carobthread.Findings{
			ticket.finding("dropped, staged tickets exceed %d bytes", applier.options.StagedBytes),
		})
	}
}

// missing returns the ids of the ticket's objects that are neither active nor staged with at least its number.
func (applier *Applier) missing(ticket *stagedTicket) []carobthread.ObjectID {
	missing := []carobthread.ObjectID{}
	for _, id := range ticket.list {
		if !applier.holds(id, ticket.number) {
			missing = append(missing, id)
		}
	}
	return missing
}

// holds reports whether an object is active or staged with at least this number.
func (applier *Applier) holds(id carobthread.ObjectID, minNumber uint64) bool {
	return applier.activeNumber(id) >= minNumber ||
		slices.ContainsFunc(applier.stagedBy[id], func(ticket *stagedTicket) bool { return ticket.number >= minNumber })
}

// reportWaiting reports each staged ticket that has waited longer than values are expected to be in transit.
func (applier *Applier) reportWaiting(now carobthread.Instant) {
	complete := applier.largestSubset(applier.isComplete)
	for _, ticket := range complete {
		if now.Sub(ticket.since) >= danglingReportDelay {
			applier.refuseStaged(now, ticket, applier.blockingFindings(ticket))
		}
	}
	for _, ticket := range applier.stagedOrder {
		if !ticket.candidate && now.Sub(ticket.since) >= incompleteReportDelay {
			applier.refuseStaged(now, ticket, applier.incompleteFindings(ticket))
		}
	}
}

// blockingFindings returns the findings that prevent a complete ticket from being applied.
func (applier *Applier) blockingFindings(ticket *stagedTicket) carobthread.Findings {
	findings := applier.validate(ticket)
	if len(findings) == 0 {
		findings = append(findings, ticket.finding("depends on objects of other tickets that are refused"))
	}
	return findings
}

// incompleteFindings returns the findings on a ticket of which some objects have not arrived.
func (applier *Applier) incompleteFindings(ticket *stagedTicket) carobthread.Findings {
	findings := carobthread.Findings{}
	for _, id := range applier.missing(ticket) {
		findings = append(findings, ticket.finding("incomplete, %s has not arrived", id))
	}
	if len(findings) == 0 {
		findings = append(findings, ticket.finding("depends on objects of other tickets that are incomplete"))
	}
	return findings
}

// refuseStaged reports the findings of a staged ticket unless they have not changed since the last report.
func (applier *Applier) refuseStaged(now carobthread.Instant, ticket *stagedTicket, findings carobthread.Findings) {
	if slices.Equal(findings, ticket.findings) {
		return
	}
	ticket.findings = findings
	applier.refuse(now, ticket.source, ticket.number, findings)
}
