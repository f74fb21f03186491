package tracker

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"carobthread"
)

// Audience states where a message goes, since rumours are repeated separately within and between data centres.
type Audience int

// The audiences.
const (
	Near Audience = iota // a host of the own data centre
	Far                  // a host of another data centre
	audiences
)

const (
	// A change is repeated log2(hosts) + 2 times by each host, after which the expected share of hosts
	// that random exchanges have missed is below 1/hosts.
	extraRepeats = 2
	// rumourSpan ends rumours whose audience never comes up, such as Far on a host that is no reader.
	rumourSpan = 90 * time.Second
)

// rumour is a change that is still being repeated.
type rumour struct {
	key   string
	since carobthread.Instant
	sent  [audiences]int
}

// rumours is the queue of changes in order of arrival; each key stands in it once.
type rumours struct {
	queue []*rumour
	index map[string]*rumour
}

func newRumours() rumours { return rumours{index: map[string]*rumour{}} }

// add starts a rumour over.
func (rumours *rumours) add(key string, now carobthread.Instant) {
	if held, found := rumours.index[key]; found {
		held.since = now
		held.sent = [audiences]int{}
		return
	}
	entry := &rumour{key: key, since: now}
	rumours.index[key] = entry
	rumours.queue = append(rumours.queue, entry)
}

// heard counts a copy received from another host as a repeat, which ends widely known rumours early.
func (rumours *rumours) heard(key string, audience Audience) {
	if held, found := rumours.index[key]; found {
		held.sent[audience]++
	}
}

// pick returns the least repeated rumours that are left for the audience and counts the repeat.
func (rumours *rumours) pick(audience Audience, limit, hosts int) []string {
	repeats := bits.Len(uint(hosts)) + extraRepeats
	var open []*rumour
	for _, entry := range rumours.queue {
		if entry.sent[audience] < repeats {
			open = append(open, entry)
		}
	}
	slices.SortStableFunc(open, func(a, b *rumour) int { return cmp.Compare(a.sent[audience], b.sent[audience]) })
	keys := make([]string, 0, min(limit, len(open)))
	for _, entry := range open[:min(limit, len(open))] {
		entry.sent[audience]++
		keys = append(keys, entry.key)
	}
	return keys
}

func (rumours *rumours) expire(now carobthread.Instant) {
	rumours.queue = slices.DeleteFunc(rumours.queue, func(entry *rumour) bool {
		over := now.Sub(entry.since) > rumourSpan
		if over {
			delete(rumours.index, entry.key)
		}
		return over
	})
}
