// Package reducer runs deterministic state machines. A state machine applies one event
// at a time and returns effects as data, which an executor carries out.
package reducer

import (
	"context"
	"time"
)

// Reducer is a deterministic state machine. Step does no I/O, starts no
// goroutine and reads no clock; equal events at equal times give equal effects.
type Reducer[E, F any] interface {
	// Step applies one event at time now and returns the effects in the order in
	// which they must be carried out.
	Step(now time.Time, event E) []F
}

// Executor carries out effects. Execute must not block for long; it starts slow
// work in the background and reports its result as a later event.
type Executor[F any] interface {
	Execute(ctx context.Context, effect F)
}

// ExecutorFunc adapts a function to Executor.
type ExecutorFunc[F any] func(ctx context.Context, effect F)

// Execute calls f.
func (f ExecutorFunc[F]) Execute(ctx context.Context, effect F) { f(ctx, effect) }

// RecordedEvent is an event and the time at which it was applied.
type RecordedEvent[E any] struct {
	Time  time.Time
	Event E
}

// Recorder receives each event before it is applied.
type Recorder[E any] interface {
	Record(entry RecordedEvent[E])
}

// Replay applies recorded events to r and returns the effects of each.
func Replay[E, F any](r Reducer[E, F], events []RecordedEvent[E]) [][]F {
	effects := make([][]F, 0, len(events))
	for _, entry := range events {
		effects = append(effects, r.Step(entry.Time, entry.Event))
	}
	return effects
}
