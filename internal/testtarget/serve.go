package testtarget

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Directives are headers by which a caller makes one call behave in a way.
const (
	// HeaderCrash ends the target's process when the call arrives.
	HeaderCrash = "Testtarget-Crash"
	// HeaderTruncate closes the connection after that many bytes of the answer's body;
	// "header" cuts before the status.
	HeaderTruncate = "Testtarget-Cut"
	// HeaderNeverAnswer never answers.
	HeaderNeverAnswer = "Testtarget-Silent"
	// HeaderDelay is the service time of the call, for example "20ms".
	HeaderDelay = "Testtarget-Delay"
	// HeaderStatus is the status of the answer.
	HeaderStatus = "Testtarget-Status"
	// HeaderShed sheds the call after reading it.
	HeaderShed = "Testtarget-Shed"
	// HeaderBodySize is the length of the answer's body, sent with Content-Length.
	HeaderBodySize = "Testtarget-Size"
	// HeaderChunkCount sends that many chunks of 1 KB, flushed one by one, HeaderChunkInterval
	// apart, and a trailer.
	HeaderChunkCount = "Testtarget-Chunks"
	// HeaderChunkInterval is the time between chunks.
	HeaderChunkInterval = "Testtarget-Gap"
	// HeaderNestedService is the service that the target calls before it answers. The
	// nested call has the same path and HeaderNestedDepth lowered by one; at depth 0 the
	// target answers itself.
	HeaderNestedService = "Testtarget-Nested"
	// HeaderNestedDepth is the number of nested calls to make below one another.
	HeaderNestedDepth = "Testtarget-Depth"
	// HeaderEcho answers with the request's body.
	HeaderEcho = "Testtarget-Echo"
)

// TrailerChunkCount is set after an answer in chunks.
const TrailerChunkCount = "Testtarget-Trailer"

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	number := t.calls.Add(1)
	t.mu.Lock()
	behavior, slots := t.behavior, t.slots
	t.mu.Unlock()
	if t.sheds(behavior, number) {
		shed(w)
		return
	}
	if id := r.Header.Get("Azurespring-Request-Id"); id != "" {
		t.mu.Lock()
		t.runs[id]++
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if behavior.NeverAnswer || r.Header.Get(HeaderNeverAnswer) != "" {
		t.waitSilent(r)
	}
	if depth, _ := strconv.Atoi(r.Header.Get(HeaderNestedDepth)); depth > 0 {
		t.callNested(w, r, depth)
		return
	}
	if !t.work(r, behavior, slots) {
		t.canceled.Add(1)
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r, behavior, number, body)
	t.completed.Add(1)
}

func (t *Target) sheds(behavior Behavior, number int64) bool {
	return (behavior.ShedEvery > 0 && number%int64(behavior.ShedEvery) == 0) ||
		(behavior.ShedAbove > 0 && t.inFlight.Load() > int64(behavior.ShedAbove))
}

func shed(w http.ResponseWriter) {
	w.Header().Set("Azurespring-Shed", "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) waitSilent(r *http.Request) {
	select {
	case <-r.Context().Done():
		t.canceled.Add(1)
	case <-t.silence:
	}
	panic(http.ErrAbortHandler)
}

// work takes a real slot for the service time. It returns false if the caller
// gave up meanwhile.
func (t *Target) work(r *http.Request, behavior Behavior, slots chan struct{}) bool {
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
	if own, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil {
		delay = own
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
	case <-t.silence:
		panic(http.ErrAbortHandler)
	}
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, behavior Behavior, number int64, body []byte) {
	if r.Header.Get(HeaderShed) != "" {
		shed(w)
		return
	}
	if n, err := strconv.Atoi(r.Header.Get(HeaderChunkCount)); err == nil {
		t.chunks(w, r, n)
		return
	}
	status := http.StatusOK
	if behavior.FailEvery > 0 && number%int64(behavior.FailEvery) == 0 {
		status = max(behavior.FailStatus, http.StatusInternalServerError)
	}
	if own, err := strconv.Atoi(r.Header.Get(HeaderStatus)); err == nil {
		status = own
	}
	text := fmt.Appendf(nil, "%s %s %d\n", t.options.ID, t.options.Version, len(body))
	if size, err := strconv.Atoi(r.Header.Get(HeaderBodySize)); err == nil {
		text = bytes.Repeat([]byte{'x'}, size)
	}
	cut := r.Header.Get(HeaderTruncate)
	if cut == "header" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	if at, err := strconv.Atoi(cut); err == nil && at < len(text) {
		_, _ = w.Write(text[:at])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(text)
}

// chunks streams an answer of unknown length, with a trailer.
func (t *Target) chunks(w http.ResponseWriter, r *http.Request, n int) {
	gap, _ := time.ParseDuration(r.Header.Get(HeaderChunkInterval))
	cut, err := strconv.Atoi(r.Header.Get(HeaderTruncate))
	if err != nil {
		cut = -1
	}
	w.Header().Set("Trailer", TrailerChunkCount)
	chunk := bytes.Repeat([]byte{'c'}, 1<<10)
	for i := range n {
		if i == cut {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(chunk)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			t.canceled.Add(1)
			return
		}
	}
	w.Header().Set(TrailerChunkCount, strconv.Itoa(n))
}

// echo streams the request's body back as it arrives.
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

// callNested calls a service through the node and passes its answer on.
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
