package placement

import (
	"sync"
	"time"
)

// Fractions of the fleet's retry budget that nodes use. Calls made by retried requests
// count as retries at the called service. RecordInduced charges them, by estimate, to the
// node where they begin, which cannot refuse them; the rest of the ratio covers nodes that
// are charged more than they may use.
const (
	ratioFraction = 0.4
	slackFraction = 0.8
)

// windowBuckets is the number of buckets of the sliding window. One more is kept: with the
// current bucket, which has just begun, windowBuckets cover as little as nine tenths of the
// window, and the retries in a whole window exceeded the budget by up to a tenth.
const (
	windowBuckets = 10
	budgetBuckets = windowBuckets + 1
)

// RetryBudget bounds the retries that a node sends to one service: a ratio of its
// requests in a sliding window plus its part of a slack that all nodes share. Each
// node keeps its own part, so that retries need no coordination.
//
// It limits retries when many endpoints fail at once: without a bound, they multiply
// the load on the remaining ones.
type RetryBudget struct {
	mu sync.Mutex
	// origin is the time of bucket index 0. Indices derive from time differences,
	// which ignore steps of the wall clock.
	origin  time.Time
	ratio   float64
	window  time.Duration
	slack   float64
	buckets [budgetBuckets]budgetBucket
}

type budgetBucket struct {
	index    int64
	requests float64
	retries  float64
}

// NewRetryBudget returns a budget. ratio is the number of retries per request in any
// window, slack the number of additional retries that all nodes together may send
// in it.
func NewRetryBudget(ratio float64, window time.Duration, slack float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: window, slack: slack}
}

// RecordRequest counts a client request.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	b.currentBucket(now).requests++
	b.mu.Unlock()
}

// RecordInduced counts a call that is made, with the given probability, by a retried
// request.
func (b *RetryBudget) RecordInduced(now time.Time, probability float64) {
	b.mu.Lock()
	b.currentBucket(now).retries += probability
	b.mu.Unlock()
}

// TryWithdraw reports whether the budget allows a retry and, if so, counts it. nodes is
// the number of nodes that share the slack.
func (b *RetryBudget) TryWithdraw(now time.Time, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucket(now)
	var requests, retries float64
	for _, bucket := range b.buckets {
		switch age := current.index - bucket.index; {
		case age < windowBuckets:
			requests += bucket.requests
			retries += bucket.retries
		case age == windowBuckets:
			retries += bucket.retries
		}
	}
	allowed := ratioFraction*b.ratio*requests + slackFraction*b.slack/float64(max(nodes, 1))
	if retries+1 > allowed {
		return false
	}
	current.retries++
	return true
}

// Refund removes a counted retry that reached no endpoint.
func (b *RetryBudget) Refund(now time.Time) {
	b.mu.Lock()
	b.currentBucket(now).retries--
	b.mu.Unlock()
}

func (b *RetryBudget) currentBucket(now time.Time) *budgetBucket {
	if b.origin.IsZero() {
		b.origin = now.Add(-2 * b.window)
	}
	index := int64(now.Sub(b.origin) / (b.window / windowBuckets))
	bucket := &b.buckets[index%budgetBuckets]
	if bucket.index != index {
		*bucket = budgetBucket{index: index}
	}
	return bucket
}
