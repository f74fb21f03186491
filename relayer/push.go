package relayer

import (
	"slices"
	"time"

	"carobthread"
	"carobthread/tracker"
)

// A push is sent along the relay tree of its root. Each host forwards it once,
// even if the host has its content already, since an exchange may have been
// faster than the push. When a child does not answer, its parent sends the push
// to the child's children instead, so a lost host costs one timeout and not its
// subtree.

const (
	// maxHops ends pushes that loop because hosts with different views disagree on a tree.
	maxHops             = 16
	maxSeenPushes       = 256
	maxPushSize         = 256 << 10
	readerTakeOverDelay = 300 * time.Millisecond
)

// pushKey identifies a push.
type pushKey struct {
	root     string
	sequence uint64
}

// delayedPush is a push of a reader other than the first. It is sent when due unless another reader's push arrives
// before.
type delayedPush struct {
	due     carobthread.Instant
	entries []Entry
}

// pusher is the state of the pushes of one host.
type pusher struct {
	sequence uint64
	seen     []pushKey
	delayed  []delayedPush
}

// recordSeen records a push as seen and reports whether it is new.
func (pusher *pusher) recordSeen(key pushKey) bool {
	if slices.Contains(pusher.seen, key) {
		return false
	}
	pusher.seen = append(pusher.seen, key)
	if excess := len(pusher.seen) - maxSeenPushes; excess > 0 {
		pusher.seen = slices.Delete(pusher.seen, 0, excess)
	}
	return true
}

// pushEntries pushes the active objects of the entries, with this host as root.
func (relayer *Relayer) pushEntries(entries []Entry) {
	for len(entries) > 0 {
		objects := relayer.encodedObjects(entries, maxPushSize)
		if len(objects) == 0 {
			return
		}
		entries = entries[min(len(objects), len(entries)):]
		relayer.pushAsRoot(PushRequest{Objects: Pack(objects)})
	}
}

func (relayer *Relayer) pushAsRoot(push PushRequest) {
	relayer.pusher.sequence++
	push.Root = relayer.options.Self.Name
	push.Sequence = relayer.pusher.sequence
	relayer.pusher.recordSeen(pushKey{root: push.Root, sequence: push.Sequence})
	relayer.forwardPush(push, relayer.options.Self.Name)
}

// forwardPush sends the push to the children that the given host has in the root's tree.
func (relayer *Relayer) forwardPush(push PushRequest, host string) {
	push.Hops++
	if push.Hops > maxHops {
		return
	}
	for _, child := range relayer.roles.Children(relayer.options.Self.DataCentre, push.Root, host) {
		if child == relayer.options.Self.Name {
			continue
		}
		call(relayer, child, MethodPush, push, pushTimeout, func(response *PushResponse) {
			if response == nil {
				relayer.forwardPush(push, child)
			}
		})
	}
}

func (relayer *Relayer) servePush(from string, push PushRequest) PushResponse {
	relayer.receiveGossip(from, tracker.Gossip{Marks: push.Marks})
	if push.Root != "" && !relayer.pusher.recordSeen(pushKey{root: push.Root, sequence: push.Sequence}) {
		return PushResponse{}
	}
	activated := relayer.offerPacked(from, push.Objects)
	switch push.Root {
	case "":
		// A push without a root repairs this host. One from another data centre may be new to all hosts of this one.
		if relayer.locality(from) == tracker.OtherDataCentre {
			relayer.pushEntries(activated)
		}
	case relayer.options.Self.Name:
		relayer.pushAsRoot(PushRequest{Marks: push.Marks, Objects: push.Objects})
	default:
		if len(push.Objects) > 0 {
			relayer.cancelDelayedPushes()
		}
		relayer.forwardPush(push, relayer.options.Self.Name)
	}
	return PushResponse{}
}

// pushPlatformObjects pushes objects read from the platform: the first reader at once, the others after a delay unless
// another push arrives meanwhile.
func (relayer *Relayer) pushPlatformObjects(entries []Entry) {
	rank := relayer.rank()
	if rank <= 0 {
		relayer.pushEntries(entries)
		return
	}
	due := relayer.now.Add(time.Duration(rank) * readerTakeOverDelay)
	relayer.pusher.delayed = append(relayer.pusher.delayed, delayedPush{due: due, entries: entries})
}

// cancelDelayedPushes cancels the delayed pushes after another reader's push has arrived.
func (relayer *Relayer) cancelDelayedPushes() { relayer.pusher.delayed = nil }

// advanceDelayedPushes sends the delayed pushes that are due.
func (relayer *Relayer) advanceDelayedPushes() {
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

// pushMark pushes a searcher's mark along the local data centre's tree and to one reader of each other data centre.
func (relayer *Relayer) pushMark(searcher string) {
	marks := slices.DeleteFunc(relayer.membership.Marks(), func(mark tracker.SearcherMark) bool { return mark.Searcher != searcher })
	relayer.pushAsRoot(PushRequest{Marks: marks})
	for _, centre := range relayer.roles.RemoteReaders(relayer.options.Self.DataCentre) {
		relayer.pushRemote(PushRequest{Marks: marks}, centre.Readers)
	}
}

// pushRemote sends the push to the first of the given readers that answers; that reader becomes the root of the push in its
// data centre.
func (relayer *Relayer) pushRemote(push PushRequest, readers []string) {
	if len(readers) == 0 {
		return
	}
	relayer.pusher.sequence++
	push.Root, push.Sequence = readers[0], relayer.pusher.sequence
	call(relayer, readers[0], MethodPush, push, pushTimeout, func(response *PushResponse) {
		if response == nil {
			relayer.pushRemote(push, readers[1:])
		}
	})
}
