package testtarget

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Request headers that control how the target handles one call.
const (
	// HeaderCrash ends the target's process when the call arrives.
	HeaderCrash = "Testtarget-Crash"
	// HeaderTruncate closes the connection after that many bytes of the response body, or
	// that many chunks with HeaderChunkCount; "header" closes it before the status line.
	HeaderTruncate = "Testtarget-Cut"
	// HeaderNeverAnswer makes the target never respond.
	HeaderNeverAnswer = "Testtarget-Silent"
	// HeaderDelay is the service time of the call, for example "20ms".
	HeaderDelay = "Testtarget-Delay"
	// HeaderStatus is the status of the response.
	HeaderStatus = "Testtarget-Status"
	// HeaderShed sheds the call after its body is read and its service time has passed.
	HeaderShed = "Testtarget-Shed"
	// HeaderBodySize is the length of the response body in bytes, sent with Content-Length.
	HeaderBodySize = "Testtarget-Size"
	// HeaderChunkCount is the number of 1 KiB chunks to send, flushed one by one
	// HeaderChunkInterval apart, followed by a trailer.
	HeaderChunkCount = "Testtarget-Chunks"
	// HeaderChunkInterval is the time between chunks.
	HeaderChunkInterval = "Testtarget-Gap"
	// HeaderNestedService is the service that the target calls to get its response. The
	// nested call has the same path and HeaderNestedDepth decremented by one; at depth 0
	// the target responds itself.
	HeaderNestedService = "Testtarget-Nested"
	// HeaderNestedDepth is the length of the chain of nested calls.
	HeaderNestedDepth = "Testtarget-Depth"
	// HeaderEcho makes the target respond with the request body.
	HeaderEcho = "Testtarget-Echo"
	// HeaderRaw makes the target send the query-escaped text as it is in place of a response,
	// leave the request body unread, and close the connection.
	HeaderRaw = "Testtarget-Raw"
)

// TrailerChunkCount is the trailer of a chunked response; it holds the number of chunks.
const TrailerChunkCount = "Testtarget-Trailer"

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	callNumber := t.calls.Add(1)
	t.mu.Lock()
	behavior, slots := t.behavior, t.slots
	t.mu.Unlock()
	if t.shouldShed(behavior, callNumber) {
		shed(w)
		return
	}
	if id := r.Header.Get("Azurespring-Request-Id"); id != "" {
		t.mu.Lock()
		t.runsByRequestID[id]++
		t.mu.Unlock()
	}
	if r.Header.Get(HeaderCrash) != "" {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get(HeaderEcho) != "" {
		t.echo(w, r)
		return
	}
	if text, err := url.QueryUnescape(r.Header.Get(HeaderRaw)); err == nil && text != "" {
		sendRaw(w, text)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if behavior.NeverAnswer || r.Header.Get(HeaderNeverAnswer) != "" {
		t.waitUntilCanceled(r)
	}
	if depth, _ := strconv.Atoi(r.Header.Get(HeaderNestedDepth)); depth > 0 {
		t.callNested(w, r, depth)
		return
	}
	if !t.process(r, behavior, slots) {
		t.canceled.Add(1)
		panic(http.ErrAbortHandler)
	}
	t.respond(w, r, behavior, callNumber, body)
	t.completed.Add(1)
}

func (t *Target) shouldShed(behavior Behavior, callNumber int64) bool {
	return (behavior.ShedEvery > 0 && callNumber%int64(behavior.ShedEvery) == 0) ||
		(behavior.ShedAbove > 0 && t.inFlight.Load() > int64(behavior.ShedAbove))
}

func shed(w http.ResponseWriter) {
	w.Header().Set("Azurespring-Shed", "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) waitUntilCanceled(r *http.Request) {
	select {
	case <-r.Context().Done():
		t.canceled.Add(1)
	case <-t.closed:
	}
	panic(http.ErrAbortHandler)
}

// process occupies one of the RealSlots for the service time. It returns false if the
// caller cancels the call meanwhile.
func (t *Target) process(r *http.Request, behavior Behavior, slots chan struct{}) bool {
	canceled := r.Context().Done()
	if behavior.IgnoreCancel {
		canceled = nil
	}
	if slots != nil {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-canceled:
			return false
		}
	}
	delay := behavior.ServiceTime
	if requested, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil {
		delay = requested
	}
	if time.Since(t.started) < t.options.Warmup {
		delay += behavior.WarmupExtraDelay
	}
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-canceled:
		return false
	case <-t.closed:
		panic(http.ErrAbortHandler)
	}
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, behavior Behavior, callNumber int64, body []byte) {
	if r.Header.Get(HeaderShed) != "" {
		shed(w)
		return
	}
	if n, err := strconv.Atoi(r.Header.Get(HeaderChunkCount)); err == nil {
		t.respondInChunks(w, r, n)
		return
	}
	status := http.StatusOK
	if behavior.FailEvery > 0 && callNumber%int64(behavior.FailEvery) == 0 {
		status = max(behavior.FailStatus, http.StatusInternalServerError)
	}
	if requested, err := strconv.Atoi(r.Header.Get(HeaderStatus)); err == nil {
		status = requested
	}
	responseBody := fmt.Appendf(nil, "%s %s %d\n", t.options.ID, t.options.Version, len(body))
	if size, err := strconv.Atoi(r.Header.Get(HeaderBodySize)); err == nil {
		responseBody = bytes.Repeat([]byte{'x'}, size)
	}
	truncateAt := r.Header.Get(HeaderTruncate)
	if truncateAt == "header" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(responseBody)))
	w.WriteHeader(status)
	if limit, err := strconv.Atoi(truncateAt); err == nil && limit < len(responseBody) {
		_, _ = w.Write(responseBody[:limit])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(responseBody)
}

// respondInChunks streams a response without Content-Length, followed by a trailer.
func (t *Target) respondInChunks(w http.ResponseWriter, r *http.Request, count int) {
	interval, _ := time.ParseDuration(r.Header.Get(HeaderChunkInterval))
	truncateAt, err := strconv.Atoi(r.Header.Get(HeaderTruncate))
	if err != nil {
		truncateAt = -1
	}
	w.Header().Set("Trailer", TrailerChunkCount)
	chunk := bytes.Repeat([]byte{'c'}, 1<<10)
	for i := range count {
		if i == truncateAt {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(chunk)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(interval):
		case <-r.Context().Done():
			t.canceled.Add(1)
			return
		}
	}
	w.Header().Set(TrailerChunkCount, strconv.Itoa(count))
}

// echo streams the request body back as it arrives.
func (t *Target) echo(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buffer)
		if n > 0 {
			_, _ = w.Write(buffer[:n])
			_ = control.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			t.canceled.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
}

// sendRaw sends text in place of a response and closes the connection.
func sendRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// callNested calls a service through the node and forwards its response.
func (t *Target) callNested(w http.ResponseWriter, r *http.Request, depth int) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, t.options.CallsURL+r.URL.RequestURI(), http.NoBody)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for name, values := range r.Header {
		if len(name) > len("Testtarget") && name[:len("Testtarget")] == "Testtarget" {
			request.Header[name] = values
		}
	}
	request.Header.Set("Azurespring-Service", r.Header.Get(HeaderNestedService))
	request.Header.Set("Azurespring-Call", r.Header.Get("Azurespring-Call"))
	request.Header.Set(HeaderNestedDepth, strconv.Itoa(depth-1))
	response, err := t.client.Do(request)
	if err != nil {
		t.canceled.Add(1)
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
