package messenger

import (
	"sort"
	"sync"
)

// Direction states whether this host sent or received a message.
type Direction string

// Directions of messages.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Count is the traffic of one kind in one direction since the start; the kind of a message is the method of its request.
type Count struct {
	Kind      string    `json:"kind"`
	Direction Direction `json:"direction"`
	Messages  int64     `json:"messages"`
	Bytes     int64     `json:"bytes"`
}

type meterKey struct {
	kind      string
	direction Direction
}

// The number of counted kinds is limited because peers choose the method names that they send.
const (
	maxKinds  = 64
	otherKind = "other"
)

// Meter counts messages, bytes and refused links; it is safe for concurrent use.
type Meter struct {
	mutex   sync.Mutex
	counts  map[meterKey]*Count
	refused int64
}

// NewMeter returns a meter whose counters are zero.
func NewMeter() *Meter { return &Meter{counts: map[meterKey]*Count{}} }

// Counts returns the counters sorted by kind and direction.
func (meter *Meter) Counts() []Count {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	counts := make([]Count, 0, len(meter.counts))
	for _, count := range meter.counts {
		counts = append(counts, *count)
	}
	sort.Slice(counts, func(i, j int) bool {
		if counts[i].Kind != counts[j].Kind {
			return counts[i].Kind < counts[j].Kind
		}
		return counts[i].Direction < counts[j].Direction
	})
	return counts
}

// RefusedLinks returns the number of accepted connections that were closed because of their hello.
func (meter *Meter) RefusedLinks() int64 {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return meter.refused
}

func (meter *Meter) addRefused() {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.refused++
}

func (meter *Meter) add(kind string, direction Direction, bytes int) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	key := meterKey{kind: kind, direction: direction}
	count, found := meter.counts[key]
	if !found && len(meter.counts) >= maxKinds {
		key.kind = otherKind
		count, found = meter.counts[key]
	}
	if !found {
		count = &Count{Kind: key.kind, Direction: direction}
		meter.counts[key] = count
	}
	count.Messages++
	count.Bytes += int64(bytes)
}
