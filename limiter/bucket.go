package limiter

import "math"

// tokenUnits is the number of units in one token; integer units let fractional deposits add up without rounding errors.
const tokenUnits = 10_000

// Bucket is a token bucket that is refilled in proportion to the work done rather than by time.
//
// It starts empty, so the tokens taken never exceed ratio * deposits. The
// capacity limits how many of them can be taken in one burst.
type Bucket struct {
	ratio    int64
	capacity int64
	tokens   int64
}

// NewBucket returns an empty bucket that gains ratio tokens per deposit.
func NewBucket(ratio float64, capacity int) Bucket {
	bucket := Bucket{}
	bucket.Configure(ratio, capacity)
	return bucket
}

// Configure sets the ratio and the capacity and drops the tokens that exceed the new capacity.
func (bucket *Bucket) Configure(ratio float64, capacity int) {
	bucket.ratio = int64(math.Floor(ratio*tokenUnits + 1e-9))
	bucket.capacity = int64(capacity) * tokenUnits
	bucket.tokens = min(bucket.tokens, bucket.capacity)
}

// Deposit counts one unit of work and adds ratio tokens, up to the capacity.
func (bucket *Bucket) Deposit() {
	bucket.tokens = min(bucket.tokens+bucket.ratio, bucket.capacity)
}

// Take removes the given number of tokens, or returns false and removes none if the bucket holds fewer.
func (bucket *Bucket) Take(tokens int) bool {
	if bucket.tokens < int64(tokens)*tokenUnits {
		return false
	}
	bucket.tokens -= int64(tokens) * tokenUnits
	return true
}

// Refund puts back tokens that were taken for work that did not start.
func (bucket *Bucket) Refund(tokens int) {
	bucket.tokens = min(bucket.tokens+int64(tokens)*tokenUnits, bucket.capacity)
}

// Tokens returns the number of whole tokens in the bucket.
func (bucket *Bucket) Tokens() int { return int(bucket.tokens / tokenUnits) }

// Budget limits the extra attempts: hedges and, during a fault, retries and the attempts of a query that is moved to
// another layout or snapshot.
//
// Hedges take tokens from the normal bucket only. Retries and moves take them
// from the normal bucket first and then from the fault bucket. Extra attempts
// therefore stay within ratio times the first attempts while nothing fails and
// within twice that during any fault.
type Budget struct {
	normal Bucket
	fault  Bucket
}

// Configure sets the tokens that each bucket gains per first attempt and the capacity of each bucket.
func (budget *Budget) Configure(ratio float64, burst int) {
	budget.normal.Configure(ratio, burst)
	budget.fault.Configure(ratio, burst)
}

// Deposit counts one first attempt.
func (budget *Budget) Deposit() {
	budget.normal.Deposit()
	budget.fault.Deposit()
}

// TakeHedge takes the token for one hedge and reports whether there was one.
func (budget *Budget) TakeHedge() bool { return budget.normal.Take(1) }

// TakeRetry takes the tokens for the given number of retried or moved attempts, all or none, and reports whether it did.
func (budget *Budget) TakeRetry(attempts int) bool {
	fromNormal := min(attempts, budget.normal.Tokens())
	if !budget.fault.Take(attempts - fromNormal) {
		return false
	}
	return budget.normal.Take(fromNormal)
}

// Refund puts the tokens of attempts that were not sent into the fault bucket.
func (budget *Budget) Refund(attempts int) { budget.fault.Refund(attempts) }
