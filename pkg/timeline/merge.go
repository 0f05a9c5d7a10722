package timeline

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Filter selects events. An empty field selects all.
type Filter struct {
	ConfigVersion uint64
	// Move is "service" or "service/version".
	Move      string
	RequestID string
	Instance  string
	Kind      Kind
	// After selects events later than the given one.
	After Timestamp
	// Limit is the number of newest events to keep; 0 keeps all.
	Limit int
}

// Match reports whether f selects event. It ignores Limit.
func (f Filter) Match(event Event) bool {
	return (f.ConfigVersion == 0 || f.ConfigVersion == event.ConfigVersion) &&
		(f.Move == "" || matchesMove(f.Move, event.Move)) &&
		(f.RequestID == "" || f.RequestID == event.RequestID) &&
		(f.Instance == "" || f.Instance == event.Instance) &&
		(f.Kind == "" || f.Kind == event.Kind) &&
		event.Time.Compare(f.After) > 0
}

func matchesMove(wanted, move string) bool {
	rest, ok := strings.CutPrefix(move, wanted)
	return ok && (rest == "" || rest[0] == '/')
}

// Select returns the events that f selects in their original order.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, event := range events {
		if f.Match(event) {
			selected = append(selected, event)
		}
	}
	return f.ApplyLimit(selected)
}

// ApplyLimit returns the last Limit events of ordered events.
func (f Filter) ApplyLimit(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}

// Compare orders events causally: an event that could have caused another has
// the lower timestamp. Events of equal time are concurrent and are ordered by instance.
func Compare(a, b Event) int {
	return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Instance, b.Instance))
}

// Merge returns the events of several processes in causal order. An event that
// several sources hold, such as a log file and a node's memory, appears once.
func Merge(sources ...[]Event) []Event {
	merged := slices.Concat(sources...)
	slices.SortStableFunc(merged, Compare)
	// A clock never issues a timestamp twice, so instance and time identify an event.
	return slices.CompactFunc(merged, func(a, b Event) bool {
		return Compare(a, b) == 0 && a.Kind == b.Kind
	})
}

// ReadLog returns the events in a log of JSON lines. Lines that hold no event,
// such as a line truncated by a crash of its process, are counted as skipped.
func ReadLog(r io.Reader) (events []Event, skipped int, err error) {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = nil, skipLine(reader)
		}
		if event, ok := parseLine(line); ok {
			events = append(events, event)
		} else if len(bytes.TrimSpace(line)) > 0 || line == nil {
			skipped++
		}
		if errors.Is(err, io.EOF) {
			return events, skipped, nil
		}
		if err != nil {
			return events, skipped, eris.Wrap(err, "read log")
		}
	}
}

// skipLine discards the rest of a line that exceeds maxLineBytes.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func parseLine(line []byte) (Event, bool) {
	var event Event
	if json.Unmarshal(line, &event) != nil || event.Kind == "" {
		return Event{}, false
	}
	if event.Time != (Timestamp{}) {
		return event, true
	}
	return parseSidecarLine(line, event)
}

// reservedLineFields are the fields of a log line that Event has fields for or that
// carry no detail of the event.
var reservedLineFields = []string{
	"time", "level", "msg", "event", "instance", "failureDomain", "region", "configVersion", "requestId",
}

// parseSidecarLine parses a log line of a sidecar. Such lines have a wall-clock time
// instead of a hybrid logical time, and their details are top-level fields.
func parseSidecarLine(line []byte, event Event) (Event, bool) {
	var fields map[string]any
	if event.Kind == plainLogKind || json.Unmarshal(line, &fields) != nil {
		return Event{}, false
	}
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return Event{}, false
	}
	// The microseconds order lines within a millisecond.
	event.Time = Timestamp{Millis: at.UnixMilli(), Counter: uint32(at.Nanosecond() / 1000 % 1000)}
	event.Fields = make(map[string]string, len(fields))
	for name, value := range fields {
		if !slices.Contains(reservedLineFields, name) {
			event.Fields[name] = fmt.Sprint(value)
		}
	}
	return event, true
}
