package sidecar

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/azurespring/azurespring/pkg/timeline"
)

// Limits of the log. Lines beyond the rate of an event are omitted, and the next line
// of the same event states their number. A line takes about 50 us on a busy core. Most
// lines are about served requests and therefore have a lower rate, so that logging
// takes less than 3% of the CPU time of a node.
const (
	logLinesPerSecond    = 40
	logBurst             = 80
	servedLinesPerSecond = 5
	servedLogBurst       = 20
	// maxLogFieldBytes bounds the text of one field. Names and decoding errors may quote
	// what another writer stored.
	maxLogFieldBytes = 8 << 10
	// logQueueLines is the number of lines that may wait for a slow reader.
	logQueueLines = 2048
)

// eventServed is the event of a request that got a response of an endpoint.
const eventServed = "request_served"

// fields are the keys and values of one log line.
type fields = map[string]any

// eventLog writes one JSON line for each event. It never blocks: lines beyond the rate
// limit, and lines for which a slow reader leaves no space in the queue, are dropped
// and counted.
type eventLog struct {
	logger *logrus.Logger
	output *lineQueue

	// kinds is keyed by the name of the event.
	mu    sync.Mutex
	kinds map[string]*eventKind
}

// eventKind limits the rate of the lines of one event and counts those omitted since
// its last line.
type eventKind struct {
	limiter *rate.Limiter
	omitted int
}

// newEventLog returns a log that writes to output. version returns the active
// configuration version.
func newEventLog(output io.Writer, origin timeline.Origin, version func() uint64) *eventLog {
	queue := newLineQueue(output)
	logger := timeline.NewLogger(timeline.LoggerOptions{
		Output: queue, Level: logrus.InfoLevel, Origin: origin, ConfigVersion: version,
	})
	return &eventLog{logger: logger, output: queue, kinds: make(map[string]*eventKind)}
}

// event writes a line for the event of the given name.
func (l *eventLog) event(name string, f fields) {
	l.mu.Lock()
	kind := l.kinds[name]
	if kind == nil {
		kind = &eventKind{limiter: rate.NewLimiter(logLinesPerSecond, logBurst)}
		if name == eventServed {
			kind.limiter = rate.NewLimiter(servedLinesPerSecond, servedLogBurst)
		}
		l.kinds[name] = kind
	}
	if !kind.limiter.Allow() {
		kind.omitted++
		l.mu.Unlock()
		return
	}
	omitted := kind.omitted
	kind.omitted = 0
	l.mu.Unlock()
	entry := logrus.Fields{"event": name}
	for key, value := range f {
		if text, ok := value.(string); ok && len(text) > maxLogFieldBytes {
			value = text[:maxLogFieldBytes] + "..."
		}
		entry[key] = value
	}
	if omitted > 0 {
		entry["omitted"] = omitted
	}
	if dropped := l.output.dropped.Swap(0); dropped > 0 {
		entry["dropped"] = dropped
	}
	l.logger.WithFields(entry).Info(name)
}

// close writes the queued lines and waits for at most the given time.
func (l *eventLog) close(wait time.Duration) { l.output.close(wait) }

// lineQueue passes lines to a writer from its own goroutine.
type lineQueue struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

func newLineQueue(w io.Writer) *lineQueue {
	q := &lineQueue{lines: make(chan []byte, logQueueLines), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			if line == nil {
				return
			}
			// There is nowhere to report that the log cannot be written.
			_, _ = w.Write(line)
		}
	}()
	return q
}

// Write implements io.Writer; it queues or drops the line.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *lineQueue) close(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case q.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-q.done:
	case <-timer.C:
	}
}
