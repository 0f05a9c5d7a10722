package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/azurespring/azurespring/pkg/healthquery"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/coldstart"
	"github.com/azurespring/azurespring/pkg/mesh/gate"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// coldPollInterval is the longest time between two looks whether a call that waits for the
// limit of a cold endpoint may be sent: the endpoint may become warm, or be evacuated.
const coldPollInterval = 20 * time.Millisecond

// lateSendTime is the time after which a call that was counted for the limit, but whose
// body had to be awaited, is counted again.
const lateSendTime = 100 * time.Millisecond

// endpointWarmth is the limit of one process of an endpoint while that is cold.
type endpointWarmth struct {
	*coldstart.Limiter
	// startUnixMs identifies the process, and sequence is the latest announcement applied.
	startUnixMs, sequence int64
	// waiting is the number of calls that hold a slot and wait for the limit.
	waiting int
	// loggedState is the state that was logged last.
	loggedState coldstart.State
}

// warmthOf returns the limit of an endpoint process; la.mu must be held. It is kept while
// the endpoint is out of use: the process may have crashed only as far as this node knows.
func (la *localAdmission) warmthOf(e *mesh.LocalEndpoint) *endpointWarmth {
	w := la.warmth[e.ID]
	if w == nil || w.startUnixMs != e.StartUnixMs {
		w = &endpointWarmth{Limiter: coldstart.New(), startUnixMs: e.StartUnixMs, sequence: -1}
		la.warmth[e.ID] = w
	} else {
		w.Doubt(la.deps.now())
	}
	return w
}

// sweepWarmth forgets the limits of endpoints that are gone; la.mu must be held.
func (la *localAdmission) sweepWarmth() {
	now := la.deps.now()
	for id, w := range la.warmth {
		if la.admissions[id] == nil && w.IsIdle(now) {
			delete(la.warmth, id)
		}
	}
	for _, ea := range la.admissions {
		la.adjustSlots(ea)
	}
}

// isCurrent reports whether the endpoint of ea still takes calls; la.mu must be held.
func (la *localAdmission) isCurrent(ea *endpointAdmission) bool {
	return la.admissions[ea.endpoint.ID] == ea
}

// coldLimits returns the limits of a service while an endpoint is cold.
func (s *shared) coldLimits(service string) coldstart.Limits {
	limits := coldstart.Limits{Overage: s.settings.ColdOverage, Slack: s.settings.ColdSlack, HeartbeatInterval: s.settings.HeartbeatInterval}
	if snapshot := s.snapshot.Load(); snapshot != nil {
		if configured := snapshot.Service(service); configured != nil {
			limits.PerSecond, limits.HasHealthCheck = configured.ColdPerSecond, configured.HealthCheckPath != ""
		}
	}
	return limits
}

// hasColdLimits reports whether services of the deployment may have limits for cold
// endpoints.
func (s Settings) hasColdLimits() bool { return s.ColdOverage > 0 || s.ColdSlack > 0 }

// recordWarmth applies what an announcement says about the endpoint's warmth. An
// announcement that the registry did not take changes nothing.
func (la *localAdmission) recordWarmth(a mesh.Announcement) {
	la.mu.Lock()
	defer la.mu.Unlock()
	ea := la.admissions[a.ID]
	if ea == nil || ea.endpoint.StartUnixMs != a.StartUnixMs || a.Sequence <= ea.warmth.sequence {
		return
	}
	ea.warmth.sequence = a.Sequence
	ea.warmth.Announced(la.deps.now(), la.deps.coldLimits(ea.endpoint.Service), a.WarmupRemaining)
	la.adjustSlots(ea)
}

// doubtWarmth treats the local endpoints as cold until they say otherwise.
func (la *localAdmission) doubtWarmth(reason string) {
	la.mu.Lock()
	defer la.mu.Unlock()
	for _, ea := range la.admissions {
		la.doubt(ea, reason)
	}
}

// doubtAfterFailure treats an endpoint as cold after a connection was refused or broken.
func (la *localAdmission) doubtAfterFailure(ea *endpointAdmission) {
	la.mu.Lock()
	defer la.mu.Unlock()
	la.doubt(ea, "connection")
}

func (la *localAdmission) doubt(ea *endpointAdmission, reason string) {
	ea.warmth.Doubt(la.deps.now())
	if la.deps.coldLimits(ea.endpoint.Service).IsLimited() {
		la.deps.metrics.warmthDoubted(reason)
	}
	la.adjustSlots(ea)
}

// adjustSlots fits the slots of an endpoint to its state, logs changes of that, and sends a
// health query if one is due; la.mu must be held. Of an endpoint that has left, only calls
// end.
func (la *localAdmission) adjustSlots(ea *endpointAdmission) {
	if !la.isCurrent(ea) {
		return
	}
	now, limits := la.deps.now(), la.deps.coldLimits(ea.endpoint.Service)
	w, slots := ea.warmth, ea.endpoint.Slots
	if limits.IsLimited() {
		slots = w.Slots(now, limits, slots, ea.queue.Running()-w.waiting, ea.queue.MeanServiceTime())
		if state := w.State(now, limits); state != w.loggedState {
			w.loggedState = state
			la.deps.log.event("endpoint_warmth", fields{"endpoint": ea.endpoint.ID, "state": state.String(), "slots": slots})
		}
		if query, ok := w.DueQuery(now, limits); ok {
			go la.queryWarmth(ea, ea.endpoint, query)
		}
	}
	if slots != ea.queue.Slots() {
		ea.deliverDecisions(ea.queue.Resize(now, slots))
	}
}

// queryWarmth asks an endpoint through its health check whether it is cold.
func (la *localAdmission) queryWarmth(ea *endpointAdmission, e *mesh.LocalEndpoint, query coldstart.Query) {
	h, path := la.deps.headers, ""
	if snapshot := la.deps.snapshot.Load(); snapshot != nil && snapshot.Service(e.Service) != nil {
		path = snapshot.Service(e.Service).HealthCheckPath
	}
	remaining, err := healthquery.Check{
		Address: e.Address, Path: path, RemainingHeader: h.ColdRemaining,
		Header: http.Header{"User-Agent": {""}, h.ExpectedEndpoint: {e.ID}},
	}.Query(context.Background(), ea.pool)
	result := "warm"
	la.mu.Lock()
	switch {
	case err != nil:
		result = "failed"
		ea.warmth.Failed(la.deps.now())
		la.deps.log.event("warmth_query_failed", fields{"endpoint": e.ID, "error": err.Error()})
	default:
		if remaining > 0 {
			result = "cold"
		}
		ea.warmth.Answered(la.deps.now(), query, remaining)
	}
	la.adjustSlots(ea)
	la.mu.Unlock()
	la.deps.metrics.warmthQuery(result)
}

// coldRejection returns the rejection of a call that a cold endpoint could not get in time
// behind those that wait already; la.mu must be held.
func (la *localAdmission) coldRejection(ea *endpointAdmission, c *call, now time.Time) *verdict.Error {
	if la.deps.snapshot.Load() == nil && la.deps.settings.hasColdLimits() {
		return verdict.NotRunErrorf(verdict.NoTarget, "the node does not know the limits of cold endpoints yet")
	}
	la.adjustSlots(ea)
	wait := la.coldWait(ea, c, now)
	if wait == 0 || wait <= la.maxColdWait(ea, c, now) {
		return nil
	}
	return la.rejectCold(wait)
}

// coldWait returns how long a call would wait for the limit of a cold endpoint behind those
// that wait already and are not less urgent; la.mu must be held.
func (la *localAdmission) coldWait(ea *endpointAdmission, c *call, now time.Time) time.Duration {
	limits := la.deps.coldLimits(c.Service)
	if !limits.IsLimited() {
		return 0
	}
	ahead := ea.queue.Ahead(gate.Request{Nested: c.Nested, Priority: c.Priority, Tenant: c.Tenant, TenantPriority: c.TenantPriority})
	return ea.warmth.Wait(now, limits, ea.warmth.waiting+ahead+1)
}

// maxColdWait returns the longest useful wait of a call for the limit of a cold endpoint.
func (la *localAdmission) maxColdWait(ea *endpointAdmission, c *call, now time.Time) time.Duration {
	untilLate := c.deadline.Sub(now) - rejectionMargin - ea.routeLatencies[c.Route]
	return min(untilLate, time.Duration(c.MaxQueueWaitUs)*time.Microsecond)
}

func (la *localAdmission) rejectCold(wait time.Duration) *verdict.Error {
	la.deps.metrics.coldRejection()
	rejection := verdict.NotRunErrorf(verdict.Overloaded, "the endpoint is cold and gets no more requests yet")
	rejection.RetryAfter = wait
	return rejection
}

// awaitColdLimit waits, with a slot, until a call may be sent to an endpoint that may be
// cold, and counts it. arrived is when the call reached this node.
func (la *localAdmission) awaitColdLimit(ctx context.Context, ea *endpointAdmission, c *call, arrived time.Time) *verdict.Error {
	limits := la.deps.coldLimits(c.Service)
	if !limits.IsLimited() {
		return nil
	}
	la.mu.Lock()
	defer la.mu.Unlock()
	ea.warmth.waiting++
	defer func() {
		ea.warmth.waiting--
		la.adjustSlots(ea)
	}()
	for {
		if !la.isCurrent(ea) {
			return verdict.NotRunErrorf(verdict.Draining, "the endpoint has left while the call waited")
		}
		now := la.deps.now()
		ok, wait := ea.warmth.Take(now, limits)
		if ok {
			return nil
		}
		la.adjustSlots(ea)
		if now.Add(wait).After(arrived.Add(la.maxColdWait(ea, c, arrived))) {
			return la.rejectCold(wait)
		}
		la.mu.Unlock()
		timer := time.NewTimer(min(wait, coldPollInterval))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		rejection := la.evacuationRejection()
		la.mu.Lock()
		if ctx.Err() != nil {
			return contextRejection(ctx)
		}
		if rejection != nil {
			return rejection
		}
	}
}
