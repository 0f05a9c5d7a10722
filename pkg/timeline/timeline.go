// Package timeline records the events of each process and merges those of all
// processes into one causal order.
package timeline

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// Kind is the type of an event, for example "config-activated".
type Kind string

// Event is one entry of the timeline.
type Event struct {
	Time          Timestamp         `json:"hlc"`
	Instance      string            `json:"instance"`
	FailureDomain string            `json:"failureDomain"`
	Region        string            `json:"region"`
	Kind          Kind              `json:"event"`
	ConfigVersion uint64            `json:"configVersion,omitempty"`
	Move          string            `json:"move,omitempty"`
	RequestID     string            `json:"requestId,omitempty"`
	Fields        map[string]string `json:"fields,omitempty"`
}

// Recorder stores events. Implementations are safe for concurrent use and set
// Time, Instance, FailureDomain and Region.
type Recorder interface {
	Record(event Event)
}

// NopRecorder is a Recorder that drops all events.
type NopRecorder struct{}

// Record drops event.
func (NopRecorder) Record(Event) {}

// Origin identifies the process that records events.
type Origin struct {
	Instance      string
	FailureDomain string
	Region        string
}

// EventLog keeps the newest events in memory and logs each as a JSON line. The lines
// of call events are rate limited.
type EventLog struct {
	clock  *Clock
	origin Origin
	logger *logrus.Logger

	mu sync.Mutex
	// callEvents and otherEvents are separate, so that the events of many failing
	// calls do not evict those of the configuration and of moves.
	callEvents, otherEvents ring

	callLineLimiter *rate.Limiter
}

// Rate and burst of log lines for call events. Each failed call records several
// events, so that an overloaded node would otherwise spend its time on logging.
// Events beyond the rate are kept in memory only.
const (
	callLinesPerSecond = 100
	callLinesBurst     = 1000
)

// ringSize is the number of events that a process retains in each of its two rings
// for azurespringctl timeline.
const ringSize = 4096

// ring is a ring buffer that retains the newest ringSize events.
type ring struct {
	events []Event
	next   int
}

func (r *ring) add(event Event) {
	if len(r.events) < ringSize {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % ringSize
}

func (r *ring) oldestFirst() []Event { return slices.Concat(r.events[r.next:], r.events[:r.next]) }

// NewEventLog returns a log that stamps events with clock and origin. A nil logger
// writes no lines.
func NewEventLog(clock *Clock, origin Origin, logger *logrus.Logger) *EventLog {
	return &EventLog{clock: clock, origin: origin, logger: logger, callLineLimiter: rate.NewLimiter(callLinesPerSecond, callLinesBurst)}
}

// Record implements Recorder.
func (l *EventLog) Record(event Event) {
	event.Time = l.clock.Now()
	event.Instance = l.origin.Instance
	event.FailureDomain = l.origin.FailureDomain
	event.Region = l.origin.Region
	l.append(event)
	if l.logger != nil && (event.RequestID == "" || l.callLineLimiter.Allow()) {
		l.logger.WithFields(logFields(event)).WithTime(time.UnixMilli(event.Time.Millis)).Info(string(event.Kind))
	}
}

func (l *EventLog) append(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if event.RequestID != "" {
		l.callEvents.add(event)
	} else {
		l.otherEvents.add(event)
	}
}

// Events returns the retained events, oldest first.
func (l *EventLog) Events() []Event {
	l.mu.Lock()
	calls, others := l.callEvents.oldestFirst(), l.otherEvents.oldestFirst()
	l.mu.Unlock()
	return Merge(calls, others)
}

func logFields(event Event) logrus.Fields {
	fields := logrus.Fields{
		"instance": event.Instance, "failureDomain": event.FailureDomain, "region": event.Region,
		"event": event.Kind, "hlc": event.Time,
	}
	if event.ConfigVersion != 0 {
		fields["configVersion"] = event.ConfigVersion
	}
	if event.Move != "" {
		fields["move"] = event.Move
	}
	if event.RequestID != "" {
		fields["requestId"] = event.RequestID
	}
	if len(event.Fields) != 0 {
		fields["fields"] = event.Fields
	}
	return fields
}
