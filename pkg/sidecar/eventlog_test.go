package sidecar

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// findNames returns the first capture group of every match in the files.
func findNames(t *testing.T, pattern string, files ...string) map[string]bool {
	t.Helper()
	found := make(map[string]bool)
	for _, file := range files {
		content, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(content), -1) {
			found[match[1]] = true
		}
	}
	return found
}

// Verifies that the operations page lists exactly the events that the code logs.
// Otherwise an on-call engineer finds events in the log that are not documented, or a
// page that describes events that no longer exist.
func TestEventsAreDocumented(t *testing.T) {
	all, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	var sources []string
	for _, file := range all {
		if !strings.HasSuffix(file, "_test.go") {
			sources = append(sources, file)
		}
	}
	sources = append(sources, "../quotasync/service.go")
	inCode := findNames(t, `(?:\.event\(|change\(|options\.Log\()"([a-z_]+)"`, sources...)
	inCode["request_served"], inCode["request_failed"] = true, true // The name is chosen at run time.
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, table, _ := strings.Cut(string(page), "| event | written when")
	table, _, _ = strings.Cut(table, "\n\n")
	documented := make(map[string]bool)
	for _, row := range strings.Split(table, "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 3 {
			continue
		}
		for _, match := range regexp.MustCompile("`([a-z_]+)`").FindAllStringSubmatch(cells[1], -1) {
			documented[match[1]] = true
		}
	}
	assert.DeepEqual(t, documented, inCode)
}

// Verifies that the log drops and counts lines. Otherwise a burst of failures makes the
// log grow without bound, omitted lines go unnoticed, or requests block on a log that
// nobody reads.
func TestLogIsBoundedAndNeverBlocks(t *testing.T) {
	stalled := make(chan struct{})
	var written []byte
	l := newEventLog(writerFunc(func(p []byte) (int, error) {
		<-stalled
		written = append(written, p...)
		return len(p), nil
	}), testOrigin, func() uint64 { return 1 })
	for range 100 * logQueueLines {
		l.event("try_failed", fields{"requestId": "id"})
	}
	for kind := range 100 {
		for range logBurst {
			l.event(strings.Repeat("x", kind+1), nil)
		}
	}
	assert.Assert(t, l.output.dropped.Load() > 0, "no lines dropped although the reader is stalled")
	close(stalled)
	l.close(testTimeout)
	lines := strings.Count(string(written), "\n")
	assert.Assert(t, lines <= logQueueLines+2, "%d lines written", lines)
	l = newEventLog(writerFunc(func(p []byte) (int, error) { written = append(written, p...); return len(p), nil }), testOrigin, nil)
	for range 3 * logBurst {
		l.event("a", nil)
	}
	l.kinds["a"].limiter.SetBurst(4 * logBurst)
	l.kinds["a"].limiter.SetLimit(1e9)
	l.event("a", nil)
	l.close(testTimeout)
	assert.Assert(t, strings.Contains(string(written), `"omitted":`), "the number of omitted lines is missing")
}

// Measures the cost of one log line for the process that writes it.
func BenchmarkEvent(b *testing.B) {
	l := newEventLog(writerFunc(func(p []byte) (int, error) { return len(p), nil }), testOrigin, func() uint64 { return 1 })
	l.event("request_served", nil)
	l.kinds["request_served"].limiter.SetLimit(1e12)
	l.kinds["request_served"].limiter.SetBurst(1 << 30)
	for b.Loop() {
		l.event("request_served", fields{
			"requestId": "9c41d07be2a35f68", "service": "s", "tookMs": 12, "tries": 1, "arrivals": 1, "rejections": 0,
			"route": "r", "kind": "safe", "timeoutMs": 1000, "status": 200, "endpoint": "i-7f3a91c2",
			"endpointInstance": "n", "version": "v1", "distance": "domain", "endpointMs": 10, "priority": 1, "client": "10.0.0.1:1",
		})
	}
}
