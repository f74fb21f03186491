package gatherer

import (
	"cmp"
	"slices"
)

// maxQueues bounds the services whose queues are reported.
const maxQueues = 8

// ServiceQueue describes the attempts of one service that wait for slots.
type ServiceQueue struct {
	Service  string  `json:"service"`
	Priority float64 `json:"priority"`
	Waiting  int     `json:"waiting"`
	// Late counts the waiting attempts whose replies are no longer expected by the target.
	Late int `json:"late"`
	// LongestMicros is the longest time that one of them has waited in microseconds.
	LongestMicros int64 `json:"longest-us"`
}

// Waiting returns the number of attempts that wait for slots.
func (gatherer *Gatherer) Waiting() int { return gatherer.waiting }

// Queues describes the queues of the services with the most waiting attempts, the longest one first.
func (gatherer *Gatherer) Queues() []ServiceQueue {
	byService := map[*serviceRow]*ServiceQueue{}
	for _, row := range gatherer.waitingShards {
		for _, waiting := range row.waiting {
			service := waiting.query.service
			queue := byService[service]
			if queue == nil {
				queue = &ServiceQueue{Service: service.config.Name, Priority: service.config.Priority}
				byService[service] = queue
			}
			queue.Waiting++
			if !gatherer.inTime(waiting.query) {
				queue.Late++
			}
			queue.LongestMicros = max(queue.LongestMicros, gatherer.now.Sub(waiting.since).Microseconds())
		}
	}
	queues := []ServiceQueue{}
	for _, queue := range byService {
		queues = append(queues, *queue)
	}
	slices.SortFunc(queues, func(left, right ServiceQueue) int {
		return cmp.Or(cmp.Compare(right.Waiting, left.Waiting), cmp.Compare(left.Service, right.Service))
	})
	return queues[:min(len(queues), maxQueues)]
}
