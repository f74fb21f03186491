package applier

import (
	"cmp"
	"fmt"
	"slices"

	"carobthread"
	"carobthread/parser"
)

// Staged tickets wait until they can take effect. settle looks for the
// greatest set of staged tickets that may take effect together: it starts
// with all of them and removes those that fail until none does. A ticket
// stays in the set when
//
//   - each object of its list is in force, or staged by a ticket of the set,
//     with at least the ticket's number;
//   - each reference of its objects names an object that is in force or
//     staged by a ticket of the set;
//   - the sections of its objects together are at most 1 MB.
//
// The conditions only become easier as more objects are in force, so the
// outcome does not depend on the order of arrival. For the same reason a
// ticket with dangling references is reported as refused but stays staged:
// the ticket that defines the missing objects may arrive later. Values of
// several tickets may be on their way at once, above all on a starting host,
// so that a ticket is reported only after it has waited for some seconds.

// stagedTicket is one ticket of which some objects are not in force.
type stagedTicket struct {
	number uint64
	list   []carobthread.ObjectID
	rows   map[carobthread.ObjectID]*row
	source string
	since  carobthread.Instant
	// findings are those last reported.
	findings carobthread.Findings
	// member says that the ticket is in the set that largest is looking for.
	member bool
	// gap is the listed object that last kept the ticket waiting, which is asked for first.
	gap carobthread.ObjectID
}

func byNumber(ticket *stagedTicket, number uint64) int { return cmp.Compare(ticket.number, number) }

// stage stores a row that is neither in force nor staged.
func (applier *Applier) stage(now carobthread.Instant, arrived *row) {
	id, number := arrived.object.ID, arrived.object.Ticket
	arrived.list = applier.lists.retain(number, arrived.list)
	ticket := applier.staged[number]
	if ticket == nil {
		ticket = &stagedTicket{
			number: number,
			list:   arrived.list,
			rows:   map[carobthread.ObjectID]*row{},
			source: arrived.source,
			since:  now,
		}
		applier.staged[number] = ticket
		at, _ := slices.BinarySearchFunc(applier.order, number, byNumber)
		applier.order = slices.Insert(applier.order, at, ticket)
	}
	ticket.rows[id] = arrived
	applier.stagedBytes += arrived.size
	applier.waiting[id] = append(applier.waiting[id], ticket)
}

// unstage removes a ticket and its rows.
func (applier *Applier) unstage(ticket *stagedTicket) {
	for id, staged := range ticket.rows {
		others := slices.DeleteFunc(applier.waiting[id], func(other *stagedTicket) bool { return other == ticket })
		if len(others) == 0 {
			delete(applier.waiting, id)
		} else {
			applier.waiting[id] = others
		}
		applier.stagedBytes -= staged.size
		applier.lists.release(ticket.number)
	}
	delete(applier.staged, ticket.number)
	at, _ := slices.BinarySearchFunc(applier.order, ticket.number, byNumber)
	applier.order = slices.Delete(applier.order, at, at+1)
}

// settle puts every ticket into force that can take effect.
func (applier *Applier) settle() {
	applier.enforceAll(applier.largest(func(ticket *stagedTicket) bool {
		return applier.isComplete(ticket) && len(applier.faults(ticket)) == 0
	}))
}

// largest returns the greatest set of staged tickets in which each fits the
// set, lowest number first; they stay marked as members until the next call.
// Tickets depend on higher numbers for their objects, so that going down
// settles these in one pass; only references can take more.
func (applier *Applier) largest(fits func(*stagedTicket) bool) []*stagedTicket {
	for _, ticket := range applier.order {
		ticket.member = true
	}
	for changed := true; changed; {
		changed = false
		for _, ticket := range slices.Backward(applier.order) {
			if ticket.member && !fits(ticket) {
				ticket.member = false
				changed = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(applier.order), func(ticket *stagedTicket) bool { return !ticket.member })
}

func (applier *Applier) isComplete(ticket *stagedTicket) bool {
	if ticket.gap != "" && !applier.covered(ticket.gap, ticket.number) {
		return false
	}
	for _, id := range ticket.list {
		if !applier.covered(id, ticket.number) {
			ticket.gap = id
			return false
		}
	}
	return true
}

// covered reports whether an object is in force or staged by a member of the set with at least this number.
func (applier *Applier) covered(id carobthread.ObjectID, least uint64) bool {
	if applier.number(id) >= least {
		return true
	}
	return slices.ContainsFunc(applier.waiting[id], func(ticket *stagedTicket) bool {
		return ticket.number >= least && ticket.member
	})
}

// faults returns the findings on the objects of a ticket that would be in force with the set.
func (applier *Applier) faults(ticket *stagedTicket) carobthread.Findings {
	findings := carobthread.Findings{}
	size := 0
	for _, id := range ticket.list {
		staged := ticket.rows[id]
		if staged == nil || applier.covered(id, ticket.number+1) {
			continue
		}
		size += staged.section
		for _, needed := range staged.needs {
			if !applier.covered(needed, 1) {
				findings = append(findings, ticket.finding("%s refers to %s, which does not exist", id, needed))
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

// enforceAll puts the tickets into force, lowest number first, so that each object ends with its highest number.
func (applier *Applier) enforceAll(ready []*stagedTicket) {
	changed := &Changed{}
	for _, ticket := range ready {
		before := len(changed.Objects)
		for _, id := range ticket.list {
			staged := ticket.rows[id]
			if staged != nil && applier.number(id) < ticket.number {
				applier.enforce(staged)
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

// evict drops the staged tickets with the lowest numbers until the rest is within its bound.
// A dropped ticket that is in force elsewhere comes again with the next exchange.
func (applier *Applier) evict(now carobthread.Instant) {
	for applier.stagedBytes > applier.options.StagedBytes {
		ticket := applier.order[0]
		applier.unstage(ticket)
		applier.refuse(now, ticket.source, ticket.number, carobthread.Findings{
			ticket.finding("dropped, staged tickets exceed %d bytes", applier.options.StagedBytes),
		})
	}
}

// missing returns the ids of a ticket's list that neither the state nor the staged tickets cover.
func (applier *Applier) missing(ticket *stagedTicket) []carobthread.ObjectID {
	missing := []carobthread.ObjectID{}
	for _, id := range ticket.list {
		if !applier.holds(id, ticket.number) {
			missing = append(missing, id)
		}
	}
	return missing
}

// holds reports whether an object is in force or staged with at least this number.
func (applier *Applier) holds(id carobthread.ObjectID, least uint64) bool {
	return applier.number(id) >= least ||
		slices.ContainsFunc(applier.waiting[id], func(ticket *stagedTicket) bool { return ticket.number >= least })
}

// reportWaiting reports each staged ticket once its wait is no longer explained by values on their way.
func (applier *Applier) reportWaiting(now carobthread.Instant) {
	complete := applier.largest(applier.isComplete)
	for _, ticket := range complete {
		if now.Sub(ticket.since) >= danglingAfter {
			applier.refuseStaged(now, ticket, applier.obstacles(ticket))
		}
	}
	for _, ticket := range applier.order {
		if !ticket.member && now.Sub(ticket.since) >= halfPublishedAfter {
			applier.refuseStaged(now, ticket, applier.gaps(ticket))
		}
	}
}

// obstacles returns the findings on a ticket that has arrived but cannot take effect.
func (applier *Applier) obstacles(ticket *stagedTicket) carobthread.Findings {
	findings := applier.faults(ticket)
	if len(findings) == 0 {
		findings = append(findings, ticket.finding("needs objects of other tickets that are refused"))
	}
	return findings
}

// gaps returns the findings on a ticket that has not arrived as a whole.
func (applier *Applier) gaps(ticket *stagedTicket) carobthread.Findings {
	findings := carobthread.Findings{}
	for _, id := range applier.missing(ticket) {
		findings = append(findings, ticket.finding("half published, %s has not arrived", id))
	}
	if len(findings) == 0 {
		findings = append(findings, ticket.finding("needs objects of other tickets that are incomplete"))
	}
	return findings
}

// refuseStaged reports the findings of a staged ticket once.
func (applier *Applier) refuseStaged(now carobthread.Instant, ticket *stagedTicket, findings carobthread.Findings) {
	if slices.Equal(findings, ticket.findings) {
		return
	}
	ticket.findings = findings
	applier.refuse(now, ticket.source, ticket.number, findings)
}
