package soak_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stallTick is the time between two looks at the clock, shortestStall the shortest delay
// of a look that counts as a stall.
const (
	stallTick     = 10 * time.Millisecond
	shortestStall = 100 * time.Millisecond
)

// stalls are the times in which this process, which holds the clients, the endpoints and
// the links between the nodes, did not run: what it sent or took in then is late for a
// reason that no node can know.
type stalls struct {
	mu   sync.Mutex
	list []stall
}

type stall struct{ from, to time.Time }

// watch records stalls until ctx ends.
func (s *stalls) watch(ctx context.Context) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) >= shortestStall {
			s.mu.Lock()
			s.list = append(s.list, stall{last, now})
			s.mu.Unlock()
		}
		last = now
	}
}

// between returns how long the process was stalled between two times.
func (s *stalls) between(from, to time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total time.Duration
	for _, x := range s.list {
		start, end := x.from, x.to
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		total += max(end.Sub(start), 0)
	}
	return total
}

// Guards against bounds that are lengthened by stalls outside the time in question.
func TestStallsBetween(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	s := &stalls{list: []stall{{at(100), at(300)}, {at(500), at(600)}}}
	for _, test := range []struct{ from, to, want int }{
		{0, 1000, 300}, {0, 100, 0}, {300, 500, 0}, {200, 550, 150}, {150, 200, 50}, {700, 800, 0},
	} {
		assert.Equal(t, s.between(at(test.from), at(test.to)), time.Duration(test.want)*time.Millisecond, "%+v", test)
	}
}
