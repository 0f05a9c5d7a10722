package sidecar

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/azurespring/azurespring/pkg/exchange"
	"github.com/azurespring/azurespring/pkg/mesh"
	"github.com/azurespring/azurespring/pkg/mesh/gate"
	"github.com/azurespring/azurespring/pkg/mesh/rollout"
	"github.com/azurespring/azurespring/pkg/verdict"
)

// Check implements Registry. An announcement that the registry would ignore must not be
// acknowledged: it may say that the endpoint drains.
func (la *localAdmission) Check(a mesh.Announcement) error {
	la.mu.Lock()
	contradicts := la.registry.Contradicts(a)
	la.mu.Unlock()
	if contradicts {
		return eris.New("the announcement contradicts earlier ones of the same process")
	}
	return la.checkAddress(a.Address)
}

// checkAddress returns an error for an address on another instance. Only the IP address
// is compared: the next endpoint on the instance may use another port.
func (la *localAdmission) checkAddress(address string) error {
	own, err := netip.ParseAddrPort(la.deps.settings.EndpointAddress)
	if err != nil {
		return nil // The settings do not name the address.
	}
	announced, err := netip.ParseAddrPort(address)
	if err != nil || announced.Addr() != own.Addr() {
		return eris.Errorf("address %.60q is not on this instance", address)
	}
	return nil
}

// Announce implements Registry.
func (la *localAdmission) Announce(a mesh.Announcement) bool {
	la.change("announcement", a.ID, string(a.State), func(now time.Time) bool {
		changed := la.registry.Announce(now, a)
		return la.recordAnnouncement(now, a) || changed
	})
	la.recordWarmth(a)
	return a.State != mesh.EndpointDraining || la.awaitDeregistrationStored(a.ID)
}

// recordAnnouncement counts announcements of an endpoint while its end may be unknown. It
// reports whether this announcement makes the endpoint usable.
func (la *localAdmission) recordAnnouncement(now time.Time, a mesh.Announcement) bool {
	seen := la.announcementCounts[a.ID]
	switch {
	case la.isEndKnown(a.StartUnixMs) || a.State != mesh.EndpointReady:
		delete(la.announcementCounts, a.ID)
		return false
	case seen.startUnixMs != a.StartUnixMs:
		seen = announcementCount{startUnixMs: a.StartUnixMs}
	case a.Sequence <= seen.sequence || now.Sub(seen.lastAt) < la.deps.settings.HeartbeatInterval/2:
		return false
	}
	seen.sequence, seen.lastAt = a.Sequence, now
	seen.count++
	la.announcementCounts[a.ID] = seen
	return seen.count == requiredAnnouncements
}

// isEndKnown reports whether this node would know if an earlier process had acknowledged the
// end of an endpoint process.
func (la *localAdmission) isEndKnown(startUnixMs int64) bool {
	return la.restored && (!la.endsMayBeLost || startUnixMs >= la.startedUnixMs)
}

// isUsable reports whether requests may be sent to the endpoint: either its end would be
// known, or the endpoint has announced itself often enough.
func (la *localAdmission) isUsable(e mesh.Endpoint) bool {
	return la.isEndKnown(e.StartUnixMs) || la.announcementCounts[e.ID].count >= requiredAnnouncements
}

// isRestored reports whether the stored instance entry of this node has been read.
func (la *localAdmission) isRestored() bool {
	la.mu.Lock()
	defer la.mu.Unlock()
	return la.restored
}

// Deregister implements Registry.
func (la *localAdmission) Deregister(id string, startUnixMs int64) bool {
	la.change("announcement", id, "gone", func(now time.Time) bool {
		la.registry.Deregister(now, id, startUnixMs)
		return true
	})
	return la.awaitDeregistrationStored(id)
}

// awaitDeregistrationStored waits until the deregistration of an endpoint is stored and
// reports whether it is. Only then may it be acknowledged, because the next process of
// this node has to respect the acknowledgement too.
func (la *localAdmission) awaitDeregistrationStored(id string) bool {
	stored := la.deps.awaitPublished(deregistrationAckTimeout)
	if !stored {
		la.deps.log.event("end_not_stored", fields{"endpoint": id, "waitedMs": deregistrationAckTimeout.Milliseconds()})
	}
	return stored
}

// deregistrationAckTimeout is how long an acknowledgement waits for the store.
// Endpoints send the deregistration to this node only and expect a response within a
// second.
const deregistrationAckTimeout = 700 * time.Millisecond

// restore applies the instance entry that an earlier process of this node stored. Another
// writer may have replaced it: endpoints on other instances are left out. If the store may have
// lost a later entry, no endpoint of it is used before it announces itself: it may have ended.
func (la *localAdmission) restore(entry mesh.Instance, mayBeLost bool) {
	if mayBeLost {
		la.deps.log.event("own_entry_outdated", fields{"era": entry.Era, "endpoints": len(entry.Endpoints)})
		entry.Endpoints = nil
	}
	entry.Endpoints = slices.DeleteFunc(slices.Clone(entry.Endpoints), func(e mesh.Endpoint) bool {
		return la.checkAddress(e.Address) != nil
	})
	la.change("endpoints_restored", "", "ready", func(now time.Time) bool {
		if la.restored {
			return false
		}
		la.restored, la.endsMayBeLost = true, mayBeLost
		la.registry.Restore(now, entry)
		la.crashes.restore(entry)
		return true
	})
}

// ReportMalformed implements Registry.
func (la *localAdmission) ReportMalformed(id string, err error) {
	la.deps.log.event("announcement_malformed", fields{"endpoint": id, "error": err.Error()})
}

// sweep removes unresponsive endpoints and closes idle connections.
func (la *localAdmission) sweep() {
	la.change("endpoint_silent", "", "gone", func(now time.Time) bool { return la.registry.RemoveExpired(now) })
	la.mu.Lock()
	defer la.mu.Unlock()
	for _, ea := range la.admissions {
		ea.pool.CloseExpired()
	}
	la.sweepWarmth()
}

// isInUse reports whether the endpoint has neither drained nor deregistered, and its version
// takes requests.
func (la *localAdmission) isInUse(ea *endpointAdmission) bool {
	la.mu.Lock()
	isCurrent := la.admissions[ea.endpoint.ID] == ea
	la.mu.Unlock()
	return isCurrent && la.deps.rollouts.isAllowed(ea.endpoint.Service, ea.endpoint.Version)
}

// removeCrashed removes an endpoint that has crashed. The calls that wait for it can go to
// another one at once, and other nodes send it no more.
func (la *localAdmission) removeCrashed(ea *endpointAdmission) {
	la.mu.Lock()
	la.registry.RemoveCrashed(ea.endpoint.ID, ea.endpoint.StartUnixMs)
	la.syncAdmissions()
	la.mu.Unlock()
	la.deps.onEndpointsChanged()
}

// change applies a change to the local endpoints and updates their admission queues.
func (la *localAdmission) change(event, id, state string, apply func(now time.Time) bool) bool {
	now := la.deps.now()
	la.mu.Lock()
	changed := apply(now)
	if changed {
		la.syncAdmissions()
	}
	la.mu.Unlock()
	if changed {
		la.deps.log.event(event, fields{"endpoint": id, "state": state})
		la.deps.onEndpointsChanged()
	}
	return changed
}

// rejectWaiting rejects all calls that wait for a slot.
func (la *localAdmission) rejectWaiting() {
	la.mu.Lock()
	defer la.mu.Unlock()
	for _, ea := range la.admissions {
		ea.deliverDecisions(ea.queue.RejectAll())
	}
}

// syncAdmissions creates an admission queue for each endpoint that takes requests, and
// rejects the requests that wait at the other endpoints. Running requests continue.
func (la *localAdmission) syncAdmissions() {
	for id, ea := range la.admissions {
		e := la.registry.ReadyEndpoint(id)
		if e != nil && e.StartUnixMs == ea.endpoint.StartUnixMs && e.Address == ea.endpoint.Address {
			ea.endpoint = e
			la.adjustSlots(ea)
			continue
		}
		ea.deliverDecisions(ea.queue.RejectAll())
		ea.pool.Close()
		delete(la.admissions, id)
	}
	for _, published := range la.registry.ReadyEndpoints(la.deps.now()) {
		if la.admissions[published.ID] != nil || !la.isUsable(published) {
			continue
		}
		e := la.registry.ReadyEndpoint(published.ID)
		la.admissions[published.ID] = &endpointAdmission{
			endpoint: e, queue: gate.NewQueue(e.Slots),
			pool:    exchange.NewPool(e.Address, exchange.Dialer{Timeout: endpointDialTimeout}, la.deps.metrics.endpointConnection),
			waiting: make(map[uint64]chan *verdict.Error), analyzer: rollout.NewAnalyzer(),
			routeLatencies: make(map[string]time.Duration), responseSizes: make(map[string]int64), warmth: la.warmthOf(e),
		}
		la.adjustSlots(la.admissions[published.ID])
	}
}
