// Package testtarget is test material: a stand-in for a target that announces
// itself, drains, sheds load, fails, lies and crashes on demand.
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
	// CallsURL is the base URL at which the node takes calls, for nested calls.
	CallsURL string        `json:"calls"`
	Warmup   time.Duration `json:"warmup"`
	// OnCrash is called on a crash after all connections are closed; nil means that
	// the target only stops listening.
	OnCrash func() `json:"-"`
}

// Behavior is what can be changed while the target runs. The zero value answers
// every call at once.
type Behavior struct {
	// ServiceTime is the service time of each call, spread over the slots that the
	// target really has.
	ServiceTime time.Duration `json:"delay"`
	// RealSlots bounds the calls that are worked on together; 0 means no bound.
	RealSlots int `json:"realSlots"`
	// WarmupExtraDelay adds to Delay in the time Warmup after the start.
	WarmupExtraDelay time.Duration `json:"cold"`
	// FailEvery makes each n-th call fail with FailStatus; 0 means none.
	FailEvery  int `json:"failEvery"`
	FailStatus int `json:"failStatus"`
	// ShedEvery makes each n-th call be shed.
	ShedEvery int `json:"shedEvery"`
	// ShedAbove sheds calls while more than this many are in flight; 0 means never.
	ShedAbove int `json:"shedAbove"`
	// State is announced: "starting", "ready" or "draining".
	State string `json:"state"`
	// AnnouncedSlots overrides the slots that are announced, to lie about capacity.
	AnnouncedSlots int `json:"announcedSlots"`
	// ReportedHealth and Load are what /health and /load say if they are set; both are lies.
	ReportedHealth string `json:"health"`
	ReportedLoad   int    `json:"load"`
	// FreezeReports keeps /health and /load as they were when it was set.
	FreezeReports bool `json:"lagReports"`
	// IgnoreCancel makes the target work on although the caller gave up.
	IgnoreCancel bool `json:"ignoreCancel"`
	// NeverAnswer makes the target accept calls and never answer.
	NeverAnswer bool `json:"silent"`
}

// Target is a running stand-in target.
type Target struct {
	options  Options
	listener net.Listener
	server   *http.Server
	client   *http.Client
	started  time.Time
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu       sync.Mutex
	behavior Behavior
	lagging  report
	slots    chan struct{}
	runs     map[string]int
	changed  chan struct{}

	calls     atomic.Int64
	inFlight  atomic.Int64
	canceled  atomic.Int64
	completed atomic.Int64
	crashed   atomic.Bool
	silence   chan struct{}
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
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		runs:   make(map[string]int), changed: make(chan struct{}, 1), silence: make(chan struct{}),
	}
	t.SetBehavior(behavior)
	mux := http.NewServeMux()
	mux.HandleFunc("/control", t.control)
	mux.HandleFunc("/health", t.health)
	mux.HandleFunc("/load", t.load)
	mux.HandleFunc("/", t.serve)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	t.done.Go(func() { _ = t.server.Serve(listener) })
	if options.AnnounceURL != "" {
		t.done.Go(func() { t.announce(ctx) })
	}
	return t, nil
}

// Address returns the IP and port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetBehavior replaces the behavior.
func (t *Target) SetBehavior(behavior Behavior) {
	if behavior.State == "" {
		behavior.State = "ready"
	}
	t.mu.Lock()
	if behavior.FreezeReports && !t.behavior.FreezeReports {
		t.lagging = t.report(t.behavior)
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
	case t.changed <- struct{}{}:
	default:
	}
}

// Behavior returns the current behavior.
func (t *Target) Behavior() Behavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behavior
}

// RunCount returns how often a call with the request id was begun.
func (t *Target) RunCount(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// RunCounts returns how often each request id was begun.
func (t *Target) RunCounts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		runs[id] = n
	}
	return runs
}

// InFlight returns the number of calls in work.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Canceled returns the number of calls that ended because the caller gave up.
func (t *Target) Canceled() int { return int(t.canceled.Load()) }

// Crash ends the target as the end of its process would: the listener and all
// connections close at once.
func (t *Target) Crash() {
	if !t.crashed.CompareAndSwap(false, true) {
		return
	}
	_ = t.server.Close()
	close(t.silence)
	t.stop()
	if t.options.OnCrash != nil {
		t.options.OnCrash()
	}
}

// Close ends the target and waits for its goroutines.
func (t *Target) Close() {
	if t.crashed.CompareAndSwap(false, true) {
		_ = t.server.Close()
		close(t.silence)
		t.stop()
	}
	t.done.Wait()
	t.client.CloseIdleConnections()
}
