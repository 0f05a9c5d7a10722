package placement

import (
	"sync"
	"time"
)

// Parts of the fleet's retry budget that nodes use. The rest of the ratio covers
// calls made by repeated runs, which count as repeats at the service that is
// called and cannot be told apart there: with 0.6, two calls by each repeat of
// one service used up the budget of another.
const (
	ratioMargin = 0.4
	slackMargin = 0.8
)

// budgetParts is the number of parts in which a window slides.
const budgetParts = 10

// RetryBudget bounds the repeats that a node sends to one service: a share of its
// requests in a sliding window plus its part of a slack that all nodes share.
// Each node keeps its own part, so that nothing is agreed per repeat.
//
// The load pattern it answers: failures of many endpoints at once, for which
// unbounded repeats multiply the load on those left.
type RetryBudget struct {
	mu sync.Mutex
	// start is the origin of part indices; differences of times ignore steps of
	// the wall clock.
	start  time.Time
	ratio  float64
	window time.Duration
	slack  float64
	parts  [budgetParts]budgetPart
}

type budgetPart struct {
	index    int64
	requests float64
	repeats  float64
}

// NewRetryBudget returns a budget. ratio is the share of repeats per request in any
// window, slack the number of further repeats that all nodes together may send
// in it.
func NewRetryBudget(ratio float64, window time.Duration, slack float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: window, slack: slack}
}

// RecordRequest counts a request of a client.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	b.part(now).requests++
	b.mu.Unlock()
}

// TryWithdraw counts a repeat and reports whether the budget allows it. nodes is the
// number of nodes that share the slack.
func (b *RetryBudget) TryWithdraw(now time.Time, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := b.part(now)
	var requests, repeats float64
	oldest := part.index - budgetParts
	for _, p := range b.parts {
		if p.index > oldest {
			requests += p.requests
			repeats += p.repeats
		}
	}
	allowed := ratioMargin*b.ratio*requests + slackMargin*b.slack/float64(max(nodes, 1))
	if repeats+1 > allowed {
		return false
	}
	part.repeats++
	return true
}

// Refund takes back a repeat that reached no endpoint.
func (b *RetryBudget) Refund(now time.Time) {
	b.mu.Lock()
	b.part(now).repeats--
	b.mu.Unlock()
}

func (b *RetryBudget) part(now time.Time) *budgetPart {
	if b.start.IsZero() {
		b.start = now.Add(-b.window)
	}
	index := int64(now.Sub(b.start) / (b.window / budgetParts))
	p := &b.parts[index%budgetParts]
	if p.index != index {
		*p = budgetPart{index: index}
	}
	return p
}
