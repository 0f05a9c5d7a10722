package timeline_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/azurespring/azurespring/pkg/timeline"
)

func newEvent(millis int64, counter uint32, instance string) timeline.Event {
	return timeline.Event{Time: timeline.Timestamp{Millis: millis, Counter: counter}, Instance: instance, Kind: "k"}
}

// Verifies that merged events are in causal order although the physical clocks of
// the instances differ, and that an event found in two sources appears once.
func TestMergeKeepsCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := make([]*timeline.Clock, 3)
		logs := make([][]timeline.Event, len(clocks))
		var order []timeline.Event
		for i := range clocks {
			skew := time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second
			clocks[i] = timeline.NewClock(func() time.Time { return time.UnixMilli(1_000_000).Add(skew) })
		}
		sender, message := 0, clocks[0].Now()
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			receiver := rapid.IntRange(0, len(clocks)-1).Draw(t, "receiver")
			stamp := clocks[receiver].Observe(message)
			event := timeline.Event{Time: stamp, Instance: string(rune('a' + receiver)), Kind: "received"}
			logs[receiver] = append(logs[receiver], event)
			order = append(order, event)
			sender = receiver
			message = clocks[sender].Now()
		}
		assert.DeepEqual(t, timeline.Merge(logs[2], logs[0], logs[1], logs[0]), order)
	})
}

// Verifies that each filter field excludes events that do not match it.
func TestFilterMatchesOnlySelectedEvents(t *testing.T) {
	event := timeline.Event{
		Time: timeline.Timestamp{Millis: 5}, Instance: "a", Kind: "move-step",
		ConfigVersion: 7, Move: "stock/2.0", RequestID: "r1",
	}
	for _, test := range []struct {
		name   string
		filter timeline.Filter
		want   bool
	}{
		{"empty", timeline.Filter{}, true},
		{"version", timeline.Filter{ConfigVersion: 7}, true},
		{"other version", timeline.Filter{ConfigVersion: 8}, false},
		{"service of move", timeline.Filter{Move: "stock"}, true},
		{"move", timeline.Filter{Move: "stock/2.0"}, true},
		{"prefix of a service", timeline.Filter{Move: "sto"}, false},
		{"other request", timeline.Filter{RequestID: "r2"}, false},
		{"instance and kind", timeline.Filter{Instance: "a", Kind: "move-step"}, true},
		{"other kind", timeline.Filter{Instance: "a", Kind: "move-done"}, false},
		{"after", timeline.Filter{After: timeline.Timestamp{Millis: 5}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.filter.Match(event), test.want)
		})
	}
	events := []timeline.Event{newEvent(1, 0, "a"), newEvent(2, 0, "a"), newEvent(3, 0, "a")}
	assert.DeepEqual(t, timeline.Filter{Limit: 2}.Select(events), events[1:])
}

// Verifies that a truncated, overlong or plain log line does not hide the events
// after it.
func TestReadLogSkipsLinesWithoutEvent(t *testing.T) {
	var log bytes.Buffer
	logger := timeline.NewLogger(timeline.LoggerOptions{Output: &log, Level: logrus.InfoLevel})
	recorder := timeline.NewEventLog(timeline.NewClock(time.Now), timeline.Origin{Instance: "a"}, logger)
	recorder.Record(timeline.Event{Kind: "first", Fields: map[string]string{"x": "y"}})
	logger.Info("an ordinary line")
	log.WriteString("{\"cut\n\n" + strings.Repeat("x", 3<<20) + "\n")
	recorder.Record(timeline.Event{Kind: "last", Move: "stock/2", ConfigVersion: 3})
	log.Truncate(log.Len() - 1)
	events, skipped, err := timeline.ReadLog(&log)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 3)
	assert.DeepEqual(t, events, recorder.Events())
}

// Verifies that the timeline of a request includes the log lines of sidecars, which
// have a wall-clock time and their details as top-level fields.
func TestReadLogParsesSidecarLines(t *testing.T) {
	log := strings.NewReader(`{"event":"try_failed","instance":"n1","requestId":"r","leftMs":25,"code":"overloaded","time":"2026-12-04T12:00:00.0010004Z"}
{"event":"request_failed","instance":"n1","requestId":"r","configVersion":3,"time":"2026-12-04T12:00:00.0010009Z","level":"info","msg":"x"}
{"event":"request_served","instance":"n1","requestId":"other","time":"2026-12-04T12:00:00.002Z"}
{"event":"request_served","requestId":"r","time":"soon"}
{"event":"log","requestId":"r","time":"2026-12-04T12:00:00.002Z"}
`)
	events, skipped, err := timeline.ReadLog(log)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 2)
	selected := timeline.Filter{RequestID: "r", Limit: 10}.Select(timeline.Merge(events))
	assert.Equal(t, len(selected), 2)
	assert.Equal(t, string(selected[0].Kind), "try_failed")
	assert.DeepEqual(t, selected[0].Fields, map[string]string{"leftMs": "25", "code": "overloaded"})
	assert.Equal(t, selected[1].ConfigVersion, uint64(3))
}

// Verifies that each log line names its origin, without overwriting fields that the
// caller has set.
func TestLoggerAddsOrigin(t *testing.T) {
	var log bytes.Buffer
	logger := timeline.NewLogger(timeline.LoggerOptions{
		Output: &log, Level: logrus.InfoLevel,
		Origin:        timeline.Origin{Instance: "a", FailureDomain: "f", Region: "r"},
		ConfigVersion: func() uint64 { return 9 },
	})
	logger.WithField("event", "own").WithField("region", "other").Warn("text")
	var line map[string]any
	assert.NilError(t, json.Unmarshal(log.Bytes(), &line))
	delete(line, "time")
	assert.DeepEqual(t, line, map[string]any{
		"level": "warning", "msg": "text", "event": "own", "instance": "a",
		"failureDomain": "f", "region": "other", "configVersion": 9.0,
	})
}

// Verifies that the events of many failing calls do not evict the other events,
// which may explain the failures.
func TestEventLogKeepsOtherEventsDespiteManyCallEvents(t *testing.T) {
	log := timeline.NewEventLog(timeline.NewClock(time.Now), timeline.Origin{Instance: "a"}, nil)
	log.Record(timeline.Event{Kind: "config-activated", ConfigVersion: 2})
	for range 10_000 {
		log.Record(timeline.Event{Kind: "call-verdict", RequestID: "r"})
	}
	events := log.Events()
	assert.Equal(t, events[0].Kind, timeline.Kind("config-activated"))
	assert.Equal(t, events[len(events)-1].Kind, timeline.Kind("call-verdict"))
}
