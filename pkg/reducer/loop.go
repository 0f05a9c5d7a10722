package reducer

import (
	"context"
	"time"
)

// inboxSize is the number of events that a loop queues.
const inboxSize = 1024

// Loop applies events to one reducer in a single goroutine and passes the effects to
// the executor. It creates tick events with its own ticker.
type Loop[E, F any] struct {
	reducer      Reducer[E, F]
	executor     Executor[F]
	recorder     Recorder[E]
	now          func() time.Time
	newTick      func() E
	tickInterval time.Duration
	inbox        chan E
	done         chan struct{}
}

// Options configures a Loop. Now defaults to time.Now; a nil Tick or zero
// TickInterval means no ticks; a nil Recorder records nothing.
type Options[E any] struct {
	Now          func() time.Time
	Tick         func() E
	TickInterval time.Duration
	Recorder     Recorder[E]
}

// NewLoop returns a loop that is not yet running.
func NewLoop[E, F any](r Reducer[E, F], x Executor[F], o Options[E]) *Loop[E, F] {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Loop[E, F]{
		reducer: r, executor: x, recorder: o.Recorder,
		now: o.Now, newTick: o.Tick, tickInterval: o.TickInterval,
		inbox: make(chan E, inboxSize), done: make(chan struct{}),
	}
}

// Submit queues an event. It blocks while the inbox is full and returns false if ctx
// or the loop has ended.
func (l *Loop[E, F]) Submit(ctx context.Context, event E) bool {
	// A select with several ready cases chooses at random, so that a finished loop
	// whose inbox is not full would accept events that are never applied.
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.inbox <- event:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Run applies events until ctx ends.
func (l *Loop[E, F]) Run(ctx context.Context) {
	defer close(l.done)
	var ticks <-chan time.Time
	if l.newTick != nil && l.tickInterval > 0 {
		ticker := time.NewTicker(l.tickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.inbox:
			l.apply(ctx, event)
		case <-ticks:
			l.apply(ctx, l.newTick())
		}
	}
}

func (l *Loop[E, F]) apply(ctx context.Context, event E) {
	at := l.now()
	if l.recorder != nil {
		l.recorder.Record(RecordedEvent[E]{Time: at, Event: event})
	}
	for _, effect := range l.reducer.Step(at, event) {
		l.executor.Execute(ctx, effect)
	}
}
