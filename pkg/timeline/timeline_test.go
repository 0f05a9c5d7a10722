package timeline

import (
	"bytes"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// Verifies that the receipt of a message is ordered after its sending although the
// clock of the receiving instance is behind.
func TestClockObserveOrdersReceiptAfterSend(t *testing.T) {
	physical := time.UnixMilli(1_000_000)
	ahead := NewClock(func() time.Time { return physical.Add(2 * time.Second) })
	behind := NewClock(func() time.Time { return physical })

	sent := ahead.Now()
	received := behind.Observe(sent)
	next := behind.Now()

	assert.Equal(t, received.Compare(sent), 1)
	assert.Equal(t, next.Compare(received), 1)
}

// Verifies that one instance with a wrong clock cannot move other clocks far ahead.
func TestClockIgnoresFarFutureTimestamp(t *testing.T) {
	physical := time.UnixMilli(1_000_000)
	clock := NewClock(func() time.Time { return physical })

	got := clock.Observe(Timestamp{Millis: physical.Add(time.Hour).UnixMilli()})

	assert.Equal(t, got.Millis, physical.UnixMilli())
}

// Verifies that memory is bounded and that events stay ordered after the ring wraps.
func TestEventLogKeepsNewestEvents(t *testing.T) {
	log := NewEventLog(NewClock(time.Now), Origin{Instance: "a"}, nil)
	for range ringSize + 3 {
		log.Record(Event{Kind: "test"})
	}
	events := log.Events()
	assert.Equal(t, len(events), ringSize)
	for i := 1; i < len(events); i++ {
		assert.Equal(t, events[i].Time.Compare(events[i-1].Time), 1, "event %d", i)
	}
}

// Verifies that the log lines of call events are rate limited, because an overloaded
// node would otherwise spend its time on logging, and that other lines are not.
func TestEventLogLimitsLinesOfCalls(t *testing.T) {
	const events = 10 * callLinesBurst
	var output bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&output)
	logger.SetFormatter(&logrus.JSONFormatter{})
	log := NewEventLog(NewClock(time.Now), Origin{Instance: "a"}, logger)
	for range events {
		log.Record(Event{Kind: "call", RequestID: "r"})
	}
	lines := bytes.Count(output.Bytes(), []byte("\n"))
	assert.Assert(t, lines >= callLinesBurst && lines < events, "%d lines", lines)

	output.Reset()
	for range events {
		log.Record(Event{Kind: "other"})
	}
	assert.Equal(t, bytes.Count(output.Bytes(), []byte("\n")), events)
}
