package limiter

import "math"

// tokenUnits divides a token so that deposits of a share add up without rounding.
const tokenUnits = 10_000

// Bucket is a token bucket that is filled by a share of the work done rather than by time.
//
// It starts empty, so what has been taken never exceeds share * deposits. The
// capacity bounds how much of that may be taken in one burst.
type Bucket struct {
	share    int64
	capacity int64
	tokens   int64
}

// NewBucket returns an empty bucket that gains share tokens for each deposit.
func NewBucket(share float64, capacity int) Bucket {
	bucket := Bucket{}
	bucket.Configure(share, capacity)
	return bucket
}

// Configure replaces share and capacity and keeps the tokens that still fit.
func (bucket *Bucket) Configure(share float64, capacity int) {
	bucket.share = int64(math.Floor(share*tokenUnits + 1e-9))
	bucket.capacity = int64(capacity) * tokenUnits
	bucket.tokens = min(bucket.tokens, bucket.capacity)
}

// Deposit adds the share of one unit of work.
func (bucket *Bucket) Deposit() {
	bucket.tokens = min(bucket.tokens+bucket.share, bucket.capacity)
}

// Take removes the tokens if the bucket holds all of them.
func (bucket *Bucket) Take(tokens int) bool {
	if bucket.tokens < int64(tokens)*tokenUnits {
		return false
	}
	bucket.tokens -= int64(tokens) * tokenUnits
	return true
}

// Refund returns tokens that were taken for work that did not start.
func (bucket *Bucket) Refund(tokens int) {
	bucket.tokens = min(bucket.tokens+int64(tokens)*tokenUnits, bucket.capacity)
}

// Tokens returns the number of whole tokens held.
func (bucket *Bucket) Tokens() int { return int(bucket.tokens / tokenUnits) }

// Budget pays for extra attempts: hedges and, in a fault, retries and moves.
//
// Hedges draw on the first bucket alone. Retries and moves draw on the first
// and then on the second, so extra load stays within one share of the first
// attempts while nothing fails and within two shares in any fault.
type Budget struct {
	normal Bucket
	fault  Bucket
}

// Configure sets the share of first attempts that each bucket gains and the burst of each bucket.
func (budget *Budget) Configure(share float64, burst int) {
	budget.normal.Configure(share, burst)
	budget.fault.Configure(share, burst)
}

// Deposit counts one first attempt.
func (budget *Budget) Deposit() {
	budget.normal.Deposit()
	budget.fault.Deposit()
}

// TakeHedge pays for one hedge.
func (budget *Budget) TakeHedge() bool { return budget.normal.Take(1) }

// TakeRetry pays for that many retries or moved attempts, all or none.
func (budget *Budget) TakeRetry(attempts int) bool {
	fromNormal := min(attempts, budget.normal.Tokens())
	if !budget.fault.Take(attempts - fromNormal) {
		return false
	}
	return budget.normal.Take(fromNormal)
}

// Refund returns payment for attempts that were not sent.
func (budget *Budget) Refund(attempts int) { budget.fault.Refund(attempts) }
