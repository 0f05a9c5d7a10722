//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Sizes of the case "pipeline".
const (
	downloadBytes = 1500 << 10
	brokenOffAt   = 1200 << 10
	furtherCount  = 8
	// soundAnswers is the least number of answers of each endpoint before.
	soundAnswers = 40
	// maxUnanswered is the number of requests that the rule allows.
	maxUnanswered = 3
)

// playPipeline sends safe requests behind a download on one connection. The endpoint of the
// download breaks off its answer.
func playPipeline(recordPath string, hasTrouble bool) ([]string, error) {
	l, err := newLab(recordPath, council)
	if err != nil {
		return nil, err
	}
	defer l.close()
	l.store.Put("config", "main", `{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},`+
		`"listeners":[{"host":"h.example","rules":[`+
		`{"name":"plans","kind":"download","target_latency":"500ms","priority":2,"match":{"path_prefix":"/plans/"},"action":{"service":"plans","timeout":"3000ms","max_attempts":2}},`+
		`{"name":"read","kind":"safe","target_latency":"500ms","priority":2,"match":{"path_prefix":"/read/"},"action":{"service":"portal","timeout":"3000ms","max_attempts":2}}]}],`+
		`"clusters":[{"name":"plans","health_check_path":"/health","max_connections":110},{"name":"portal","health_check_path":"/health","max_connections":110}]}`)
	entry := l.addMachine("sidecar-a-1", "zone-a", "portal")
	entry.addEndpoint("i-portal-1", 60*time.Millisecond)
	for i := range 2 {
		e := l.addMachine(fmt.Sprintf("sidecar-a-%d", i+2), "zone-a", "plans").addEndpoint(fmt.Sprintf("i-plans-%d", i+1), 0)
		e.handle = func(w http.ResponseWriter, r *http.Request) { servePlan(e, w, r, hasTrouble) }
	}
	if err := l.startAll(); err != nil {
		return nil, err
	}
	for _, path := range []string{"/read/probe", "/plans/probe"} {
		if err := waitFor(path+" is served", 15*time.Second, func() bool { return get(entry, path, l.requestID("probe")) == http.StatusOK }); err != nil {
			return nil, err
		}
	}
	// Of the answers of an endpoint, at most a share of 0.03 is broken off.
	for _, m := range l.machines[1:] {
		if err := waitFor("endpoint "+m.endpoint.id+" has given sound answers", 30*time.Second, func() bool {
			get(entry, "/plans/small", l.requestID("sound"))
			return len(m.endpoint.received()) >= soundAnswers
		}); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second) // Longer than settle_window.
	return pipeline(l, entry)
}

// servePlan answers a download. The answer to the large one is broken off if the endpoint is
// faulty.
func servePlan(e *endpoint, w http.ResponseWriter, r *http.Request, isFaulty bool) {
	e.sign(w, r)
	if !strings.HasSuffix(r.URL.Path, "/large") {
		_, _ = io.WriteString(w, strings.Repeat("p", 20<<10))
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(downloadBytes))
	time.Sleep(130 * time.Millisecond)
	_, _ = io.WriteString(w, strings.Repeat("p", brokenOffAt))
	_ = http.NewResponseController(w).Flush()
	time.Sleep(300 * time.Millisecond)
	if isFaulty {
		e.machine.lab.log("endpoint %s breaks off its answer to %s after %d of %d bytes", e.id, r.Header.Get("X-Request-Id"), brokenOffAt, downloadBytes)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, strings.Repeat("p", downloadBytes-brokenOffAt))
}

// pipeline sends the requests and returns the breaches of LOST.
func pipeline(l *lab, entry *machine) ([]string, error) {
	c, err := net.Dial("tcp", entry.at(outboundPort))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	reader := bufio.NewReader(c)
	send := func(path, id string) string {
		l.log("client sends GET %s, id %s", path, id)
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: 3000\r\n\r\n", path, id)
	}
	read := func(id string) (answered bool) {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			l.log("client gets no answer to %s: %v", id, err)
			return false
		}
		n, err := io.Copy(io.Discard, response.Body)
		l.log("client gets %d for %s (the answer names %s), %d bytes (error: %v)", response.StatusCode, id, response.Header.Get("X-Request-Id"), n, err)
		return err == nil
	}
	first := l.requestID("first")
	if _, err := io.WriteString(c, send("/read/first", first)); err != nil || !read(first) {
		return nil, fmt.Errorf("%w: the connection does not serve", errSetUp)
	}
	large := l.requestID("large")
	text := send("/plans/large", large)
	var further []string
	for range furtherCount {
		id := l.requestID("further")
		further = append(further, id)
		text += send("/read/"+id, id)
	}
	if _, err := io.WriteString(c, text); err != nil {
		return nil, err
	}
	read(large)
	unanswered := make(map[string]bool)
	for _, id := range further {
		if !read(id) {
			unanswered[id] = true
		}
	}
	var lost []string
	for _, r := range entry.endpoint.received() {
		if unanswered[r.id] {
			lost = append(lost, r.id)
		}
	}
	l.log("%d of %d further requests were passed on to the sound endpoint %s and not answered", len(lost), furtherCount, entry.endpoint.id)
	if len(lost) <= maxUnanswered {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: node %s passed %d requests of a kept connection on to a sound endpoint and closed the connection without answering them: %s", entry.name, len(lost), strings.Join(lost, " "))}, nil
}
