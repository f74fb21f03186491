package tracker

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

// Health is the failure detector's verdict on a host.
type Health uint8

// The health values, from best to worst. At equal health versions the worse one wins.
const (
	Healthy Health = iota
	Suspected
	Gone
)

const (
	numberBase       = 36 // the highest base of strconv, for the shortest text on the wire
	recordFieldCount = 7  // without the capacity, which only hosts that state one have
	leavingFlag      = "l"
	// capacityUnits is the number of units of a record's capacity per processor.
	capacityUnits = 1000
)

// Record is the gossiped state of one host.
//
// Records of one host are merged by rules that do not depend on order: the
// higher incarnation wins; within one incarnation, leaving wins over live, a
// higher health version over a lower one, and a worse health over a better one
// of the same version. Only the host itself raises its health version, to refute
// a suspicion.
type Record struct {
	Name          string
	DataCentre    string
	PeerAddress   string
	Incarnation   carobthread.Incarnation
	HealthVersion uint32 // raised by the host itself, within an incarnation
	Health        Health
	Leaving       bool
	// Capacity is the host's capacity in thousandths of a processor, or 0 if it does not state one.
	Capacity uint32
}

// merge returns the merged record; the order of the two does not matter.
func (record Record) merge(other Record) Record {
	if record.Incarnation != other.Incarnation {
		if record.Incarnation.Less(other.Incarnation) {
			return other
		}
		return record
	}
	merged := record
	merged.Leaving = record.Leaving || other.Leaving
	if cmp.Or(cmp.Compare(other.HealthVersion, record.HealthVersion), cmp.Compare(other.Health, record.Health)) > 0 {
		merged.HealthVersion, merged.Health = other.HealthVersion, other.Health
	}
	return merged
}

func (record Record) state() carobthread.HostState {
	switch {
	case record.Health == Gone:
		return carobthread.HostGone
	case record.Leaving:
		return carobthread.HostLeaving
	case record.Health == Suspected:
		return carobthread.HostSuspect
	default:
		return carobthread.HostLive
	}
}

func (record Record) host() carobthread.Host {
	return carobthread.Host{
		Name: record.Name, DataCentre: record.DataCentre, PeerAddress: record.PeerAddress,
		Incarnation: record.Incarnation, State: record.state(), Capacity: float64(record.Capacity) / capacityUnits,
	}
}

func (record Record) sum() uint64 {
	text, _ := record.MarshalText()
	return xxhash.Sum64(text)
}

// MarshalText encodes the record as one line of fields, a third of the size of a JSON object.
func (record Record) MarshalText() ([]byte, error) {
	flags := strconv.Itoa(int(record.Health))
	if record.Leaving {
		flags += leavingFlag
	}
	fields := []string{
		record.Name, record.DataCentre, record.PeerAddress,
		strconv.FormatInt(int64(record.Incarnation.Start), numberBase),
		strconv.FormatUint(record.Incarnation.Random, numberBase),
		strconv.FormatUint(uint64(record.HealthVersion), numberBase), flags,
	}
	if record.Capacity > 0 {
		fields = append(fields, strconv.FormatUint(uint64(record.Capacity), numberBase))
	}
	return []byte(strings.Join(fields, " ")), nil
}

// UnmarshalText decodes the format that MarshalText writes.
func (record *Record) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), " ")
	if len(fields) < recordFieldCount || len(fields) > recordFieldCount+1 || fields[0] == "" || fields[1] == "" {
		return fmt.Errorf("host record %q: expected %d or %d fields", text, recordFieldCount, recordFieldCount+1)
	}
	start, startErr := strconv.ParseInt(fields[3], numberBase, 64)
	random, randomErr := strconv.ParseUint(fields[4], numberBase, 64)
	healthVersion, versionErr := strconv.ParseUint(fields[5], numberBase, 32)
	flags, leaving := strings.CutSuffix(fields[6], leavingFlag)
	health, healthErr := strconv.ParseUint(flags, numberBase, 8)
	capacity, capacityErr := uint64(0), error(nil)
	if len(fields) > recordFieldCount {
		capacity, capacityErr = strconv.ParseUint(fields[recordFieldCount], numberBase, 32)
	}
	for _, err := range []error{startErr, randomErr, versionErr, healthErr, capacityErr} {
		if err != nil {
			return fmt.Errorf("host record %q: %w", text, err)
		}
	}
	if health > uint64(Gone) {
		return fmt.Errorf("host record %q: unknown health %d", text, health)
	}
	*record = Record{
		Name: fields[0], DataCentre: fields[1], PeerAddress: fields[2],
		Incarnation:   carobthread.Incarnation{Start: carobthread.Instant(start), Random: random},
		HealthVersion: uint32(healthVersion), Health: Health(health), Leaving: leaving, Capacity: uint32(capacity),
	}
	return nil
}
