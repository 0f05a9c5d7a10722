package soak_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Times at which processes did not run lengthen the bounds on times: what was sent or
// taken in then is late for a reason that no node can know. stallTick is the time between
// two looks, shortestStall the shortest delay of a look that counts.
const (
	stallTick     = 50 * time.Millisecond
	shortestStall = 20 * time.Millisecond
)

// stalls are the times in which a process did not run. They are safe for concurrent use.
type stalls struct {
	mu   sync.Mutex
	list []stall
}

type stall struct{ from, to time.Time }

func (s *stalls) add(from, to time.Time) {
	s.mu.Lock()
	s.list = append(s.list, stall{from, to})
	s.mu.Unlock()
}

// between returns how long the process did not run between two times.
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

// watchOwn records the stalls of this process, which holds the clients, the endpoints and
// the links between the nodes, until ctx ends.
func (s *stalls) watchOwn(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallTick)
		if now := time.Now(); now.Sub(before) >= stallTick+shortestStall {
			s.add(before.Add(stallTick), now)
		}
	}
}

// watchNode records the times in which a thread of the machine's node was ready to run and
// got no processor, until ctx ends. They come from the kernel's account of each thread;
// without one there are none.
func (m *machine) watchNode(ctx context.Context) {
	waited := make(map[string]int64)
	for ; ctx.Err() == nil; time.Sleep(stallTick) {
		p := m.running()
		if p == nil {
			continue
		}
		accounts, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.PID()))
		if err != nil {
			m.fleet.log("threads of %s: %v", m.name, err)
			return
		}
		var longest time.Duration
		for _, account := range accounts {
			content, err := os.ReadFile(account)
			if err != nil {
				continue // The thread has ended.
			}
			var ran, waiting int64
			if _, err := fmt.Sscan(string(content), &ran, &waiting); err != nil {
				m.fleet.log("%s: %v", account, err)
				return
			}
			if before, known := waited[account]; known {
				longest = max(longest, time.Duration(waiting-before))
			}
			waited[account] = waiting
		}
		if longest >= shortestStall {
			now := time.Now()
			m.stalls.add(now.Add(-longest), now)
		}
	}
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
