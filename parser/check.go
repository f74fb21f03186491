package parser

import "carobthread"

// Check returns the findings of several files in the order of the files. Each
// file is parsed as a ticket or as settings according to its sections. A
// reference in a ticket may point to an object of any of the tickets or to a
// known object.
func Check(files []string, contents [][]byte, known func(id carobthread.ObjectID) bool) carobthread.Findings {
	defined := map[carobthread.ObjectID]bool{}
	for i, content := range contents {
		if !IsTicket(content) {
			continue
		}
		ticket, _ := Ticket(files[i], content)
		for _, object := range ticket.Objects {
			defined[object.ID] = true
		}
	}
	findings := carobthread.Findings{}
	for i, content := range contents {
		if IsTicket(content) {
			_, found := TicketIn(files[i], content, func(id carobthread.ObjectID) bool { return defined[id] || known(id) })
			findings = append(findings, found...)
			continue
		}
		_, found := Settings(files[i], content)
		findings = append(findings, found...)
	}
	return findings
}
