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

// Stalls, times in which a process got no CPU, extend the time bounds of the checks: they
// delay requests for a reason that no node can know. minStall is the shortest delay of a
// poll that counts as a stall. maxStopStall is the time of stalls within a grace period
// from which a node may exceed it.
const (
	stallPollInterval = 50 * time.Millisecond
	minStall          = 20 * time.Millisecond
	maxStopStall      = 300 * time.Millisecond
)

// stalls records the times in which a process got no CPU. It is safe for concurrent use.
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

// watchSelf records the stalls of the test process, which runs the clients, the endpoints
// and the proxies between the nodes, until ctx ends.
func (s *stalls) watchSelf(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallPollInterval)
		if now := time.Now(); now.Sub(before) >= stallPollInterval+minStall {
			s.add(before.Add(stallPollInterval), now)
		}
	}
}

// watchNode records the times in which a thread of the node was ready to run and got no
// CPU, until ctx ends. It reads the kernel's scheduler statistics of each thread and
// records nothing on a kernel without them.
func (inst *instance) watchNode(ctx context.Context) {
	lastWait := make(map[string]int64)
	for ; ctx.Err() == nil; time.Sleep(stallPollInterval) {
		p := inst.lastProcess()
		if p == nil {
			continue
		}
		statFiles, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.PID()))
		if err != nil {
			inst.fleet.logf("threads of %s: %v", inst.name, err)
			return
		}
		var longest time.Duration
		for _, statFile := range statFiles {
			content, err := os.ReadFile(statFile)
			if err != nil {
				continue // The thread has ended.
			}
			var ran, waiting int64
			if _, err := fmt.Sscan(string(content), &ran, &waiting); err != nil {
				inst.fleet.logf("%s: %v", statFile, err)
				return
			}
			if before, known := lastWait[statFile]; known {
				longest = max(longest, time.Duration(waiting-before))
			}
			lastWait[statFile] = waiting
		}
		if longest >= minStall {
			now := time.Now()
			inst.stalls.add(now.Add(-longest), now)
		}
	}
}

// Verifies that a stall counts only as far as it overlaps the given interval: stalls
// outside of it must not extend the time bounds of the checks.
func TestStallsBetweenCountsOnlyTheGivenInterval(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	s := &stalls{list: []stall{{at(100), at(300)}, {at(500), at(600)}}}
	for _, test := range []struct{ from, to, want int }{
		{0, 1000, 300}, {0, 100, 0}, {300, 500, 0}, {200, 550, 150}, {150, 200, 50}, {700, 800, 0},
	} {
		assert.Equal(t, s.between(at(test.from), at(test.to)), time.Duration(test.want)*time.Millisecond, "%+v", test)
	}
}
