package timeline

import (
	"bytes"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// Guards against an effect that is ordered before its cause when the clock of
// the receiving instance is behind.
func TestClockObserve(t *testing.T) {
	physical := time.UnixMilli(1_000_000)
	ahead := NewClock(func() time.Time { return physical.Add(2 * time.Second) })
	behind := NewClock(func() time.Time { return physical })

	sent := ahead.Now()
	received := behind.Observe(sent)
	next := behind.Now()

	assert.Equal(t, received.Compare(sent), 1)
	assert.Equal(t, next.Compare(received), 1)
}

// Guards against one instance with a wrong clock moving all clocks far ahead.
func TestClockIgnoresFarFuture(t *testing.T) {
	physical := time.UnixMilli(1_000_000)
	clock := NewClock(func() time.Time { return physical })

	got := clock.Observe(Timestamp{Millis: physical.Add(time.Hour).UnixMilli()})

	assert.Equal(t, got.Millis, physical.UnixMilli())
}

// Guards against unbounded memory and against a wrong order after wrap-around.
func TestLogKeepsNewest(t *testing.T) {
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

// Guards against an overload that spends its time on log lines, and against a
// limit that drops lines of anything but calls.
func TestLogBoundsLinesOfCalls(t *testing.T) {
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
