package assigner

// Roles come from rendezvous hashing: each pair of a role and a host has a
// weight, and the hosts of the greatest weights have the role. When a host
// goes, only its own roles move, each to the next host in weight, so a change
// of one host of n moves a share of about 1/n of the roles.

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

// Sizes of roles.
const (
	// ReadersPerCentre hosts of each data centre read the platform, so that one may fail without a gap.
	ReadersPerCentre = 2
	// FanOut is the greatest number of children in a relay tree.
	FanOut = 4
	// AllHosts as a subset size makes every host hold connections to a searcher.
	AllHosts = 0
)

// Assigner holds the roles of one view; it does not change and is safe for concurrent use.
type Assigner struct {
	all     []member
	centres []Centre
}

// Centre is a data centre with its live hosts' roles.
type Centre struct {
	Name    string
	Readers []string
	members []member
}

type member struct {
	name string
	hash uint64
}

// New computes the roles of the live hosts of a view.
func New(view carobthread.View) *Assigner {
	assigner := &Assigner{}
	groups := map[string][]member{}
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if host.State != carobthread.HostLive {
			continue
		}
		entry := member{name: host.Name, hash: xxhash.Sum64String(host.Name)}
		assigner.all = append(assigner.all, entry)
		groups[host.DataCentre] = append(groups[host.DataCentre], entry)
	}
	for name, members := range groups {
		readers := top(members, roleKey("reader", name), ReadersPerCentre)
		assigner.centres = append(assigner.centres, Centre{Name: name, Readers: readers, members: members})
	}
	slices.SortFunc(assigner.centres, func(a, b Centre) int { return strings.Compare(a.Name, b.Name) })
	return assigner
}

// Readers returns the hosts of the data centre that read the platform, the first in charge first.
func (assigner *Assigner) Readers(centre string) []string {
	if found := assigner.centre(centre); found != nil {
		return found.Readers
	}
	return nil
}

// First returns the first reader of the data centre.
func (assigner *Assigner) First(centre string) (string, bool) {
	readers := assigner.Readers(centre)
	if len(readers) == 0 {
		return "", false
	}
	return readers[0], true
}

// Lead returns the first reader of the first data centre, for fleets in which one host reads for all.
func (assigner *Assigner) Lead() (string, bool) {
	if len(assigner.centres) == 0 {
		return "", false
	}
	return assigner.First(assigner.centres[0].Name)
}

// Links returns the other data centres, beginning after the given one in order of name, with their readers.
func (assigner *Assigner) Links(centre string) []Centre {
	var before, after []Centre
	for _, other := range assigner.centres {
		switch {
		case other.Name < centre:
			before = append(before, other)
		case other.Name > centre:
			after = append(after, other)
		}
	}
	return append(after, before...)
}

// Holders returns the hosts that hold connections to a searcher: size of them, or every one for AllHosts.
func (assigner *Assigner) Holders(searcher string, size int) []string {
	if size == AllHosts {
		size = len(assigner.all)
	}
	return top(assigner.all, roleKey("holder", searcher), size)
}

func (assigner *Assigner) centre(name string) *Centre {
	for i := range assigner.centres {
		if assigner.centres[i].Name == name {
			return &assigner.centres[i]
		}
	}
	return nil
}

func roleKey(role, subject string) uint64 {
	return xxhash.Sum64String(role + "\x00" + subject)
}

// weight combines the hashes of a role and a host.
func weight(key, host uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], host)
	return xxhash.Sum64(pair[:])
}

type weighted struct {
	name   string
	weight uint64
}

func heavierFirst(a, b weighted) int {
	if order := cmp.Compare(b.weight, a.weight); order != 0 {
		return order
	}
	return strings.Compare(a.name, b.name)
}

// top returns the names of the members with the greatest weights, the greatest first.
func top(members []member, key uint64, size int) []string {
	size = min(size, len(members))
	best := make([]weighted, 0, size+1)
	for _, entry := range members {
		candidate := weighted{name: entry.name, weight: weight(key, entry.hash)}
		if size == len(members) {
			best = append(best, candidate)
			continue
		}
		place, _ := slices.BinarySearchFunc(best, candidate, heavierFirst)
		if place < size {
			best = slices.Insert(best, place, candidate)[:min(len(best)+1, size)]
		}
	}
	if size == len(members) {
		slices.SortFunc(best, heavierFirst)
	}
	names := make([]string, len(best))
	for i := range best {
		names[i] = best[i].name
	}
	return names
}

// Hosts decide alone and by chance whether they hold a searcher, so that spareDeviations standard deviations of their number
// are kept free of its connections, but no more than all but leastGiven of them.
const (
	spareDeviations = 2
	leastGiven      = 0.25
)

// Holds reports whether a host is one of those that use a searcher which accepts so many connections from so many hosts.
//
// All hosts do while there are no more hosts than connections. Each pair of a host and a searcher decides for itself, so
// that nothing needs to be known of the other hosts but their number.
func Holds(host, searcher string, connections, hosts int) bool {
	if connections <= 0 || hosts <= connections {
		return true
	}
	const hashes = 1 << 32
	limit := float64(connections)
	given := max(leastGiven*limit, limit-spareDeviations*math.Sqrt(limit))
	place := float64(uint32(xxhash.Sum64String(host+"\x00"+searcher))) / hashes
	return place < given/float64(hosts)
}
