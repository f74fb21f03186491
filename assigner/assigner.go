package assigner

// Roles are assigned by rendezvous hashing: each pair of a role and a host has a
// weight, and the hosts with the greatest weights hold the role. When a host
// leaves, only its own roles move, each to the host with the next greatest
// weight, so a change of one host in n moves about 1/n of the roles.

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

// Numbers of hosts per role.
const (
	// ReadersPerCentre is the number of hosts of each data centre that read from the platform, so that reads continue if one
	// fails.
	ReadersPerCentre = 2
	// FanOut is the maximum number of children of a host in a relay tree.
	FanOut = 4
	// AllHosts is the subset size with which every host holds connections to a searcher.
	AllHosts = 0
)

// Assigner holds the roles computed from one view; it is immutable and safe for concurrent use.
type Assigner struct {
	all     []member
	centres []Centre
}

// Centre is a data centre with its readers and live hosts.
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
		readers := heaviest(members, roleKey("reader", name), ReadersPerCentre)
		assigner.centres = append(assigner.centres, Centre{Name: name, Readers: readers, members: members})
	}
	slices.SortFunc(assigner.centres, func(a, b Centre) int { return strings.Compare(a.Name, b.Name) })
	return assigner
}

// Readers returns the hosts of the data centre that read from the platform, in order of precedence.
func (assigner *Assigner) Readers(centre string) []string {
	if match := assigner.centre(centre); match != nil {
		return match.Readers
	}
	return nil
}

// FirstReader returns the first reader of the data centre.
func (assigner *Assigner) FirstReader(centre string) (string, bool) {
	readers := assigner.Readers(centre)
	if len(readers) == 0 {
		return "", false
	}
	return readers[0], true
}

// FleetReader returns the first reader of the first data centre, for fleets in which one host reads for all data centres.
func (assigner *Assigner) FleetReader() (string, bool) {
	if len(assigner.centres) == 0 {
		return "", false
	}
	return assigner.FirstReader(assigner.centres[0].Name)
}

// RemoteReaders returns the other data centres with their readers, in order of name from the given one on, wrapping around
// at the end.
func (assigner *Assigner) RemoteReaders(centre string) []Centre {
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

// Holders returns the hosts that hold connections to a searcher: as many as size, or all of them for AllHosts.
func (assigner *Assigner) Holders(searcher string, size int) []string {
	if size == AllHosts {
		size = len(assigner.all)
	}
	return heaviest(assigner.all, roleKey("holder", searcher), size)
}

// IsHolder reports whether the host is among the first size hosts in the order of Holders. It needs no list of them, so that a
// host can ask for each of tens of thousands of searchers.
func (assigner *Assigner) IsHolder(host, searcher string, size int) bool {
	key := roleKey("holder", searcher)
	own := weightedMember{name: host, weight: weight(key, xxhash.Sum64String(host))}
	before := 0
	for _, entry := range assigner.all {
		if before >= size {
			break
		}
		if heavierFirst(weightedMember{name: entry.name, weight: weight(key, entry.hash)}, own) < 0 {
			before++
		}
	}
	return before < size
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

// weight returns the rendezvous weight of a role and a host from their hashes.
func weight(key, host uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], host)
	return xxhash.Sum64(pair[:])
}

type weightedMember struct {
	name   string
	weight uint64
}

func heavierFirst(a, b weightedMember) int {
	if order := cmp.Compare(b.weight, a.weight); order != 0 {
		return order
	}
	return strings.Compare(a.name, b.name)
}

// heaviest returns the names of the size members with the greatest weights, greatest first.
func heaviest(members []member, key uint64, size int) []string {
	size = min(size, len(members))
	best := make([]weightedMember, 0, size+1)
	for _, entry := range members {
		candidate := weightedMember{name: entry.name, weight: weight(key, entry.hash)}
		if size == len(members) {
			best = append(best, candidate)
			continue
		}
		index, _ := slices.BinarySearchFunc(best, candidate, heavierFirst)
		if index < size {
			best = slices.Insert(best, index, candidate)[:min(len(best)+1, size)]
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

// Each host decides by a hash, independently of the others, whether it uses a searcher, so the number of hosts that do is
// random. spareDeviations is the number of its standard deviations by which the expected number stays below the searcher's
// connection limit; minExpectedRatio is the lower bound of the expected number,
// as a fraction of the limit.
const (
	spareDeviations  = 2
	minExpectedRatio = 0.25
)

// InSubset reports whether a host belongs to the subset of hosts that use a searcher, given the searcher's connection limit
// and the number of hosts.
//
// Every host does if there are no more hosts than connections, or if the limit is 0. Otherwise a hash of the host and the
// searcher decides, so that only the number of the other hosts needs to be known.
func InSubset(host, searcher string, connections, hosts int) bool {
	if connections <= 0 || hosts <= connections {
		return true
	}
	const hashRange = 1 << 32
	limit := float64(connections)
	expected := max(minExpectedRatio*limit, limit-spareDeviations*math.Sqrt(limit))
	fraction := float64(uint32(xxhash.Sum64String(host+"\x00"+searcher))) / hashRange
	return fraction < expected/float64(hosts)
}
