//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an endpoint has received.
type run struct {
	id      string
	at      time.Duration
	arrived time.Time
	path    string
	refused bool
}

// endpoint is an application endpoint as the users' pages describe it.
type endpoint struct {
	machine *machine
	id      string
	version string
	slots   int
	born    int64
	// handle runs a request; nil responds after work.
	handle func(w http.ResponseWriter, r *http.Request)
	work   time.Duration
	// isQuiet leaves the requests out of the record.
	isQuiet bool

	sequence atomic.Int64
	mu       sync.Mutex
	state    string
	isDown   bool
	runs     []run
	server   *http.Server
	stopped  chan struct{}
}

// addEndpoint puts an endpoint on the machine.
func (m *machine) addEndpoint(id string, work time.Duration) *endpoint {
	m.endpoint = &endpoint{machine: m, id: id, version: "v1", slots: 6, work: work, state: "ready", stopped: make(chan struct{})}
	return m.endpoint
}

// start serves requests and sends heartbeats until exit.
func (e *endpoint) start() error {
	listener, err := net.Listen("tcp", e.machine.at(endpointPort))
	if err != nil {
		return err
	}
	e.born = time.Now().UnixMilli()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	go func() {
		for {
			_ = e.beat()
			select {
			case <-e.stopped:
				return
			case <-time.After(e.machine.lab.heartbeat):
			}
		}
	}()
	return nil
}

// crash ends the process of the endpoint without a word. A new one starts at its address
// after downTime, under the same ID and with a later start.
func (e *endpoint) crash(downTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isDown = true
	_ = e.server.Close()
	time.AfterFunc(downTime, func() {
		listener, err := net.Listen("tcp", e.machine.at(endpointPort))
		if err != nil {
			e.machine.lab.log("endpoint %s does not start: %v", e.id, err)
			return
		}
		e.mu.Lock()
		e.born, e.isDown = time.Now().UnixMilli(), false
		e.sequence.Store(0)
		e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 10 * time.Second}
		server := e.server
		e.mu.Unlock()
		e.machine.lab.log("endpoint %s is back", e.id)
		_ = e.beat()
		_ = server.Serve(listener)
	})
}

// exit ends the endpoint: its connections break.
func (e *endpoint) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stopped:
		return
	default:
	}
	close(e.stopped)
	if e.server != nil {
		_ = e.server.Close()
	}
}

// heartbeats allow a second for an acknowledgement.
var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

var errNoAck = errors.New("not acknowledged")

func (e *endpoint) control(method string, body []byte) error {
	request, err := http.NewRequest(method, "http://"+e.machine.at(controlPort)+"/azurespring/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := controlClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%w: status %d", errNoAck, response.StatusCode)
	}
	return nil
}

// beat sends one heartbeat.
func (e *endpoint) beat() error {
	e.mu.Lock()
	state, born, isDown := e.state, e.born, e.isDown
	e.mu.Unlock()
	if isDown {
		return errNoAck
	}
	body, err := json.Marshal(map[string]any{
		"address": e.machine.at(endpointPort), "born": born,
		"information": map[string]any{"service": e.machine.service, "version": e.version, "zone": e.machine.zone, "slots": e.slots},
		"status":      map[string]any{"state": state, "seq": e.sequence.Add(1), "cold_remaining": "0ms"},
	})
	if err != nil {
		return err
	}
	return e.control(http.MethodPut, body)
}

// drain reports that the endpoint leaves and returns when that was acknowledged.
func (e *endpoint) drain() (time.Time, error) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.machine.lab.log("endpoint %s reports draining", e.id)
	for range 5 {
		if err := e.beat(); err == nil {
			at := time.Now()
			e.machine.lab.log("node %s acknowledged that endpoint %s is draining", e.machine.name, e.id)
			return at, nil
		}
	}
	return time.Time{}, fmt.Errorf("%w: draining was not acknowledged", errSetUp)
}

// deregister says that the endpoint is gone. It goes on serving and sends no more heartbeats.
func (e *endpoint) deregister() error {
	e.mu.Lock()
	e.isDown = true
	e.mu.Unlock()
	err := e.control(http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, e.born))
	e.machine.lab.log("endpoint %s deregisters (error: %v)", e.id, err)
	return err
}

// leave says that the endpoint is gone and ends it.
func (e *endpoint) leave() {
	err := e.control(http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, e.born))
	e.machine.lab.log("endpoint %s deregisters (error: %v) and exits", e.id, err)
	e.exit()
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", e.id)
	if r.URL.Path == "/health" {
		return
	}
	refused := r.Header.Get("X-Expected-Instance") != "" && r.Header.Get("X-Expected-Instance") != e.id
	e.mu.Lock()
	e.runs = append(e.runs, run{id: id, at: e.machine.lab.now(), arrived: time.Now(), path: r.RequestURI, refused: refused})
	e.mu.Unlock()
	if refused {
		e.machine.lab.log("endpoint %s rejects %s with 421", e.id, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.isQuiet {
		e.machine.lab.log("endpoint %s begins to run %s %s, id %s", e.id, r.Method, r.RequestURI, id)
	}
	if e.handle != nil {
		e.handle(w, r)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		e.machine.lab.log("endpoint %s: the body of %s is cut after %d bytes: %v", e.id, id, n, err)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(e.work):
	case <-r.Context().Done():
		e.machine.lab.log("endpoint %s: the connection of %s closed while it ran", e.id, id)
		return
	}
	e.sign(w, r)
	_, _ = io.WriteString(w, "done "+id)
	if !e.isQuiet {
		e.machine.lab.log("endpoint %s has run %s", e.id, id)
	}
}

// sign marks a response as the endpoint's own.
func (e *endpoint) sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Signature", "3e1b."+e.id+"."+r.Header.Get("X-Request-Id"))
}

// received returns the requests that reached the endpoint.
func (e *endpoint) received() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}
