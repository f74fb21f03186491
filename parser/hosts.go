package parser

import (
	"strings"

	"carobthread"
)

// The platform's host list has one section per host, named after the host.
// It holds no incarnations; the hosts state those themselves.

// EncodeHosts encodes the platform's host list in the given order.
func EncodeHosts(hosts []carobthread.Host) []byte {
	writer := &writer{}
	for _, host := range hosts {
		writer.section(host.Name)
		writer.key("state", string(host.State))
		writer.key("data-centre", host.DataCentre)
		writer.key("peer-address", host.PeerAddress)
	}
	return []byte(writer.String())
}

// DecodeHosts decodes the platform's host list; file identifies the source in findings.
func DecodeHosts(file string, content []byte) ([]carobthread.Host, carobthread.Findings) {
	doc := scan(file, content)
	hosts := make([]carobthread.Host, 0, len(doc.sections))
	for _, current := range doc.sections {
		host := carobthread.Host{Name: strings.Clone(current.name)}
		if err := checkName(host.Name); err != nil {
			doc.report(current.pos, "section [%s]: %v", current.name, err)
		}
		doc.read(
			current,
			required("state", oneOf(&host.State, carobthread.HostLive, carobthread.HostLeaving)),
			required("data-centre", name(&host.DataCentre)),
			required("peer-address", address(&host.PeerAddress)),
		)
		hosts = append(hosts, host)
	}
	return hosts, sortFindings(doc.findings)
}

// IsTicket reports whether a file is a ticket rather than a settings file, judged by its sections.
func IsTicket(content []byte) bool {
	doc := scan("", content)
	for _, current := range doc.sections {
		word, _, _ := strings.Cut(current.name, " ")
		switch word {
		case ticketSection, objectKindService, objectKindLayout, objectKindSearcher:
			return true
		}
	}
	return false
}
