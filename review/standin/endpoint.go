package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// breakOff sends a part of an answer without a length and resets the connection. It leaves
// the node time to read that part, because a reset discards what has not been read.
func breakOff(w http.ResponseWriter, part string) {
	header := w.Header()
	header.Del("Content-Length")
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = header.Write(buffered)
	_, _ = buffered.WriteString("\r\n" + part)
	_ = buffered.Flush()
	time.Sleep(20 * time.Millisecond)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
	panic(http.ErrAbortHandler)
}

// Run is one request that an endpoint began to work on.
type Run struct {
	At                   time.Duration
	ID, Path, Method     string
	Body                 string
	Instance, Caller     string
	Machine              string
	ExpectedInstance     string
	DeadlineMilliseconds string
}

// Endpoint is a sound application endpoint. It announces itself to the control address of
// its machine and serves requests one at a time on a connection.
type Endpoint struct {
	// Work is how long a request takes.
	Work time.Duration
	// Version is the version of its software; "v1" if it is empty.
	Version string
	// Crashes reports whether the endpoint crashes when it begins to work on a request.
	Crashes func(Run) bool
	// AnswerBytes is the size of an answer; 0 means a short one.
	AnswerBytes int
	// CutAt returns the number of bytes after which the endpoint resets the connection of an
	// answer without a length, -1 for a whole answer.
	CutAt func(Run) int
	// Downtime is how long the endpoint is away after a crash.
	Downtime time.Duration

	record *Record
	node   *Node

	mu       sync.Mutex
	runs     []Run
	server   *http.Server
	id       string
	born     int64
	stop     context.CancelFunc
	starts   int
	isClosed bool
	state    string
	// drainAcked is closed when the node has acknowledged that the endpoint drains.
	drainAcked chan struct{}
	seq        atomic.Int64
	slots      chan struct{}
	wake       chan struct{}
}

func (e *Endpoint) attach(record *Record, node *Node) {
	e.record, e.node, e.wake = record, node, make(chan struct{}, 1)
}

// Start begins a new incarnation of the endpoint.
func (e *Endpoint) Start() error {
	listener, err := net.Listen("tcp", e.node.App)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isClosed {
		_ = listener.Close()
		return nil
	}
	e.starts++
	e.state, e.drainAcked = "ready", make(chan struct{})
	e.id, e.born = fmt.Sprintf("i-%s-%d", e.node.Name, e.starts), time.Now().UnixMilli()
	e.seq.Store(0)
	e.slots = make(chan struct{}, Slots)
	id, slots := e.id, e.slots
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, id, slots) })}
	server := e.server
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.announce(ctx, id, e.born)
	e.record.Printf("endpoint %s (%s) started at %s", id, e.node.Service, e.node.App)
	return nil
}

// Stop ends the endpoint.
func (e *Endpoint) Stop() {
	e.mu.Lock()
	e.isClosed = true
	server, stop := e.server, e.stop
	e.mu.Unlock()
	if stop != nil {
		stop()
	}
	if server != nil {
		_ = server.Close()
	}
}

// crash ends the endpoint as a crash does: all connections are reset and nothing is said.
func (e *Endpoint) crash(run Run) {
	e.mu.Lock()
	if e.id != run.Instance {
		e.mu.Unlock()
		return
	}
	server, stop := e.server, e.stop
	e.id = ""
	e.mu.Unlock()
	e.record.Printf("endpoint %s crashed on request %s", run.Instance, run.ID)
	stop()
	_ = server.Close()
	time.AfterFunc(e.Downtime, func() {
		for e.Start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// IsUp reports whether the endpoint serves.
func (e *Endpoint) IsUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id != ""
}

// Runs returns what the endpoint has run, in order.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

func (e *Endpoint) announce(ctx context.Context, id string, born int64) {
	client := http.Client{Timeout: time.Second}
	version := e.Version
	if version == "" {
		version = "v1"
	}
	for {
		e.mu.Lock()
		state, drainAcked := e.state, e.drainAcked
		e.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"address": e.node.App, "born": born,
			"information": map[string]any{"service": e.node.Service, "version": version, "zone": e.node.Zone, "slots": Slots},
			"status":      map[string]any{"state": state, "seq": e.seq.Add(1), "cold_remaining": "0ms"},
		})
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.node.Control+"/azurespring/instances/"+id, bytes.NewReader(body))
		if err != nil {
			return
		}
		wait := 200 * time.Millisecond
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode < 300 {
				wait = HeartbeatInterval
				if state == "draining" {
					closeOnce(drainAcked)
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		case <-e.wake:
		}
	}
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// Leave ends the endpoint as planned: it drains, serves on for the drain time after the
// acknowledgement, says that it is gone and ends.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	e.state = "draining"
	id, born, acked := e.id, e.born, e.drainAcked
	e.mu.Unlock()
	e.record.Printf("endpoint %s drains", id)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	select {
	case <-acked:
		e.record.Printf("endpoint %s: draining is acknowledged", id)
	case <-time.After(4 * time.Second):
		e.record.Printf("endpoint %s: draining is not acknowledged", id)
	}
	time.Sleep(Drain + 500*time.Millisecond)
	e.mu.Lock()
	stop := e.stop
	e.mu.Unlock()
	stop()
	body, _ := json.Marshal(map[string]any{"born": born})
	request, err := http.NewRequest(http.MethodDelete, "http://"+e.node.Control+"/azurespring/instances/"+id, bytes.NewReader(body))
	if err == nil {
		client := http.Client{Timeout: time.Second}
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	e.Stop()
	e.record.Printf("endpoint %s is gone", id)
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request, id string, slots chan struct{}) {
	requestID := r.Header.Get("X-Request-Id")
	header := w.Header()
	reject := func(status int) {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if requestID == "" {
		reject(http.StatusBadRequest)
		return
	}
	header.Set("X-Request-Id", requestID)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // The request is not complete.
	}
	select {
	case slots <- struct{}{}:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-slots }()
	run := Run{
		At: e.record.Since(), ID: requestID, Path: r.RequestURI, Method: r.Method, Body: string(body), Instance: id, Machine: e.node.Name,
		Caller: r.Header.Get("X-Calling-Service"), ExpectedInstance: r.Header.Get("X-Expected-Instance"),
		DeadlineMilliseconds: r.Header.Get("X-Deadline-Milliseconds"),
	}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.record.Printf("endpoint %s runs %s %s id=%s body=%d bytes deadline=%s content-length=%d", id, run.Method, run.Path, requestID, len(body), run.DeadlineMilliseconds, r.ContentLength)
	if e.Crashes != nil && e.Crashes(run) {
		e.crash(run)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(e.Work):
	case <-r.Context().Done():
		e.record.Printf("endpoint %s drops %s: its connection has closed", id, requestID)
		panic(http.ErrAbortHandler)
	}
	answer := "answer to " + requestID
	if e.AnswerBytes > 0 {
		answer = strings.Repeat(answer+"\n", e.AnswerBytes/(len(answer)+1)+1)[:e.AnswerBytes]
	}
	header.Set("X-Response-Signature", "sig."+id+"."+requestID)
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(slots), Slots))
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	if e.CutAt != nil {
		if length := e.CutAt(run); length >= 0 && length < len(answer) {
			e.record.Printf("endpoint %s breaks off its answer to %s after %d of %d bytes", id, requestID, length, len(answer))
			breakOff(w, answer[:length])
		}
	}
	_, _ = io.WriteString(w, answer)
}
