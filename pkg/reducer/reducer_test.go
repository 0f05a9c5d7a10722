package reducer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type sum struct{ total int }

func (s *sum) Step(_ time.Time, event int) []int {
	s.total += event
	return []int{s.total}
}

type memoryLog struct{ entries []RecordedEvent[int] }

func (m *memoryLog) Record(entry RecordedEvent[int]) { m.entries = append(m.entries, entry) }

// Guards against a loop that carries out effects out of order, or records
// events that do not replay to the same effects.
func TestLoopReplay(t *testing.T) {
	log := &memoryLog{}
	effects := make(chan int, 8)
	x := ExecutorFunc[int](func(_ context.Context, effect int) { effects <- effect })
	loop := NewLoop[int, int](&sum{}, x, Options[int]{Recorder: log})
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	go func() { defer close(finished); loop.Run(ctx) }()

	for _, event := range []int{3, 4, 5} {
		assert.Assert(t, loop.Submit(ctx, event))
	}
	var live [][]int
	for range 3 {
		live = append(live, []int{<-effects})
	}
	cancel()
	<-finished

	assert.DeepEqual(t, live, [][]int{{3}, {7}, {12}})
	assert.DeepEqual(t, Replay[int, int](&sum{}, log.entries), live)
	assert.Assert(t, !loop.Submit(context.Background(), 1), "a finished loop must not accept events")
}
