package sidecar

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/quarantine"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// A request may crash each endpoint that begins to run it. The node of a crashed endpoint
// stores in its entry which requests the endpoint was running. All nodes judge by these
// reports (package quarantine) and reject a request that they find guilty.

// crashCheckDelays are the times after a connection to a local endpoint broke at which the
// node looks whether the endpoint still listens. A process that ends may close its
// connections before its listener.
var crashCheckDelays = [...]time.Duration{0, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond}

const (
	// minAcquittedCrashes is the number of crashes from which a suspect that runs to its
	// end is reported. Most suspects of a single crash never matter.
	minAcquittedCrashes = 2
	// completionMemory is how long a node remembers that a request has run to its end, and
	// maxCompletions how many of them.
	completionMemory = time.Minute
	maxCompletions   = 4096
	// minTrialInterval is the time between two trials whatever their results.
	minTrialInterval = time.Second
	// maxTrialLoad is the share of an endpoint's slots that may be taken when it runs a
	// quarantined request as a trial: the other requests are lost if it crashes.
	maxTrialLoad = 0.5
)

// endpointCall is a call that has been sent to a local endpoint.
type endpointCall struct {
	request mesh.Fingerprint
	began   time.Time
	// isTrial is set if the request is quarantined.
	isTrial bool
	// brokenAt is when the connection broke; zero while the call is running.
	brokenAt time.Time
}

// crashRecorder records the crashes of the local endpoints, and answers whether a request
// is quarantined.
type crashRecorder struct {
	deps *shared
	// isInUse reports whether an endpoint has neither drained nor deregistered, and onCrash is
	// called after it has crashed.
	isInUse func(ea *endpointAdmission) bool
	onCrash func(ea *endpointAdmission)
	// suspicions is what the entries of all nodes say; nil without any crash.
	suspicions atomic.Pointer[map[mesh.Fingerprint]quarantine.Suspicion]

	mu         sync.Mutex
	crashes    []mesh.Crash
	acquittals []mesh.Acquittal
	// calls holds the calls at each local endpoint, and isChecking the endpoints that are
	// being checked for a crash.
	calls      map[*endpointAdmission]map[*endpointCall]bool
	isChecking map[*endpointAdmission]bool
	// completions and olderCompletions hold when requests ran to their end.
	completions, olderCompletions map[mesh.Fingerprint]time.Time
	// trialAt holds when a quarantined request was last admitted here.
	trialAt map[mesh.Fingerprint]time.Time
}

func newCrashRecorder(deps *shared) *crashRecorder {
	return &crashRecorder{
		deps: deps, calls: make(map[*endpointAdmission]map[*endpointCall]bool), isChecking: make(map[*endpointAdmission]bool),
		completions: make(map[mesh.Fingerprint]time.Time), trialAt: make(map[mesh.Fingerprint]time.Time),
	}
}

// suspicion returns what is known of a request.
func (r *crashRecorder) suspicion(request mesh.Fingerprint) quarantine.Suspicion {
	if suspicions := r.suspicions.Load(); suspicions != nil {
		return (*suspicions)[request]
	}
	return quarantine.Suspicion{}
}

// begin records that a call is sent to an endpoint, or rejects it if its request is
// quarantined and may not run there as a trial. load is the share of the endpoint's slots
// that other calls take.
func (r *crashRecorder) begin(ea *endpointAdmission, request mesh.Fingerprint, load float64) (*endpointCall, *verdict.Error) {
	c := &endpointCall{request: request, began: r.deps.now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.suspicion(request); s.IsQuarantined {
		if rejection := r.admitTrial(ea, request, s, load); rejection != nil {
			return nil, rejection
		}
		c.isTrial = true
	}
	if r.calls[ea] == nil {
		r.calls[ea] = make(map[*endpointCall]bool)
	}
	r.calls[ea][c] = true
	return c, nil
}

// admitTrial rejects a quarantined request unless a trial is due here; r.mu must be held.
func (r *crashRecorder) admitTrial(ea *endpointAdmission, request mesh.Fingerprint, s quarantine.Suspicion, load float64) *verdict.Error {
	now, due := r.deps.now(), s.TrialDueAt()
	if at, ok := r.trialAt[request]; ok {
		due = latest(due, at.Add(max(s.TrialDelay(), minTrialInterval)))
	}
	for c := range r.calls[ea] {
		if c.isTrial {
			due = latest(due, now.Add(minTrialInterval))
		}
	}
	if load > maxTrialLoad {
		due = latest(due, now.Add(minTrialInterval))
	}
	if s.TrialInstance != r.deps.settings.Instance || now.Before(due) {
		return quarantined(s, due.Sub(now))
	}
	if len(r.trialAt) >= mesh.MaxSuspects {
		clear(r.trialAt)
	}
	r.trialAt[request] = now
	r.deps.log.event("trial_started", fields{"request": string(request), "crashes": s.Crashes})
	return nil
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// end records that a call is no longer at its endpoint. isComplete is set if the endpoint
// has run it to its end.
func (r *crashRecorder) end(ea *endpointAdmission, c *endpointCall, isComplete bool) {
	r.mu.Lock()
	r.forget(ea, c)
	isComplete = isComplete && c.request != ""
	if isComplete {
		r.recordCompletion(c.request)
	}
	r.mu.Unlock()
	if isComplete && r.suspicion(c.request).Crashes >= minAcquittedCrashes {
		r.acquit(c.request)
	}
}

// forget removes a call; r.mu must be held.
func (r *crashRecorder) forget(ea *endpointAdmission, c *endpointCall) {
	delete(r.calls[ea], c)
	if len(r.calls[ea]) == 0 {
		delete(r.calls, ea)
	}
}

func (r *crashRecorder) recordCompletion(request mesh.Fingerprint) {
	if len(r.completions) >= maxCompletions/2 {
		r.olderCompletions, r.completions = r.completions, make(map[mesh.Fingerprint]time.Time)
	}
	r.completions[request] = r.deps.now()
}

// hasCompleted reports whether a local endpoint has run the request to its end lately;
// r.mu must be held.
func (r *crashRecorder) hasCompleted(request mesh.Fingerprint) bool {
	at, ok := r.completions[request]
	if !ok {
		at, ok = r.olderCompletions[request]
	}
	return ok && r.deps.now().Sub(at) < completionMemory
}

// connectionBroke records that the connection of a call broke before the end of its
// response. If the endpoint does not listen any more, it has crashed.
func (r *crashRecorder) connectionBroke(ea *endpointAdmission, c *endpointCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.brokenAt = r.deps.now()
	if !r.isChecking[ea] {
		r.isChecking[ea] = true
		go r.check(ea)
	}
}

// connectionRefused records that an endpoint refused a connection. It may have crashed while
// it ran nothing.
func (r *crashRecorder) connectionRefused(ea *endpointAdmission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isChecking[ea] {
		r.isChecking[ea] = true
		go r.check(ea)
	}
}

// check finds out whether an endpoint has crashed.
func (r *crashRecorder) check(ea *endpointAdmission) {
	hasCrashed := false
	for _, delay := range crashCheckDelays {
		time.Sleep(delay)
		ctx, cancel := context.WithTimeout(context.Background(), endpointDialTimeout)
		err := ea.pool.EnsureIdleConn(ctx)
		cancel()
		if hasCrashed = errors.Is(err, syscall.ECONNREFUSED); hasCrashed || !r.isInUse(ea) {
			break
		}
	}
	hasCrashed = hasCrashed && r.isInUse(ea)
	r.mu.Lock()
	delete(r.isChecking, ea)
	var broken, suspects []*endpointCall
	for c := range r.calls[ea] {
		suspects = append(suspects, c)
		if !c.brokenAt.IsZero() {
			broken = append(broken, c)
		}
	}
	for _, c := range broken {
		r.forget(ea, c)
	}
	if hasCrashed && len(broken) > 0 {
		r.recordCrash(ea, slices.MinFunc(broken, func(a, b *endpointCall) int { return a.brokenAt.Compare(b.brokenAt) }).brokenAt, suspects)
	}
	r.mu.Unlock()
	if hasCrashed {
		r.onCrash(ea)
	}
}

// recordCrash records the crash of an endpoint that was running the given calls; r.mu must
// be held.
func (r *crashRecorder) recordCrash(ea *endpointAdmission, at time.Time, calls []*endpointCall) {
	crash := mesh.Crash{EndpointID: ea.endpoint.ID, StartUnixMs: ea.endpoint.StartUnixMs, Service: ea.endpoint.Service, AtUnixMs: at.UnixMilli()}
	// The latest calls come first: a crash follows the start of the request that causes it.
	slices.SortFunc(calls, func(a, b *endpointCall) int { return b.began.Compare(a.began) })
	seen := make(map[mesh.Fingerprint]bool, len(calls))
	for _, c := range calls {
		if c.request == "" || seen[c.request] || c.began.After(at) || r.hasCompleted(c.request) || len(crash.Suspects) == mesh.MaxSuspects {
			continue
		}
		seen[c.request] = true
		crash.Suspects = append(crash.Suspects, mesh.Suspect{Request: c.request, BeganUnixMs: c.began.UnixMilli(), IsTrial: c.isTrial})
	}
	r.crashes = append(r.recentCrashes(), crash)
	r.crashes = r.crashes[max(0, len(r.crashes)-mesh.MaxCrashes):]
	requests := make([]string, len(crash.Suspects))
	for i, s := range crash.Suspects {
		requests[i] = string(s.Request)
	}
	r.deps.log.event("endpoint_crashed", fields{
		"endpoint": crash.EndpointID, "running": len(calls), "suspects": requests[:min(len(requests), maxLoggedSuspects)],
	})
}

// maxLoggedSuspects bounds the suspects in one log line.
const maxLoggedSuspects = 8

// recentCrashes returns the crashes that still count; r.mu must be held.
func (r *crashRecorder) recentCrashes() []mesh.Crash {
	oldest := r.deps.now().Add(-quarantine.Retention).UnixMilli()
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c mesh.Crash) bool { return c.AtUnixMs <= oldest })
}

// acquit reports that a local endpoint has run a suspect to its end.
func (r *crashRecorder) acquit(requests ...mesh.Fingerprint) {
	r.mu.Lock()
	now := r.deps.now()
	oldest := now.Add(-quarantine.Retention).UnixMilli()
	r.acquittals = slices.DeleteFunc(slices.Clone(r.acquittals), func(a mesh.Acquittal) bool {
		return a.AtUnixMs <= oldest || slices.Contains(requests, a.Request)
	})
	for _, request := range requests {
		// The clock of the node that reported the crash may be ahead.
		at := max(now.UnixMilli(), r.suspicion(request).LastAt.UnixMilli())
		r.acquittals = append(r.acquittals, mesh.Acquittal{Request: request, AtUnixMs: at})
	}
	r.acquittals = r.acquittals[max(0, len(r.acquittals)-mesh.MaxAcquittals):]
	r.mu.Unlock()
	r.deps.log.event("suspects_acquitted", fields{"requests": requests[:min(len(requests), maxLoggedSuspects)]})
	r.deps.onEndpointsChanged()
}

// toPublish returns what the entry of this node tells the other nodes and its next process.
func (r *crashRecorder) toPublish() ([]mesh.Crash, []mesh.Acquittal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recentCrashes(), slices.Clone(r.acquittals)
}

// restore takes over what an earlier process of this node has stored.
func (r *crashRecorder) restore(entry mesh.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = slices.Concat(entry.Crashes, r.crashes)
	r.crashes = r.crashes[max(0, len(r.crashes)-mesh.MaxCrashes):]
	r.acquittals = slices.Concat(entry.Acquittals, r.acquittals)
	r.acquittals = r.acquittals[max(0, len(r.acquittals)-mesh.MaxAcquittals):]
}

// evaluate judges by the entries of all instances.
func (r *crashRecorder) evaluate(instances []mesh.Instance) {
	suspicions := quarantine.Evaluate(r.deps.now(), instances)
	old := r.suspicions.Load()
	if suspicions == nil {
		r.suspicions.Store(nil)
	} else {
		r.suspicions.Store(&suspicions)
	}
	for request, s := range suspicions {
		if s.IsQuarantined && (old == nil || (*old)[request].Crashes != s.Crashes || !(*old)[request].IsQuarantined) {
			r.deps.log.event("request_quarantined", fields{
				"request": string(request), "crashes": s.Crashes, "trialAt": s.TrialInstance, "trialAfterMs": s.TrialDelay().Milliseconds(),
			})
		}
	}
	if old == nil {
		return
	}
	for request, s := range *old {
		if s.IsQuarantined && !suspicions[request].IsQuarantined {
			r.deps.log.event("request_released", fields{"request": string(request), "crashes": s.Crashes})
		}
	}
}

// acquitCompleted acquits the suspects that a local endpoint has run to their end lately.
func (r *crashRecorder) acquitCompleted() {
	suspicions := r.suspicions.Load()
	if suspicions == nil {
		return
	}
	r.mu.Lock()
	// Acquittals that displaced others here would lead to further ones without end.
	capacity := mesh.MaxAcquittals - len(r.acquittals)
	var sound []mesh.Fingerprint
	for _, request := range slices.Sorted(maps.Keys(*suspicions)) {
		if (*suspicions)[request].Crashes >= minAcquittedCrashes && len(sound) < capacity && r.hasCompleted(request) {
			sound = append(sound, request)
		}
	}
	r.mu.Unlock()
	if len(sound) > 0 {
		r.acquit(sound...)
	}
}

// quarantined returns the error of a quarantined request. wait is the time until the next
// trial.
func quarantined(s quarantine.Suspicion, wait time.Duration) *verdict.Error {
	err := verdict.NotRunErrorf(verdict.Quarantined, "%d endpoints crashed while they ran the request", s.Crashes)
	err.RetryAfter = max(wait, 0)
	return err
}
