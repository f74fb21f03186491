package parser

import (
	"strings"

	"carobthread"
)

// The platform's list of hosts has one section for each host, named after it.
// It says nothing of incarnations, which the hosts themselves carry.

// EncodeHosts returns the platform's list of hosts in the given order.
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

// DecodeHosts reads the platform's list of hosts; file names its origin in findings.
func DecodeHosts(file string, content []byte) ([]carobthread.Host, carobthread.Findings) {
	doc := scan(file, content)
	hosts := make([]carobthread.Host, 0, len(doc.sections))
	for _, current := range doc.sections {
		host := carobthread.Host{Name: strings.Clone(current.name)}
		if err := checkName(host.Name); err != nil {
			doc.report(current.at, "section [%s]: %v", current.name, err)
		}
		doc.read(
			current,
			required("state", choice(&host.State, carobthread.HostLive, carobthread.HostLeaving)),
			required("data-centre", name(&host.DataCentre)),
			required("peer-address", address(&host.PeerAddress)),
		)
		hosts = append(hosts, host)
	}
	return hosts, ordered(doc.findings)
}

// IsTicket reports whether a file has the sections of a ticket rather than those of settings.
func IsTicket(content []byte) bool {
	doc := scan("", content)
	for _, current := range doc.sections {
		word, _, _ := strings.Cut(current.name, " ")
		switch word {
		case ticketSection, serviceWord, layoutWord, searcherWord:
			return true
		}
	}
	return false
}
