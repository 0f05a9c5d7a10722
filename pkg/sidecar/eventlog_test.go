package sidecar

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// names returns the first groups of all matches in the files.
func names(t *testing.T, pattern string, files ...string) map[string]bool {
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

// Guards against events that an engineer on call finds in the log and not in the
// operations page, and against pages that tell of events that are no more.
func TestEventsAreDocumented(t *testing.T) {
	all, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	var sources []string
	for _, file := range all {
		if !strings.HasSuffix(file, "_test.go") {
			sources = append(sources, file)
		}
	}
	inCode := names(t, `(?:\.event\(|change\()"([a-z_]+)"`, sources...)
	inCode["request_served"], inCode["request_failed"] = true, true // Chosen at run time.
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

// Guards against a log that grows with a storm of failures, hides what it left
// out, or blocks requests when nobody reads it.
func TestLogIsBoundedAndNeverBlocks(t *testing.T) {
	stalled := make(chan struct{})
	var written []byte
	l := newEventLog(writerFunc(func(p []byte) (int, error) {
		<-stalled
		written = append(written, p...)
		return len(p), nil
	}), testOrigin, func() uint64 { return 1 })
	for range 100 * logQueue {
		l.event("try_failed", fields{"requestId": "id"})
	}
	for kind := range 100 {
		for range logBurst {
			l.event(strings.Repeat("x", kind+1), nil)
		}
	}
	assert.Assert(t, l.output.dropped.Load() > 0, "a stalled reader must cost lines")
	close(stalled)
	l.close(deadline)
	lines := strings.Count(string(written), "\n")
	assert.Assert(t, lines <= logQueue+2, "%d lines", lines)
	l = newEventLog(writerFunc(func(p []byte) (int, error) { written = append(written, p...); return len(p), nil }), testOrigin, nil)
	for range 3 * logBurst {
		l.event("a", nil)
	}
	l.kinds["a"].limiter.SetBurst(4 * logBurst)
	l.kinds["a"].limiter.SetLimit(1e9)
	l.event("a", nil)
	l.close(deadline)
	assert.Assert(t, strings.Contains(string(written), `"omitted":`), "what was left out is not told")
}

// Measures what one line costs the process that writes it.
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
