// Package testtarget is a fake target for tests. It announces itself and, on request,
// drains, sheds load, fails, reports false values and crashes.
package testtarget

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Options configures a target.
type Options struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	// ListenAddress is an IP and port; port 0 chooses one.
	ListenAddress string `json:"listen"`
	// AnnounceURL is the base URL of the node's local address; empty means that the
	// target does not announce itself.
	AnnounceURL string `json:"announce"`
	// CallsURL is the base URL at which the node accepts calls, for nested calls.
	CallsURL string        `json:"calls"`
	Warmup   time.Duration `json:"warmup"`
	// OnCrash is called by Crash after all connections are closed; nil means that the
	// target only closes its listener and connections.
	OnCrash func() `json:"-"`
}

// Behavior holds the options that can change while the target runs. With the zero value
// the target responds to every call at once.
type Behavior struct {
	// ServiceTime is the service time of each call; a call occupies one of the RealSlots
	// for that time.
	ServiceTime time.Duration `json:"delay"`
	// RealSlots bounds the calls that are processed concurrently; 0 means no bound.
	RealSlots int `json:"realSlots"`
	// WarmupExtraDelay is added to the service time for Options.Warmup after the start.
	WarmupExtraDelay time.Duration `json:"cold"`
	// FailEvery makes every n-th call fail with FailStatus, or 500 if that is lower; 0
	// means none.
	FailEvery  int `json:"failEvery"`
	FailStatus int `json:"failStatus"`
	// ShedEvery makes the target shed every n-th call; 0 means none.
	ShedEvery int `json:"shedEvery"`
	// ShedAbove sheds calls while more than this many are in flight; 0 means never.
	ShedAbove int `json:"shedAbove"`
	// State is the announced state: "starting", "ready" or "draining".
	State string `json:"state"`
	// AnnouncedSlots overrides the announced slots, to announce a false capacity.
	AnnouncedSlots int `json:"announcedSlots"`
	// ReportedHealth and ReportedLoad override the true values in /health and /load.
	ReportedHealth string `json:"health"`
	ReportedLoad   int    `json:"load"`
	// FreezeReports makes /health and /load return the values of when it was set.
	FreezeReports bool `json:"lagReports"`
	// IgnoreCancel makes the target continue calls that the caller has canceled.
	IgnoreCancel bool `json:"ignoreCancel"`
	// NeverAnswer makes the target accept calls and never respond.
	NeverAnswer bool `json:"silent"`
}

// Target is a running fake target.
type Target struct {
	options    Options
	listener   net.Listener
	server     *http.Server
	client     *http.Client
	started    time.Time
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu              sync.Mutex
	behavior        Behavior
	frozenReport    statusReport
	slots           chan struct{}
	runsByRequestID map[string]int
	behaviorChanged chan struct{}

	calls     atomic.Int64
	inFlight  atomic.Int64
	canceled  atomic.Int64
	completed atomic.Int64
	crashed   atomic.Bool
	closed    chan struct{}
}

// Start runs a target until Close.
func Start(options Options, behavior Behavior) (*Target, error) {
	if options.ListenAddress == "" {
		options.ListenAddress = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", options.ListenAddress)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		options: options, listener: listener, started: time.Now(), stop: cancel,
		client:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		runsByRequestID: make(map[string]int), behaviorChanged: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	t.SetBehavior(behavior)
	mux := http.NewServeMux()
	mux.HandleFunc("/control", t.control)
	mux.HandleFunc("/health", t.health)
	mux.HandleFunc("/load", t.load)
	mux.HandleFunc("/", t.serve)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	t.goroutines.Go(func() { _ = t.server.Serve(listener) })
	if options.AnnounceURL != "" {
		t.goroutines.Go(func() { t.announce(ctx) })
	}
	return t, nil
}

// Address returns the IP and port that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetBehavior replaces the behavior.
func (t *Target) SetBehavior(behavior Behavior) {
	if behavior.State == "" {
		behavior.State = "ready"
	}
	t.mu.Lock()
	if behavior.FreezeReports && !t.behavior.FreezeReports {
		t.frozenReport = t.newReport(t.behavior)
	}
	if behavior.RealSlots != t.behavior.RealSlots {
		t.slots = nil
		if behavior.RealSlots > 0 {
			t.slots = make(chan struct{}, behavior.RealSlots)
		}
	}
	t.behavior = behavior
	t.mu.Unlock()
	select {
	case t.behaviorChanged <- struct{}{}:
	default:
	}
}

// Behavior returns the current behavior.
func (t *Target) Behavior() Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behavior
}

// RunCount returns how often a call with the given request ID was started.
func (t *Target) RunCount(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runsByRequestID[id]
}

// RunCounts returns how often the calls of each request ID were started.
func (t *Target) RunCounts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runsByRequestID))
	for id, n := range t.runsByRequestID {
		runs[id] = n
	}
	return runs
}

// InFlight returns the number of calls in flight.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Canceled returns the number of calls that ended because the caller canceled them.
func (t *Target) Canceled() int { return int(t.canceled.Load()) }

// Crash simulates a crash of the target's process: the listener and all connections
// close at once.
func (t *Target) Crash() {
	if !t.crashed.CompareAndSwap(false, true) {
		return
	}
	_ = t.server.Close()
	close(t.closed)
	t.stop()
	if t.options.OnCrash != nil {
		t.options.OnCrash()
	}
}

// Close stops the target and waits for its goroutines.
func (t *Target) Close() {
	if t.crashed.CompareAndSwap(false, true) {
		_ = t.server.Close()
		close(t.closed)
		t.stop()
	}
	t.goroutines.Wait()
	t.client.CloseIdleConnections()
}
