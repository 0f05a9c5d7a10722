// Package mailbox queues events for a reducer loop without blocking the sender.
package mailbox

import (
	"context"
	"sync"
)

// Mailbox is an unbounded queue of events. With it, the executor of a loop and
// subscribers that run in another loop can send events without a deadlock between
// full inboxes. The zero value is ready for use.
type Mailbox[E any] struct {
	mu     sync.Mutex
	events []E
	wake   chan struct{}
}

// Put appends an event. It does not block.
func (m *Mailbox[E]) Put(event E) {
	m.mu.Lock()
	m.events = append(m.events, event)
	wake := m.wakeChannel()
	m.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

// wakeChannel returns the channel that wakes Run. The caller holds mu.
func (m *Mailbox[E]) wakeChannel() chan struct{} {
	if m.wake == nil {
		m.wake = make(chan struct{}, 1)
	}
	return m.wake
}

// Run passes events in order to submit until ctx ends or submit returns false.
func (m *Mailbox[E]) Run(ctx context.Context, submit func(ctx context.Context, event E) bool) {
	m.RunBatches(ctx, func(ctx context.Context, events []E) bool {
		for _, event := range events {
			if !submit(ctx, event) {
				return false
			}
		}
		return true
	})
}

// RunBatches passes all queued events at once to submit, repeatedly, until ctx ends or
// submit returns false.
func (m *Mailbox[E]) RunBatches(ctx context.Context, submit func(ctx context.Context, events []E) bool) {
	m.mu.Lock()
	wake := m.wakeChannel()
	m.mu.Unlock()
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			return
		}
		if events := m.takeAll(); len(events) != 0 && !submit(ctx, events) {
			return
		}
	}
}

func (m *Mailbox[E]) takeAll() []E {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = nil
	return events
}
