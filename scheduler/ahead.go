package scheduler

import "time"

// minReturn is the shortest time after which a refused caller is asked to come back: the same queue would meet an earlier one.
const minReturn = 20 * time.Millisecond

// Ahead is the part of the queues for a shard's searchers that is sent before a new attempt.
type Ahead struct {
	// Own counts the waiting attempts of the new one's service. The late ones among them count as well, although they are sent
	// after it: they show that the estimated rate is too high.
	Own int
	// OwnRate is the number of attempts of the service per second that the shard takes if none of another service waits.
	OwnRate float64
	// Others counts the attempts of other services that are sent before the new one, and OtherTime is the time that they take.
	Others    int
	OtherTime time.Duration
	// OtherServices counts the services that wait, whether their attempts are sent before the new one or get turns.
	OtherServices int
}

// Count returns the number of attempts ahead.
func (ahead *Ahead) Count() int { return ahead.Own + ahead.Others }

// Wait estimates the time until the attempts ahead have been sent; OwnRate must be above 0. The services served least
// recently share TurnShare of the time, which bounds the wait of a less urgent service and lengthens that of an urgent one.
func (ahead *Ahead) Wait() time.Duration {
	own := Duration(ahead.Own, ahead.OwnRate)
	if ahead.OtherServices == 0 {
		return own
	}
	byTurns := float64(Duration((ahead.Own+1)*ahead.OtherServices, ahead.OwnRate)) / TurnShare
	return min(time.Duration(float64(own)/(1-TurnShare))+ahead.OtherTime, time.Duration(byTurns))
}

// Duration returns how long a number of attempts takes at a rate per second above 0.
func Duration(attempts int, rate float64) time.Duration {
	return time.Duration(float64(attempts) / rate * float64(time.Second))
}

// ReturnAfter returns how long a refused caller is to wait until the queue is short enough for it. Callers refused at the same
// time are spread over half of the wait; random is from 0 to below 1. A wider spread, over the time that the queue takes for
// all callers refused so far, would bring most of them back too late for their target.
func ReturnAfter(wait time.Duration, random float64) time.Duration {
	wait = max(wait, minReturn)
	return wait + time.Duration(random*float64(wait)/2)
}
