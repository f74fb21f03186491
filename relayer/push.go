package relayer

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/tracker"
)

// A push goes along the relay tree of its root and is passed on once by each
// host, whether or not its content is new there, since an exchange may have
// been faster. When a child does not answer, its parent takes the child's
// children over, so one lost host costs one timeout and no subtree.

const (
	// Hosts with different views may disagree on a tree; the bound ends a push that goes in circles.
	maxHops      = 16
	seenPushes   = 256
	maxPushSize  = 256 << 10
	takeOverSpan = 300 * time.Millisecond
)

type pushKey struct {
	root     string
	sequence uint64
}

// delayedPush waits whether the first reader's push arrives, so that the other readers push only in its place.
type delayedPush struct {
	due     carobthread.Instant
	entries []Entry
}

type pusher struct {
	sequence uint64
	seen     []pushKey
	delayed  []delayedPush
}

// firstSight remembers a push and reports whether it is new.
func (pusher *pusher) firstSight(key pushKey) bool {
	if slices.Contains(pusher.seen, key) {
		return false
	}
	pusher.seen = append(pusher.seen, key)
	if over := len(pusher.seen) - seenPushes; over > 0 {
		pusher.seen = slices.Delete(pusher.seen, 0, over)
	}
	return true
}

// pushEntries starts pushes of active objects with the own host as root.
func (relayer *Relayer) pushEntries(entries []Entry) {
	for len(entries) > 0 {
		objects := relayer.encoded(entries, maxPushSize)
		if len(objects) == 0 {
			return
		}
		entries = entries[min(len(objects), len(entries)):]
		relayer.pushFromHere(Push{Objects: Pack(objects)})
	}
}

func (relayer *Relayer) pushFromHere(push Push) {
	relayer.pusher.sequence++
	push.Root = relayer.options.Self.Name
	push.Sequence = relayer.pusher.sequence
	relayer.pusher.firstSight(pushKey{root: push.Root, sequence: push.Sequence})
	relayer.passOn(push, relayer.options.Self.Name)
}

// passOn sends the push to the children of the host in the root's tree.
func (relayer *Relayer) passOn(push Push, host string) {
	push.Hops++
	if push.Hops > maxHops {
		return
	}
	for _, child := range relayer.roles.Children(relayer.options.Self.DataCentre, push.Root, host) {
		if child == relayer.options.Self.Name {
			continue
		}
		call(relayer, child, MethodPush, push, pushTimeout, func(answer *Pushed) {
			if answer == nil {
				relayer.passOn(push, child)
			}
		})
	}
}

func (relayer *Relayer) servePush(from string, push Push) Pushed {
	relayer.received(from, tracker.Gossip{Marks: push.Marks})
	if push.Root != "" && !relayer.pusher.firstSight(pushKey{root: push.Root, sequence: push.Sequence}) {
		return Pushed{}
	}
	activated := relayer.offerPacked(from, push.Objects)
	switch push.Root {
	case "":
		// A repair from another data centre brings news to this one.
		if relayer.audience(from) == tracker.Far {
			relayer.pushEntries(activated)
		}
	case relayer.options.Self.Name:
		relayer.pushFromHere(Push{Marks: push.Marks, Objects: push.Objects})
	default:
		if len(push.Objects) > 0 {
			relayer.dropDelayed()
		}
		relayer.passOn(push, relayer.options.Self.Name)
	}
	return Pushed{}
}

// pushRead pushes what was read from the platform: at once as first reader, else in place of a missing push.
func (relayer *Relayer) pushRead(entries []Entry) {
	rank := relayer.rank()
	if rank <= 0 {
		relayer.pushEntries(entries)
		return
	}
	due := relayer.now.Add(time.Duration(rank) * takeOverSpan)
	relayer.pusher.delayed = append(relayer.pusher.delayed, delayedPush{due: due, entries: entries})
}

// dropDelayed forgets waiting pushes, since another reader's push has come.
func (relayer *Relayer) dropDelayed() { relayer.pusher.delayed = nil }

func (relayer *Relayer) advancePushes() {
	waiting := relayer.pusher.delayed
	relayer.pusher.delayed = nil
	for _, delayed := range waiting {
		if relayer.now < delayed.due {
			relayer.pusher.delayed = append(relayer.pusher.delayed, delayed)
			continue
		}
		relayer.pushEntries(delayed.entries)
	}
}

// pushMark spreads a searcher's mark: along the own data centre's tree and to one reader of each other one.
func (relayer *Relayer) pushMark(searcher string) {
	marks := slices.DeleteFunc(relayer.tracked.Marks(), func(mark tracker.Mark) bool { return mark.Searcher != searcher })
	relayer.pushFromHere(Push{Marks: marks})
	for _, centre := range relayer.roles.Links(relayer.options.Self.DataCentre) {
		relayer.pushFar(Push{Marks: marks}, centre.Readers)
	}
}

// pushFar makes the first reader that answers the root of a push in its data centre.
func (relayer *Relayer) pushFar(push Push, readers []string) {
	if len(readers) == 0 {
		return
	}
	relayer.pusher.sequence++
	push.Root, push.Sequence = readers[0], relayer.pusher.sequence
	call(relayer, readers[0], MethodPush, push, pushTimeout, func(answer *Pushed) {
		if answer == nil {
			relayer.pushFar(push, readers[1:])
		}
	})
}
