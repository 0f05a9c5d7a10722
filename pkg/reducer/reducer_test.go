package reducer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type summingReducer struct{ total int }

func (s *summingReducer) Step(_ time.Time, event int) []int {
	s.total += event
	return []int{s.total}
}

type memoryRecorder struct{ entries []RecordedEvent[int] }

func (m *memoryRecorder) Record(entry RecordedEvent[int]) { m.entries = append(m.entries, entry) }

// Verifies that a loop carries out effects in order, that a replay of the recorded
// events yields the same effects, and that a finished loop accepts no events.
func TestReplayYieldsEffectsOfLoop(t *testing.T) {
	recorder := &memoryRecorder{}
	effects := make(chan int, 8)
	x := ExecutorFunc[int](func(_ context.Context, effect int) { effects <- effect })
	loop := NewLoop[int, int](&summingReducer{}, x, Options[int]{Recorder: recorder})
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
	assert.DeepEqual(t, Replay[int, int](&summingReducer{}, recorder.entries), live)
	assert.Assert(t, !loop.Submit(context.Background(), 1), "finished loop accepted an event")
}
