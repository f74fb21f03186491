package tracker

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"carobthread"
)

// Health is what the hosts believe of a host's ability to answer.
type Health uint8

// The healths; of one beat, a greater health replaces a lower one.
const (
	Healthy Health = iota
	Suspected
	Gone
)

const (
	numberBase   = 36 // shortest base of strconv, for bytes on the wire
	recordFields = 7
	leavingFlag  = "l"
)

// Record is what the hosts tell each other of one host.
//
// Records of one host are joined by rules that do not depend on order: the
// higher incarnation wins; within one, leaving wins over live, a higher beat
// over a lower one, and a worse health over a better one of the same beat.
// Only the host itself raises its beat, to refute a suspicion.
type Record struct {
	Name        string
	DataCentre  string
	PeerAddress string
	Incarnation carobthread.Incarnation
	Beat        uint32
	Health      Health
	Leaving     bool
}

// join returns the record that both records lead to.
func (record Record) join(other Record) Record {
	if record.Incarnation != other.Incarnation {
		if record.Incarnation.Less(other.Incarnation) {
			return other
		}
		return record
	}
	joined := record
	joined.Leaving = record.Leaving || other.Leaving
	if cmp.Or(cmp.Compare(other.Beat, record.Beat), cmp.Compare(other.Health, record.Health)) > 0 {
		joined.Beat, joined.Health = other.Beat, other.Health
	}
	return joined
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
		Incarnation: record.Incarnation, State: record.state(),
	}
}

func (record Record) sum() uint64 {
	text, _ := record.MarshalText()
	return xxhash.Sum64(text)
}

// MarshalText writes the record as one line of fields, a third of the size of a JSON object.
func (record Record) MarshalText() ([]byte, error) {
	flags := strconv.Itoa(int(record.Health))
	if record.Leaving {
		flags += leavingFlag
	}
	return []byte(strings.Join([]string{
		record.Name, record.DataCentre, record.PeerAddress,
		strconv.FormatInt(int64(record.Incarnation.Start), numberBase),
		strconv.FormatUint(record.Incarnation.Random, numberBase),
		strconv.FormatUint(uint64(record.Beat), numberBase), flags,
	}, " ")), nil
}

// UnmarshalText reads the form that MarshalText writes.
func (record *Record) UnmarshalText(text []byte) error {
	fields := strings.Split(string(text), " ")
	if len(fields) != recordFields || fields[0] == "" || fields[1] == "" {
		return fmt.Errorf("host record %q: expected %d fields", text, recordFields)
	}
	start, startErr := strconv.ParseInt(fields[3], numberBase, 64)
	random, randomErr := strconv.ParseUint(fields[4], numberBase, 64)
	beat, beatErr := strconv.ParseUint(fields[5], numberBase, 32)
	flags, leaving := strings.CutSuffix(fields[6], leavingFlag)
	health, healthErr := strconv.ParseUint(flags, numberBase, 8)
	for _, err := range []error{startErr, randomErr, beatErr, healthErr} {
		if err != nil {
			return fmt.Errorf("host record %q: %w", text, err)
		}
	}
	if health > uint64(Gone) {
		return fmt.Errorf("host record %q: unknown health %d", text, health)
	}
	*record = Record{
		Name: fields[0], DataCentre: fields[1], PeerAddress: fields[2],
		Incarnation: carobthread.Incarnation{Start: carobthread.Instant(start), Random: random},
		Beat:        uint32(beat), Health: Health(health), Leaving: leaving,
	}
	return nil
}
