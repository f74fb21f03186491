package bencher

import (
	"container/heap"
	"time"

	"carobthread"
)

// loop is a discrete-event loop on virtual time. It runs events in time order, and events of the same time in the order in
// which they were scheduled.
type loop struct {
	now      carobthread.Instant
	sequence uint64
	queue    eventQueue
}

type scheduledEvent struct {
	at       carobthread.Instant
	sequence uint64
	run      func()
}

// at schedules run for the given time, or for now if that time has passed.
func (loop *loop) at(when carobthread.Instant, run func()) {
	loop.sequence++
	heap.Push(&loop.queue, &scheduledEvent{at: max(when, loop.now), sequence: loop.sequence, run: run})
}

func (loop *loop) after(span time.Duration, run func()) { loop.at(loop.now.Add(span), run) }

// runUntil runs all events up to and including the given time, then sets the clock to it.
func (loop *loop) runUntil(end carobthread.Instant) {
	for len(loop.queue) > 0 && loop.queue[0].at <= end {
		next := heap.Pop(&loop.queue).(*scheduledEvent)
		loop.now = next.at
		next.run()
	}
	loop.now = end
}

// eventQueue is a heap ordered by time, then by sequence.
type eventQueue []*scheduledEvent

var _ heap.Interface = (*eventQueue)(nil)

func (queue eventQueue) Len() int { return len(queue) }

func (queue eventQueue) Less(i, j int) bool {
	if queue[i].at != queue[j].at {
		return queue[i].at < queue[j].at
	}
	return queue[i].sequence < queue[j].sequence
}

func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

func (queue *eventQueue) Push(item any) { *queue = append(*queue, item.(*scheduledEvent)) }

func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	item := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	return item
}
